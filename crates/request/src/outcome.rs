//! Outcomes of attempts and answers, and the reasons of answers that hemlockfall generates.

use std::fmt;

use hemlockfall_core::errors::ResultCode;
use serde::Deserialize;
use serde::Serialize;

/// `Result` is the result type of this crate: a failure is always a reason for the caller.
pub type Result<T> = std::result::Result<T, Reason>;

/// `Outcome` tells what is known about the run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran.
    Ran,
    /// It has not run and never will.
    NotRun,
    /// It may have run, or may still run.
    Unknown,
}

impl Outcome {
    /// `header` returns the value of the header `hemlockfall-outcome`.
    #[must_use]
    pub fn header(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// `Reason` tells why hemlockfall generated an answer, or why an attempt was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The catalogue has no such service.
    NoService,
    /// The service has no route for the path.
    NoRoute,
    /// The idempotency key is empty or too long.
    BadKey,
    /// No target of the version can be sent a request.
    NoTarget,
    /// The target is leaving.
    Draining,
    /// Slots and queue of the target are full.
    QueueFull,
    /// The deadline passed, or would pass before the request starts.
    DeadlinePassed,
    /// Requests with this content made targets vanish.
    FingerprintRefused,
    /// The attempt could not be put on a link.
    NotSent,
    /// The attempt was fenced before it started.
    Fenced,
    /// The attempt was meant for an earlier life of the node.
    EarlierLife,
    /// The target shed the request before running it.
    TargetShed,
    /// The caller closed its connection or cancelled.
    Cancelled,
    /// Too few key nodes acknowledged a key that nobody can have used before.
    NoWitness,
    /// The answer arrived incomplete or with a wrong digest.
    IncompleteAnswer,
    /// The link to the target's node was lost with the attempt in flight.
    LinkLost,
    /// The target vanished while it ran the request.
    TargetLost,
    /// The time was up before the answer arrived.
    TimedOut,
    /// The key is known and its result is not.
    KeyPending,
    /// The key's nodes cannot tell whether the key was used before.
    KeyCannotKnow,
    /// The request ran earlier under its key; its answer is not kept.
    KeyAnswerNotKept,
    /// The attempt is too old to tell whether it was seen before.
    StaleAttempt,
}

impl Reason {
    /// `ALL` lists every reason.
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

    /// `code` returns the result code.
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

    /// `outcome` returns what the reason says about the run of an attempt.
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

    /// `http_status` returns the status of the generated answer.
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

    /// `retry_after_ms` returns when a resend is worthwhile, unless a better figure is known.
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

/// `AttemptResult` is the end of one attempt as its entry node learns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// A complete answer arrived.
    Answered {
        /// The answer's status tells a failure of the target (5xx).
        is_failure: bool,
    },
    /// The attempt surely has not run and never will.
    NotRun {
        /// Why.
        reason: Reason,
        /// When a resend is worthwhile.
        retry_after_ms: Option<u32>,
    },
    /// The attempt may have run.
    Unknown {
        /// Why its outcome is not known.
        reason: Reason,
    },
    /// Nothing ran now, since the key is known or cannot be vouched for.
    KeyRefused {
        /// What the key's nodes know.
        reason: Reason,
    },
}

impl AttemptResult {
    /// `refused` makes the result that fits a reason.
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
