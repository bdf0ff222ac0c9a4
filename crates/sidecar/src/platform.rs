//! Interface to a platform: header names, heartbeats of targets and the platform's store.
//!
//! An adapter implements [`Platform`] and translates between the platform's messages and the
//! types of this crate. Only the adapter knows the platform's names.

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
use crate::model::StoreEra;
use crate::model::TargetKey;

/// Names of the request and answer headers that the platform defines.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of the request.
    pub request_id: &'static str,
    /// Time until the sender stops waiting, in milliseconds.
    pub deadline_ms: &'static str,
    /// Signature that proves that a target produced the answer.
    pub signature: &'static str,
    /// Id of the target that must run the request; any other target must refuse it.
    pub expected_instance: &'static str,
    /// Marks the answer to a request that was not run.
    pub not_run: &'static str,
    /// Service on whose VM the caller runs.
    pub caller_service: &'static str,
    /// Key of the caller's client account.
    pub account_key: &'static str,
    /// Name of the caller's client account, for the target.
    pub account_name: &'static str,
}

/// Rate limit of a target, as one of its answers states it.
#[derive(Clone, Debug, PartialEq)]
pub enum RateNotice {
    /// The answer names no limit.
    None,
    /// Requests per second that the target takes from all nodes together; finite and not negative.
    PerSecond(f64),
    /// The answer names a limit that cannot be decoded.
    Unreadable {
        /// Value on the wire.
        value: SmolStr,
    },
}

/// Call to the control address, made by the node's target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Heartbeat of the target.
    Heartbeat(Box<Heartbeat>),
    /// Deregistration of the target.
    Deregister {
        /// Id of the target.
        instance: InstanceId,
        /// Start of the target's process in unix milliseconds, if the call gives it.
        started_unix_ms: Option<u64>,
    },
    /// The call cannot be decoded.
    Unreadable {
        /// Description of the error.
        reason: String,
    },
    /// The call is neither a heartbeat nor a deregistration.
    Unknown,
}

/// Kind of store objects that nodes read and watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKind {
    /// The configuration.
    Config,
    /// Rollouts.
    Rollouts,
    /// Evacuations of data centres.
    Evacuations,
    /// Entries of nodes.
    Nodes,
}

/// Entry of a node in the store, by which other nodes discover it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Name of the node.
    pub node: NodeName,
    /// Address at which other nodes open links.
    pub peer_address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Region.
    pub region: RegionName,
    /// Start of the process, in unix milliseconds.
    pub incarnation: Incarnation,
    /// Deregistered targets of this node.
    #[serde(rename = "left")]
    pub deregistered: Vec<TargetKey>,
}

/// Call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Lists the objects of a kind.
    List {
        /// Kind.
        kind: StoreKind,
        /// Name of the last object of the previous page.
        after: Option<SmolStr>,
        /// Whether the store may return a list that is some seconds old.
        may_be_stale: bool,
    },
    /// Waits for changes of a kind.
    Watch {
        /// Kind.
        kind: StoreKind,
        /// Revision after which changes are reported.
        revision: ObjectRevision,
        /// Longest time that the store may hold the call open.
        wait: Duration,
    },
    /// Creates the entry of a node.
    CreateNode(NodeEntry),
    /// Replaces the entry of a node if it still has the given revision.
    ReplaceNode {
        /// New content of the entry.
        entry: NodeEntry,
        /// Revision of the entry to be replaced.
        revision: ObjectRevision,
    },
    /// Removes the entry of a node.
    RemoveNode(NodeName),
    /// Writes the state of a rollout if its object still has the rollout's revision.
    SetRolloutState {
        /// Rollout, with the revision that the decision is based on.
        rollout: Rollout,
        /// State to write.
        state: RolloutState,
    },
}

impl StoreCall {
    /// Returns the name of the call in metrics and logs.
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

/// Object of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreObject {
    /// The configuration.
    Config(Box<MeshConfig>),
    /// A rollout.
    Rollout(Rollout),
    /// The evacuation of a data centre.
    Evacuation {
        /// Data centre.
        data_centre: DataCentreName,
    },
    /// The entry of a node.
    Node {
        /// The entry.
        entry: NodeEntry,
        /// Revision of the object.
        revision: ObjectRevision,
    },
    /// An object that cannot be decoded; its previous state stays in force.
    Unreadable {
        /// Name of the object.
        name: SmolStr,
        /// Description of the error.
        reason: String,
    },
}

/// Change of one object that a watch reports.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreEvent {
    /// Name of the object.
    pub name: SmolStr,
    /// New state of the object; `None` if it was removed.
    pub object: Option<StoreObject>,
}

/// Reply of the store to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// One page of the objects of a kind.
    Listed {
        /// Objects of this page.
        objects: Vec<StoreObject>,
        /// Name after which the next page begins, if there is one.
        next: Option<SmolStr>,
        /// Revision of the store as of this list.
        revision: ObjectRevision,
    },
    /// Changes of a kind; empty when the wait timed out.
    Changed {
        /// Changes in the order of their revisions.
        events: Vec<StoreEvent>,
        /// Revision from which the next watch continues.
        revision: ObjectRevision,
    },
    /// The write succeeded.
    Stored {
        /// New revision of the object.
        revision: ObjectRevision,
    },
    /// The write failed as the object has another revision or exists already.
    Conflict {
        /// The object as the store holds it.
        object: Option<StoreObject>,
    },
    /// The object does not exist.
    Missing,
    /// The store no longer keeps the changes since the revision.
    HistoryExpired,
    /// The store refused the call and changed nothing.
    Refused {
        /// HTTP status of the reply.
        status: u16,
    },
    /// The reply cannot be decoded.
    Unreadable {
        /// Description of the error.
        reason: String,
    },
}

/// Adapter to a platform.
pub trait Platform {
    /// Returns the names of the platform's headers.
    fn headers(&self) -> HeaderNames;

    /// Returns whether a request is the platform's readiness check of the node.
    fn is_readiness_check(&self, request: &HttpRequest) -> bool;

    /// Decodes a call to the control address.
    fn control_call(&self, request: &HttpRequest) -> ControlCall;

    /// Decodes the rate limit that a target names in an answer.
    fn rate_notice(&self, answer: &HttpAnswer) -> RateNotice;

    /// Returns whether a target states in an answer to a health check that it is cold; `None` if the
    /// answer does not tell.
    fn is_cold(&self, answer: &HttpAnswer) -> Option<bool>;

    /// Returns whether a target announces in an answer that it leaves.
    fn announces_leaving(&self, answer: &HttpAnswer) -> bool;

    /// Encodes a call to the store.
    fn store_request(&self, call: &StoreCall) -> HttpRequest;

    /// Returns the era of the store in which it gave an answer; 0 if the answer does not state it.
    fn store_era(&self, answer: &HttpAnswer) -> StoreEra;

    /// Decodes the store's reply to a call.
    fn store_reply(&self, call: &StoreCall, answer: &HttpAnswer) -> StoreReply;
}
