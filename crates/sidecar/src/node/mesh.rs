//! The configuration and the rollouts in force at this node.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hemlockfall_core::ids::VersionName;
use rand::RngExt;
use serde_json::json;

use crate::accounts::Directory;
use crate::clock::Time;
use crate::edge::frame;
use crate::edge::frame::Frame;
use crate::edge::frame::RolloutUpdate;
use crate::evacuations::Evacuations;
use crate::exposure::CanaryUse;
use crate::exposure::Exposure;
use crate::exposure::RolloutRequest;
use crate::judge::Judge;
use crate::model::ConfigDelta;
use crate::model::ConfigVersion;
use crate::model::MeshConfig;
use crate::model::ObjectRevision;
use crate::model::Rollout;
use crate::model::RolloutState;
use crate::node::Node;
use crate::node::ms;
use crate::router::Router;
use crate::traffic::FrameKind;

/// Time for an answer to a request for the configuration; then another node may be asked.
const CONFIG_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Encoded size up to which a change of the configuration is pushed to nodes that have not
/// requested it.
const MAX_PUSHED_CHANGE_BYTES: usize = 4 * 1024;
/// Ticks between two requests for a missing configuration that may go to another data centre, and
/// ticks after the start before the first of them.
const REMOTE_REQUEST_TICKS: u64 = 4;
const FIRST_REMOTE_REQUEST_TICK: u64 = 10;
/// Nodes that are notified when a node adopts its first configuration.
const FIRST_CONFIG_NOTICES: usize = 3;
/// Changes of the configuration that are kept for nodes that missed them.
const MAX_KEPT_DELTAS: usize = 8;

/// Time for which a rollout is kept that the store has lost.
const LOST_ROLLOUT_RETENTION: Duration = Duration::from_secs(30);

/// Origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// The platform's store.
    Store,
    /// Another node, on a link.
    Peer(u64),
}

impl UpdateSource {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer(_) => "peer",
        }
    }

    pub(super) fn link(self) -> Option<u64> {
        match self {
            Self::Store => None,
            Self::Peer(link) => Some(link),
        }
    }
}

/// Version of a service that a request may or must run on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VersionRule {
    Any,
    Only(VersionName),
    Avoid(VersionName),
}

/// Configuration and rollouts, as far as this node knows them.
#[derive(Default)]
pub(crate) struct Mesh {
    config: Option<Rc<MeshConfig>>,
    config_adopted_at: Time,
    /// The last changes, oldest first; each leads to the base of the next.
    deltas: VecDeque<ConfigDelta>,
    /// The link on which the configuration was last requested, and when.
    pending_request: Option<(u64, Time)>,
    /// Newest version that another node has announced.
    newest_announced: ConfigVersion,
    /// The configuration in force as an encoded frame, once another node has requested it.
    encoded_config: Option<Rc<Vec<u8>>>,
    pub(super) router: Router,
    pub(super) evacuations: Evacuations,
    /// Client accounts of the configuration, if it has any.
    accounts: Option<Directory>,
    /// Sorted by service.
    pub(super) rollouts: Vec<TrackedRollout>,
    /// Rollouts that the store lost when it came back from an older copy, and when. The operator
    /// writes them again.
    lost_rollouts: Vec<(Time, TrackedRollout)>,
    /// Until when this node may not know yet that a rollout has ended.
    rollouts_held_until: Time,
}

/// Rollout as tracked by this node.
pub(crate) struct TrackedRollout {
    pub(super) rollout: Rollout,
    pub(super) first_seen: Time,
    pub(super) judge: Judge,
    /// Set when the version was found bad, also before that is stored.
    pub(super) is_stopped: bool,
    /// Outcome to be written to the store, and the time of the last attempt.
    pub(super) decided: Option<RolloutState>,
    pub(super) written_at: Option<Time>,
    /// Whether the rollout has ended and the store may have lost its outcome.
    pub(super) is_outcome_in_doubt: bool,
    pub(super) exposure: Exposure,
}

impl TrackedRollout {
    fn new(rollout: Rollout, first_seen: Time) -> Self {
        Self {
            judge: Judge::new(first_seen, rollout.finish_in),
            rollout,
            first_seen,
            is_stopped: false,
            decided: None,
            written_at: None,
            is_outcome_in_doubt: false,
            exposure: Exposure::default(),
        }
    }

    /// Applies a newer revision of the same rollout. A final state is never reverted.
    fn renew(&mut self, rollout: Rollout, first_seen: Time) {
        self.first_seen = self.first_seen.min(first_seen);
        let state = self.rollout.state;
        self.rollout = rollout;
        if state != RolloutState::Running {
            self.rollout.state = state;
        }
    }

