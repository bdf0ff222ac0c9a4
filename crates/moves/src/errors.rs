//! Error type and result codes of the moves crate.

use std::fmt;

use hemlockfall_core::errors::ResultCode;

/// Result type of the moves crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Code for an evidence message that exceeds a limit or is inconsistent.
pub const EVIDENCE_REFUSED: ResultCode = ResultCode(6101);
/// Code for a report that cannot be rendered.
pub const REPORT_FAILED: ResultCode = ResultCode(6102);

/// Error of the moves crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A message cannot be decoded or encoded.
    Codec(hemlockfall_core::errors::Error),
    /// An evidence message exceeds a limit or is inconsistent.
    EvidenceRefused(String),
    /// A report or plot cannot be rendered.
    ReportFailed(String),
}

impl Error {
    /// Creates the error for a refused evidence message.
    #[must_use]
    pub fn evidence_refused(reason: impl Into<String>) -> Self {
        Self::EvidenceRefused(reason.into())
    }

    /// Creates the error for a report that cannot be rendered.
    #[must_use]
    pub fn render_error(reason: &impl fmt::Display) -> Self {
        Self::ReportFailed(reason.to_string())
    }

    /// Returns the result code of the error.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Codec(error) => error.code(),
            Self::EvidenceRefused(_) => EVIDENCE_REFUSED,
            Self::ReportFailed(_) => REPORT_FAILED,
        }
    }
}

impl From<hemlockfall_core::errors::Error> for Error {
    fn from(error: hemlockfall_core::errors::Error) -> Self {
        Self::Codec(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Codec(error) => error.fmt(formatter),
            Self::EvidenceRefused(reason) => {
                write!(formatter, "{}: evidence refused: {reason}", self.code())
            }
            Self::ReportFailed(reason) => {
                write!(formatter, "{}: report failed: {reason}", self.code())
            }
        }
    }
}

impl std::error::Error for Error {}
