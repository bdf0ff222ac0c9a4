//! Evaluation of rollouts: nodes report the answers of their targets to the store watchers, and one
//! of these decides and writes the outcome.

use std::time::Duration;

use hemlockfall_core::ids::ServiceName;
use serde_json::json;

use crate::clock::Time;
use crate::edge::frame::Frame;
use crate::judge::Evidence;
use crate::judge::Verdict;
use crate::model::RolloutState;
use crate::node::Node;
use crate::node::peers::Peer;
use crate::platform::StoreCall;

/// Interval between two reports of evidence, in ticks.
const EVIDENCE_TICKS: u64 = 4;
/// Delay by which each store watcher decides later than the one ranked before it, so that mostly
/// only one of them writes the outcome.
const DECISION_LAG_PER_RANK: Duration = Duration::from_millis(1200);
/// Time between attempts to write an outcome to the store.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the last watcher heartbeat up to which a node counts as a store watcher.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(2500);

impl Node {
    pub(super) fn check_rollouts(&mut self) {
        if self.mesh.rollouts.is_empty() {
            return;
        }
        if self.ticks.is_multiple_of(EVIDENCE_TICKS) {
            self.report_evidence();
        }
        if self.is_watching_store() {
            let services: Vec<ServiceName> = self
                .mesh
                .rollouts
                .iter()
                .filter(|tracked| {
                    tracked.rollout.state == RolloutState::Running || tracked.is_outcome_in_doubt
                })
                .map(|tracked| tracked.rollout.service.clone())
                .collect();
            for service in services {
                self.judge(&service);
                self.write_outcome(&service);
            }
        }
    }

    /// Sends the counts of this node's target to the store watchers.
    fn report_evidence(&mut self) {
        let Some(target) = self.target.own.current() else {
            return;
        };
        let (service, version) = (target.service.clone(), target.version.clone());
        let Some(tracked) = self.mesh.tracked_rollout(&service) else {
            return;
        };
        if tracked.rollout.state != RolloutState::Running {
            return;
        }
        let (routes, busy) = self.counts();
        let evidence = Evidence {
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            is_new_version: version == tracked.rollout.target_version,
            routes,
            busy,
        };
        let target_version = tracked.rollout.target_version.clone();
        let frame = Frame::Evidence {
            service: service.clone(),
            version: target_version.clone(),
            evidence: evidence.clone(),
        };
        self.handle_evidence(&service, &target_version, evidence);
        let links: Vec<u64> = self
            .evidence_recipients()
            .into_iter()
            .filter_map(|peer| self.peers.get(peer)?.link)
            .collect();
        for link in links {
            self.send_frame(link, &frame);
        }
    }

    /// Returns the store watchers while a rollout of this node's service is running, or none.
    pub(super) fn evidence_recipients(&self) -> Vec<u64> {
        let is_judged = self.target.own.current().is_some_and(|target| {
            let tracked = self.mesh.tracked_rollout(&target.service);
            tracked.is_some_and(|tracked| tracked.rollout.state == RolloutState::Running)
        });
        if !is_judged {
            return Vec::new();
        }
        let is_watcher = |peer: &Peer| is_fresh(peer.watcher_heartbeat_at, self.now);
        let peers = self.peers.iter();
        peers
            .filter(|(_, peer)| is_watcher(peer))
            .map(|(id, _)| id)
            .collect()
    }

    pub(super) fn handle_evidence(&mut self, service: &str, version: &str, evidence: Evidence) {
        if let Some(tracked) = self.mesh.tracked_rollout_mut(service)
            && tracked.rollout.target_version == version
        {
            tracked.judge.record(evidence);
        }
    }

    fn judge(&mut self, service: &str) {
        if self.mesh.are_rollouts_held(self.now) {
            // Evidence that arrived during a process pause may not have been read yet.
            return;
        }
        let rank = self.rank_among_watchers();
        let Some(tracked) = self.mesh.tracked_rollout_mut(service) else {
            return;
        };
        if tracked.decided.is_some() || tracked.is_outcome_in_doubt {
            return;
        }
        // Watchers that rank later evaluate with a lag: those before them should have decided.
        let lag = DECISION_LAG_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX);
        let verdict = tracked.judge.verdict(self.now.saturating_sub(lag));
        let (state, reason) = match verdict {
            Verdict::Open => return,
            Verdict::Accept => (RolloutState::Completed, "no fault was found".to_owned()),
            Verdict::Reject { reason } => (RolloutState::RolledBack, reason),
        };
        if tracked.is_stopped && state == RolloutState::Completed {
            return;
        }
        tracked.decided = Some(state);
        let version = tracked.rollout.target_version.clone();
        let (answers, busy) = (tracked.judge.answers(), tracked.judge.busy_answers());
        self.log_event(
            "rollout_judged",
            json!({
                "service": service, "version": version, "state": format!("{state:?}"),
                "reason": reason, "answers": answers.answers, "failures": answers.failures,
                "busy_answers": busy.answers, "busy_failures": busy.failures,
                "rank": rank,
            }),
        );
        if state == RolloutState::RolledBack {
            self.stop_canary(service, &version, &reason);
            let frame = Frame::StopCanary {
                service: service.into(),
                version,
            };
            self.broadcast(&frame, None);
        }
    }

    /// Writes a decided outcome, and again at intervals until the store has it.
    fn write_outcome(&mut self, service: &str) {
        let now = self.now;
        let store_era = self.store.era.unwrap_or_default();
        let Some(tracked) = self.mesh.tracked_rollout_mut(service) else {
            return;
        };
        let Some(state) = tracked.decided else {
            return;
        };
        if tracked.rollout.revision.era != store_era {
            // The store may have given the revision out again for another rollout.
            return;
        }
        let is_due = tracked
            .written_at
            .is_none_or(|at| now.saturating_sub(at) >= WRITE_RETRY_INTERVAL);
        if is_due {
            tracked.written_at = Some(now);
            let rollout = tracked.rollout.clone();
            self.queue_store_call(StoreCall::SetRolloutState { rollout, state });
        }
    }

    /// Stops the canary of a version that was found bad. Returns whether it was still running here.
    pub(super) fn stop_canary(&mut self, service: &str, version: &str, reason: &str) -> bool {
        let Some(tracked) = self.mesh.tracked_rollout_mut(service) else {
            return false;
        };
        if tracked.rollout.target_version != version || tracked.is_stopped {
            return false;
        }
        tracked.is_stopped = true;
        tracked.decided.get_or_insert(RolloutState::RolledBack);
        self.log_event(
            "trial_stopped",
            json!({ "service": service, "version": version, "reason": reason }),
        );
        true
    }

    /// Returns the rank of this node among the store watchers, in the order of their names.
    fn rank_among_watchers(&self) -> usize {
        let own = &self.settings.name;
        let now = self.now;
        self.peers
            .iter()
            .filter(|(_, peer)| is_fresh(peer.watcher_heartbeat_at, now) && peer.record.node < *own)
            .count()
    }
}

fn is_fresh(watcher_heartbeat_at: Option<Time>, now: Time) -> bool {
    watcher_heartbeat_at.is_some_and(|at| now.saturating_sub(at) < MAX_HEARTBEAT_AGE)
}
