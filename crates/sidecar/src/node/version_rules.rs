//! Versions of a service that a request may run on during and after a rollout.

use crate::clock::Time;
use crate::exposure::CanaryUse;
use crate::exposure::Exposure;
use crate::exposure::RolloutRequest;
use crate::model::RolloutState;
use crate::node::mesh::Mesh;
use crate::node::mesh::VersionRule;

impl Mesh {
    /// Returns the versions that a new request of a service may run on, and its use for the canary.
    pub(super) fn version_rule(
        &mut self,
        service: &str,
        is_idempotent: bool,
        allowance: u32,
        nodes: usize,
        now: Time,
    ) -> (VersionRule, CanaryUse) {
        let (rule, canary_use, exposure) =
            self.next_version_rule(service, is_idempotent, allowance, nodes, now);
        if let Some(tracked) = self.tracked_rollout_mut(service) {
            tracked.exposure = exposure;
        }
        (rule, canary_use)
    }

    /// Returns what [`Self::version_rule`] would return, and the counts of requests after it.
    pub(super) fn next_version_rule(
        &self,
        service: &str,
        is_idempotent: bool,
        allowance: u32,
        nodes: usize,
        now: Time,
    ) -> (VersionRule, CanaryUse, Exposure) {
        let Some(tracked) = self.tracked_rollout(service) else {
            return (VersionRule::Any, CanaryUse::None, Exposure::default());
        };
        let mut exposure = tracked.exposure;
        if self.are_rollouts_held(now) {
            return (self.retry_rule(service), CanaryUse::None, exposure);
        }
        let request = RolloutRequest {
            age: now.saturating_sub(tracked.first_seen),
            finish_in: tracked.rollout.finish_in,
            is_idempotent,
        };
        let (rule, canary_use) = tracked.rule(request, &mut exposure, allowance, nodes);
        (rule, canary_use, exposure)
    }

    /// Returns the versions that a retry may run on; never a canary version.
    pub(super) fn retry_rule(&self, service: &str) -> VersionRule {
        let Some(tracked) = self.tracked_rollout(service) else {
            return VersionRule::Any;
        };
        let version = tracked.rollout.target_version.clone();
        match tracked.rollout.state {
            RolloutState::Completed => VersionRule::Only(version),
            RolloutState::Running | RolloutState::RolledBack => VersionRule::Avoid(version),
        }
    }

    /// Returns the versions that a canary request may run on when no target of the canary version can
    /// answer it in time; `None` if a rule is not that of a canary request.
    pub(super) fn rule_without_canary(
        &self,
        service: &str,
        rule: &VersionRule,
    ) -> Option<VersionRule> {
        let is_canary =
            matches!(rule, VersionRule::Only(_)) && !self.allows_other_versions(service);
        is_canary.then(|| self.retry_rule(service))
    }

    /// Returns whether other versions may serve when the preferred one has no target.
    pub(super) fn allows_other_versions(&self, service: &str) -> bool {
        self.tracked_rollout(service)
            .is_some_and(|tracked| tracked.rollout.state == RolloutState::Completed)
    }
}
