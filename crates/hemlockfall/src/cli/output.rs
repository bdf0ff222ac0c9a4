//! Standard output and output files.

use std::io::ErrorKind;
use std::io::Write;
use std::path::Path;

use serde::Serialize;

use crate::cli::failure::Failure;
use crate::cli::failure::Result;
use crate::operator::errors;
use crate::operator::errors::OperatorError;

fn failed(target: &str, reason: &impl ToString) -> Failure {
    let message = format!("{target}: {}", reason.to_string());
    Failure::from(OperatorError::failed(errors::OUTPUT_FAILED, message))
}

/// Prints text on standard output. A reader that closes the pipe early, such as `head`, is not a
/// failure.
pub(crate) fn print(text: &str) -> Result<()> {
    let mut output = std::io::stdout().lock();
    let written = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    match written {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(failed("standard output", &error))
        }
        _ => Ok(()),
    }
}

pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<()> {
    let text =
        serde_json::to_string_pretty(value).map_err(|error| failed("standard output", &error))?;
    print(&format!("{text}\n"))
}

pub(crate) fn write_file(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).map_err(|error| failed(&path.display().to_string(), &error))
}
