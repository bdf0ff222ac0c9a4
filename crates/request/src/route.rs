//! Routing: from host and path to service, route and version.

use std::sync::Arc;

use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::catalogue::Route;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::ids::VersionName;
use hemlockfall_core::units::FULL_PERMILLE;
use uuid::Uuid;

use crate::outcome::Reason;
use crate::outcome::Result;
use crate::placement::mix;

/// Value of the cap in [`choose_version`] that sends a request to the new version regardless of
/// the plan, to confirm a failure.
pub const CONFIRM_PERMILLE: u16 = u16::MAX;

/// Configuration with its routes in matching order.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    /// Indices of the routes of each entry, by descending prefix length.
    route_orders: Vec<Vec<usize>>,
}

/// An entry and one of its routes, by index in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// Index of the entry.
    pub entry: usize,
    /// Index of the route in the entry.
    pub route: usize,
}

/// Input of the choice between the versions of a rollout (a move in the catalogue).
#[derive(Clone, Copy, Debug)]
pub struct ShareContext {
    /// Identifies the request across its retries.
    pub request_id: Uuid,
    /// Wall-clock time, in unix milliseconds.
    pub now_unix_ms: u64,
    /// Time since which the store has been unreachable.
    pub store_down_since_unix_ms: Option<u64>,
}

impl RouteTable {
    /// Creates the table of a configuration.
    #[must_use]
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let route_orders = configuration.entries.iter().map(matching_order).collect();
        Self {
            configuration,
            route_orders,
        }
    }

    /// Returns the entry named by the host's first label, and the entry's longest matching route.
    ///
    /// # Errors
    /// [`Reason::NoService`] and [`Reason::NoRoute`].
    pub fn find(&self, host: &str, path: &str) -> Result<RouteMatch> {
        let label = host_label(host);
        let entry = self
            .configuration
            .position(label)
            .map_err(|_| Reason::NoService)?;
        let routes = &self.configuration.entries[entry].routes;
        let order = &self.route_orders[entry];
        let route = order
            .iter()
            .copied()
            .find(|index| has_prefix(path, &routes[*index].path_prefix))
            .ok_or(Reason::NoRoute)?;
        Ok(RouteMatch { entry, route })
    }

    /// Returns the entry of a match.
    #[must_use]
    pub fn entry(&self, found: RouteMatch) -> &ServiceEntry {
        &self.configuration.entries[found.entry]
    }

    /// Returns the route of a match.
    #[must_use]
    pub fn route(&self, found: RouteMatch) -> &Route {
        &self.configuration.entries[found.entry].routes[found.route]
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }
}

/// Returns the first label of a host, which is the service's name.
#[must_use]
pub fn host_label(host: &str) -> &str {
    let end = host.find(['.', ':']).unwrap_or(host.len());
    &host[..end]
}

/// Returns the version that serves a request. The choice depends on the request id, so retries stay
/// with one version, and a growing share only moves requests to the new one.
///
/// `cap` returns the limit that the local guard sets on the share of a new version, in permille.
/// Its arguments are the service, the route and whether the plan assigns the request to the new
/// version. It is called once per request of a rollout, so that a guard can count the requests that
/// it permits. [`CONFIRM_PERMILLE`] sends a request of a `repeatable` route to the new version
/// regardless of the plan; a non-idempotent request is never used to confirm a failure.
#[must_use]
pub fn choose_version<'a, F>(
    entry: &'a ServiceEntry,
    route: &'a Route,
    share: ShareContext,
    mut cap: F,
) -> &'a VersionName
where
    F: FnMut(&str, &str, bool) -> u16,
{
    if let Some(version) = &route.version {
        return version;
    }
    let Some(state) = entry
        .move_state
        .as_ref()
        .filter(|state| !state.status.is_final())
    else {
        return &entry.active_version;
    };
    let planned_permille = entry.share_permille(share.now_unix_ms, share.store_down_since_unix_ms);
    if planned_permille == 0 {
        return &state.from;
    }
    let position = request_position(share.request_id, state.move_id);
    let in_share = position < u64::from(planned_permille);
    let cap_permille = cap(&entry.service, &route.name, in_share);
    let within_cap = in_share && position < u64::from(cap_permille);
    let confirms = cap_permille == CONFIRM_PERMILLE && route.repeatable;
    if within_cap || confirms {
        &state.to
    } else {
        &state.from
    }
}

/// Returns the position of a request in the traffic, in permille. Positions in different rollouts
/// are independent.
fn request_position(request_id: Uuid, move_id: Uuid) -> u64 {
    let (request_high, request_low) = request_id.as_u64_pair();
    let (move_high, move_low) = move_id.as_u64_pair();
    let hash = mix(mix(request_high ^ move_high) ^ request_low ^ mix(move_low));
    hash % u64::from(FULL_PERMILLE)
}

fn matching_order(entry: &ServiceEntry) -> Vec<usize> {
    let mut order: Vec<usize> = (0..entry.routes.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(entry.routes[*index].path_prefix.len()));
    order
}

/// A prefix matches whole path segments: `/orders` matches `/orders/7` and not `/orderly`.
fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}
