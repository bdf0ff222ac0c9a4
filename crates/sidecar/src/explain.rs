//! Explanation of where a request would go now and why, as a node gives it without sending the request.
//!
//! The types are both the JSON form of the explanation and what its text is rendered from. [`Query`] is
//! the request to explain. A client account is named, so that neither holds a key.

mod query;
mod text;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use serde::Deserialize;
use serde::Serialize;

use crate::model::AccountName;
use crate::model::ConfigVersion;
use crate::model::Quota;
use crate::model::WeightedService;

pub use query::CODE_ACCOUNT_UNKNOWN;
pub use query::CODE_QUERY_INVALID;
pub use query::Query;
pub use query::QueryError;
pub use query::Result;

/// Path of the explanation at a node's metrics address.
pub const EXPLAIN_PATH: &str = "/explain";

/// Where a request would go now and why. What was not determined, as the request would be refused
/// before, is `None` or empty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Node that explains; the request would arrive there.
    pub node: NodeName,
    /// The request.
    pub request: Query,
    /// Configuration in force.
    pub config: Option<ConfigState>,
    /// Route that matches the request.
    pub route: Option<RouteState>,
    /// Client account of the request, or whether it needs one.
    pub account: Option<AccountState>,
    /// Priority of the account or else of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions that both the route and the account allow; `None` if they allow all.
    pub allowed_regions: Option<Vec<RegionName>>,
    /// Service that the next request of the route goes to.
    pub service: Option<ServiceName>,
    /// Versions of the service that may serve the request.
    pub version_rule: Option<VersionChoice>,
    /// Nodes that may get the request, smallest expected loss first.
    pub candidates: Vec<CandidateState>,
    /// Nodes with a target of the service that are no candidates.
    pub excluded: Exclusions,
    /// Decision of this node's admission, if it is a candidate.
    pub own_admission: Option<Admission>,
    /// Retries of the service that this node may still send now at the priority of the request.
    pub retries_left: Option<u64>,
    /// What would happen to the request.
    pub decision: Decision,
}

/// Configuration in force at the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Version.
    pub version: ConfigVersion,
    /// Time since the node adopted it.
    pub age_ms: u64,
    /// Whether a newer one was announced that has not arrived.
    pub is_behind: bool,
}

/// Route of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteState {
    /// Name.
    pub name: RouteName,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Regions in which the requests may be served; empty if all regions may serve them.
    pub allowed_regions: Vec<RegionName>,
    /// Longest time for an answer.
    pub timeout_ms: u64,
    /// Latency up to which an answer is in time.
    pub target_latency_ms: u64,
    /// Largest number of targets that one request may be sent to.
    pub max_attempts: u16,
    /// Whether the requests may run more than once.
    pub is_idempotent: bool,
    /// Whether the requests need no key of a client account.
    pub is_public: bool,
    /// Services with their weights.
    pub services: Vec<WeightedService>,
}

/// Client account of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum AccountState {
    /// The configuration has no accounts.
    NotNeeded,
    /// The request has no account, and the route is public.
    Public,
    /// The request has no account, and the route needs a key.
    KeyNeeded,
    /// The account has no key, so that it can send no request.
    NoKey,
    /// The request belongs to an account.
    Known {
        /// Name.
        name: AccountName,
        /// Priority that replaces that of the route.
        priority: Option<u8>,
        /// Regions in which the requests may be served; empty if all regions may serve them.
        allowed_regions: Vec<RegionName>,
        /// Limit on the account's requests, if there is one.
        quota: Option<Quota>,
    },
}

/// Versions of the service that may serve the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "rule", content = "version", rename_all = "snake_case")]
pub enum VersionChoice {
    /// All versions.
    Any,
    /// This version only.
    Only(VersionName),
    /// This version only, as a canary request of a rollout.
    Canary(VersionName),
    /// All versions but this one.
    Avoid(VersionName),
}

/// Node that may get the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateState {
    /// Node.
    pub node: NodeName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Network distance: `own`, `data_centre`, `region` or `far`.
    pub distance: String,
    /// Requests running at the target, as last reported.
    pub running: u16,
    /// Requests waiting for the target, as last reported.
    pub queued: u16,
    /// Requests of the explaining node that are sent there and not answered.
    pub outstanding: u16,
    /// Slots of the target.
    pub slots: u16,
    /// Age of the report.
    pub report_age_ms: u64,
    /// Mean run time of the route at the target; 0 if the target has not reported one.
    pub route_run_ms: u16,
    /// Expected time until the request can be sent to the target.
    pub expected_wait_ms: f64,
    /// Part of it that the rate limit of the target requires.
    pub rate_limit_wait_ms: f64,
    /// Round-trip time to the node.
    pub round_trip_ms: f64,
    /// Expected loss, by which candidates are compared; 1 is the value of one answer in time.
    pub expected_loss: f64,
    /// Whether a fresh report rules out an answer in time.
    pub is_reported_full: bool,
}

/// Reason why a node with a target of the service is no candidate. A node that several reasons apply
/// to is counted under the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// Its data centre is evacuated.
    Evacuated,
    /// Its region is not allowed.
    Region,
    /// Its target takes no requests.
    NotReady,
    /// Its target has a version that may not serve the request.
    Version,
    /// It has refused the request.
    Tried,
    /// There is no link to it.
    NoLink,
    /// The link to it has stalled.
    StalledLink,
}

/// Number of nodes by the reason why they are no candidates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusions {
    /// In an evacuated data centre.
    pub evacuated: u32,
    /// In a region that is not allowed.
    pub region: u32,
    /// With a target that takes no requests.
    pub not_ready: u32,
    /// With a target of a version that may not serve the request.
    pub version: u32,
    /// That would have refused the request.
    pub tried: u32,
    /// Without a link.
    pub no_link: u32,
    /// With a stalled link.
    pub stalled_link: u32,
}

impl Exclusions {
    /// Counts the reasons.
    #[must_use]
    pub fn count(reasons: &[Exclusion]) -> Self {
        let mut counts = Self::default();
        for reason in reasons {
            let count = match reason {
                Exclusion::Evacuated => &mut counts.evacuated,
                Exclusion::Region => &mut counts.region,
                Exclusion::NotReady => &mut counts.not_ready,
                Exclusion::Version => &mut counts.version,
                Exclusion::Tried => &mut counts.tried,
                Exclusion::NoLink => &mut counts.no_link,
                Exclusion::StalledLink => &mut counts.stalled_link,
            };
            *count += 1;
        }
        counts
    }
}

/// Decision of the admission at the node's target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Admission {
    /// The request would run at once.
    Run,
    /// The request would wait for a slot.
    Wait {
        /// Waiting requests that would be refused in its place.
        displaced: usize,
    },
    /// The request would be refused by this target.
    Reject {
        /// Reason.
        reason: String,
        /// Time until a slot is expected.
        retry_after_ms: u64,
    },
}

/// What would happen to the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Decision {
    /// It would go to this node's target.
    Own,
    /// It would be sent to another node, whose admission decides.
    Sent {
        /// Node.
        node: NodeName,
    },
    /// It would wait until the starting node knows a configuration or targets.
    Deferred,
    /// It would be refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// Result code.
        code: String,
    },
}

impl Decision {
    /// Returns the decision to refuse a request.
    #[must_use]
    pub fn refused(status: u16, code: &str) -> Self {
        Self::Refused {
            status,
            code: code.to_owned(),
        }
    }
}