    /// Compares the state that the store holds with the outcome, if that is in doubt.
    fn check_stored_outcome(&mut self, stored: &Rollout) {
        if !self.is_outcome_in_doubt || stored.target_version != self.rollout.target_version {
            return;
        }
        if stored.state == RolloutState::Running {
            self.decided = Some(self.rollout.state);
        } else {
            self.is_outcome_in_doubt = false;
            self.decided = None;
        }
    }

    /// Returns the versions that a new request may run on, and its use for the canary; counts the
    /// request in `exposure`.
    pub(super) fn rule(
        &self,
        request: RolloutRequest,
        exposure: &mut Exposure,
        allowance: u32,
        nodes: usize,
    ) -> (VersionRule, CanaryUse) {
        let version = self.rollout.target_version.clone();
        match self.rollout.state {
            RolloutState::Completed => (VersionRule::Only(version), CanaryUse::None),
            RolloutState::RolledBack => (VersionRule::Avoid(version), CanaryUse::None),
            RolloutState::Running if self.is_stopped => {
                (VersionRule::Avoid(version), CanaryUse::None)
            }
            RolloutState::Running => match exposure.next(request, allowance.into(), nodes) {
                CanaryUse::None => (VersionRule::Avoid(version), CanaryUse::None),
                canary_use => (VersionRule::Only(version), canary_use),
            },
        }
    }
}

impl Mesh {
    pub(super) fn config(&self) -> Option<&Rc<MeshConfig>> {
        self.config.as_ref()
    }

    pub(super) fn config_version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the client accounts; `None` if requests need no key.
    pub(super) fn accounts(&self) -> Option<&Directory> {
        self.accounts.as_ref()
    }

    /// Returns whether a newer configuration than the one in force was announced.
    pub(super) fn is_behind(&self) -> bool {
        self.newest_announced > self.config_version()
    }

    pub(super) fn config_age(&self, now: Time) -> Duration {
        now.saturating_sub(self.config_adopted_at)
    }

    /// Records the version that another node has announced.
    pub(super) fn config_announced(&mut self, version: ConfigVersion) {
        self.newest_announced = self.newest_announced.max(version);
    }

