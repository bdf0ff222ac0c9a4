//! Options of membership.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

/// `Options` are the settings of the section `membership`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Addresses to join through when the store has none.
    pub contacts: Vec<SocketAddr>,
    /// Region that the store is in.
    pub store_region: SmolStr,
    /// Interval between probes.
    pub probe_interval_ms: u32,
    /// Wait for the answer to a direct probe before others are asked to probe.
    pub probe_timeout_ms: u32,
    /// Time from suspicion to failure.
    pub suspicion_ms: u32,
    /// Interval of the table comparison.
    pub compare_interval_ms: u32,
    /// How long departed addresses are probed.
    pub departed_s: u32,
    /// Joins admitted per second.
    pub joins_per_s: u32,
    /// Shortest time between two writes of the contact object.
    pub contacts_interval_s: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            contacts: Vec::new(),
            store_region: "default".into(),
            probe_interval_ms: 1_000,
            probe_timeout_ms: 300,
            suspicion_ms: 2_000,
            compare_interval_ms: 5_000,
            departed_s: 600,
            joins_per_s: 50,
            contacts_interval_s: 30,
        }
    }
}

/// `millis` converts a number of milliseconds to a duration.
#[must_use]
pub fn millis(milliseconds: u32) -> Duration {
    Duration::from_millis(u64::from(milliseconds))
}

/// `seconds` converts a number of seconds to a duration.
#[must_use]
pub fn seconds(seconds: u32) -> Duration {
    Duration::from_secs(u64::from(seconds))
}
