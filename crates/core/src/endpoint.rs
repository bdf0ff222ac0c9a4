//! Endpoint records, in which a node announces itself and its target.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreName;
use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ids::RegionName;
use crate::ids::Revision;
use crate::ids::ServiceName;
use crate::ids::VersionName;

/// State of a node and its target, in the order of their life cycle; within an incarnation a later
/// state overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// The node runs; its target has not announced itself yet.
    Starting,
    /// The target accepts requests.
    Ready,
    /// The target drains: it finishes its running requests and accepts no new ones.
    Leaving,
    /// The node shut down gracefully.
    Left,
    /// Peers found the node or its target unreachable.
    Failed,
}

/// Description of the target beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Service that the target runs.
    pub service: ServiceName,
    /// Version that the target runs.
    pub version: VersionName,
    /// Requests that the target runs concurrently.
    pub slots: u16,
    /// Time at which the target announced itself, in unix milliseconds; its cold-start phase begins
    /// then.
    pub ready_unix_ms: u64,
}

/// Announcement of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Address of its peer port (TCP links and UDP control).
    pub peer_address: SocketAddr,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Sequence number of the announcement within the incarnation; the higher one is newer.
    pub sequence: u32,
    /// State of the node and its target.
    pub state: EndpointState,
    /// Target beside the node; `None` until it has announced itself.
    pub target: Option<TargetInfo>,
    /// Revision in force on the node when the record was made.
    pub revision: Revision,
}

impl EndpointRecord {
    /// Returns whether this record replaces `other` for the same node: the higher incarnation wins,
    /// then a departure (`Left`, `Failed`), then draining (`Leaving`), then the higher sequence,
    /// then the later state. The order is total, so merging is independent of the order of arrival.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns whether new requests may be sent to the target.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.state == EndpointState::Ready && self.target.is_some()
    }

    fn precedence(&self) -> (Incarnation, bool, bool, u32, EndpointState) {
        let departed = self.state >= EndpointState::Left;
        let draining = self.state >= EndpointState::Leaving;
        (
            self.incarnation,
            departed,
            draining,
            self.sequence,
            self.state,
        )
    }
}
