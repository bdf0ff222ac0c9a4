//! Tests of the regions in which a request may be served.

use hemlockfall_core::ids::RegionName;
use hemlockfall_sidecar::regions::AllowedRegions;

fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against a request that is served in a region that its route or its client account does not
/// allow, in particular in any region when the two have none in common.
#[test]
fn both_lists_bind() {
    for (of_route, of_account, north, south) in [
        (&[][..], &[][..], true, true),
        (&["north"], &[], true, false),
        (&[], &["south"], false, true),
        (&["north", "south"], &["south"], false, true),
        (&["north"], &["south"], false, false),
    ] {
        let allowed = AllowedRegions::intersection(&regions(of_route), &regions(of_account));

        let found = (
            allowed.allows(&"north".into()),
            allowed.allows(&"south".into()),
        );

        assert_eq!(found, (north, south), "{of_route:?} and {of_account:?}");
    }
}
