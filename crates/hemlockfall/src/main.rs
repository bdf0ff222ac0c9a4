//! Binary of hemlockfall.

use std::process::ExitCode;

fn main() -> ExitCode {
    hemlockfall::cli::run()
}
