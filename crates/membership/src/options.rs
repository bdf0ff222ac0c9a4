//! Settings of membership.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

/// Settings of the section `membership`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Addresses to join through, besides those in the contact objects of the store.
    pub contacts: Vec<SocketAddr>,
    /// Region of the store; some of its nodes watch the catalogue.
    pub store_region: SmolStr,
    /// Interval between probes.
    pub probe_interval_ms: u32,
    /// Wait for the answer to a direct probe before other members are asked to probe.
    pub probe_timeout_ms: u32,
    /// Time in which a suspected member must answer before it is marked failed.
    pub suspicion_ms: u32,
    /// Interval between table comparisons with a peer.
    pub compare_interval_ms: u32,
    /// How long departed records stay in the table, and their addresses are probed.
    pub departed_s: u32,
    /// Joins admitted per second by a node.
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

/// Converts a number of milliseconds to a duration.
#[must_use]
pub fn millis(milliseconds: u32) -> Duration {
    Duration::from_millis(u64::from(milliseconds))
}

/// Converts a number of seconds to a duration.
#[must_use]
pub fn seconds(seconds: u32) -> Duration {
    Duration::from_secs(u64::from(seconds))
}
