//! Rules that every configuration must satisfy before it is written or applied.

use crate::catalogue::model::Configuration;
use crate::catalogue::model::Limits;
use crate::catalogue::model::MoveState;
use crate::catalogue::model::Route;
use crate::catalogue::model::ServiceEntry;
use crate::errors::Error;
use crate::errors::Result;
use crate::units::FULL_PERMILLE;

/// Maximum length of a name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum timeout of a route.
pub const MAX_TIMEOUT_MS: u32 = 600_000;

/// Validates a whole configuration.
///
/// # Errors
/// [`Error::CatalogueInvalid`] with every violation and the names involved.
pub fn check(configuration: &Configuration) -> Result<()> {
    let mut violations = Vec::new();
    check_order(configuration, &mut violations);
    for entry in &configuration.entries {
        check_entry(configuration, entry, &mut violations);
    }
    if violations.is_empty() {
        Ok(())
    } else {
        Err(Error::CatalogueInvalid { violations })
    }
}

/// Returns whether a text is a valid name: 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`, `_`
/// and `.`.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

fn check_order(configuration: &Configuration, violations: &mut Vec<String>) {
    for pair in configuration.entries.windows(2) {
        if pair[0].service >= pair[1].service {
            violations.push(format!(
                "entries `{}` and `{}` are duplicate or out of order",
                pair[0].service, pair[1].service
            ));
        }
    }
}

fn check_entry(configuration: &Configuration, entry: &ServiceEntry, violations: &mut Vec<String>) {
    let service = &entry.service;
    let mut report = |text: String| violations.push(format!("service `{service}`: {text}"));
    if !is_name(service) {
        report("the name is not valid".to_owned());
    }
    if entry.owner.trim().is_empty() {
        report("the owner is missing".to_owned());
    }
    if !entry.versions.is_sorted_by(|a, b| a < b) {
        report("versions are duplicate or out of order".to_owned());
    }
    for version in entry.versions.iter().filter(|version| !is_name(version)) {
        report(format!("version name `{version}` is not valid"));
    }
    if !entry.has_version(&entry.active_version) {
        report(format!(
            "active version `{}` is not listed",
            entry.active_version
        ));
    }
    if entry.rejected_versions.contains(&entry.active_version) {
        report(format!(
            "active version `{}` was taken back",
            entry.active_version
        ));
    }
    check_limits(&entry.limits, &mut report);
    check_routes(configuration, entry, &mut report);
    if let Some(state) = &entry.move_state {
        check_move(entry, state, &mut report);
    }
}

fn check_limits(limits: &Limits, report: &mut impl FnMut(String)) {
    if limits.slots_per_target == 0 {
        report("slots_per_target is 0, at least 1 is needed".to_owned());
    }
    if limits.connections_per_target == 0 {
        report("connections_per_target is 0, at least 1 is needed".to_owned());
    }
    let shares = [
        ("max_share_permille", limits.max_share_permille),
        ("max_failure_permille", limits.max_failure_permille),
        ("retry_budget_permille", limits.retry_budget_permille),
    ];
    for (name, permille) in shares {
        if permille > FULL_PERMILLE {
            report(format!(
                "{name} is {permille}, at most {FULL_PERMILLE} is allowed"
            ));
        }
    }
    if limits.max_share_permille == 0 {
        report("max_share_permille is 0, at least 1 is needed".to_owned());
    }
}

fn check_routes(
    configuration: &Configuration,
    entry: &ServiceEntry,
    report: &mut impl FnMut(String),
) {
    if !entry.routes.is_sorted_by(|a, b| a.name < b.name) {
        report("routes are duplicate or out of order".to_owned());
    }
    for (index, route) in entry.routes.iter().enumerate() {
        check_route(configuration, entry, route, report);
        let duplicate = entry.routes[..index]
            .iter()
            .find(|r| r.path_prefix == route.path_prefix);
        if let Some(duplicate) = duplicate {
            report(format!(
                "routes `{}` and `{}` have the same prefix `{}`",
                duplicate.name, route.name, route.path_prefix
            ));
        }
    }
}

fn check_route(
    configuration: &Configuration,
    entry: &ServiceEntry,
    route: &Route,
    report: &mut impl FnMut(String),
) {
    let name = &route.name;
    if !is_name(name) {
        report(format!("route name `{name}` is not valid"));
    }
    if !route.path_prefix.starts_with('/') {
        report(format!(
            "route `{name}`: prefix `{}` must start with `/`",
            route.path_prefix
        ));
    }
    if !(1..=MAX_TIMEOUT_MS).contains(&route.timeout_ms) {
        report(format!(
            "route `{name}`: timeout_ms is {}, allowed: 1 to {MAX_TIMEOUT_MS}",
            route.timeout_ms
        ));
    }
    if let Some(version) = &route.version
        && !entry.has_version(version)
    {
        report(format!("route `{name}`: version `{version}` is not listed"));
    }
    for dependency in &route.depends_on {
        if configuration.entry(dependency).is_none() {
            report(format!(
                "route `{name}`: service `{dependency}` does not exist"
            ));
        }
    }
}

fn check_move(entry: &ServiceEntry, state: &MoveState, report: &mut impl FnMut(String)) {
    for version in [&state.from, &state.to] {
        if !entry.has_version(version) {
            report(format!("move: version `{version}` is not listed"));
        }
    }
    if state.from == state.to {
        report(format!(
            "move: `{}` is both the old and the new version",
            state.to
        ));
    }
    if !state.status.is_final() && entry.rejected_versions.contains(&state.to) {
        report(format!(
            "move: version `{}` was taken back and cannot return",
            state.to
        ));
    }
    if state.deadline_unix_ms <= state.started_unix_ms {
        report("move: the deadline is not after the start".to_owned());
    }
    let ordered = state
        .plan
        .is_sorted_by(|a, b| a.at_unix_ms <= b.at_unix_ms && a.share_permille <= b.share_permille);
    if state.plan.is_empty() || !ordered {
        report("move: the plan is empty or not ascending".to_owned());
    }
    if state
        .plan
        .iter()
        .any(|step| step.share_permille > FULL_PERMILLE)
    {
        report(format!(
            "move: a planned share exceeds {FULL_PERMILLE} permille"
        ));
    }
    if state.share_permille > FULL_PERMILLE {
        report(format!(
            "move: the held share exceeds {FULL_PERMILLE} permille"
        ));
    }
}
