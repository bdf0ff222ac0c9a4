//! Faults of the target stand-in.

use serde::Deserialize;
use serde::Serialize;

/// `FaultChange` is the body of `/control/fault`; it replaces the fault in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Requests that fail with status 500, in permille.
    pub fail_permille: u16,
    /// Ends the process halfway through an answer.
    pub dies_in_answer: bool,
    /// Additional service time, in milliseconds.
    pub slow_ms: u64,
    /// Only on paths with this prefix.
    pub path_prefix: Option<String>,
    /// Only while more than this number of requests run.
    pub above_running: Option<usize>,
    /// Only from this time after the change on, in milliseconds.
    pub after_ms: u64,
}

impl FaultChange {
    /// Returns whether the fault shows on a request.
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
