//! Result codes and the error type of distribution.

use std::fmt;

use hemlockfall_core::errors::Error as CoreError;
use hemlockfall_core::errors::ResultCode;
use hemlockfall_core::ids::Revision;

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// A delta was made for another base.
pub const DELTA_BASE_MISMATCH: ResultCode = ResultCode(5101);
/// Content and digest of a revision do not match.
pub const DIGEST_MISMATCH: ResultCode = ResultCode(5102);
/// A snapshot or delta breaks a rule of the catalogue.
pub const SNAPSHOT_INVALID: ResultCode = ResultCode(5103);

/// Reason for which content is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A delta was made for another base.
    BaseMismatch {
        /// Base of the delta.
        base: Revision,
        /// Revision that the delta was to be applied to.
        held: Revision,
    },
    /// Content and digest do not match.
    DigestMismatch {
        /// Revision of the content.
        revision: Revision,
    },
    /// The content breaks a rule of the catalogue or cannot be decoded.
    Invalid(CoreError),
}

impl Error {
    /// Wraps an error of the core crate.
    #[must_use]
    pub fn invalid(error: CoreError) -> Self {
        Self::Invalid(error)
    }

    /// Returns the result code of the error.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::BaseMismatch { .. } => DELTA_BASE_MISMATCH,
            Self::DigestMismatch { .. } => DIGEST_MISMATCH,
            Self::Invalid(_) => SNAPSHOT_INVALID,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.code())?;
        match self {
            Self::BaseMismatch { base, held } => {
                write!(
                    formatter,
                    "delta for base revision {base} does not apply to revision {held}"
                )
            }
            Self::DigestMismatch { revision } => {
                write!(
                    formatter,
                    "content of revision {revision} does not match its digest"
                )
            }
            Self::Invalid(error) => write!(formatter, "{error}"),
        }
    }
}

impl std::error::Error for Error {}
