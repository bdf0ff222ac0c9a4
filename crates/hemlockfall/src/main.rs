//! The hemlockfall binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    hemlockfall::cli::run()
}
