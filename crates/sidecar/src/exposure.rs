//! The share of a service's requests that a version under trial may get.
//!
//! Some faults show only at a busy target, and a small share spread over all new targets never
//! makes one busy. So most of the share is saved up and spent at a few moments that all nodes
//! share, on the same new targets one after the other.

use std::time::Duration;

/// Requests of a service that all nodes together may send to the new version, in permille. The
/// bound on the mesh counts requests that reach a target, and some are refused before that.
const SHARE_PERMILLE: u64 = 80;
/// Part of the fixed allowance that the nodes use together, in percent. A restarted node has
/// forgotten what it used.
const ALLOWANCE_PERCENT: u64 = 40;
/// Part of its share that a node may have used by a part of the roll-out's time, both in percent.
/// The first entry lets a version that fails all the time show it at little cost; each later one
/// releases a load test, when targets that started with the roll-out are warm.
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
/// Requests are counted in hundred thousandths, so that no node rounds its part up.
const UNITS_PER_REQUEST: u64 = 100_000;

#[derive(Clone, Copy, Debug)]
struct Step {
    after_percent: u32,
    usable_percent: u64,
}

/// `CanaryUse` is what a request of the service is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanaryUse {
    /// It does not go to the new version.
    None,
    /// It goes to any target of the new version.
    Spread,
    /// It goes to the target that is tested under load; the number of the test orders the targets.
    LoadTest(u8),
}

/// `RolloutRequest` is a request as far as its use for a trial depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutRequest {
    /// Time since the order for the roll-out.
    pub age: Duration,
    /// Time within which the roll-out must end.
    pub finish_in: Duration,
    /// Whether the request may be repeated when it fails.
    pub is_idempotent: bool,
}

/// `Exposure` counts what one node sends during one roll-out. Every node keeps to the share of
/// its own requests, so that the sum keeps to it without agreement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exposure {
    requests: u64,
    canary_requests: u64,
}

impl Exposure {
    /// `next` counts a request and tells what it is used for; `nodes` is the number of nodes that
    /// share the fixed allowance.
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

    /// `canary_requests` counts the requests for the new version.
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
