//! Options of the operator interface: the settings section `operator`.

use std::time::Duration;

use serde::Deserialize;

/// Limits of the operator interface of a node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Options {
    /// Time limit for one call, in milliseconds.
    pub call_timeout_ms: u64,
    /// Largest number of requests queued for the worker.
    pub queue_length: usize,
    /// Largest number of open connections of operators.
    pub max_connections: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            call_timeout_ms: 10_000,
            queue_length: 16,
            max_connections: 16,
        }
    }
}

impl Options {
    /// Returns the time limit for one call.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }
}
