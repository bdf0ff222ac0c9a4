//! Limit on the canary requests of a service.
//!
//! Some faults show only at a busy target, and a small share distributed over all new targets keeps
//! each of them idle. So most of the share is saved up and spent in a few load tests. All nodes run
//! a test at the same part of the rollout's time and fill the new targets in the same order.

use std::time::Duration;

/// Share of a service's requests that may be canary requests, in permille. The bound on the mesh
/// counts only requests that reach a target, so a margin is left for those refused before that.
const SHARE_PERMILLE: u64 = 80;
/// Part of the fixed allowance that all nodes together use, in percent. The rest covers nodes that
/// restart and lose their count of canary requests.
const ALLOWANCE_PERCENT: u64 = 40;
/// Parts of a node's share that become usable in the course of the rollout. The first step exposes
/// a version that always fails at little cost. Each later step releases a load test, at a time when
/// targets that started with the rollout are warm.
const STEPS: [Step; 4] = [
    Step {
        after_percent: 0,
        usable_percent: 25,
    },
    Step {
        after_percent: 35,
        usable_percent: 55,
    },
    Step {
        after_percent: 52,
        usable_percent: 85,
    },
    Step {
        after_percent: 66,
        usable_percent: 100,
    },
];
/// Units in which a request is counted. A node's share may be a fraction of a request, which must
/// not be rounded up.
const UNITS_PER_REQUEST: u64 = 100_000;

#[derive(Clone, Copy, Debug)]
struct Step {
    /// Part of the rollout's time, in percent.
    after_percent: u32,
    /// Part of the share that may be used from then on, in percent.
    usable_percent: u64,
}

/// Use of a request of the service for the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanaryUse {
    /// Not sent to the new version.
    None,
    /// Sent to any target of the new version.
    Spread,
    /// Sent to the target that is under load test; the number of the test determines the order of
    /// the targets.
    LoadTest(u8),
}

/// Properties of a request that determine its use for a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutRequest {
    /// Time since a node first saw the rollout.
    pub age: Duration,
    /// Time within which the rollout must end.
    pub finish_in: Duration,
    /// Whether the request may be retried after a failure.
    pub is_idempotent: bool,
}

/// Request counts of one node during one rollout. Each node limits the share of canary requests
/// among its own requests, so the sum over all nodes keeps to the share without coordination.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exposure {
    requests: u64,
    canary_requests: u64,
}

impl Exposure {
    /// Counts a request and returns its use; `nodes` is the number of nodes that share the fixed
    /// allowance.
    pub fn next(&mut self, request: RolloutRequest, allowance: u64, nodes: usize) -> CanaryUse {
        self.requests += 1;
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        let allowance_units = allowance * ALLOWANCE_PERCENT * UNITS_PER_REQUEST / 100 / nodes;
        let share_units =
            self.requests * SHARE_PERMILLE * UNITS_PER_REQUEST / 1000 + allowance_units;
        let needed_units = (self.canary_requests + 1) * UNITS_PER_REQUEST;
        let step = step_at(request.age, request.finish_in);
        let is_last = step + 1 == STEPS.len();
        let canary_use = if needed_units <= share_units * STEPS[0].usable_percent / 100 {
            CanaryUse::Spread
        } else if needed_units <= share_units * STEPS[step].usable_percent / 100
            && (request.is_idempotent || is_last)
        {
            CanaryUse::LoadTest(u8::try_from(step).unwrap_or(u8::MAX))
        } else {
            CanaryUse::None
        };
        self.canary_requests += u64::from(canary_use != CanaryUse::None);
        canary_use
    }

    /// Returns the number of canary requests.
    #[must_use]
    pub fn canary_requests(&self) -> u64 {
        self.canary_requests
    }
}

fn step_at(age: Duration, finish_in: Duration) -> usize {
    STEPS
        .iter()
        .rposition(|step| age >= finish_in * step.after_percent / 100)
        .unwrap_or_default()
}