    /// Keeps a change for nodes that missed it. Kept changes form a sequence without gaps.
    fn push_delta(&mut self, delta: ConfigDelta) {
        let follows = |last: &ConfigDelta| last.version == delta.base;
        if !self.deltas.back().is_none_or(follows) {
            self.deltas.clear();
        }
        if self.deltas.len() >= MAX_KEPT_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    /// Returns the configuration as an encoded frame. It is cached, since many nodes request it
    /// when they start together.
    fn encoded_config(&mut self, config: &MeshConfig) -> Rc<Vec<u8>> {
        let encoded_config = self.encoded_config.get_or_insert_with(|| {
            let mut bytes = Vec::new();
            frame::encode(&Frame::Config(Box::new(config.clone())), &mut bytes);
            Rc::new(bytes)
        });
        Rc::clone(encoded_config)
    }

    /// Returns the changes that lead from a version to the one in force; none if some are not kept.
    fn deltas_since(&self, current: ConfigVersion) -> Vec<ConfigDelta> {
        let start = self.deltas.iter().position(|delta| delta.base == current);
        start.map_or(Vec::new(), |start| {
            self.deltas.range(start..).cloned().collect()
        })
    }

    pub(super) fn rollouts_revision(&self) -> ObjectRevision {
        let revisions = self.rollouts.iter().map(|tracked| tracked.rollout.revision);
        revisions.max().unwrap_or_default()
    }

    /// Suspends canary requests and verdicts until this node can know the state of the rollouts.
    pub(super) fn hold_rollouts_until(&mut self, until: Time) {
        self.rollouts_held_until = until;
    }

    pub(super) fn are_rollouts_held(&self, now: Time) -> bool {
        now < self.rollouts_held_until
    }

    pub(super) fn tracked_rollout(&self, service: &str) -> Option<&TrackedRollout> {
        let index = self.rollout_index(service).ok()?;
        self.rollouts.get(index)
    }

    pub(super) fn tracked_rollout_mut(&mut self, service: &str) -> Option<&mut TrackedRollout> {
        let index = self.rollout_index(service).ok()?;
        self.rollouts.get_mut(index)
    }

    fn rollout_index(&self, service: &str) -> Result<usize, usize> {
        self.rollouts
            .binary_search_by(|tracked| tracked.rollout.service.as_str().cmp(service))
    }

    /// Applies a rollout or its new state and returns whether anything changed.
    fn apply_rollout(&mut self, rollout: Rollout, first_seen: Time, now: Time) -> bool {
        self.lost_rollouts
            .retain(|(at, _)| now.saturating_sub(*at) < LOST_ROLLOUT_RETENTION);
        match self.rollout_index(&rollout.service) {
            Err(index) => {
                self.rollouts
                    .insert(index, TrackedRollout::new(rollout, first_seen));
                true
            }
            Ok(index) => {
                let existing = &mut self.rollouts[index];
                if rollout.revision <= existing.rollout.revision {
                    return false;
                }
                if rollout.target_version == existing.rollout.target_version {
                    existing.renew(rollout, first_seen);
                    return true;
                }
                let is_later_era = rollout.revision.era > existing.rollout.revision.era;
                let is_lost = |(_, lost): &(Time, TrackedRollout)| {
                    lost.rollout.service == rollout.service
                        && lost.rollout.target_version == rollout.target_version
                };
                let found = self.lost_rollouts.iter().position(is_lost);
                let renewed = match found {
                    Some(lost) => {
                        let (_, mut lost) = self.lost_rollouts.swap_remove(lost);
                        lost.renew(rollout, first_seen);
                        lost
                    }
                    None => TrackedRollout::new(rollout, first_seen),
                };
                let replaced = std::mem::replace(existing, renewed);
                if is_later_era {
                    self.lost_rollouts.push((now, replaced));
                }
                true
            }
        }
    }

    /// Marks the outcomes of all rollouts that have ended as possibly lost by the store. They are
    /// written again once the store shows the rollout without its outcome.
    pub(super) fn doubt_stored_outcomes(&mut self) {
        for tracked in &mut self.rollouts {
            tracked.written_at = None;
            if tracked.rollout.state != RolloutState::Running {
                tracked.is_outcome_in_doubt = true;
                tracked.decided = None;
            }
        }
    }

    pub(super) fn remove_rollout(&mut self, service: &str) {
        if let Ok(index) = self.rollout_index(service) {
            self.rollouts.remove(index);
        }
    }
}

impl Node {
    /// Puts a configuration in force if it is newer than the current one.
    pub(super) fn adopt_config(&mut self, config: MeshConfig, source: UpdateSource) {
        let before = self.mesh.config.clone();
        let current = self.mesh.config_version();
        if before.is_some() && config.version <= current {
            return;
        }
        let age = self.mesh.config_age(self.now);
        if before.is_some() {
            metrics::histogram!("hemlockfall_sidecar_config_age_seconds").record(age.as_secs_f64());
        }
        self.log_event(
            "config_adopted",
            json!({
                "config": config.version, "before": current, "before_age_ms": ms(age),
                "routes": config.routes.len(), "source": source.name(),
            }),
        );
        self.mesh.router.load(&config);
        let config = Rc::new(config);
        self.mesh.accounts = Directory::new(&config);
        self.mesh.config = Some(Rc::clone(&config));
        self.mesh.config_adopted_at = self.now;
        self.mesh.encoded_config = None;
        self.overlay_is_due = true;
        self.update_coldness();
        self.update_allowance_limits();
        if let Some(before) = before {
            self.broadcast_config_change(config.delta_from(&before), source);
        } else {
            self.announce_first_config();
        }
        self.begin_deferred();
    }

    /// Notifies a few nodes of the data centre that this node has a configuration. All nodes may
    /// have started together without one; each that receives it notifies some more.
    fn announce_first_config(&mut self) {
        let mut links = self.links_in_data_centre();
        let frame = self.config_version_frame();
        for _ in 0..FIRST_CONFIG_NOTICES.min(links.len()) {
            let choice = self.random.random_range(0..links.len());
            self.send_frame(links.swap_remove(choice), &frame);
        }
    }

    /// Broadcasts a change of the configuration. A large change is sent in full to other data
    /// centres; inside a data centre only its version is announced, and each node requests it from
    /// one relay, so that it receives the change once.
    fn broadcast_config_change(&mut self, delta: ConfigDelta, source: UpdateSource) {
        let frame = Frame::ConfigDelta(Box::new(delta.clone()));
        self.mesh.push_delta(delta);
        if frame::encoded_bytes(&frame) <= MAX_PUSHED_CHANGE_BYTES {
            self.broadcast(&frame, source.link());
            return;
        }
        self.broadcast_to_other_data_centres(&frame, source.link());
        self.broadcast_in_data_centre(&self.config_version_frame(), source.link());
    }

    fn config_version_frame(&self) -> Frame {
        Frame::HasConfig {
            config: self.mesh.config_version(),
        }
    }

    /// Handles the version that another node has, sent as an announcement or in answer to a request
    /// when that node has nothing newer.
    pub(super) fn handle_config_version(&mut self, link: u64, config: ConfigVersion) {
        if config > self.mesh.config_version() {
            self.mesh.config_announced(config);
            self.request_config(link);
        } else if self
            .mesh
            .pending_request
            .is_some_and(|(pending_link, _)| pending_link == link)
        {
            self.mesh.pending_request = None;
        }
    }

