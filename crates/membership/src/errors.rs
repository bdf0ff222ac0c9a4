//! Result codes and the error type of membership.

use std::fmt;

use hemlockfall_core::errors::Error as CoreError;
use hemlockfall_core::errors::ResultCode;

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// A membership message cannot be encoded or decoded.
pub const MESSAGE_REFUSED: ResultCode = ResultCode(5201);
/// Two nodes use the same name.
pub const NAME_CONFLICT: ResultCode = ResultCode(5202);

/// Failures of this crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A message cannot be encoded or decoded.
    Message(CoreError),
}

impl Error {
    /// Wraps an error of the codec.
    #[must_use]
    pub fn message(error: CoreError) -> Self {
        Self::Message(error)
    }

    /// Returns the result code of the error.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Message(_) => MESSAGE_REFUSED,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Message(error) => write!(formatter, "{}: {error}", self.code()),
        }
    }
}

impl std::error::Error for Error {}
