//! Options of the moves family, read from the settings section `moves`.

use serde::Deserialize;

/// `Options` are the settings of the moves family.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Options {
    /// Weight of good versions that complete in time.
    pub weight_on_time: f64,
    /// Weight of bad versions that are taken back.
    pub weight_taken_back: f64,
    /// Attempts in the window from which the local guard decides.
    pub guard_min_attempts: u32,
    /// Time from a cut to the first trial request, in milliseconds.
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
    /// `caution` is the weight of taken-back versions relative to versions on time.
    #[must_use]
    pub fn caution(&self) -> f64 {
        self.weight_taken_back / self.weight_on_time.max(f64::MIN_POSITIVE)
    }
}
