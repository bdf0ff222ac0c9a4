//! The TOML form of catalogue entries, as operators write it.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::catalogue::model::Class;
use crate::catalogue::model::Limits;
use crate::catalogue::model::OnOutage;
use crate::catalogue::model::Route;
use crate::catalogue::model::ServiceEntry;
use crate::errors::Error;
use crate::errors::Result;
use crate::ids::Revision;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::VersionName;

const DEFAULT_TIMEOUT_MS: u32 = 2_000;
const DEFAULT_FINISH_IN_S: u32 = 600;

/// Content of a catalogue file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueFile {
    /// Entries to apply.
    #[serde(default)]
    pub service: Vec<ServiceFile>,
}

/// Desired state of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceFile {
    /// Name of the service.
    pub name: ServiceName,
    /// Team or person responsible for the service.
    pub owner: SmolStr,
    /// Priority class under overload.
    #[serde(default)]
    pub class: Class,
    /// Version to serve; a change starts a move.
    pub version: VersionName,
    /// Revision of the last change of the entry that the operator saw; when absent, the file
    /// applies to any state of the entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seen_revision: Option<Revision>,
    /// Limits of the service.
    #[serde(default)]
    pub limits: Limits,
    /// Conditions of a move to `version`.
    #[serde(default, rename = "move")]
    pub move_terms: MoveTerms,
    /// Routes.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteFile>,
}

/// Conditions of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MoveTerms {
    /// Time from acceptance to the deadline, in seconds.
    pub finish_in_s: u32,
    /// Deadline in unix milliseconds; takes precedence over `finish_in_s`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_unix_ms: Option<u64>,
    /// Behaviour while the store is unreachable.
    pub on_outage: OnOutage,
}

impl Default for MoveTerms {
    fn default() -> Self {
        Self {
            finish_in_s: DEFAULT_FINISH_IN_S,
            deadline_unix_ms: None,
            on_outage: OnOutage::Advance,
        }
    }
}

/// Route of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteFile {
    /// Name, unique in the service.
    pub name: RouteName,
    /// Path prefix.
    pub path_prefix: SmolStr,
    /// Whether requests of the route are idempotent and may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Timeout of the whole request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
    /// Version that always serves this route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionName>,
    /// Services that the route calls.
    #[serde(default)]
    pub depends_on: Vec<ServiceName>,
}

fn default_timeout_ms() -> u32 {
    DEFAULT_TIMEOUT_MS
}

impl CatalogueFile {
    /// Parses the text of a catalogue file; `file` is only used in error messages.
    ///
    /// # Errors
    /// [`Error::CatalogueUnreadable`] with the position of the first error.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let unreadable = |reason: String| Error::CatalogueUnreadable {
            file: file.to_owned(),
            reason,
        };
        let parsed: Self = toml::from_str(text).map_err(|error| unreadable(error.to_string()))?;
        if parsed.service.is_empty() {
            return Err(unreadable("the file has no [[service]]".to_owned()));
        }
        Ok(parsed)
    }

    /// Returns the TOML form.
    ///
    /// # Errors
    /// [`Error::Malformed`] when the value cannot be written.
    pub fn to_text(&self) -> Result<String> {
        toml::to_string_pretty(self).map_err(|error| Error::malformed(error.to_string()))
    }
}

impl ServiceFile {
    /// Converts the routes to the form of the model, sorted by name.
    #[must_use]
    pub fn sorted_routes(&self) -> Vec<Route> {
        let mut routes: Vec<Route> = self.routes.iter().map(RouteFile::to_route).collect();
        routes.sort_by(|a, b| a.name.cmp(&b.name));
        routes
    }

    /// Creates the file form of an entry, with the revision of its last change as `seen_revision`.
    #[must_use]
    pub fn from_entry(entry: &ServiceEntry) -> Self {
        let move_terms = entry
            .move_state
            .as_ref()
            .map_or_else(MoveTerms::default, |state| MoveTerms {
                deadline_unix_ms: (!state.status.is_final()).then_some(state.deadline_unix_ms),
                on_outage: state.on_outage,
                ..MoveTerms::default()
            });
        let moving_to = entry
            .move_state
            .as_ref()
            .filter(|state| !state.status.is_final());
        Self {
            name: entry.service.clone(),
            owner: entry.owner.clone(),
            class: entry.class,
            version: moving_to
                .map_or(&entry.active_version, |state| &state.to)
                .clone(),
            seen_revision: Some(entry.changed_revision),
            limits: entry.limits.clone(),
            move_terms,
            routes: entry.routes.iter().map(RouteFile::from_route).collect(),
        }
    }
}

impl RouteFile {
    fn to_route(&self) -> Route {
        Route {
            name: self.name.clone(),
            path_prefix: self.path_prefix.clone(),
            repeatable: self.repeatable,
            timeout_ms: self.timeout_ms,
            version: self.version.clone(),
            depends_on: self.depends_on.clone(),
        }
    }

    fn from_route(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            path_prefix: route.path_prefix.clone(),
            repeatable: route.repeatable,
            timeout_ms: route.timeout_ms,
            version: route.version.clone(),
            depends_on: route.depends_on.clone(),
        }
    }
}
