//! Settings of the sidecar program.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hemlockfall_core::errors::Result;
use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::settings::Settings;
use serde::Deserialize;

use crate::budget::BudgetLimits;
use crate::order::Order;

/// Name of the settings section.
pub const SECTION: &str = "sidecar";

/// Settings section `sidecar`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SidecarSettings {
    /// Name of the node.
    pub name: NodeName,
    /// Service whose target runs on this VM.
    pub service: ServiceName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Region of the VM.
    pub region: RegionName,
    /// HTTP address for callers on this VM.
    pub caller_address: SocketAddr,
    /// Address at which links of other nodes are accepted.
    pub peer_address: SocketAddr,
    /// Address published to other nodes; `peer_address` is published when it is unspecified.
    advertised_address: SocketAddr,
    /// HTTP address for readiness checks.
    pub ready_address: SocketAddr,
    /// HTTP address for the heartbeats of the target.
    pub control_address: SocketAddr,
    /// HTTP address of the metrics page.
    pub metrics_address: SocketAddr,
    /// HTTP address of the target.
    pub target_address: SocketAddr,
    /// HTTP address of the platform's store.
    pub store_address: SocketAddr,
    /// Control addresses of other nodes, which may be out of date; their links are opened at the
    /// same IP addresses.
    pub seeds: Vec<SocketAddr>,
    /// Time between heartbeats of a target, in seconds.
    heartbeat_s: f64,
    /// Time for a graceful shutdown, in seconds.
    grace_s: f64,
    /// Retries allowed per request of a service.
    retry_ratio: f64,
    /// Window of the retry budget, in seconds.
    retry_window_s: f64,
    /// Retries allowed per window beyond the ratio, for all nodes together.
    retry_allowance: u32,
    /// Canary requests that all nodes together may send beyond the canary's share.
    pub trial_allowance: u32,
    /// Whether this is the first start of the whole mesh.
    pub is_first_start: bool,
    /// Rate of the VM's uplink in Mbit/s; 0 when unknown.
    link_mbps: f64,
    /// Memory of the process, in MB; 0 when unknown.
    memory_mb: f64,
    /// Largest number of lines about requests that are logged per second.
    pub log_lines_per_s: u32,
    /// Time within which an evacuation must be in force, in seconds; 0 if there are no evacuations.
    evacuate_s: f64,
    /// Requests in one second at a cold target, relative to its cold rate, that must not be exceeded.
    pub cold_overshoot: f64,
    /// Requests in one second at a cold target that are allowed in addition.
    pub cold_allowance: u32,
    /// Window of the quotas of client accounts, in seconds; 0 if there are no quotas.
    quota_window_s: f64,
    /// Part of a quota by which the requests of a window may exceed it.
    pub quota_overshoot: f64,
    /// Requests of a window beyond a quota that are allowed in addition.
    pub quota_allowance: u32,
    /// Rule by which requests at the target are ordered and given up.
    pub order: Order,
}

impl SidecarSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The errors of [`Settings::load_for`].
    pub fn load(path: &Path) -> Result<Self> {
        Settings::load_for(Program::Sidecar, path)?.section(SECTION)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// The errors of [`Settings::parse_for`].
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        Settings::parse_for(Program::Sidecar, file, text)?.section(SECTION)
    }

    /// Returns the address at which other nodes reach this one.
    #[must_use]
    pub fn advertised(&self) -> SocketAddr {
        if self.advertised_address.ip().is_unspecified() {
            return self.peer_address;
        }
        self.advertised_address
    }

    /// Returns the time between heartbeats of a target.
    #[must_use]
    pub fn heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_s)
    }

    /// Returns the time for a graceful shutdown.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the rate of the VM's uplink; 0 when unknown.
    #[must_use]
    pub fn uplink_bytes_per_s(&self) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the setting is checked to lie between 0 and 1,000,000"
        )]
        let bytes_per_s = (self.link_mbps * 1e6 / 8.0) as u64;
        bytes_per_s
    }

    /// Returns the memory of the process, in bytes; 0 when unknown.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the setting is checked to lie between 0 and 1,000,000"
        )]
        let bytes = (self.memory_mb * 1024.0 * 1024.0) as usize;
        bytes
    }

    /// Returns whether the platform has evacuations of data centres.
    #[must_use]
    pub fn has_evacuations(&self) -> bool {
        self.evacuate_s > 0.0
    }

    /// Returns whether the platform bounds the requests that reach a cold target.
    #[must_use]
    pub fn has_cold_rates(&self) -> bool {
        self.cold_overshoot > 1.0 || self.cold_allowance > 0
    }

    /// Returns the number of requests that may reach a target with a cold rate in a second; at least 1.
    #[must_use]
    pub fn max_cold_requests(&self, per_s: f64) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the product is finite and not negative; a larger one is saturated"
        )]
        let max = (per_s * self.cold_overshoot + f64::from(self.cold_allowance)) as usize;
        max.max(1)
    }

    /// Returns the window of the quotas of client accounts; zero if there are no quotas.
    #[must_use]
    pub fn quota_window(&self) -> Duration {
        Duration::from_secs_f64(self.quota_window_s)
    }

    /// Returns the limits on retries.
    #[must_use]
    pub fn budget(&self) -> BudgetLimits {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the setting is checked to lie between 0 and 10"
        )]
        let ratio_permille = (self.retry_ratio * 1000.0) as u64;
        BudgetLimits {
            ratio_permille,
            allowance: self.retry_allowance.into(),
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }
}
