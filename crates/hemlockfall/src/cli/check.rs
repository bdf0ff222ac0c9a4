//! Command `check`, and the checks of catalogue files before they are sent.

use std::path::Path;
use std::time::SystemTime;

use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_core::catalogue::file::RouteFile;
use hemlockfall_core::catalogue::file::ServiceFile;
use hemlockfall_core::errors::Error;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::settings::Settings;
use hemlockfall_core::units;
use smol_str::SmolStr;
use toml::Table;
use uuid::Uuid;

use crate::cli::arguments::CheckOptions;
use crate::cli::failure::Result;
use crate::cli::output;

type Checked<T> = hemlockfall_core::errors::Result<T>;

pub(crate) fn run(options: &CheckOptions) -> Result<()> {
    let path = &options.file;
    if is_catalogue(path) {
        let services = load_catalogue(path)?;
        return output::print(&format!("{}: {}\n", path.display(), summary(&services)));
    }
    Settings::load_for(program_of(path), path)?;
    output::print(&format!("{}: the settings are valid\n", path.display()))
}

fn summary(services: &[ServiceFile]) -> String {
    let external = external_dependencies(services);
    let mut text = format!("{} catalogue entries are valid", services.len());
    if !external.is_empty() {
        text.push_str("; not in this file and checked on apply: ");
        text.push_str(&external.join(", "));
    }
    text
}

/// Returns the program that a settings file is for. The settings of a sidecar have a section of
/// that name; all others belong to a node.
fn program_of(path: &Path) -> Program {
    let has_sidecar = std::fs::read_to_string(path)
        .ok()
        .and_then(|text| text.parse::<Table>().ok())
        .is_some_and(|table| table.contains_key("sidecar"));
    if has_sidecar {
        Program::Sidecar
    } else {
        Program::Node
    }
}

/// Returns whether a file is a catalogue file, which has services; all others are checked as
/// settings.
fn is_catalogue(path: &Path) -> bool {
    let Ok(text) = std::fs::read_to_string(path) else {
        return false;
    };
    match text.parse::<Table>() {
        Ok(table) => table.contains_key("service"),
        Err(_) => text.contains("[[service]]"),
    }
}

/// Reads and checks a catalogue file and returns its entries with dependencies first, so that they
/// can be applied in this order.
pub(crate) fn load_catalogue(path: &Path) -> Checked<Vec<ServiceFile>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Error::CatalogueUnreadable {
        file: name.clone(),
        reason: error.to_string(),
    })?;
    let services = sort_by_dependencies(CatalogueFile::parse(&name, &text)?.service)?;
    check(&services)?;
    Ok(services)
}

fn sort_by_dependencies(mut remaining: Vec<ServiceFile>) -> Checked<Vec<ServiceFile>> {
    let mut ordered: Vec<ServiceFile> = Vec::new();
    while !remaining.is_empty() {
        let is_unblocked = |service: &ServiceFile| {
            !dependencies(service).any(|name| {
                remaining
                    .iter()
                    .any(|other| other.name == *name && other.name != service.name)
            })
        };
        let Some(index) = remaining.iter().position(is_unblocked) else {
            let names: Vec<&str> = remaining
                .iter()
                .map(|service| service.name.as_str())
                .collect();
            return Err(Error::invalid(format!(
                "services depend on each other in a circle: {}; create one without the dependency first",
                names.join(", ")
            )));
        };
        ordered.push(remaining.remove(index));
    }
    Ok(ordered)
}

fn dependencies(service: &ServiceFile) -> impl Iterator<Item = &SmolStr> {
    service.routes.iter().flat_map(|route| &route.depends_on)
}

fn external_dependencies(services: &[ServiceFile]) -> Vec<String> {
    let mut external: Vec<String> = services
        .iter()
        .flat_map(dependencies)
        .filter(|name| !services.iter().any(|service| service.name == **name))
        .map(ToString::to_string)
        .collect();
    external.sort();
    external.dedup();
    external
}

/// Checks the entries by applying them to an empty catalogue with placeholders for the services
/// that are not in the file.
fn check(services: &[ServiceFile]) -> Checked<()> {
    let now_unix_ms = units::unix_ms(SystemTime::now());
    let author = Author {
        operation_id: Uuid::nil(),
        who: "check".into(),
        at_unix_ms: now_unix_ms,
    };
    let mut violations = duplicate_names(services);
    let mut catalogue = StoredCatalogue::default();
    for name in external_dependencies(services) {
        catalogue = Edit::Apply(Box::new(placeholder(&name))).apply(&catalogue, &author)?;
    }
    for service in services {
        if service
            .move_terms
            .deadline_unix_ms
            .is_some_and(|deadline| deadline <= now_unix_ms)
        {
            violations.push(format!(
                "service `{}`: the deadline is in the past",
                service.name
            ));
        }
        match Edit::Apply(Box::new(without_catalogue_references(service)))
            .apply(&catalogue, &author)
        {
            Ok(next) => catalogue = next,
            Err(Error::CatalogueInvalid { violations: found }) => violations.extend(found),
            Err(error) => return Err(error),
        }
    }
    if violations.is_empty() {
        Ok(())
    } else {
        Err(Error::CatalogueInvalid { violations })
    }
}

fn duplicate_names(services: &[ServiceFile]) -> Vec<String> {
    let mut names: Vec<&SmolStr> = services.iter().map(|service| &service.name).collect();
    names.sort();
    let duplicates = names.windows(2).filter(|pair| pair[0] == pair[1]);
    duplicates
        .map(|pair| format!("service `{}` is in the file more than once", pair[0]))
        .collect()
}

/// Returns a service without its pinned versions and last seen revision, which can only be checked
/// against the catalogue itself.
fn without_catalogue_references(service: &ServiceFile) -> ServiceFile {
    let mut service = service.clone();
    service.seen_revision = None;
    for route in &mut service.routes {
        route.version = None;
    }
    service
}

fn placeholder(name: &str) -> ServiceFile {
    ServiceFile {
        name: name.into(),
        owner: "unknown".into(),
        class: hemlockfall_core::catalogue::Class::default(),
        version: "unknown".into(),
        seen_revision: None,
        limits: hemlockfall_core::catalogue::Limits::default(),
        move_terms: hemlockfall_core::catalogue::file::MoveTerms::default(),
        routes: vec![RouteFile {
            name: "all".into(),
            path_prefix: "/".into(),
            repeatable: false,
            timeout_ms: 1,
            version: None,
            depends_on: Vec::new(),
        }],
    }
}
