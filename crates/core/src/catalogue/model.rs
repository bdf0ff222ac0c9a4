//! Types of the catalogue.

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

/// `MAX_CHANGES` is the number of change records kept in the stored catalogue.
pub const MAX_CHANGES: usize = 256;

/// `Class` orders the services under overload: urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Served first.
    Urgent,
    /// Served in turn.
    #[default]
    Normal,
    /// Served when nothing else waits.
    Bulk,
}

/// `MoveStatus` is the state of a move; `Done` and `TakenBack` are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveStatus {
    /// The share follows the plan.
    Running,
    /// The share is held.
    Paused,
    /// The new version has all traffic.
    Done,
    /// The old version has all traffic again, for good.
    TakenBack,
}

impl MoveStatus {
    /// `is_final` tells whether the status can never change again.
    #[must_use]
    pub fn is_final(self) -> bool {
        match self {
            Self::Done | Self::TakenBack => true,
            Self::Running | Self::Paused => false,
        }
    }
}

/// `OnOutage` tells what the share does while the store is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnOutage {
    /// The share follows the plan.
    #[default]
    Advance,
    /// The share stays where it is.
    Freeze,
}

/// `PlanStep` is one step of a move's plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// When the step begins, in unix milliseconds.
    pub at_unix_ms: u64,
    /// Share of the new version from then on, in permille.
    pub share_permille: u16,
}

/// `MoveState` is the move of a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveState {
    /// Identifies the move.
    pub move_id: MoveId,
    /// Version that serves before the move.
    pub from: VersionName,
    /// Version that takes over.
    pub to: VersionName,
    /// State.
    pub status: MoveStatus,
    /// Share held while the status is `Paused`, in permille.
    pub share_permille: u16,
    /// Steps, sorted by time.
    pub plan: Vec<PlanStep>,
    /// When the move was accepted, in unix milliseconds.
    pub started_unix_ms: u64,
    /// By when it must be done or taken back, in unix milliseconds.
    pub deadline_unix_ms: u64,
    /// Behaviour while the store is unreachable.
    pub on_outage: OnOutage,
    /// Why the status is what it is.
    pub reason: SmolStr,
    /// Lease term of the judge that last wrote the move; 0 for operators.
    pub lease_term: u64,
}

/// `Route` is one path prefix of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the service.
    pub name: RouteName,
    /// Path prefix; the longest matching one wins.
    pub path_prefix: SmolStr,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Time for the whole request, in milliseconds.
    pub timeout_ms: u32,
    /// Version that always serves this route, regardless of moves.
    pub version: Option<VersionName>,
    /// Services that the route calls; each must exist.
    pub depends_on: Vec<ServiceName>,
}

/// `Limits` bound what a service takes and what its versions may show.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests that a target runs at once.
    pub slots_per_target: u16,
    /// Connections that a target takes.
    pub connections_per_target: u16,
    /// Share of a new version before there is evidence, in permille.
    pub max_share_permille: u16,
    /// Failures that a new version may show, in permille of its requests.
    pub max_failure_permille: u16,
    /// Retries, in permille of fresh requests.
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

/// `ServiceEntry` is one entry of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub service: ServiceName,
    /// Who answers for the service.
    pub owner: SmolStr,
    /// Precedence under overload.
    pub class: Class,
    /// Version that serves; during a move the old one.
    pub active_version: VersionName,
    /// All versions that may serve, sorted.
    pub versions: Vec<VersionName>,
    /// Versions that were taken back, sorted; they never return.
    pub rejected_versions: Vec<VersionName>,
    /// Routes, sorted by name.
    pub routes: Vec<Route>,
    /// Limits.
    pub limits: Limits,
    /// Current or last move.
    pub move_state: Option<MoveState>,
    /// Revision of the last change of this entry.
    pub changed_revision: Revision,
}

impl ServiceEntry {
    /// `share_permille` returns the share of the new version of the current move.
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

    /// `has_version` tells whether a version is listed.
    #[must_use]
    pub fn has_version(&self, version: &str) -> bool {
        self.versions
            .binary_search_by(|listed| listed.as_str().cmp(version))
            .is_ok()
    }
}

/// `Configuration` is what every proxy holds: one revision of the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision, 0 when there is none.
    pub revision: Revision,
    /// Entries, sorted by service.
    pub entries: Vec<ServiceEntry>,
}

impl Configuration {
    /// `entry` finds an entry by service name.
    #[must_use]
    pub fn entry(&self, service: &str) -> Option<&ServiceEntry> {
        let index = self.position(service).ok()?;
        self.entries.get(index)
    }

    /// `position` finds the index of an entry, or where it would be inserted.
    ///
    /// # Errors
    /// The index at which the entry would have to be inserted.
    pub fn position(&self, service: &str) -> std::result::Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.service.as_str().cmp(service))
    }

    /// `digest` returns the digest of the canonical encoding.
    ///
    /// # Errors
    /// [`crate::errors::Error::Malformed`] when the value cannot be encoded.
    pub fn digest(&self) -> Result<Digest> {
        codec::digest_of(self)
    }
}

/// `ChangeRecord` documents one accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change made.
    pub revision: Revision,
    /// Identifies the write.
    pub operation_id: OperationId,
    /// Operator or node.
    pub who: SmolStr,
    /// When, in unix milliseconds.
    pub at_unix_ms: u64,
    /// Service changed.
    pub service: ServiceName,
    /// What changed, in words.
    pub summary: SmolStr,
}

/// `StoredCatalogue` is the value of the store object that holds the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCatalogue {
    /// The configuration.
    pub configuration: Configuration,
    /// The last changes, oldest first, at most [`MAX_CHANGES`].
    pub changes: Vec<ChangeRecord>,
}

impl StoredCatalogue {
    /// `has_operation` tells whether a write took effect.
    #[must_use]
    pub fn has_operation(&self, operation_id: OperationId) -> bool {
        self.changes
            .iter()
            .rev()
            .any(|change| change.operation_id == operation_id)
    }

    /// `changes_since` lists the changes of a service after a revision.
    #[must_use]
    pub fn changes_since(&self, service: &str, revision: Revision) -> Vec<&ChangeRecord> {
        self.changes
            .iter()
            .filter(|change| change.service == service && change.revision > revision)
            .collect()
    }
}
