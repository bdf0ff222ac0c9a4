//! The seam to a platform: names on the request path, heartbeats of targets and the store.
//!
//! An adapter decodes what the platform sends into the types of this crate; nothing else knows
//! the platform's names.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http::HttpRequest;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::model::Heartbeat;
use crate::model::InstanceId;
use crate::model::MeshConfig;
use crate::model::ObjectRevision;
use crate::model::Rollout;
use crate::model::RolloutState;
use crate::model::TargetKey;

/// `HeaderNames` are the names of the headers on the request path.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of the request.
    pub request_id: &'static str,
    /// Time that the sender waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// Proof that a target made the answer.
    pub signature: &'static str,
    /// Id of the only target that may run the request.
    pub expected_instance: &'static str,
    /// Marks an answer to a request that the target did not run.
    pub not_run: &'static str,
    /// Service on whose VM the request began.
    pub caller_service: &'static str,
}

/// `ControlCall` is a call of the target beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// The target says that it lives.
    Heartbeat(Box<Heartbeat>),
    /// The target says that it has gone.
    Deregister {
        /// Id of the target.
        instance: InstanceId,
        /// Start of its life, if it says so.
        started_unix_ms: Option<u64>,
    },
    /// The call cannot be read.
    Unreadable {
        /// What is wrong.
        reason: String,
    },
    /// The call is none of a target.
    Unknown,
}

/// `StoreKind` is a kind of objects that nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKind {
    /// The configuration.
    Config,
    /// Orders for roll-outs.
    Rollouts,
    /// Entries of nodes.
    Nodes,
}

/// `NodeEntry` is a node's object in the store; other nodes find it there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Name of the node.
    pub node: NodeName,
    /// Address for links.
    pub peer_address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Region.
    pub region: RegionName,
    /// Start of the process, in unix milliseconds.
    pub incarnation: Incarnation,
    /// Targets that have left this node.
    #[serde(rename = "left")]
    pub deregistered: Vec<TargetKey>,
}

/// `StoreCall` is one call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Lists the objects of a kind.
    List {
        /// Kind.
        kind: StoreKind,
        /// Name of the last object of the page before.
        after: Option<SmolStr>,
        /// Whether an answer that is some seconds old will do.
        may_be_stale: bool,
    },
    /// Waits for changes of a kind.
    Watch {
        /// Kind.
        kind: StoreKind,
        /// Revision after which changes are reported.
        revision: ObjectRevision,
        /// Longest wait.
        wait: Duration,
    },
    /// Creates the entry of a node.
    CreateNode(NodeEntry),
    /// Replaces the entry of a node, unless it changed since a revision.
    ReplaceNode {
        /// New entry.
        entry: NodeEntry,
        /// Revision that it replaces.
        revision: ObjectRevision,
    },
    /// Removes the entry of a node.
    RemoveNode(NodeName),
    /// Writes how far a roll-out has come, unless its object changed since.
    SetRolloutState {
        /// The roll-out with the revision that the decision is based on.
        rollout: Rollout,
        /// State to write.
        state: RolloutState,
    },
}

impl StoreCall {
    /// `name` is the call as metrics and logs call it.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::List {
                kind: StoreKind::Nodes,
                may_be_stale: true,
                ..
            } => "list_nodes_stale",
            Self::List {
                kind: StoreKind::Nodes,
                ..
            } => "list_nodes",
            Self::List { .. } => "list",
            Self::Watch { .. } => "watch",
            Self::CreateNode(_) => "create_node",
            Self::ReplaceNode { .. } => "replace_node",
            Self::RemoveNode(_) => "remove_node",
            Self::SetRolloutState { .. } => "set_rollout_state",
        }
    }
}

/// `StoreObject` is one object of a followed kind.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreObject {
    /// The configuration.
    Config(Box<MeshConfig>),
    /// An order for a roll-out.
    Rollout(Rollout),
    /// The entry of a node.
    Node {
        /// The entry.
        entry: NodeEntry,
        /// Revision of the object.
        revision: ObjectRevision,
    },
    /// An object that is not understood; what was known before stays.
    Unreadable {
        /// Name of the object.
        name: SmolStr,
        /// What is wrong.
        reason: String,
    },
}

/// `StoreEvent` is one change of a followed kind.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreEvent {
    /// Name of the object.
    pub name: SmolStr,
    /// The object; `None` when it was removed.
    pub object: Option<StoreObject>,
}

/// `StoreReply` is the store's answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Objects of a kind.
    Listed {
        /// Objects of this page.
        objects: Vec<StoreObject>,
        /// Name after which the next page begins, if there is one.
        next: Option<SmolStr>,
        /// Revision of the store.
        revision: ObjectRevision,
    },
    /// Changes of a kind; none when the wait is over.
    Changed {
        /// Changes in order.
        events: Vec<StoreEvent>,
        /// Revision to go on from.
        revision: ObjectRevision,
    },
    /// The write was done.
    Stored {
        /// Revision of the object.
        revision: ObjectRevision,
    },
    /// The object has another revision, or exists already.
    Conflict {
        /// The object as it is.
        object: Option<StoreObject>,
    },
    /// The object does not exist.
    Missing,
    /// The changes since the revision are no longer known.
    HistoryExpired,
    /// The store took no call; nothing was done.
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer cannot be read.
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

/// `Platform` is an adapter to one platform.
pub trait Platform {
    /// `headers` names the headers on the request path.
    fn headers(&self) -> HeaderNames;

    /// `is_readiness_check` recognises the platform's check of the node.
    fn is_readiness_check(&self, request: &HttpRequest) -> bool;

    /// `control_call` decodes a call of the target.
    fn control_call(&self, request: &HttpRequest) -> ControlCall;

    /// `store_request` encodes a call to the store.
    fn store_request(&self, call: &StoreCall) -> HttpRequest;

    /// `store_reply` decodes the answer to a call.
    fn store_reply(&self, call: &StoreCall, answer: &HttpAnswer) -> StoreReply;
}
