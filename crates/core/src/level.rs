//! Severity of the log lines that decision code asks for.

/// `Level` is the severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Normal operation.
    Info,
    /// Unexpected, handled.
    Warn,
    /// Needs an operator.
    Error,
}
