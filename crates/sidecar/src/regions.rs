//! Regions in which a request may be served.
//!
//! A route and a client account may each be bound to some regions. Both bounds hold together, whatever
//! the load and whichever targets are ready: a request outside its regions is not served at all.

use hemlockfall_core::ids::RegionName;

/// Regions in which a request may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowedRegions {
    /// All regions.
    All,
    /// These regions only; none if the list is empty.
    Only(Vec<RegionName>),
}

impl AllowedRegions {
    /// Returns the regions that both lists allow, the one of a route and the one of a client account.
    /// An empty list allows all regions; two others without a common region allow none.
    #[must_use]
    pub fn intersection(of_route: &[RegionName], of_account: &[RegionName]) -> Self {
        match (of_route, of_account) {
            ([], []) => Self::All,
            ([], regions) | (regions, []) => Self::Only(regions.to_vec()),
            (of_route, of_account) => Self::Only(
                of_route
                    .iter()
                    .filter(|region| of_account.contains(region))
                    .cloned()
                    .collect(),
            ),
        }
    }

    /// Returns whether a request may be served in a region.
    #[must_use]
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Self::All => true,
            Self::Only(regions) => regions.contains(region),
        }
    }
}
