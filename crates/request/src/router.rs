//! Routing state of one node: configuration, targets, retry budgets and fingerprints.
//!
//! Indices are rebuilt when the configuration or a relevant part of an endpoint record changes; a
//! request only looks them up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::units::duration_ms;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

use crate::balance;
use crate::balance::Load;
use crate::balance::Place;
use crate::budget;
use crate::clock::Now;
use crate::fingerprint::Fingerprints;
use crate::options::Options;
use crate::outcome::AttemptResult;
use crate::outcome::Reason;
use crate::placement::Key;
use crate::route::RouteTable;
use services::ServiceTargets;

mod services;

/// One incarnation of a target's node, as the destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the node.
    pub node: NodeName,
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    index: usize,
}

#[derive(Clone, Debug)]
struct TargetEntry {
    record: EndpointRecord,
    level: usize,
    load: Load,
    is_suspected: bool,
}

/// Routing state of one node.
#[derive(Debug)]
pub struct Router {
    place: Place,
    options: Options,
    routes: RouteTable,
    targets: Vec<TargetEntry>,
    /// Indices of `targets`, sorted by node name.
    by_node: Vec<usize>,
    /// Sorted by service.
    services: Vec<ServiceTargets>,
    fingerprints: Fingerprints,
    random: SmallRng,
    store_down_since_unix_ms: Option<u64>,
    candidates: Vec<usize>,
}

impl Router {
    /// Creates a router without configuration and targets.
    #[must_use]
    pub fn new(place: Place, options: Options, seed: u64) -> Self {
        Self {
            place,
            routes: RouteTable::default(),
            targets: Vec::new(),
            by_node: Vec::new(),
            services: Vec::new(),
            fingerprints: Fingerprints::new(&options),
            random: SmallRng::seed_from_u64(seed),
            store_down_since_unix_ms: None,
            candidates: Vec::new(),
            options,
        }
    }