    /// Requests the configuration again as long as this node lacks one, lacks the evacuations that
    /// are sent with it, or knows of a newer one.
    pub(super) fn check_config(&mut self) {
        let is_behind =
            self.mesh.config().is_none() || self.lacks_evacuations() || self.mesh.is_behind();
        if !is_behind {
            return;
        }
        // The whole data centre may lack the configuration. Other data centres are asked later,
        // since bytes between data centres are charged.
        let asks_remote = self.ticks > FIRST_REMOTE_REQUEST_TICK
            && self.ticks.is_multiple_of(REMOTE_REQUEST_TICKS);
        let local = self.links_in_data_centre();
        let links = if local.is_empty() || asks_remote {
            self.all_links()
        } else {
            local
        };
        let choice = self.random.random_range(0..links.len().max(1));
        if let Some(link) = links.get(choice) {
            self.request_config(*link);
        }
    }

    pub(super) fn handle_config_delta(&mut self, link: u64, delta: ConfigDelta) {
        if delta.version <= self.mesh.config_version() {
            return;
        }
        let applied = self
            .mesh
            .config
            .as_ref()
            .and_then(|config| config.apply(delta));
        match applied {
            Some(config) => self.adopt_config(config, UpdateSource::Peer(link)),
            None => self.request_config(link),
        }
    }

    /// Requests the configuration from one node. The configuration may be large, so another node is
    /// asked only after `CONFIG_REQUEST_TIMEOUT`.
    pub(super) fn request_config(&mut self, link: u64) {
        let is_waiting = self
            .mesh
            .pending_request
            .is_some_and(|(_, at)| self.now.saturating_sub(at) < CONFIG_REQUEST_TIMEOUT);
        if !is_waiting {
            self.mesh.pending_request = Some((link, self.now));
            let current = self.mesh.config_version();
            self.send_frame(link, &Frame::ConfigRequest { current });
        }
    }

    pub(super) fn handle_config_request(&mut self, link: u64, current: ConfigVersion) {
        // The evacuations go first, so that the other node knows them when it begins to serve.
        self.send_evacuations(link);
        let deltas = self.mesh.deltas_since(current);
        if !deltas.is_empty() {
            for delta in deltas {
                self.send_frame(link, &Frame::ConfigDelta(Box::new(delta)));
            }
        } else if let Some(config) = self.mesh.config.clone()
            && config.version > current
        {
            let encoded_config = self.mesh.encoded_config(&config);
            self.send_encoded(link, FrameKind::Config, &encoded_config);
        } else {
            let frame = self.config_version_frame();
            self.send_frame(link, &frame);
        }
        let updates = self.rollout_updates();
        if !updates.is_empty() {
            self.send_frame(link, &Frame::Rollouts(updates));
        }
    }

    pub(super) fn handle_rollout_updates(&mut self, link: u64, updates: Vec<RolloutUpdate>) {
        for item in updates {
            let age = Duration::from_millis(item.age_ms.into());
            self.adopt_rollout(item.rollout, age, UpdateSource::Peer(link));
        }
    }

    fn rollout_updates(&self) -> Vec<RolloutUpdate> {
        self.mesh
            .rollouts
            .iter()
            .map(|tracked| RolloutUpdate {
                rollout: tracked.rollout.clone(),
                age_ms: u32::try_from(ms(self.now.saturating_sub(tracked.first_seen)))
                    .unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Applies a rollout or its new state, and broadcasts all rollouts if it changed anything.
    pub(super) fn adopt_rollout(&mut self, rollout: Rollout, age: Duration, source: UpdateSource) {
        let fields = json!({
            "service": rollout.service, "version": rollout.target_version,
            "state": format!("{:?}", rollout.state), "revision": rollout.revision.number,
            "store_era": rollout.revision.era,
            "finish_in_ms": ms(rollout.finish_in), "age_ms": ms(age), "source": source.name(),
        });
        let service = rollout.service.clone();
        let current_version = self
            .mesh
            .tracked_rollout(&service)
            .map(|tracked| tracked.rollout.target_version.clone());
        let is_new_rollout = current_version.as_ref() != Some(&rollout.target_version);
        let first_seen = self.now.saturating_sub(age);
        let stored = rollout.clone();
        let has_changed = self.mesh.apply_rollout(rollout, first_seen, self.now);
        if source == UpdateSource::Store
            && let Some(tracked) = self.mesh.tracked_rollout_mut(&service)
        {
            tracked.check_stored_outcome(&stored);
        }
        if !has_changed {
            return;
        }
        if is_new_rollout {
            self.target.clear_counts();
        }
        self.log_event("rollout_adopted", fields);
        self.overlay_is_due = true;
        let updates = self.rollout_updates();
        self.broadcast(&Frame::Rollouts(updates), source.link());
    }
}
