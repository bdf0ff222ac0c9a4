//! Settings of distribution.

use std::time::Duration;

use serde::Deserialize;

/// Settings of the section `distribution`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Number of members that a new revision is pushed to.
    pub push_count: u16,
    /// Interval at which a node advertises its newest revision to a member of its data centre.
    pub exchange_interval_ms: u32,
    /// Interval at which a relay advertises its newest revision to other relays.
    pub relay_interval_ms: u32,
    /// Maximum wait for witnesses before a revision is put in force.
    pub witness_timeout_ms: u32,
    /// Time for which a witness keeps the revision that a node reported.
    pub witness_memory_s: u32,
    /// Time without a message from the store's region after which another region reads the store.
    pub silent_region_ms: u32,
    /// Time for the answers to floor queries, first of the witnesses, then of all members.
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

/// Converts a number of milliseconds to a duration.
#[must_use]
pub fn millis(milliseconds: u32) -> Duration {
    Duration::from_millis(u64::from(milliseconds))
}
