//! Outcomes of attempts and answers, and the reasons of answers that hemlockfall generates.

use std::fmt;

use hemlockfall_core::errors::ResultCode;
use serde::Deserialize;
use serde::Serialize;

/// Result type of this crate: an error is always a reason for the caller.
pub type Result<T> = std::result::Result<T, Reason>;

/// What is known about the run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request has not run and never will.
    NotRun,
    /// The request may have run, or may still run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header `hemlockfall-outcome`.
    #[must_use]
    pub fn header(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for which hemlockfall generated an answer or refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The catalogue has no such service.
    NoService,
    /// The service has no route for the path.
    NoRoute,
    /// The idempotency key is empty or too long.
    BadKey,
    /// No target of the version can accept a request.
    NoTarget,
    /// The target is draining.
    Draining,
    /// Slots and queue of the target are full.
    QueueFull,
    /// The deadline passed, or would pass before the request starts.
    DeadlinePassed,
    /// Requests with this content are suspected of crashing targets.
    FingerprintRefused,
    /// The attempt could not be sent on a link.
    NotSent,
    /// The attempt was fenced before it started.
    Fenced,
    /// The attempt was meant for an earlier incarnation of the node.
    EarlierLife,
    /// The target shed the request before running it.
    TargetShed,
    /// The caller disconnected or cancelled.
    Cancelled,
    /// Too few keepers granted the claim of a generated key, which nobody can have used before.
    NoWitness,
    /// The answer arrived incomplete or with a wrong digest.
    IncompleteAnswer,
    /// The link to the target's node was lost with the attempt in flight.
    LinkLost,
    /// The target was lost while it ran the request.
    TargetLost,
    /// The deadline passed before the answer arrived.
    TimedOut,
    /// Another attempt has claimed the key, and its result is not known.
    KeyPending,
    /// The keepers cannot tell whether the key was used before.
    KeyCannotKnow,
    /// The request ran earlier under its key; its answer is not kept.
    KeyAnswerNotKept,
    /// The attempt is too old to tell whether it was seen before.
    StaleAttempt,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 22] = [
        Self::NoService,
        Self::NoRoute,
        Self::BadKey,
        Self::NoTarget,
        Self::Draining,
        Self::QueueFull,
        Self::DeadlinePassed,
        Self::FingerprintRefused,
        Self::NotSent,
        Self::Fenced,
        Self::EarlierLife,
        Self::TargetShed,
        Self::Cancelled,
        Self::NoWitness,
        Self::IncompleteAnswer,
        Self::LinkLost,
        Self::TargetLost,
        Self::TimedOut,
        Self::KeyPending,
        Self::KeyCannotKnow,
        Self::KeyAnswerNotKept,
        Self::StaleAttempt,
    ];

    /// Returns the result code.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        ResultCode(match self {
            Self::NoService => 3404,
            Self::NoRoute => 3405,
            Self::BadKey => 3407,
            Self::DeadlinePassed => 3408,
            Self::Cancelled => 3499,
            Self::IncompleteAnswer => 3502,
            Self::NoTarget => 3503,
            Self::Draining => 3504,
            Self::QueueFull => 3505,
            Self::FingerprintRefused => 3506,
            Self::NotSent => 3507,
            Self::Fenced => 3508,
            Self::EarlierLife => 3509,
            Self::TargetShed => 3510,
            Self::NoWitness => 3511,
            Self::LinkLost => 3521,
            Self::TargetLost => 3522,
            Self::TimedOut => 3523,
            Self::StaleAttempt => 3524,
            Self::KeyPending => 3531,
            Self::KeyCannotKnow => 3532,
            Self::KeyAnswerNotKept => 3533,
        })
    }

    /// Returns what the reason says about the run of an attempt.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NoService
            | Self::NoRoute
            | Self::BadKey
            | Self::NoTarget
            | Self::Draining
            | Self::QueueFull
            | Self::DeadlinePassed
            | Self::FingerprintRefused
            | Self::NotSent
            | Self::Fenced
            | Self::EarlierLife
            | Self::TargetShed
            | Self::Cancelled
            | Self::NoWitness => Outcome::NotRun,
            Self::IncompleteAnswer
            | Self::LinkLost
            | Self::TargetLost
            | Self::TimedOut
            | Self::KeyPending
            | Self::KeyCannotKnow
            | Self::StaleAttempt => Outcome::Unknown,
            Self::KeyAnswerNotKept => Outcome::Ran,
        }
    }

    /// Returns the status of the generated answer.
    #[must_use]
    pub fn http_status(self) -> u16 {
        match self {
            Self::NoService | Self::NoRoute => 404,
            Self::BadKey => 400,
            Self::Cancelled => 499,
            Self::IncompleteAnswer | Self::LinkLost | Self::TargetLost | Self::StaleAttempt => 502,
            Self::DeadlinePassed | Self::TimedOut => 504,
            Self::KeyPending | Self::KeyCannotKnow | Self::KeyAnswerNotKept => 409,
            Self::NoTarget
            | Self::Draining
            | Self::QueueFull
            | Self::FingerprintRefused
            | Self::NotSent
            | Self::Fenced
            | Self::EarlierLife
            | Self::TargetShed
            | Self::NoWitness => 503,
        }
    }

    /// Returns the default time after which a resend is worthwhile, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(self) -> Option<u32> {
        match self {
            Self::FingerprintRefused => Some(60_000),
            Self::NoTarget
            | Self::Draining
            | Self::QueueFull
            | Self::NotSent
            | Self::Fenced
            | Self::EarlierLife
            | Self::TargetShed
            | Self::NoWitness
            | Self::KeyPending => Some(1_000),
            Self::NoService
            | Self::NoRoute
            | Self::BadKey
            | Self::DeadlinePassed
            | Self::Cancelled
            | Self::IncompleteAnswer
            | Self::LinkLost
            | Self::TargetLost
            | Self::TimedOut
            | Self::KeyCannotKnow
            | Self::KeyAnswerNotKept
            | Self::StaleAttempt => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {self:?}", self.code())
    }
}

impl std::error::Error for Reason {}

/// Result of one attempt, as received by its entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// A complete answer arrived.
    Answered {
        /// Whether the answer's status is a failure of the target (5xx).
        is_failure: bool,
    },
    /// The attempt is known not to have run and will never run.
    NotRun {
        /// Reason for not running it.
        reason: Reason,
        /// Time after which a resend is worthwhile, in milliseconds.
        retry_after_ms: Option<u32>,
    },
    /// The attempt may have run.
    Unknown {
        /// Reason for the unknown outcome.
        reason: Reason,
    },
    /// The attempt did not run, because its key was claimed before or its keepers cannot confirm
    /// that the key is new.
    KeyRefused {
        /// Reason, from the verdicts of the keepers.
        reason: Reason,
    },
}

impl AttemptResult {
    /// Returns the result of an attempt that was refused for a reason.
    #[must_use]
    pub fn refused(reason: Reason, retry_after_ms: Option<u32>) -> Self {
        match (reason, reason.outcome()) {
            (Reason::KeyPending | Reason::KeyCannotKnow | Reason::KeyAnswerNotKept, _) => {
                Self::KeyRefused { reason }
            }
            (_, Outcome::NotRun) => Self::NotRun {
                reason,
                retry_after_ms: retry_after_ms.or(reason.retry_after_ms()),
            },
            (_, Outcome::Ran | Outcome::Unknown) => Self::Unknown { reason },
        }
    }
}
