//! Decision on the next step after an attempt.

use std::time::Duration;

use crate::edge::frame::Failure;
use crate::edge::frame::Refusal;
use crate::model::Idempotency;

/// Number of refusals by nodes after which a request is sent to no further node. A refusal costs a
/// network round trip but no run.
const MAX_REFUSALS: u8 = 3;
/// Time left up to which a further attempt is not worth its network cost.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);
/// Lowest HTTP status of a failure of the target.
const SERVER_ERROR: u16 = 500;
/// HTTP status of an exceeded deadline; such an answer is delivered without a retry.
const GATEWAY_TIMEOUT: u16 = 504;

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target sent a complete answer.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The request has not run.
    NotRun(Refusal),
    /// The request may have run.
    Failed(Failure),
}

/// State of the request after an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext {
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Number of targets that the request was sent to.
    pub target_attempts: u16,
    /// Maximum number of targets that the request may be sent to.
    pub max_attempts: u16,
    /// Number of refusals by nodes.
    pub refusals: u8,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Time until the deadline.
    pub time_left: Duration,
}

/// Next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The answer is delivered to the caller.
    Deliver,
    /// Another node is tried without use of the retry budget, since no target has received the
    /// request in this attempt.
    TryElsewhere,
    /// Another target is tried if the retry budget allows it.
    Retry {
        /// Final outcome if the budget is exhausted.
        otherwise: FinalOutcome,
    },
    /// The request ends without a further attempt.
    Finish(FinalOutcome),
}

/// Answer to a request after its last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The answer of the target is delivered.
    Deliver,
    /// The request has not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Returns whether a request may be sent to a further target.
#[must_use]
pub fn may_attempt(target_attempts: u16, max_attempts: u16, time_left: Duration) -> bool {
    target_attempts < max_attempts && time_left > MIN_TIME_LEFT
}

/// Returns the next step after an attempt.
#[must_use]
pub fn next_step(outcome: Outcome, context: AttemptContext) -> NextStep {
    let may_attempt = may_attempt(
        context.target_attempts,
        context.max_attempts,
        context.time_left,
    );
    let is_idempotent = context.idempotency == Idempotency::Idempotent;
    let not_run = if context.may_have_run {
        FinalOutcome::Unknown
    } else {
        FinalOutcome::NotRun
    };
    match outcome {
        Outcome::Answered { status } if status < SERVER_ERROR || status == GATEWAY_TIMEOUT => {
            NextStep::Deliver
        }
        Outcome::Answered { .. } if is_idempotent && may_attempt => NextStep::Retry {
            otherwise: FinalOutcome::Deliver,
        },
        Outcome::Answered { .. } => NextStep::Deliver,
        Outcome::NotRun(Refusal::ByTarget) if may_attempt => NextStep::Retry { otherwise: not_run },
        Outcome::NotRun(Refusal::Suspected | Refusal::ByTarget) => NextStep::Finish(not_run),
        Outcome::NotRun(_) if context.refusals < MAX_REFUSALS && may_attempt => {
            NextStep::TryElsewhere
        }
        Outcome::NotRun(_) => NextStep::Finish(not_run),
        Outcome::Failed(_) if is_idempotent && may_attempt => NextStep::Retry {
            otherwise: FinalOutcome::Unknown,
        },
        Outcome::Failed(_) => NextStep::Finish(FinalOutcome::Unknown),
    }
}
