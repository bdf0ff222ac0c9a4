//! Judgement on roll-outs: nodes tell what their targets answered, and one node that follows
//! the store decides and writes the outcome.

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

/// Rounds between two reports of evidence.
const EVIDENCE_TICKS: u64 = 4;
/// Time by which each further node that follows the store decides later than the one before it,
/// so that mostly one of them writes.
const DECIDE_LAG: Duration = Duration::from_millis(1200);
/// Time between attempts to write an outcome.
const WRITE_AGAIN: Duration = Duration::from_millis(500);
/// Age up to which a node counts as following the store.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(2500);

impl Node {
    pub(super) fn check_trials(&mut self) {
        if self.mesh.trials.is_empty() {
            return;
        }
        if self.ticks.is_multiple_of(EVIDENCE_TICKS) {
            self.report_evidence();
        }
        if self.is_watching_store() {
            let services: Vec<ServiceName> = self
                .mesh
                .trials
                .iter()
                .filter(|trial| trial.rollout.state == RolloutState::Running)
                .map(|trial| trial.rollout.service.clone())
                .collect();
            for service in services {
                self.judge(&service);
                self.write_outcome(&service);
            }
        }
    }

    /// Tells the nodes that follow the store what this node's target answered.
    fn report_evidence(&mut self) {
        let Some(target) = self.target.own.current() else {
            return;
        };
        let (service, version) = (target.service.clone(), target.version.clone());
        let Some(trial) = self.mesh.trial(&service) else {
            return;
        };
        if trial.rollout.state != RolloutState::Running {
            return;
        }
        let (routes, busy) = self.counts();
        let evidence = Evidence {
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            is_new_version: version == trial.rollout.target_version,
            routes,
            busy,
        };
        let target_version = trial.rollout.target_version.clone();
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

    /// The nodes that follow the store, while they judge the version of this node's target.
    pub(super) fn evidence_recipients(&self) -> Vec<u64> {
        let is_judged = self.target.own.current().is_some_and(|target| {
            let trial = self.mesh.trial(&target.service);
            trial.is_some_and(|trial| trial.rollout.state == RolloutState::Running)
        });
        if !is_judged {
            return Vec::new();
        }
        let listens = |peer: &Peer| is_fresh(peer.watcher_heartbeat_at, self.now);
        let peers = self.peers.iter();
        peers
            .filter(|(_, peer)| listens(peer))
            .map(|(id, _)| id)
            .collect()
    }

    pub(super) fn handle_evidence(&mut self, service: &str, version: &str, evidence: Evidence) {
        if let Some(trial) = self.mesh.trial_mut(service)
            && trial.rollout.target_version == version
        {
            trial.judge.record(evidence);
        }
    }

    fn judge(&mut self, service: &str) {
        if self.mesh.are_trials_held(self.now) {
            // Evidence of the time in which the process stood still has not been read.
            return;
        }
        let rank = self.rank_among_watchers();
        let Some(trial) = self.mesh.trial_mut(service) else {
            return;
        };
        if trial.decided.is_some() {
            return;
        }
        // Later nodes judge what the earlier ones should have settled by now.
        let lag = DECIDE_LAG * u32::try_from(rank).unwrap_or(u32::MAX);
        let verdict = trial.judge.verdict(self.now.saturating_sub(lag));
        let (state, reason) = match verdict {
            Verdict::Open => return,
            Verdict::Accept => (RolloutState::Completed, "no fault was found".to_owned()),
            Verdict::Reject { reason } => (RolloutState::RolledBack, reason),
        };
        if trial.is_stopped && state == RolloutState::Completed {
            return;
        }
        trial.decided = Some(state);
        let version = trial.rollout.target_version.clone();
        let (answers, busy) = (trial.judge.answers(), trial.judge.busy_answers());
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
            self.stop_trial(service, &version, &reason);
            let frame = Frame::StopTrial {
                service: service.into(),
                version,
            };
            self.broadcast(&frame, None);
        }
    }

    /// Writes the outcome until the store has it.
    fn write_outcome(&mut self, service: &str) {
        let now = self.now;
        let Some(trial) = self.mesh.trial_mut(service) else {
            return;
        };
        let Some(state) = trial.decided else {
            return;
        };
        let is_due = trial
            .written_at
            .is_none_or(|at| now.saturating_sub(at) >= WRITE_AGAIN);
        if is_due {
            trial.written_at = Some(now);
            let rollout = trial.rollout.clone();
            self.queue_store_call(StoreCall::SetRolloutState { rollout, state });
        }
    }

    /// Sends nothing more to a version that was found bad; tells whether that is new.
    pub(super) fn stop_trial(&mut self, service: &str, version: &str, reason: &str) -> bool {
        let Some(trial) = self.mesh.trial_mut(service) else {
            return false;
        };
        if trial.rollout.target_version != version || trial.is_stopped {
            return false;
        }
        trial.is_stopped = true;
        trial.decided.get_or_insert(RolloutState::RolledBack);
        self.log_event(
            "trial_stopped",
            json!({ "service": service, "version": version, "reason": reason }),
        );
        true
    }

    /// Place of this node among those that follow the store.
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
