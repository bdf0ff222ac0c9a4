//! Actions that the state machines of this crate request from their caller.

use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::evidence::EvidenceMessage;
use crate::record::MoveResult;

/// Receiver of an evidence message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recipient {
    /// The aggregator of the local data centre.
    Aggregator,
    /// Both candidates for the lease of the move, so that the evidence survives the failure of one.
    Judges,
}

/// Value of the store object `moves/lease/SERVICE`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Node that holds the lease.
    pub holder: SmolStr,
    /// Increases with every change of the holder.
    pub term: u64,
    /// End of validity, in unix milliseconds.
    pub expires_unix_ms: u64,
    /// Move for which the lease was last written.
    pub move_id: MoveId,
}

/// Decision as written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time of the decision, in unix milliseconds.
    pub at_unix_ms: u64,
    /// Service.
    pub service: ServiceName,
    /// Move.
    pub move_id: MoveId,
    /// Route, if the decision applies to a single route.
    pub route: Option<RouteName>,
    /// Name of the decision.
    pub decision: SmolStr,
    /// Reason with figures.
    pub reason: SmolStr,
    /// Operation id of the commit that the decision leads to.
    pub decision_id: Option<OperationId>,
}

/// Action for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send evidence.
    SendEvidence {
        /// Receiver.
        to: Recipient,
        /// Message.
        message: EvidenceMessage,
    },
    /// Send an advisory stop to all nodes.
    StopMove {
        /// Service.
        service: ServiceName,
        /// Move to stop.
        move_id: MoveId,
        /// Reason for the stop.
        reason: SmolStr,
    },
    /// Read the lease object of a service.
    ReadLease {
        /// Service.
        service: ServiceName,
    },
    /// Write the lease conditionally, as its new holder.
    AcquireLease {
        /// Service.
        service: ServiceName,
        /// Value to write.
        lease: Lease,
        /// Object version that must still be current; 0 when the object must not exist.
        if_version: u64,
    },
    /// Write the lease conditionally, as its holder.
    RenewLease {
        /// Service.
        service: ServiceName,
        /// Value to write.
        lease: Lease,
        /// Object version that must still be current.
        if_version: u64,
    },
    /// Apply an edit to the catalogue.
    Commit {
        /// Identifies the write and the decision.
        operation_id: OperationId,
        /// Edit, with the lease term.
        edit: Edit,
        /// Revision of the entry that the decision is based on. The writer refuses the edit if
        /// the entry has changed since, so that a decision never overrides an operator's change
        /// that the judge has not seen.
        seen_revision: Revision,
    },
    /// Read back whether a write took effect.
    ReadBack {
        /// Service.
        service: ServiceName,
        /// Operation id of the write.
        operation_id: OperationId,
    },
    /// Create the result object of a move; an existing object is not overwritten.
    WriteResult {
        /// Key of the object.
        key: String,
        /// Value.
        result: Box<MoveResult>,
    },
    /// Write a decision to the log.
    Log(LogLine),
}
