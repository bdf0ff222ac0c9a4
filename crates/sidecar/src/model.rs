//! The configuration that a node serves, what targets say of themselves, and roll-outs.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// `ConfigVersion` orders configurations; it increases in uneven steps.
pub type ConfigVersion = u64;
/// `ObjectRevision` is the revision of an object in the platform's store.
pub type ObjectRevision = u64;
/// `InstanceId` names one target; a restarted target may keep it.
pub type InstanceId = SmolStr;
/// `RequestId` is the caller's id of one request.
pub type RequestId = SmolStr;

/// `Idempotency` tells how often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
}

/// `WeightedService` is one service of a route with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Share relative to the other parts of the route.
    pub weight: u32,
}

/// `Route` tells where the requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host that callers name, without a port.
    pub host: SmolStr,
    /// Beginning of the path.
    pub path_prefix: SmolStr,
    /// How often a request may run.
    pub idempotency: Idempotency,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth its full credit.
    pub target_latency: Duration,
    /// Largest number of targets that one request may be sent to.
    pub max_attempts: u16,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their shares; never empty.
    pub services: Vec<WeightedService>,
}

/// `Service` is what the configuration says of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one target takes.
    pub max_connections: u32,
}

/// `CallerLimits` bound what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest start line with headers, in bytes.
    pub max_header_bytes: u32,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Time for the headers of a request to arrive.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// `MeshConfig` is one whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeshConfig {
    /// Version; a node never goes back to a lower one.
    pub version: ConfigVersion,
    /// Routes, sorted by name.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// `ConfigDelta` turns one configuration into a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the delta applies to.
    pub base: ConfigVersion,
    /// Version that results.
    pub version: ConfigVersion,
    /// Routes that are new or changed.
    pub changed: Vec<Route>,
    /// Names of routes that are gone.
    pub removed: Vec<RouteName>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl MeshConfig {
    /// `service` finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        self.services.get(index)
    }

    /// `delta_from` returns what changed since an earlier configuration.
    #[must_use]
    pub fn delta_from(&self, base: &Self) -> ConfigDelta {
        let is_changed = |route: &&Route| base.route(&route.name) != Some(*route);
        let is_removed = |route: &&Route| self.route(&route.name).is_none();
        ConfigDelta {
            base: base.version,
            version: self.version,
            changed: self.routes.iter().filter(is_changed).cloned().collect(),
            removed: base
                .routes
                .iter()
                .filter(is_removed)
                .map(|route| route.name.clone())
                .collect(),
            services: self.services.clone(),
            limits: self.limits,
        }
    }

    /// `apply` makes the configuration that a delta leads to, or `None` when the delta belongs
    /// to another base.
    #[must_use]
    pub fn apply(&self, delta: ConfigDelta) -> Option<Self> {
        if delta.base != self.version {
            return None;
        }
        let mut routes: Vec<Route> = self
            .routes
            .iter()
            .filter(|route| {
                !delta.removed.contains(&route.name)
                    && !delta
                        .changed
                        .iter()
                        .any(|changed| changed.name == route.name)
            })
            .cloned()
            .collect();
        routes.extend(delta.changed);
        routes.sort_by(|a, b| a.name.cmp(&b.name));
        Some(Self {
            version: delta.version,
            routes,
            services: delta.services,
            limits: delta.limits,
        })
    }

    fn route(&self, name: &str) -> Option<&Route> {
        let index = self
            .routes
            .binary_search_by(|route| route.name.as_str().cmp(name))
            .ok()?;
        self.routes.get(index)
    }
}

/// `RolloutState` is how far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version gets a small share.
    Running,
    /// The new version has taken over.
    Completed,
    /// The new version gets nothing.
    RolledBack,
}

/// `Rollout` is an operator's order to move a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Service.
    pub service: ServiceName,
    /// Version that takes over.
    pub target_version: VersionName,
    /// Time within which the roll-out must end, counted from the order.
    pub finish_in: Duration,
    /// State as the store holds it for this target version.
    pub state: RolloutState,
    /// Revision of the object in the store.
    pub revision: ObjectRevision,
}

/// `TargetState` is what a target says of its readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It leaves and takes no new requests.
    Draining,
}

/// `Heartbeat` is what a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the target.
    pub instance: InstanceId,
    /// Start of this life of the target, in unix milliseconds; 0 when it is not told.
    pub started_unix_ms: u64,
    /// Increases with each call of one life.
    pub sequence: u64,
    /// Service that the target runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its readiness.
    pub state: TargetState,
    /// How much longer it is slow after its start.
    pub cold_remaining: Duration,
}

/// `TargetKey` names one life of a target. Among the targets that have left, it stands for this
/// life and all earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetKey {
    /// Id of the target.
    pub instance: InstanceId,
    /// Start of this life, in unix milliseconds.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
}

/// `TargetRecord` is what other nodes know of a node's target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Which life of which target.
    pub key: TargetKey,
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether the target takes requests.
    pub is_ready: bool,
}

/// `NodeRecord` is what other nodes know of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub node: NodeName,
    /// Address for links of other nodes.
    pub peer_address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Region.
    pub region: RegionName,
    /// Start of the process, in unix milliseconds.
    pub incarnation: Incarnation,
    /// Increases with each change of the record in one incarnation.
    pub sequence: u64,
    /// Whether the node is being stopped.
    pub is_stopping: bool,
    /// The node's target, if it is known.
    pub target: Option<TargetRecord>,
    /// Targets that have left; an old heartbeat must not bring them back.
    pub deregistered: Vec<TargetKey>,
}

impl NodeRecord {
    /// `is_newer_than` orders two records of one node.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// `LoadReport` is the load of a target as its node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u16,
    /// Requests that wait for a slot.
    pub queued: u16,
    /// Requests that may run at once.
    pub slots: u16,
    /// Mean time of a run, in milliseconds.
    pub run_ms: u16,
    /// Mean time of a run of the route that the report came with, in milliseconds.
    pub route_run_ms: u16,
    /// Failed runs of late, in permille.
    pub failed_permille: u16,
    /// Time until the VM's link has carried the large answers in progress, in milliseconds.
    pub link_busy_ms: u16,
    /// Time that the link needs for a usual answer of the route that the report came with, in
    /// milliseconds; 0 for small answers.
    pub route_send_ms: u16,
}
