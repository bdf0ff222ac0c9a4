//! Error type of the development tasks.

use std::fmt;

/// Result type of the development tasks.
pub type Result<T> = std::result::Result<T, Error>;

/// Errors of stand-ins, harness and scenarios.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// An HTTP exchange failed before a complete answer arrived.
    Http {
        /// URL that was called.
        url: String,
        /// Reason given by the client.
        reason: String,
    },
    /// A file, socket or other resource cannot be used.
    Resource {
        /// Name of the resource.
        what: String,
        /// Reason given by the system.
        reason: String,
    },
    /// A process cannot be started, or ended in an unexpected way.
    Process {
        /// Name of the process.
        name: String,
        /// What happened.
        reason: String,
    },
    /// A wait timed out before the expected state was reached.
    NotReached {
        /// What was waited for.
        what: String,
        /// Bound of the wait, in milliseconds.
        bound_ms: u64,
        /// Last state seen.
        seen: String,
    },
    /// A scenario file does not follow the language.
    Scenario {
        /// File name.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What was expected there.
        expected: String,
    },
    /// An expectation of a scenario or the demo was not met.
    Unmet {
        /// What was expected, and what was measured.
        reason: String,
    },
}

impl Error {
    /// Creates an error for a failed HTTP exchange.
    pub fn http(url: impl Into<String>, reason: impl fmt::Display) -> Self {
        Self::Http {
            url: url.into(),
            reason: reason.to_string(),
        }
    }

    /// Creates an error for a resource that cannot be used.
    pub fn resource(what: impl Into<String>, reason: impl fmt::Display) -> Self {
        Self::Resource {
            what: what.into(),
            reason: reason.to_string(),
        }
    }

    /// Creates an error for a process that cannot be started or ended unexpectedly.
    pub fn process(name: impl Into<String>, reason: impl fmt::Display) -> Self {
        Self::Process {
            name: name.into(),
            reason: reason.to_string(),
        }
    }

    /// Creates an error for an expectation that was not met.
    pub fn unmet(reason: impl Into<String>) -> Self {
        Self::Unmet {
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http { url, reason } => write!(formatter, "{url}: {reason}"),
            Self::Resource { what, reason } => write!(formatter, "{what}: {reason}"),
            Self::Process { name, reason } => write!(formatter, "process {name}: {reason}"),
            Self::NotReached {
                what,
                bound_ms,
                seen,
            } => write!(
                formatter,
                "{what}: not within {bound_ms} ms, last seen: {seen}"
            ),
            Self::Scenario {
                file,
                line,
                expected,
            } => write!(formatter, "{file}:{line}: expected {expected}"),
            Self::Unmet { reason } => write!(formatter, "expectation not met: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
