//! Options of distribution.

use std::time::Duration;

use serde::Deserialize;

/// `Options` are the settings of the section `distribution`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Members that a new revision is pushed to.
    pub push_count: u16,
    /// Interval of the digest exchange within the data centre.
    pub exchange_interval_ms: u32,
    /// Interval of the digest exchange between relays.
    pub relay_interval_ms: u32,
    /// Longest wait for witnesses before a revision is put in force.
    pub witness_timeout_ms: u32,
    /// How long a witness remembers a revision.
    pub witness_memory_s: u32,
    /// Silence of the store's region after which a region reads the store.
    pub silent_region_ms: u32,
    /// Time for the answers of all reachable members to a floor query.
    pub floor_timeout_ms: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            push_count: 4,
            exchange_interval_ms: 1_000,
            relay_interval_ms: 2_000,
            witness_timeout_ms: 500,
            witness_memory_s: 1_800,
            silent_region_ms: 3_000,
            floor_timeout_ms: 2_000,
        }
    }
}

/// `millis` converts a number of milliseconds to a duration.
#[must_use]
pub fn millis(milliseconds: u32) -> Duration {
    Duration::from_millis(u64::from(milliseconds))
}
