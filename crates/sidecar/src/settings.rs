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

/// `SECTION` is the settings section of the program.
pub const SECTION: &str = "sidecar";

/// `SidecarSettings` is the settings section `sidecar`.
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
    /// Address for callers on this VM.
    pub caller_address: SocketAddr,
    /// Address for links of other nodes.
    pub peer_address: SocketAddr,
    /// Address that other nodes are told; unspecified when it is `peer_address`.
    advertised_address: SocketAddr,
    /// Address for readiness checks.
    pub ready_address: SocketAddr,
    /// Address for the heartbeats of the target.
    pub control_address: SocketAddr,
    /// Address of the metrics page.
    pub metrics_address: SocketAddr,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Control addresses of other nodes; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Time between the heartbeats of a target.
    heartbeat_s: f64,
    /// Time for a stop.
    grace_s: f64,
    /// Repeats allowed for each request.
    retry_ratio: f64,
    /// Window of the retry budget.
    retry_window_s: f64,
    /// Repeats allowed besides in one window, for all nodes together.
    retry_allowance: u32,
    /// Requests for a version under trial that all nodes together may send beyond its share.
    pub trial_allowance: u32,
    /// Whether the whole mesh starts for the first time.
    pub is_first_start: bool,
    /// Rate of the VM's link in Mbit/s; 0 when it is not known.
    link_mbps: f64,
    /// Lines about requests that are logged in a second.
    pub log_lines_per_s: u32,
}

impl SidecarSettings {
    /// `load` reads and checks a settings file.
    ///
    /// # Errors
    /// The errors of [`Settings::load_for`].
    pub fn load(path: &Path) -> Result<Self> {
        Settings::load_for(Program::Sidecar, path)?.section(SECTION)
    }

    /// `parse` checks the text of a settings file.
    ///
    /// # Errors
    /// The errors of [`Settings::parse_for`].
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        Settings::parse_for(Program::Sidecar, file, text)?.section(SECTION)
    }

    /// `advertised` is the address at which other nodes reach this one.
    #[must_use]
    pub fn advertised(&self) -> SocketAddr {
        if self.advertised_address.ip().is_unspecified() {
            return self.peer_address;
        }
        self.advertised_address
    }

    /// `heartbeat` is the time between the heartbeats of a target.
    #[must_use]
    pub fn heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_s)
    }

    /// `grace` is the time for a stop.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// `link_bytes_per_s` is the rate of the VM's link; 0 when it is not known.
    #[must_use]
    pub fn link_bytes_per_s(&self) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the setting is checked to lie between 0 and 1,000,000"
        )]
        let bytes_per_s = (self.link_mbps * 1e6 / 8.0) as u64;
        bytes_per_s
    }

    /// `budget` returns the limits on repeats.
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
