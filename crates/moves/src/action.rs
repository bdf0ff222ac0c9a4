//! What the state machines of this crate ask their caller to do.

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

/// `Recipient` names the receiver of an evidence message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recipient {
    /// The aggregator of the own data centre.
    Aggregator,
    /// Both candidates for the lease of the move, so that the evidence survives a judge.
    Judges,
}

/// `Lease` is the value of the store object `moves/lease/SERVICE`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Node that holds the lease.
    pub holder: SmolStr,
    /// Increases with every change of the holder.
    pub term: u64,
    /// End of validity, in unix milliseconds.
    pub expires_unix_ms: u64,
    /// Move that the lease was last held for.
    pub move_id: MoveId,
}

/// `LogLine` is one decision, as written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// When, in unix milliseconds.
    pub at_unix_ms: u64,
    /// Service.
    pub service: ServiceName,
    /// Move.
    pub move_id: MoveId,
    /// Route, when the decision concerns one.
    pub route: Option<RouteName>,
    /// Decision in one word.
    pub decision: SmolStr,
    /// Reason with figures.
    pub reason: SmolStr,
    /// Operation id of the commit that follows from the decision.
    pub decision_id: Option<OperationId>,
}

/// `Action` is one step for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send evidence.
    SendEvidence {
        /// Receiver.
        to: Recipient,
        /// Message.
        message: EvidenceMessage,
    },
    /// Send an advisory stop to all proxies.
    StopMove {
        /// Service.
        service: ServiceName,
        /// Move to stop.
        move_id: MoveId,
        /// Why.
        reason: SmolStr,
    },
    /// Read the lease object of a service.
    ReadLease {
        /// Service.
        service: ServiceName,
    },
    /// Write the lease conditionally, as a new holder.
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
        /// Last change of the entry that the decision is based on. The writer refuses the edit
        /// when the entry has changed since, so a decision never overrides an operator's change
        /// that the judge has not seen.
        seen_revision: Revision,
    },
    /// Look whether a write took effect.
    ReadBack {
        /// Service.
        service: ServiceName,
        /// Write to look for.
        operation_id: OperationId,
    },
    /// Create the result object of a move; an existing object stays.
    WriteResult {
        /// Key of the object.
        key: String,
        /// Value.
        result: Box<MoveResult>,
    },
    /// Write a decision to the log.
    Log(LogLine),
}
