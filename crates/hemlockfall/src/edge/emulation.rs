//! Emulation of network distance on one machine, for measurements. What a node sends to other data
//! centres and regions is delayed at its own sockets, and paced towards other regions.
//!
//! Opening a TCP connection and the keep-alive of links are not delayed.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::kernel::Plugin;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::kernel::SettingKind;
use hemlockfall_core::kernel::SettingSpec;
use serde::Deserialize;

/// Options of the emulation: the settings section `emulation`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EmulationOptions {
    /// Whether anything is delayed.
    pub enabled: bool,
    /// One-way delay to other data centres of the region, in microseconds.
    pub data_centre_delay_us: u64,
    /// One-way delay to other regions, in microseconds.
    pub region_delay_us: u64,
    /// Rate towards other regions, in kbit per second; 0 for no limit.
    pub region_kbit_per_s: u64,
    /// Peer addresses of the own data centre.
    pub data_centre_peers: Vec<SocketAddr>,
    /// Peer addresses of the other data centres of the region; all others are in other regions.
    pub region_peers: Vec<SocketAddr>,
    /// Whether the node watches the store itself and exchanges nothing with other nodes.
    pub baseline: bool,
}

/// Delay and pacing of what one socket sends.
#[derive(Clone, Debug)]
pub struct Emulation {
    options: EmulationOptions,
    /// Time at which everything sent to other regions so far has left, at the limited rate.
    region_link_free_at: Option<Instant>,
}

impl Emulation {
    /// Creates the emulation of one socket; `None` if it is disabled.
    #[must_use]
    pub fn new(options: &EmulationOptions) -> Option<Self> {
        if !options.enabled {
            return None;
        }
        let mut options = options.clone();
        options.data_centre_peers.sort_unstable();
        options.region_peers.sort_unstable();
        Some(Self {
            options,
            region_link_free_at: None,
        })
    }

    /// Returns the time until content sent now is to reach the peer's socket.
    pub fn delay(&mut self, to: SocketAddr, length_bytes: usize, now: Instant) -> Duration {
        if self.options.data_centre_peers.binary_search(&to).is_ok() {
            return Duration::ZERO;
        }
        if self.options.region_peers.binary_search(&to).is_ok() {
            return Duration::from_micros(self.options.data_centre_delay_us);
        }
        let starts = self.region_link_free_at.map_or(now, |free| free.max(now));
        let bits = u64::try_from(length_bytes)
            .unwrap_or(u64::MAX)
            .saturating_mul(8);
        let sending_us = bits
            .saturating_mul(1_000)
            .checked_div(self.options.region_kbit_per_s)
            .unwrap_or(0);
        let sent = starts + Duration::from_micros(sending_us);
        self.region_link_free_at = Some(sent);
        sent - now + Duration::from_micros(self.options.region_delay_us)
    }
}

inventory::submit! {
    Plugin {
        family: "emulation",
        section: "emulation",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "enabled",
                kind: SettingKind::Boolean,
                default: Some("false"),
                help: "for tests only: delay what is sent to other data centres and regions",
            },
            SettingSpec {
                key: "data_centre_delay_us",
                kind: SettingKind::Integer { min: 0, max: 1_000_000 },
                default: Some("0"),
                help: "for tests only: one-way delay to other data centres of the region",
            },
            SettingSpec {
                key: "region_delay_us",
                kind: SettingKind::Integer { min: 0, max: 1_000_000 },
                default: Some("0"),
                help: "for tests only: one-way delay to other regions",
            },
            SettingSpec {
                key: "region_kbit_per_s",
                kind: SettingKind::Integer { min: 0, max: 10_000_000 },
                default: Some("0"),
                help: "for tests only: rate towards other regions per socket; 0 for no limit",
            },
            SettingSpec {
                key: "data_centre_peers",
                kind: SettingKind::AddressList,
                default: Some("[]"),
                help: "for tests only: peer addresses of the own data centre",
            },
            SettingSpec {
                key: "region_peers",
                kind: SettingKind::AddressList,
                default: Some("[]"),
                help: "for tests only: peer addresses of the region's other data centres",
            },
            SettingSpec {
                key: "baseline",
                kind: SettingKind::Boolean,
                default: Some("false"),
                help: "for tests only: watch the store instead of exchanging with other nodes",
            },
        ],
        codes: &[],
        metrics: &[],
    }
}
