//! Faults of the target stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Body of `/control/fault`; it replaces the fault in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Share of requests that fail with status 500, in permille.
    pub fail_permille: u16,
    /// Exits the process halfway through an answer.
    pub dies_in_answer: bool,
    /// Additional service time, in milliseconds.
    pub slow_ms: u64,
    /// Limits the fault to paths with this prefix.
    pub path_prefix: Option<String>,
    /// Limits the fault to times when more than this number of requests run.
    pub above_running: Option<usize>,
    /// Delay from the change until the fault takes effect, in milliseconds.
    pub after_ms: u64,
}

impl FaultChange {
    /// Returns whether the fault affects a request.
    #[must_use]
    pub fn applies(&self, path: &str, running: usize, age_ms: u64) -> bool {
        let on_path = self
            .path_prefix
            .as_deref()
            .is_none_or(|prefix| path.starts_with(prefix));
        let loaded = self.above_running.is_none_or(|above| running > above);
        on_path && loaded && age_ms >= self.after_ms
    }
}