    /// Replaces the configuration in force.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) {
        self.routes = RouteTable::new(configuration);
    }

    /// Sets the time since which the store has been unreachable; `None` when it is reachable.
    pub fn set_store_down_since(&mut self, since_unix_ms: Option<u64>) {
        self.store_down_since_unix_ms = since_unix_ms;
    }

    /// Applies a new or changed endpoint record.
    pub fn set_endpoint(&mut self, record: &EndpointRecord, now: Now) {
        match self.position(&record.node) {
            Ok(position) => self.update_target(self.by_node[position], record, now),
            Err(position) => {
                let index = self.targets.len();
                self.targets.push(self.new_target_entry(record, now));
                self.by_node.insert(position, index);
                self.join_service(index, now);
            }
        }
    }

    /// Removes a node that membership no longer lists.
    pub fn remove_endpoint(&mut self, node: &str, now: Now) {
        let Ok(position) = self.position(node) else {
            return;
        };
        // The entry stays as `Left`, so that the indices of other targets remain valid.
        let index = self.by_node[position];
        let mut record = self.targets[index].record.clone();
        record.state = hemlockfall_core::endpoint::EndpointState::Left;
        self.update_target(index, &record, now);
    }

    /// Applies a target's report of its own health and load.
    pub fn report(&mut self, node: &str, is_healthy: bool, load_percent: u8) {
        if let Ok(position) = self.position(node) {
            let index = self.by_node[position];
            self.targets[index].load.report(is_healthy, load_percent);
        }
    }

    /// Sets whether a target's node is suspected because a message to it could not be sent
    /// recently; other targets are preferred then.
    pub fn set_suspected(&mut self, node: &str, is_suspected: bool) {
        if let Ok(position) = self.position(node) {
            let index = self.by_node[position];
            self.targets[index].is_suspected = is_suspected;
        }
    }

    /// Discards expired fingerprints and departed key members. The node calls it about once per
    /// second.
    pub fn expire(&mut self, now: Now) {
        self.fingerprints.expire(now.at);
        for service in &mut self.services {
            service.key_members.expire(now.unix_ms, &self.options);
        }
    }

    /// Returns the routes in force.
    #[must_use]
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the settings.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the time since which the store has been unreachable.
    #[must_use]
    pub fn store_down_since_unix_ms(&self) -> Option<u64> {
        self.store_down_since_unix_ms
    }

    /// Returns the fingerprints of suspected crash requests.
    #[must_use]
    pub fn fingerprints(&self) -> &Fingerprints {
        &self.fingerprints
    }

    /// Returns the fingerprints of suspected crash requests for changes.
    pub fn fingerprints_mut(&mut self) -> &mut Fingerprints {
        &mut self.fingerprints
    }

    /// Returns whether a version has a target that accepts requests.
    #[must_use]
    pub fn has_ready(&self, service: &str, version: &str) -> bool {
        let Ok(position) = self.service_position(service) else {
            return false;
        };
        self.services[position].members.iter().any(|index| {
            let record = &self.targets[*index].record;
            record.accepts_requests()
                && record
                    .target
                    .as_ref()
                    .is_some_and(|target| target.version == version)
        })
    }

    /// Returns whether the target beside a node is in its cold start.
    #[must_use]
    pub fn is_cold(&self, node: &str, now: Now) -> bool {
        let ready_unix_ms = self
            .position(node)
            .ok()
            .and_then(|position| self.targets[self.by_node[position]].record.target.as_ref())
            .map_or(0, |target| target.ready_unix_ms);
        now.unix_ms.saturating_sub(ready_unix_ms) < duration_ms(self.options.cold_start())
    }

    /// Chooses a target for an idempotent request. Suspected and ejected targets are used only when
    /// no other is left, and targets in `tried` only after those.
    pub fn pick(
        &mut self,
        service: &str,
        version: &str,
        tried: &[NodeName],
        now: Now,
    ) -> Option<Target> {
        let position = self.service_position(service).ok()?;
        self.refresh(position, now);
        let targets = &self.targets;
        let pool = self.services[position].pool(version)?;
        let is_available = |index: usize| {
            !targets[index].is_suspected && !targets[index].load.health.is_ejected(now.at)
        };
        let is_untried = |index: usize| !tried.contains(&targets[index].record.node);
        let mut candidates = std::mem::take(&mut self.candidates);
        pool.candidates(
            &self.options,
            |index| is_available(index) && is_untried(index),
            &mut candidates,
        );
        if candidates.is_empty() {
            pool.candidates(&self.options, is_untried, &mut candidates);
        }
        if candidates.is_empty() {
            pool.candidates(&self.options, |_| true, &mut candidates);
        }
        let chosen = balance::better_of_two(
            &candidates,
            |index| &targets[index].load,
            now.at,
            &self.options,
            &mut self.random,
        );
        self.candidates = candidates;
        chosen.map(|index| self.target(index))
    }

    /// Chooses the target that runs the request of a key; targets in `tried` are left out. A
    /// suspected or ejected target is chosen only when no other is left.
    #[must_use]
    pub fn runner(&self, key: &Key, version: &str, tried: &[NodeName], now: Now) -> Option<Target> {
        let position = self.service_position(&key.service).ok()?;
        let members = &self.services[position].key_members;
        let mut skipped: Vec<&NodeName> = Vec::new();
        // Whether a target is available is looked up in ranked order and only until one is, because
        // each look-up is a search in the table of all targets.
        loop {
            let Some(node) = members.runner(key, version, |node| {
                !tried.contains(node) && !skipped.contains(&node)
            }) else {
                let first = skipped.first()?;
                return self.target_of_node(first);
            };
            if self.is_available(node, now) {
                return self.target_of_node(node);
            }
            skipped.push(node);
        }
    }

    /// Returns the keepers of a key in this node's view: the nodes that hold replicas of its
    /// record.
    #[must_use]
    pub fn keepers(
        &self,
        key: &Key,
        is_generated: bool,
        has_history: bool,
        now: Now,
    ) -> Vec<NodeName> {
        self.service_position(&key.service)
            .map_or(Vec::new(), |position| {
                self.services[position].key_members.keepers(
                    key,
                    is_generated,
                    has_history,
                    now.unix_ms,
                    &self.options,
                )
            })
    }

    /// Counts an attempt in flight.
    pub fn attempt_started(&mut self, target: &Target) {
        if let Some(entry) = self.entry_of_incarnation(target) {
            entry.load.in_flight += 1;
        }
    }

    /// Ends an attempt whose end is neither a success nor a failure of its target.
    pub fn attempt_abandoned(&mut self, target: &Target) {
        if let Some(entry) = self.entry_of_incarnation(target) {
            entry.load.in_flight = entry.load.in_flight.saturating_sub(1);
        }
    }

    /// Records the end of an attempt. Returns the ejection time if the target is ejected for it.
    pub fn attempt_finished(
        &mut self,
        target: &Target,
        result: AttemptResult,
        latency: Duration,
        now: Now,
    ) -> Option<Duration> {
        self.attempt_abandoned(target);
        let is_failure = counts_as_failure(result)?;
        let options = self.options.clone();
        let entry = self.entry_of_incarnation(target)?;
        if !is_failure {
            entry
                .load
                .record_latency(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
        let should_eject = entry.load.health.record(is_failure, now.at, &options);
        if !should_eject || !self.may_eject(target.index, now) {
            return None;
        }
        Some(
            self.targets[target.index]
                .load
                .health
                .eject(now.at, &options),
        )
    }

    /// Returns the number of ejected targets of a service.
    #[must_use]
    pub fn ejected(&self, service: &str, now: Now) -> usize {
        self.service_position(service).map_or(0, |position| {
            self.count_ejected(&self.services[position].members, now)
        })
    }

    /// Adds the share of one fresh request to a service's retry budget.
    pub fn deposit_retry_budget(&mut self, service: &str, budget_permille: u16, now: Now) {
        if let Ok(position) = self.service_position(service) {
            self.services[position]
                .budget
                .deposit(budget_permille, now.at);
        }
    }

    /// Takes one retry from a service's budget. Returns whether there was one left.
    pub fn withdraw_retry_budget(&mut self, service: &str, now: Now) -> bool {
        self.service_position(service)
            .is_ok_and(|position| self.services[position].budget.withdraw(now.at))
    }

    /// Returns the backoff before a retry.
    pub fn backoff(&mut self, retry: u32) -> Duration {
        budget::backoff(retry, &self.options, &mut self.random)
    }

    /// Generates a version 7 UUID.
    pub fn new_id(&mut self, now: Now) -> Uuid {
        let random: [u8; 10] = self.random.random();
        uuid::Builder::from_unix_timestamp_millis(now.unix_ms, &random).into_uuid()
    }

    fn is_available(&self, node: &str, now: Now) -> bool {
        self.position(node).is_ok_and(|position| {
            let entry = &self.targets[self.by_node[position]];
            !entry.is_suspected && !entry.load.health.is_ejected(now.at)
        })
    }

    fn target_of_node(&self, node: &str) -> Option<Target> {
        let position = self.position(node).ok()?;
        Some(self.target(self.by_node[position]))
    }

    fn target(&self, index: usize) -> Target {
        let record = &self.targets[index].record;
        Target {
            node: record.node.clone(),
            address: record.peer_address,
            incarnation: record.incarnation,
            index,
        }
    }

    fn entry_of_incarnation(&mut self, target: &Target) -> Option<&mut TargetEntry> {
        self.targets
            .get_mut(target.index)
            .filter(|entry| entry.record.incarnation == target.incarnation)
    }

    fn position(&self, node: &str) -> Result<usize, usize> {
        self.by_node
            .binary_search_by(|index| self.targets[*index].record.node.as_str().cmp(node))
    }

    fn service_position(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|group| group.service.as_str().cmp(service))
    }

    fn count_ejected(&self, indices: &[usize], now: Now) -> usize {
        indices
            .iter()
            .filter(|index| {
                let entry = &self.targets[**index];
                entry.record.accepts_requests() && entry.load.health.is_ejected(now.at)
            })
            .count()
    }
}

/// Returns whether a result counts as a failure of the target; `None` when it counts neither as a
/// success nor as a failure. A target may refuse requests. A target lost while it ran a request is
/// attributed to the request's fingerprint until membership reports the node as failed.
fn counts_as_failure(result: AttemptResult) -> Option<bool> {
    match result {
        AttemptResult::Answered { is_failure } => Some(is_failure),
        AttemptResult::NotRun {
            reason: Reason::NotSent | Reason::Fenced,
            ..
        } => Some(true),
        AttemptResult::Unknown {
            reason: Reason::TargetLost | Reason::StaleAttempt,
        }
        | AttemptResult::NotRun { .. }
        | AttemptResult::KeyRefused { .. } => None,
        AttemptResult::Unknown { .. } => Some(true),
    }
}
