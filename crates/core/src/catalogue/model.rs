//! Types of the catalogue. A move is the rollout of a new version of a service.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codec;
use crate::errors::Result;
use crate::ids::Digest;
use crate::ids::MoveId;
use crate::ids::OperationId;
use crate::ids::Revision;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::VersionName;
use crate::units::FULL_PERMILLE;
use crate::units::MIB;

/// Maximum number of change records in the stored catalogue.
pub const MAX_CHANGES: usize = 256;

/// Priority class of a service under overload.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served first.
    Urgent,
    /// Served after urgent requests.
    #[default]
    Normal,
    /// Served when nothing else waits.
    Bulk,
}

/// Status of a move; `Done` and `TakenBack` are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveStatus {
    /// The share follows the plan.
    Running,
    /// The share is held.
    Paused,
    /// The new version receives all traffic.
    Done,
    /// The move was rolled back: the old version receives all traffic again.
    TakenBack,
}

impl MoveStatus {
    /// Returns whether the status can no longer change.
    #[must_use]
    pub fn is_final(self) -> bool {
        match self {
            Self::Done | Self::TakenBack => true,
            Self::Running | Self::Paused => false,
        }
    }
}

/// Behaviour of the new version's share while the store is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnOutage {
    /// The share follows the plan.
    #[default]
    Advance,
    /// The share stays where it is.
    Freeze,
}

/// Step of a move's plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// Start of the step, in unix milliseconds.
    pub at_unix_ms: u64,
    /// Share of the new version from then on, in permille.
    pub share_permille: u16,
}

/// Move of a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveState {
    /// Id of the move.
    pub move_id: MoveId,
    /// Version that served before the move.
    pub from: VersionName,
    /// Version that takes over.
    pub to: VersionName,
    /// Status of the move.
    pub status: MoveStatus,
    /// Share held while the status is `Paused`, in permille.
    pub share_permille: u16,
    /// Steps, sorted by time.
    pub plan: Vec<PlanStep>,
    /// Time at which the move was accepted, in unix milliseconds.
    pub started_unix_ms: u64,
    /// Time by which the move must be done or rolled back, in unix milliseconds.
    pub deadline_unix_ms: u64,
    /// Behaviour while the store is unreachable.
    pub on_outage: OnOutage,
    /// Reason for the status.
    pub reason: SmolStr,
    /// Lease term of the judge that last wrote the move; 0 for operators.
    pub lease_term: u64,
}

/// Route of a service, selected by path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the service.
    pub name: RouteName,
    /// Path prefix; the longest matching one wins.
    pub path_prefix: SmolStr,
    /// Whether requests of the route are idempotent and may run more than once.
    pub repeatable: bool,
    /// Timeout of the whole request, in milliseconds.
    pub timeout_ms: u32,
    /// Version that always serves this route, regardless of moves.
    pub version: Option<VersionName>,
    /// Services that the route calls; each must exist.
    pub depends_on: Vec<ServiceName>,
}

/// Limits on the load, retries and body sizes of a service, and on the share and failures of a new
/// version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests that a target runs at once.
    pub slots_per_target: u16,
    /// Connections that a target accepts.
    pub connections_per_target: u16,
    /// First share of a new version, before there is evidence, in permille.
    pub max_share_permille: u16,
    /// Tolerated failures of a new version, in permille of its requests.
    pub max_failure_permille: u16,
    /// Retry budget, in permille of first attempts.
    pub retry_budget_permille: u16,
    /// Largest request or answer body, in bytes.
    pub max_body_bytes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots_per_target: 12,
            connections_per_target: 130,
            max_share_permille: 20,
            max_failure_permille: 20,
            retry_budget_permille: 100,
            max_body_bytes: u32::try_from(8 * MIB).unwrap_or(u32::MAX),
        }
    }
}

/// Entry of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub service: ServiceName,
    /// Team or person responsible for the service.
    pub owner: SmolStr,
    /// Priority class under overload.
    pub class: Class,
    /// Version that serves; during a move the old version.
    pub active_version: VersionName,
    /// All versions that may serve, sorted.
    pub versions: Vec<VersionName>,
    /// Versions that were rolled back, sorted; they cannot be deployed again.
    pub rejected_versions: Vec<VersionName>,
    /// Routes, sorted by name.
    pub routes: Vec<Route>,
    /// Limits of the service.
    pub limits: Limits,
    /// Current or last move.
    pub move_state: Option<MoveState>,
    /// Revision of the last change of this entry.
    pub changed_revision: Revision,
}

impl ServiceEntry {
    /// Returns the new version's share of the traffic in the current or last move.
    ///
    /// `store_down_since_unix_ms` is set while the store is unreachable.
    #[must_use]
    pub fn share_permille(&self, now_unix_ms: u64, store_down_since_unix_ms: Option<u64>) -> u16 {
        let Some(state) = &self.move_state else {
            return 0;
        };
        match state.status {
            MoveStatus::Done => FULL_PERMILLE,
            MoveStatus::TakenBack => 0,
            MoveStatus::Paused | MoveStatus::Running => {
                state.share_permille_at(now_unix_ms, store_down_since_unix_ms)
            }
        }
    }

    /// Returns whether a version is listed.
    #[must_use]
    pub fn has_version(&self, version: &str) -> bool {
        self.versions
            .binary_search_by(|listed| listed.as_str().cmp(version))
            .is_ok()
    }
}

/// One revision of the catalogue, as every node holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision; 0 when there is no configuration yet.
    pub revision: Revision,
    /// Entries, sorted by service.
    pub entries: Vec<ServiceEntry>,
}

impl Configuration {
    /// Returns the entry of a service.
    #[must_use]
    pub fn entry(&self, service: &str) -> Option<&ServiceEntry> {
        let index = self.position(service).ok()?;
        self.entries.get(index)
    }

    /// Returns the index of the entry of a service.
    ///
    /// # Errors
    /// The index at which to insert the entry when there is none.
    pub fn position(&self, service: &str) -> std::result::Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.service.as_str().cmp(service))
    }

    /// Returns the digest of the canonical encoding.
    ///
    /// # Errors
    /// [`crate::errors::Error::Malformed`] when the value cannot be encoded.
    pub fn digest(&self) -> Result<Digest> {
        codec::digest_of(self)
    }
}

/// Record of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change created.
    pub revision: Revision,
    /// Id of the write.
    pub operation_id: OperationId,
    /// Operator or node that made the change.
    pub who: SmolStr,
    /// Time of the change, in unix milliseconds.
    pub at_unix_ms: u64,
    /// Service whose entry changed.
    pub service: ServiceName,
    /// Summary of the change for people.
    pub summary: SmolStr,
}

/// Value of the store object that holds the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCatalogue {
    /// Current configuration.
    pub configuration: Configuration,
    /// The last changes, oldest first, at most [`MAX_CHANGES`].
    pub changes: Vec<ChangeRecord>,
}

impl StoredCatalogue {
    /// Returns whether a write took effect.
    #[must_use]
    pub fn has_operation(&self, operation_id: OperationId) -> bool {
        self.changes
            .iter()
            .rev()
            .any(|change| change.operation_id == operation_id)
    }

    /// Returns the changes of a service after a revision.
    #[must_use]
    pub fn changes_since(&self, service: &str, revision: Revision) -> Vec<&ChangeRecord> {
        self.changes
            .iter()
            .filter(|change| change.service == service && change.revision > revision)
            .collect()
    }
}
