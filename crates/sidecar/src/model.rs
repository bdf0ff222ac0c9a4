//! Configurations, rollouts, heartbeats of targets and the records that nodes exchange.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Version of a configuration; later ones are higher, in steps that may be larger than 1.
pub type ConfigVersion = u64;
/// Number of times that the platform's store has come back from an older copy of its content.
pub type StoreEra = u64;
/// Id of a target; a restarted target may keep it.
pub type InstanceId = SmolStr;
/// Id that the caller gave to a request.
pub type RequestId = SmolStr;

/// Name of a client account.
pub type AccountName = SmolStr;

/// Longest request id that is accepted, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 256;

/// Revision of an object in the platform's store. The store gives numbers out again after it has come
/// back from an older copy, so they compare within an era only, and any revision of a later era is
/// newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectRevision {
    /// Era of the store.
    pub era: StoreEra,
    /// Number within the era.
    pub number: u64,
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
}

/// Service of a route with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Share relative to the weights of the route's other services.
    pub weight: u32,
}

/// Rules for the requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host that the request names, without a port.
    pub host: SmolStr,
    /// Prefix of the path.
    pub path_prefix: SmolStr,
    /// How often a request may run.
    pub idempotency: Idempotency,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency up to which an answer is in time.
    pub target_latency: Duration,
    /// Largest number of targets that one request may be sent to, retries included.
    pub max_attempts: u16,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub services: Vec<WeightedService>,
    /// Regions in which the requests may be served, sorted; empty if all regions may serve them.
    pub allowed_regions: Vec<RegionName>,
    /// Whether the requests need no key of a client account.
    pub is_public: bool,
}

/// Limits of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Largest number of connections to one target.
    pub max_connections: u32,
    /// Path of the targets' health check; empty if the service has none.
    pub health_path: SmolStr,
    /// Requests that a cold target takes from all nodes together, in 1000 seconds; 0 for no limit.
    pub cold_milli_per_s: u32,
}

/// BLAKE3 digest of a key. The key itself is dropped where the configuration and the requests are
/// decoded, so that no frame, log line or error can contain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let mut digest = Digest::default();
        let length = digest.len();
        digest.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..length]);
        Self(digest)
    }
}

/// Limit on the requests of a client account, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests in 1000 seconds.
    pub milli_per_s: u64,
    /// Requests beyond the rate that may be sent at once.
    pub burst: u32,
}

/// Client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// Name.
    pub name: AccountName,
    /// Digests of the account's keys, sorted. No other account has one of these keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of the account's requests, which replaces that of the route.
    pub priority: Option<u8>,
    /// Limit on the account's requests, if there is one.
    pub quota: Option<Quota>,
    /// Regions in which the requests may be served, sorted; empty if all regions may serve them.
    pub allowed_regions: Vec<RegionName>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest start line and headers together, in bytes.
    pub max_header_bytes: u32,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeshConfig {
    /// Version; a node never returns to a lower one.
    pub version: ConfigVersion,
    /// Routes, sorted by name.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Client accounts, sorted by name; `None` if requests need no key.
    pub accounts: Option<Vec<ClientAccount>>,
}

/// Difference between a configuration and a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the delta applies to.
    pub base: ConfigVersion,
    /// Version that applying the delta gives.
    pub version: ConfigVersion,
    /// Routes that are new or changed.
    pub changed: Vec<Route>,
    /// Names of the removed routes.
    pub removed: Vec<RouteName>,
    /// All services, changed or not.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Changes of the client accounts; `None` if the later configuration has none.
    pub accounts: Option<AccountsDelta>,
}

/// Difference between the client accounts of two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountsDelta {
    /// Accounts that are new or changed.
    pub changed: Vec<ClientAccount>,
    /// Names of the removed accounts.
    pub removed: Vec<AccountName>,
}

impl AccountsDelta {
    /// Returns the changes between two lists that are sorted by name.
    fn between(base: &[ClientAccount], later: &[ClientAccount]) -> Self {
        let mut delta = Self::default();
        let mut base = base.iter().peekable();
        for account in later {
            while let Some(removed) = base.next_if(|before| before.name < account.name) {
                delta.removed.push(removed.name.clone());
            }
            let before = base.next_if(|before| before.name == account.name);
            if before != Some(account) {
                delta.changed.push(account.clone());
            }
        }
        delta
            .removed
            .extend(base.map(|removed| removed.name.clone()));
        delta
    }

