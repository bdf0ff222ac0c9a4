//! Result codes and the error type of the store client.

use std::fmt;
use std::time::Duration;

use hemlockfall_core::errors::ResultCode;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;

/// Result type of the store crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Code for a request that did not reach the store, or a read without a response.
pub const STORE_UNREACHABLE: ResultCode = ResultCode(4001);
/// Code for a response of the store or a stored object that cannot be decoded.
pub const STORE_MALFORMED: ResultCode = ResultCode(4002);
/// Code for an object key with characters that are not allowed.
pub const STORE_KEY_INVALID: ResultCode = ResultCode(4400);
/// Code for a write whose object does not have the expected version.
pub const STORE_CONFLICT: ResultCode = ResultCode(4412);
/// Code for a value above the store's limit of 1 MB.
pub const STORE_TOO_LARGE: ResultCode = ResultCode(4413);
/// Code for a lease that another holder has.
pub const STORE_LEASE_HELD: ResultCode = ResultCode(4423);
/// Code for a lease that passed to another holder.
pub const STORE_LEASE_LOST: ResultCode = ResultCode(4424);
/// Code for a request that the store refused because of the request rate.
pub const STORE_THROTTLED: ResultCode = ResultCode(4429);
/// Code for a request that the store refused because it is unavailable.
pub const STORE_UNAVAILABLE: ResultCode = ResultCode(4503);
/// Code for a write of which it is unknown whether it took effect.
pub const STORE_OUTCOME_UNKNOWN: ResultCode = ResultCode(4504);

/// Effect of a failed write on the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The write did not take effect and never will.
    None,
    /// The write did not take effect because another writer changed the object first.
    Conflict,
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// Catalogue write whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingCommit {
    /// Identifies the write.
    pub operation_id: OperationId,
    /// Object version that the write was conditional on.
    pub base_version: u64,
    /// Catalogue revision that the write was based on.
    pub base_revision: Revision,
}

/// Error of the store client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The request did not reach the store, or a read got no answer.
    Unreachable {
        /// Reason given by the HTTP client.
        reason: String,
    },
    /// The store's response or a stored object cannot be decoded.
    Malformed {
        /// What was expected and what was found.
        reason: String,
    },
    /// An object key holds characters that are not allowed.
    KeyInvalid {
        /// The key.
        key: String,
    },
    /// The object's version is not the expected one.
    Conflict {
        /// Key of the object.
        key: String,
        /// Current version, if the store returned it.
        current_version: Option<u64>,
    },
    /// A value exceeds the store's limit.
    TooLarge {
        /// Key of the object.
        key: String,
        /// Size of the value, in bytes.
        size_bytes: usize,
    },
    /// Another holder has the lease.
    LeaseHeld {
        /// The holder.
        holder: String,
        /// When the lease expires, in unix milliseconds.
        expires_unix_ms: u64,
    },
    /// The lease passed to another holder or was released.
    LeaseLost {
        /// Key of the lease.
        key: String,
    },
    /// The store refused the request because of the request rate.
    Throttled {
        /// Wait that the store asks for.
        retry_after: Option<Duration>,
    },
    /// The store refused the request because it is unavailable.
    Unavailable {
        /// Wait that the store asks for.
        retry_after: Option<Duration>,
    },
    /// The response to a write was lost, so its outcome is unknown.
    OutcomeUnknown {
        /// Reason given by the HTTP client.
        reason: String,
    },
    /// The response to a catalogue write was lost, and its outcome could not be read back in time.
    CommitUnknown {
        /// The write, for [`crate::catalogue::settle`].
        pending: PendingCommit,
        /// Last failure.
        reason: String,
    },
    /// The catalogue refuses the edit.
    Refused(hemlockfall_core::errors::Error),
}

impl Error {
    /// Creates the error for a request without a response and without an effect.
    #[must_use]
    pub fn unreachable(reason: impl Into<String>) -> Self {
        Self::Unreachable {
            reason: reason.into(),
        }
    }

    /// Creates the error for a response or object that cannot be decoded.
    #[must_use]
    pub fn malformed(reason: impl Into<String>) -> Self {
        Self::Malformed {
            reason: reason.into(),
        }
    }

