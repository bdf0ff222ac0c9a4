//! Severity of log lines requested by code that does no logging itself.

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Normal operation.
    Info,
    /// Unexpected condition that was handled.
    Warn,
    /// Condition that needs an operator's attention.
    Error,
}
