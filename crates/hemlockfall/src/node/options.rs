//! The settings section `node`.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use serde::Deserialize;

/// Settings section `node`.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeOptions {
    /// Unique name of the node.
    pub name: NodeName,
    /// Region of the VM.
    pub region: RegionName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// HTTP address for callers.
    pub caller_address: SocketAddr,
    /// TCP and UDP address for other nodes.
    pub peer_address: SocketAddr,
    /// JSON-RPC address for operators.
    pub operator_address: SocketAddr,
    /// HTTP address for the target on this VM, metrics and health.
    pub local_address: SocketAddr,
    /// Maximum time that a graceful shutdown waits for requests in flight, in milliseconds.
    pub stop_timeout_ms: u64,
}

impl NodeOptions {
    /// Returns the maximum time that a graceful shutdown waits for requests in flight.
    #[must_use]
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_timeout_ms)
    }
}
