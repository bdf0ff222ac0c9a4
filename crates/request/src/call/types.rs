//! What goes into a call and what comes out of it.

use hemlockfall_core::catalogue::Class;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use uuid::Uuid;

use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::placement::Key;
use crate::router::Target;
use crate::seen::AttemptId;

/// `CallRequest` is what routing needs to know of a request.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// Identifies the request across its attempts.
    pub request_id: Uuid,
    /// Host of the request.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Time that the caller gives, in milliseconds.
    pub timeout_ms: Option<u32>,
    /// The request arrived marked as a retry.
    pub is_retry: bool,
    /// Idempotency key that the caller chose.
    pub key: Option<&'a str>,
    /// Fingerprint; may be left out while the router counts none.
    pub fingerprint: Option<Digest>,
}

/// `Attempt` is what the node sends to a target's node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Receiver.
    pub to: Target,
    /// Identifies the attempt.
    pub attempt_id: AttemptId,
    /// Time that the target's node gets, in milliseconds.
    pub time_left_ms: u32,
    /// Marks the attempt so that it is not retried further down.
    pub is_retry: bool,
    /// Class of the service.
    pub class: Class,
    /// Key of a request that may not be repeated.
    pub key: Option<AttemptKey>,
}

/// `AttemptKey` is the key part of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    /// The key.
    pub key: Key,
    /// The entry node generated it for this request.
    pub is_generated: bool,
    /// Earlier attempts of this request that surely have not run.
    pub voided: Vec<AttemptId>,
}

/// `Answer` is the final answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Pass on the complete answer of an attempt.
    Forward {
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Generate an answer.
    Generated {
        /// Outcome of the request over all of its attempts.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// When a resend is worthwhile.
        retry_after_ms: Option<u32>,
    },
}

/// `Decision` is the log record of one routing decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request_id: Uuid,
    /// Service.
    pub service: ServiceName,
    /// Route.
    pub route: RouteName,
    /// Version.
    pub version: VersionName,
    /// Chosen node; `None` when no target was usable.
    pub node: Option<NodeName>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// `CallAction` is what the node does for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Send an attempt.
    SendAttempt(Box<Attempt>),
    /// Ask a target's node to fence an attempt, on a fresh connection.
    Fence {
        /// Receiver.
        to: Target,
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Tell a target's node that an attempt is no longer wanted.
    Cancel {
        /// Receiver.
        to: Target,
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Answer the caller; it is the only answer.
    AnswerCaller(Answer),
    /// Write the routing decision to the log.
    Log(Box<Decision>),
}
