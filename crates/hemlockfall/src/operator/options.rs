//! Options of the operator interface; they are the settings section `operator`.

use std::time::Duration;

use serde::Deserialize;

/// `Options` bounds the operator interface of a node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Options {
    /// Time for one call, in milliseconds.
    pub call_timeout_ms: u64,
    /// Requests that wait for the worker.
    pub queue_length: usize,
    /// Connections of operators at once.
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
    /// `call_timeout` returns the time for one call.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.call_timeout_ms)
    }
}
