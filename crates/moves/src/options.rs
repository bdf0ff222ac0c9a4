//! Options of moves (rollouts), read from the settings section `moves`.

use serde::Deserialize;

/// Settings of moves.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Options {
    /// Weight of completing a good version in time.
    pub weight_on_time: f64,
    /// Weight of rolling back a bad version.
    pub weight_taken_back: f64,
    /// Minimum number of attempts in the window for a decision of the local guard.
    pub guard_min_attempts: u32,
    /// Time from a cut to the first probe request, in milliseconds.
    pub guard_cut_ms: u64,
    /// Validity of a lease after its last renewal, in milliseconds.
    pub lease_duration_ms: u64,
    /// Time between renewals of a lease, in milliseconds.
    pub lease_renew_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            weight_on_time: 1.0,
            weight_taken_back: 1.0,
            guard_min_attempts: 8,
            guard_cut_ms: 5_000,
            lease_duration_ms: 6_000,
            lease_renew_ms: 2_000,
        }
    }
}

impl Options {
    /// Returns the weight of rolling back bad versions relative to finishing good ones in time.
    #[must_use]
    pub fn caution(&self) -> f64 {
        self.weight_taken_back / self.weight_on_time.max(f64::MIN_POSITIVE)
    }
}
