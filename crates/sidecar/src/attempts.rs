//! What follows an attempt to have a request run.

use std::time::Duration;

use crate::edge::frame::Failure;
use crate::edge::frame::Refusal;
use crate::model::Idempotency;

/// Refusals by nodes after which a request is given up; each costs a way and no run.
const MAX_REFUSALS: u8 = 3;
/// Time left below which no further attempt is worth its way.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);
/// Lowest status that means a failure of the target.
const SERVER_ERROR: u16 = 500;
const GATEWAY_TIMEOUT: u16 = 504;

/// `Outcome` is how an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered whole.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The request has not run.
    NotRun(Refusal),
    /// The request may have run.
    Failed(Failure),
}

/// `AttemptContext` are what is known of the request after the attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext {
    /// How often the request may run.
    pub idempotency: Idempotency,
    /// Targets that the request was sent to.
    pub target_attempts: u16,
    /// Targets that it may be sent to.
    pub max_attempts: u16,
    /// Nodes that refused it.
    pub refusals: u8,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Time until nobody waits.
    pub time_left: Duration,
}

/// `NextStep` is what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The answer goes to the caller.
    Deliver,
    /// Another node is tried; the request has reached no target in this attempt.
    TryElsewhere,
    /// Another target is tried if the budget allows it, and `otherwise` is done if not.
    Retry {
        /// What follows when the budget is used up.
        otherwise: FinalOutcome,
    },
    /// The request is given up.
    Finish(FinalOutcome),
}

/// `FinalOutcome` is the answer to a request that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The answer of the target.
    Deliver,
    /// The request has not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// `may_attempt` tells whether a request that was sent to some targets may be sent to another one.
#[must_use]
pub fn may_attempt(target_attempts: u16, max_attempts: u16, time_left: Duration) -> bool {
    target_attempts < max_attempts && time_left > MIN_TIME_LEFT
}

/// `next_step` decides what follows an attempt.
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
