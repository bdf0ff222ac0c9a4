//! Choice of the node whose target gets a request.

use std::time::Duration;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::RegionName;
use rand::Rng;
use rand::RngExt;

use crate::clock::Time;
use crate::model::LoadReport;

/// Age up to which a load report counts in full.
const FRESH: Duration = Duration::from_millis(400);
/// Mean time of a run until one was reported, in milliseconds.
const FIRST_RUN_MS: f64 = 60.0;
/// Candidates within this distance of the best are chosen among at random, so that nodes that
/// see the same reports do not all pick the same target, in milliseconds.
const TIE_MS: f64 = 3.0;
/// Cost of failed runs: a request that fails is sent again, in milliseconds for all failing.
const FAILURE_COST_MS: f64 = 400.0;

/// `Distance` is how far away a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// This node.
    Own,
    /// The same data centre.
    DataCentre,
    /// Another data centre of the region.
    Region,
    /// Another region.
    Far,
}

impl Distance {
    /// `between` compares two places.
    #[must_use]
    pub fn between(
        own: (&DataCentreName, &RegionName),
        other: (&DataCentreName, &RegionName),
    ) -> Self {
        if own.0 == other.0 {
            Self::DataCentre
        } else if own.1 == other.1 {
            Self::Region
        } else {
            Self::Far
        }
    }

    /// Time on the way and the price of the traffic, as milliseconds of waiting.
    fn cost_ms(self) -> f64 {
        match self {
            Self::Own => 0.0,
            Self::DataCentre => 1.0,
            Self::Region => 45.0,
            Self::Far => 75.0,
        }
    }

    /// `round_trip` is about the time to the node and back.
    #[must_use]
    pub fn round_trip(self) -> Duration {
        match self {
            Self::Own => Duration::ZERO,
            Self::DataCentre => Duration::from_millis(1),
            Self::Region => Duration::from_millis(4),
            Self::Far => Duration::from_millis(26),
        }
    }
}

/// `Candidate` is a node whose target runs the service.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Identifies the node.
    pub node: u64,
    /// Distance.
    pub distance: Distance,
    /// Last load report.
    pub load: LoadReport,
    /// When the report arrived.
    pub load_at: Time,
    /// Own requests there without an answer.
    pub outstanding: u16,
    /// Slots of the target.
    pub slots: u16,
}

impl Candidate {
    /// `expected_wait_ms` estimates the time until a slot is free.
    #[must_use]
    pub fn expected_wait_ms(&self, now: Time) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let excess = self.busy(now) + 1.0 - slots;
        if excess <= 0.0 {
            return 0.0;
        }
        excess * self.run_ms() / slots
    }

    /// `is_known_full` tells whether a fresh report rules out an answer within a time.
    #[must_use]
    pub fn is_known_full(&self, within: Duration, now: Time) -> bool {
        let is_fresh = now.saturating_sub(self.load_at) < FRESH;
        is_fresh && self.expected_wait_ms(now) > within.as_secs_f64() * 1000.0
    }

    fn run_ms(&self) -> f64 {
        match self.load.run_ms {
            0 => FIRST_RUN_MS,
            run_ms => f64::from(run_ms),
        }
    }

    /// Requests at the target: as reported while the report is fresh, then fading to those that
    /// this node knows of.
    fn busy(&self, now: Time) -> f64 {
        let reported = f64::from(self.load.running) + f64::from(self.load.queued);
        let own = f64::from(self.outstanding);
        let age = now.saturating_sub(self.load_at);
        let weight = (1.0 - age.as_secs_f64() / (3.0 * FRESH.as_secs_f64())).max(0.0);
        own.max(reported * weight)
    }

    fn cost_ms(&self, now: Time) -> f64 {
        let failures = f64::from(self.load.failed_permille) / 1000.0;
        self.expected_wait_ms(now)
            + self.run_ms()
            + self.distance.cost_ms()
            + failures * FAILURE_COST_MS
    }
}

/// `choose` picks the candidate at which an answer is expected first, counting the price of the
/// way; `None` when there is none or all are known to be too full to answer in time.
pub fn choose(
    candidates: &[Candidate],
    time_left: Duration,
    now: Time,
    random: &mut impl Rng,
) -> Option<u64> {
    let mut costs: Vec<(f64, u64)> = candidates
        .iter()
        .filter(|candidate| !candidate.is_known_full(time_left, now))
        .map(|candidate| (candidate.cost_ms(now), candidate.node))
        .collect();
    costs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let best = costs.first()?.0;
    let ties = costs.partition_point(|(cost, _)| *cost <= best + TIE_MS);
    let index = random.random_range(0..ties);
    costs.get(index).map(|(_, node)| *node)
}
