//! Catalogue of the bench: 310 services and small changes to them.

use std::time::SystemTime;

use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_core::codec;
use hemlockfall_core::units;
use hemlockfall_store::Client;
use hemlockfall_store::catalogue;
use uuid::Uuid;

/// Number of services at the planned size.
pub const SERVICES: u32 = 310;

const AUTHOR: &str = "bench";
const FIRST_SLOTS: u32 = 6;
const SLOT_VARIANTS: u32 = 7;

/// Writes a catalogue with all services and returns its revision.
///
/// # Errors
/// A message if the store refuses the catalogue.
pub fn write_first(client: &Client) -> Result<u64, String> {
    let mut stored = StoredCatalogue::default();
    for service in 0..SERVICES {
        stored = edit(service, 0)?
            .apply(&stored, &author())
            .map_err(|error| error.to_string())?;
    }
    let body = codec::encode(&stored).map_err(|error| error.to_string())?;
    client
        .put(catalogue::KEY, 0, &body)
        .map_err(|error| error.to_string())?;
    Ok(stored.configuration.revision)
}

/// Commits one change to the store and returns its revision.
///
/// # Errors
/// A message if the store refuses the change.
pub fn change(client: &Client, number: u32) -> Result<u64, String> {
    let service = number * 37 % SERVICES;
    let committed = catalogue::commit(client, &edit(service, number)?, &author())
        .map_err(|error| error.to_string())?;
    Ok(committed.revision)
}

/// Returns the edit that applies a service of typical size, with two routes and a dependency on
/// its predecessor.
fn edit(service: u32, variant: u32) -> Result<Edit, String> {
    let slots = FIRST_SLOTS + variant % SLOT_VARIANTS;
    let depends_on = match service.checked_sub(1) {
        Some(predecessor) => format!("\"service-{predecessor:03}\""),
        None => String::new(),
    };
    let text = format!(
        r#"
[[service]]
name = "service-{service:03}"
owner = "team {}"
version = "v1"

[service.limits]
slots_per_target = {slots}

[[service.route]]
name = "orders"
path_prefix = "/orders"
repeatable = false
depends_on = [{depends_on}]

[[service.route]]
name = "stock"
path_prefix = "/stock"
repeatable = true
"#,
        service % 20
    );
    let file: CatalogueFile = toml::from_str(&text).map_err(|error| error.to_string())?;
    let service = file.service.into_iter().next();
    let service = service.ok_or("the catalogue file is empty")?;
    Ok(Edit::Apply(Box::new(service)))
}

fn author() -> Author {
    Author {
        operation_id: Uuid::now_v7(),
        who: AUTHOR.into(),
        at_unix_ms: units::unix_ms(SystemTime::now()),
    }
}