    /// Returns the accounts that the delta leads to, sorted by name.
    fn apply(mut self, base: &[ClientAccount]) -> Vec<ClientAccount> {
        // Both lists come from another node; a merge of unsorted lists would keep removed accounts.
        self.changed.sort_by(|a, b| a.name.cmp(&b.name));
        self.removed.sort_unstable();
        let mut accounts = Vec::with_capacity(base.len() + self.changed.len());
        let mut changed = self.changed.into_iter().peekable();
        for account in base {
            while let Some(new) = changed.next_if(|new| new.name < account.name) {
                accounts.push(new);
            }
            if let Some(renewed) = changed.next_if(|new| new.name == account.name) {
                accounts.push(renewed);
            } else if self.removed.binary_search(&account.name).is_err() {
                accounts.push(account.clone());
            }
        }
        accounts.extend(changed);
        accounts
    }
}

impl MeshConfig {
    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        self.services.get(index)
    }

    /// Returns the changes since an earlier configuration.
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
            accounts: self.accounts.as_deref().map(|later| {
                AccountsDelta::between(base.accounts.as_deref().unwrap_or(&[]), later)
            }),
        }
    }

    /// Returns the configuration that a delta leads to, or `None` if the delta was made for
    /// another base version.
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
            accounts: delta
                .accounts
                .map(|changes| changes.apply(self.accounts.as_deref().unwrap_or(&[]))),
        })
    }

    /// Returns a route.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        let index = self
            .routes
            .binary_search_by(|route| route.name.as_str().cmp(name))
            .ok()?;
        self.routes.get(index)
    }
}

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version gets canary requests only.
    Running,
    /// The new version gets all requests.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

/// Operator's instruction to move a service to a new version by a deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Service.
    pub service: ServiceName,
    /// New version.
    pub target_version: VersionName,
    /// Time within which the rollout must end, counted from the operator's instruction.
    pub finish_in: Duration,
    /// State that the store holds for this target version.
    pub state: RolloutState,
    /// Revision of the object in the store.
    pub revision: ObjectRevision,
}

/// Readiness that a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// The target accepts requests.
    Ready,
    /// The target is about to stop and accepts no new requests.
    Draining,
}

/// Heartbeat of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the target.
    pub instance: InstanceId,
    /// Start of the target's process, in unix milliseconds; 0 when the target does not report it.
    pub started_unix_ms: u64,
    /// Increases with each heartbeat of one process.
    pub sequence: u64,
    /// Service that the target runs.
    pub service: ServiceName,
    /// Version of the target's software.
    pub version: VersionName,
    /// Address at which the target serves requests.
    pub address: SocketAddr,
    /// Number of requests that the target can run at once.
    pub slots: u32,
    /// Readiness.
    pub state: TargetState,
    /// Time until the target is no longer slow from its start.
    pub cold_remaining: Duration,
}

/// Identifies one incarnation of a target. In a list of deregistered targets, a key stands for
/// this incarnation and all earlier ones of the same id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetKey {
    /// Id of the target.
    pub instance: InstanceId,
    /// Start of the target's process, in unix milliseconds.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
}

/// Target of a node, as published to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Incarnation of the target.
    pub key: TargetKey,
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Number of requests that the target can run at once.
    pub slots: u32,
    /// Whether the target accepts requests.
    pub is_ready: bool,
}

/// State of a node, as published to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
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
    /// Increases with each change of the record within one incarnation.
    pub sequence: u64,
    /// Whether a graceful shutdown has begun.
    pub is_stopping: bool,
    /// Target of the node, once it has sent a heartbeat.
    pub target: Option<TargetRecord>,
    /// Deregistered targets; a late heartbeat must not bring them back into service.
    pub deregistered: Vec<TargetKey>,
}

impl NodeRecord {
    /// Returns whether this record of a node is newer than another one of the same node.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// Rate limit of a target as its node knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateLimitReport {
    /// Not known: no answer of the target has reached the node's process.
    #[default]
    Unknown,
    /// The target names no limit.
    Unlimited,
    /// Requests that the target takes from all nodes together, in 1000 seconds.
    Limited(u32),
}

/// Load of a target as its node measures it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u16,
    /// Requests that are waiting for a slot.
    pub queued: u16,
    /// Number of requests that may run at once.
    pub slots: u16,
    /// Mean run time over all routes, in milliseconds.
    pub run_ms: u16,
    /// Mean run time of the route that the report is about, in milliseconds; 0 when unknown.
    pub route_run_ms: u16,
    /// Share of recent runs that failed, in permille.
    pub failed_permille: u16,
    /// Time until the VM's uplink has sent the large answers in progress, in milliseconds.
    pub uplink_busy_ms: u16,
    /// Time that the uplink needs for an answer of mean size of the route that the report is
    /// about, in milliseconds; 0 for small answers.
    pub route_send_ms: u16,
    /// Time until the rate limit of the target allows a further request, in milliseconds.
    pub rate_limit_wait_ms: u16,
    /// Rate limit of the target.
    pub rate_limit: RateLimitReport,
}