    /// Creates the error for a write whose response was lost.
    #[must_use]
    pub fn outcome_unknown(reason: impl Into<String>) -> Self {
        Self::OutcomeUnknown {
            reason: reason.into(),
        }
    }

    /// Returns the result code of the error.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreachable { .. } => STORE_UNREACHABLE,
            Self::Malformed { .. } => STORE_MALFORMED,
            Self::KeyInvalid { .. } => STORE_KEY_INVALID,
            Self::Conflict { .. } => STORE_CONFLICT,
            Self::TooLarge { .. } => STORE_TOO_LARGE,
            Self::LeaseHeld { .. } => STORE_LEASE_HELD,
            Self::LeaseLost { .. } => STORE_LEASE_LOST,
            Self::Throttled { .. } => STORE_THROTTLED,
            Self::Unavailable { .. } => STORE_UNAVAILABLE,
            Self::OutcomeUnknown { .. } | Self::CommitUnknown { .. } => STORE_OUTCOME_UNKNOWN,
            Self::Refused(error) => error.code(),
        }
    }

    /// Returns the effect of the failed write on the store.
    #[must_use]
    pub fn effect(&self) -> Effect {
        match self {
            Self::OutcomeUnknown { .. } | Self::CommitUnknown { .. } => Effect::Unknown,
            Self::Conflict { .. }
            | Self::LeaseHeld { .. }
            | Self::LeaseLost { .. }
            | Self::Refused(hemlockfall_core::errors::Error::Conflict { .. }) => Effect::Conflict,
            Self::Unreachable { .. }
            | Self::Malformed { .. }
            | Self::KeyInvalid { .. }
            | Self::TooLarge { .. }
            | Self::Throttled { .. }
            | Self::Unavailable { .. }
            | Self::Refused(_) => Effect::None,
        }
    }

    /// Returns whether the same request may succeed when it is retried unchanged.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Throttled { .. } | Self::Unavailable { .. }
        )
    }

    /// Returns the wait that the store asks for.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Throttled { retry_after } | Self::Unavailable { retry_after } => *retry_after,
            _ => None,
        }
    }
}

impl From<hemlockfall_core::errors::Error> for Error {
    fn from(error: hemlockfall_core::errors::Error) -> Self {
        Self::Refused(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Self::Refused(error) = self {
            return write!(formatter, "{error}");
        }
        write!(formatter, "{}: ", self.code())?;
        match self {
            Self::Unreachable { reason } => write!(formatter, "the store did not answer: {reason}"),
            Self::Malformed { reason } => {
                write!(formatter, "unexpected data from the store: {reason}")
            }
            Self::KeyInvalid { key } => write!(formatter, "invalid object key `{key}`"),
            Self::Conflict {
                key,
                current_version: Some(version),
            } => {
                write!(
                    formatter,
                    "object `{key}` changed, its version is now {version}"
                )
            }
            Self::Conflict {
                key,
                current_version: None,
            } => {
                write!(formatter, "object `{key}` changed")
            }
            Self::TooLarge { key, size_bytes } => {
                write!(
                    formatter,
                    "object `{key}` would take {size_bytes} bytes, above the store's limit"
                )
            }
            Self::LeaseHeld {
                holder,
                expires_unix_ms,
            } => {
                write!(
                    formatter,
                    "the lease is held by `{holder}` until {expires_unix_ms} (unix ms)"
                )
            }
            Self::LeaseLost { key } => write!(formatter, "lease `{key}` passed to another holder"),
            Self::Throttled { .. } => {
                formatter.write_str("the store refuses requests at this rate")
            }
            Self::Unavailable { .. } => formatter.write_str("the store is down"),
            Self::OutcomeUnknown { reason } => {
                write!(formatter, "the response to a write was lost: {reason}")
            }
            Self::CommitUnknown { pending, reason } => write!(
                formatter,
                "it is unknown whether operation {} took effect: {reason}",
                pending.operation_id
            ),
            Self::Refused(error) => write!(formatter, "{error}"),
        }
    }
}

impl std::error::Error for Error {}
