//! Fixtures of the tests of moves (rollouts).

use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_moves::options::Options;
use quickcheck::Gen;
use uuid::Uuid;

/// Start of the fixture's move, in unix milliseconds.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

pub fn generator(seed: u64) -> Gen {
    Gen::from_size_and_seed(64, seed)
}

pub fn options() -> Options {
    Options::default()
}

pub fn author(operation: u128, at_unix_ms: u64) -> Author {
    Author {
        operation_id: Uuid::from_u128(operation),
        who: "tests".into(),
        at_unix_ms,
    }
}

pub fn catalogue_with_move(duration_ms: u64) -> StoredCatalogue {
    let mut catalogue = StoredCatalogue::default();
    for (operation, version) in [(1, "v1"), (2, "v2")] {
        let text = format!(
            "[[service]]\nname = \"order-desk\"\nowner = \"delivery\"\nversion = \"{version}\"\n\
             [service.move]\ndeadline_unix_ms = {}\n\
             [[service.route]]\nname = \"orders\"\npath_prefix = \"/orders\"\n\
             [[service.route]]\nname = \"lookup\"\npath_prefix = \"/lookup\"\n",
            START_UNIX_MS + duration_ms
        );
        let mut file = CatalogueFile::parse("test.toml", &text).expect("the fixture is valid");
        catalogue = Edit::Apply(Box::new(file.service.remove(0)))
            .apply(&catalogue, &author(operation, START_UNIX_MS))
            .expect("the edit is accepted");
    }
    catalogue
}

pub fn entry_of(catalogue: &StoredCatalogue) -> ServiceEntry {
    catalogue
        .configuration
        .entry("order-desk")
        .cloned()
        .expect("the entry exists")
}
