//! Options of one target that the harness starts.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

/// Options with which a target stand-in is started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// Name.
    pub name: String,
    /// Node on the same VM; without one the target does not announce itself.
    pub node: Option<String>,
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Requests run at once.
    pub slots: u16,
    /// Time that a request takes, in milliseconds.
    pub service_time_ms: u64,
    /// Length of the cold start, in milliseconds.
    pub cold_ms: u64,
    /// Text in a request body that makes the process exit.
    pub crash_marker: Option<String>,
    /// Time by which reports lag, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether reports say "healthy, no load" regardless of the state.
    pub report_lies: bool,
    /// Address, chosen when the target is started.
    pub address: Option<SocketAddr>,
}

impl TargetSpec {
    /// Creates the options of a target, with the defaults of the stand-in.
    #[must_use]
    pub fn new(name: &str, node: Option<&str>, service: &str, version: &str) -> Self {
        Self {
            name: name.to_owned(),
            node: node.map(str::to_owned),
            service: service.to_owned(),
            version: version.to_owned(),
            slots: 12,
            service_time_ms: 5,
            cold_ms: 0,
            crash_marker: None,
            report_lag_ms: 0,
            report_lies: false,
            address: None,
        }
    }

    /// Returns the path of the file that records the target's runs.
    #[must_use]
    pub fn runs_file(&self, directory: &Path) -> PathBuf {
        directory.join(format!("{}.runs", self.name))
    }

    /// Returns the arguments of the `xtask` binary.
    #[must_use]
    pub fn arguments(&self, node: Option<SocketAddr>, directory: &Path) -> Vec<OsString> {
        let mut texts = vec![
            "target".to_owned(),
            format!("--name={}", self.name),
            format!("--service={}", self.service),
            format!("--version={}", self.version),
            format!("--slots={}", self.slots),
            format!("--service-time-ms={}", self.service_time_ms),
            format!("--cold-ms={}", self.cold_ms),
            format!("--report-lag-ms={}", self.report_lag_ms),
        ];
        texts.extend(self.address.map(|address| format!("--listen={address}")));
        texts.extend(node.map(|node| format!("--node={node}")));
        texts.extend(self.report_lies.then(|| "--report-lies".to_owned()));
        let marker = self.crash_marker.as_ref();
        texts.extend(marker.map(|marker| format!("--crash-marker={marker}")));
        let mut arguments: Vec<OsString> = texts.into_iter().map(OsString::from).collect();
        arguments.push("--runs-file".into());
        arguments.push(self.runs_file(directory).into());
        arguments
    }
}
