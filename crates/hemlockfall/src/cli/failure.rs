//! Failure of a command: its exit code and its message to the operator.

use std::io::Write;
use std::process::ExitCode;

use crate::operator::errors;
use crate::operator::errors::OperatorError;
use crate::operator::errors::Outcome;

pub(crate) type Result<T> = std::result::Result<T, Failure>;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNKNOWN: u8 = 3;
const EXIT_CONFLICT: u8 = 4;

#[derive(Debug)]
pub(crate) struct Failure {
    error: OperatorError,
}

impl Failure {
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::from(OperatorError::failed(errors::USAGE, message))
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        let is_usage = self.error.code == errors::USAGE;
        let code = match self.error.outcome {
            Outcome::Failed if is_usage => EXIT_USAGE,
            Outcome::Failed => EXIT_FAILED,
            Outcome::Unknown => EXIT_UNKNOWN,
            Outcome::Conflict => EXIT_CONFLICT,
        };
        ExitCode::from(code)
    }

    /// Prints the error with its result code and the next step on standard error. If standard error
    /// is closed, only the exit status tells of the failure.
    pub(crate) fn print(&self) {
        let text = format!("error {}\nnext: {}\n", self.error, self.error.next_step());
        let _ = std::io::stderr().write_all(text.as_bytes());
    }
}

impl From<OperatorError> for Failure {
    fn from(error: OperatorError) -> Self {
        Self { error }
    }
}

impl From<hemlockfall_core::errors::Error> for Failure {
    fn from(error: hemlockfall_core::errors::Error) -> Self {
        Self::from(OperatorError::from(error))
    }
}
