//! Endpoint records: what a node announces about itself and its target.

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

/// `EndpointState` is the life stage of a node and its target; later stages override earlier
/// ones at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// The node runs, its target has not announced itself.
    Starting,
    /// The target takes requests.
    Ready,
    /// The target finishes what it runs and takes nothing new.
    Leaving,
    /// The node stopped as planned.
    Left,
    /// Peers found the node or its target unreachable.
    Failed,
}

/// `TargetInfo` describes the target beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Service that the target runs.
    pub service: ServiceName,
    /// Version that the target runs.
    pub version: VersionName,
    /// Requests that the target runs at once.
    pub slots: u16,
    /// When the target announced itself, in unix milliseconds (start of its cold start).
    pub ready_unix_ms: u64,
}

/// `EndpointRecord` is the announcement of one node.
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
    /// Life of the node.
    pub incarnation: Incarnation,
    /// Counts the announcements of one life; the higher one is newer.
    pub sequence: u32,
    /// Life stage.
    pub state: EndpointState,
    /// The target, when one has announced itself.
    pub target: Option<TargetInfo>,
    /// Revision in force on the node when the record was made.
    pub revision: Revision,
}

impl EndpointRecord {
    /// `overrides` tells whether this record replaces `other` for the same node: the higher
    /// incarnation wins, then a departure (`Left`, `Failed`) of that life, then the higher
    /// sequence, then the later state. The order is total, so merging is independent of
    /// the order of arrival.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// `accepts_requests` tells whether the target may be sent new requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.state == EndpointState::Ready && self.target.is_some()
    }

    fn precedence(&self) -> (Incarnation, bool, bool, u32, EndpointState) {
        let departed = self.state >= EndpointState::Left;
        let leaving = self.state >= EndpointState::Leaving;
        (
            self.incarnation,
            departed,
            leaving,
            self.sequence,
            self.state,
        )
    }
}
