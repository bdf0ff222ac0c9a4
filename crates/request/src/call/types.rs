//! Input and output types of a call.

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

/// Properties of a request that routing needs.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// Identifies the request across its attempts.
    pub request_id: Uuid,
    /// Host of the request.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Timeout that the caller set, in milliseconds.
    pub timeout_ms: Option<u32>,
    /// Whether the request arrived marked as a retry.
    pub is_retry: bool,
    /// Idempotency key that the caller chose.
    pub key: Option<&'a str>,
    /// Fingerprint of the content; may be left out while the router has counted no crash.
    pub fingerprint: Option<Digest>,
}

/// One dispatch of a request to a target's node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Target to send to.
    pub to: Target,
    /// Identifies the attempt.
    pub attempt_id: AttemptId,
    /// Time left for the target's node, in milliseconds.
    pub time_left_ms: u32,
    /// Whether the attempt is marked as a retry, so that services further down the call chain do
    /// not retry it.
    pub is_retry: bool,
    /// Class of the service.
    pub class: Class,
    /// Key of a non-idempotent request.
    pub key: Option<AttemptKey>,
}

/// Idempotency key of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    /// The key.
    pub key: Key,
    /// Whether the entry node generated the key for this request.
    pub is_generated: bool,
    /// Earlier attempts of this request that are known not to have run. Their claims of the key are
    /// void.
    pub voided: Vec<AttemptId>,
}

/// Final answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Forward the complete answer of an attempt.
    Forward {
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Generate an answer.
    Generated {
        /// Outcome of the request over all its attempts.
        outcome: Outcome,
        /// Reason for the answer.
        reason: Reason,
        /// Time after which a resend is worthwhile, in milliseconds.
        retry_after_ms: Option<u32>,
    },
}

/// Log record of one routing decision.
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

/// Action that the node performs for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Send an attempt.
    SendAttempt(Box<Attempt>),
    /// Ask a target's node, on a fresh connection, to fence an attempt: to bar it from starting,
    /// and to tell whether it has started.
    Fence {
        /// Target to send to.
        to: Target,
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Tell a target's node to cancel an attempt.
    Cancel {
        /// Target to send to.
        to: Target,
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Answer the caller. A call gives this action at most once.
    AnswerCaller(Answer),
    /// Write the routing decision to the log.
    Log(Box<Decision>),
}

/// What a retry takes from the retry budget of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryCost {
    /// Nothing, as the attempt put no load on a target.
    None,
    /// One token.
    Token,
}

impl RetryCost {
    /// Returns what the retry of an attempt costs that has not run. The budget bounds the load that
    /// retries add to targets; a paused node loses many attempts at once that no target has received.
    pub(super) fn of(reason: Reason) -> Self {
        match reason {
            Reason::NotSent | Reason::Fenced | Reason::EarlierLife => Self::None,
            _ => Self::Token,
        }
    }
}
