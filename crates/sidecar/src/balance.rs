//! Choice of the node whose target gets a request.
//!
//! A request should be answered in time, and traffic between data centres is charged by volume.
//! The choice weighs the chance of a late answer against the price of the way.

use std::time::Duration;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::RegionName;
use rand::Rng;
use rand::RngExt;

use crate::clock::Time;
use crate::model::LoadReport;

/// Age up to which a load report counts in full.
const MAX_FRESH_AGE: Duration = Duration::from_millis(400);
/// Mean time of a run when no target has reported one, in milliseconds.
const INITIAL_RUN_MS: f64 = 100.0;
/// A target that has not reported a run has mostly just started and is slow for some seconds.
const UNREPORTED_RUN_FACTOR: f64 = 2.0;
/// Run times scatter about their mean like a log-normal distribution with this deviation.
const RUN_DEVIATION: f64 = 0.7;
/// Slope that makes the logistic function follow the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.7;
/// Part of its credit that a late answer loses.
const LATE_LOSS: f64 = 0.9;
/// Part of its credit that a failed run loses; most are sent again.
const FAILURE_LOSS: f64 = 0.7;
/// Price of the way of a request with an answer of the mean size, between data centres and between
/// regions, in credits of one request. Bytes between data centres are charged by volume; what they
/// cost is only known relative to what the mesh carries.
const DATA_CENTRE_TRANSFER_COST: f64 = 0.20;
const REGION_TRANSFER_COST: f64 = 0.18;
/// Largest price of a way. Below the loss of a late answer, so that a request that its own data
/// centre cannot answer in time goes elsewhere.
const MAX_DATA_CENTRE_TRANSFER_COST: f64 = 0.5;
const MAX_REGION_TRANSFER_COST: f64 = 0.8;
/// Size of a request and its answer besides the answer's body, in KiB.
const FRAME_KIB: f64 = 0.3;
/// Size of an answer until one was seen, in KiB.
const INITIAL_ANSWER_KIB: f64 = 2.0;
/// Candidates within this distance of the best are chosen among at random, so that nodes that
/// see the same reports do not all pick the same target.
const LOSS_TOLERANCE: f64 = 0.01;

/// Near candidates that are compared.
const LOCAL_SAMPLE_SIZE: usize = 3;

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

    /// `name` is the distance as metrics and logs call it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::DataCentre => "data_centre",
            Self::Region => "region",
            Self::Far => "far",
        }
    }

    /// Price of the way of a request, in credits of one request; `relative_size` is that of its frames
    /// relative to the mean.
    fn transfer_cost(self, relative_size: f64) -> f64 {
        match self {
            Self::Own | Self::DataCentre => 0.0,
            Self::Region => {
                (DATA_CENTRE_TRANSFER_COST * relative_size).min(MAX_DATA_CENTRE_TRANSFER_COST)
            }
            Self::Far => (REGION_TRANSFER_COST * relative_size).min(MAX_REGION_TRANSFER_COST),
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

/// `Demand` is what a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Time until the answer loses its credit.
    pub time_left: Duration,
    /// Size of the answer's body, if answers of the route were seen, in KiB.
    pub answer_kib: Option<f64>,
    /// Mean size of the answers of all routes, if any was seen, in KiB.
    pub mean_kib: Option<f64>,
}

impl Demand {
    /// Size of the request's frames relative to the mean.
    fn relative_size(&self) -> f64 {
        let mean_kib = self.mean_kib.unwrap_or(INITIAL_ANSWER_KIB);
        (self.answer_kib.unwrap_or(mean_kib) + FRAME_KIB) / (mean_kib + FRAME_KIB)
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
        let excess = self.requests_at_target(now) + 1.0 - slots;
        if excess <= 0.0 {
            return 0.0;
        }
        excess * run_ms_or_initial(self.load.run_ms) / slots
    }

    /// Time beyond the end of a run until the answer has been sent on the node's link: as reported
    /// while the report is fresh, then fading to what this node asked for itself.
    fn link_wait_ms(&self, run_end_ms: f64, now: Time) -> f64 {
        let send_ms = f64::from(self.load.route_send_ms);
        if send_ms == 0.0 || self.distance == Distance::Own {
            return 0.0;
        }
        let reported_ms = f64::from(self.load.link_busy_ms) * self.report_weight(now);
        let busy_ms = reported_ms.max(f64::from(self.outstanding) * send_ms);
        (busy_ms - run_end_ms).max(0.0) + send_ms
    }

    /// `is_reported_full` tells whether a fresh report rules out an answer within a time.
    #[must_use]
    pub fn is_reported_full(&self, within: Duration, now: Time) -> bool {
        let is_fresh = now.saturating_sub(self.load_at) < MAX_FRESH_AGE;
        let wait_ms = self.expected_wait_ms(now);
        is_fresh && wait_ms + self.link_wait_ms(wait_ms, now) > within.as_secs_f64() * 1000.0
    }

    /// Requests at the target: as reported while the report is fresh, then fading to those that
    /// this node knows of.
    fn requests_at_target(&self, now: Time) -> f64 {
        let reported = f64::from(self.load.running) + f64::from(self.load.queued);
        let own = f64::from(self.outstanding);
        own.max(reported * self.report_weight(now))
    }

    fn report_weight(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.load_at);
        (1.0 - age.as_secs_f64() / (3.0 * MAX_FRESH_AGE.as_secs_f64())).max(0.0)
    }

    /// Credit that is expected to be lost by choosing this candidate.
    fn expected_loss(&self, demand: &Demand, mean_run_ms: f64, now: Time) -> f64 {
        let run_ms = match self.load.route_run_ms {
            0 => mean_run_ms * UNREPORTED_RUN_FACTOR,
            run_ms => f64::from(run_ms),
        };
        let network_ms = self.distance.round_trip().as_secs_f64() * 1000.0;
        let slot_ms = self.expected_wait_ms(now);
        let wait_ms = slot_ms + network_ms + self.link_wait_ms(slot_ms + run_ms, now);
        let left_ms = demand.time_left.as_secs_f64() * 1000.0 - wait_ms;
        let failures = f64::from(self.load.failed_permille) / 1000.0;
        late_probability(run_ms, left_ms) * LATE_LOSS
            + failures * FAILURE_LOSS
            + self.distance.transfer_cost(demand.relative_size())
    }
}

/// Chance that a run takes longer than the time left for it.
fn late_probability(mean_run_ms: f64, left_ms: f64) -> f64 {
    if left_ms <= 0.0 {
        return 1.0;
    }
    let mean_of_log = mean_run_ms.max(1.0).ln() - RUN_DEVIATION * RUN_DEVIATION / 2.0;
    let deviations = (left_ms.ln() - mean_of_log) / RUN_DEVIATION;
    1.0 / (1.0 + (LOGISTIC_SLOPE * deviations).exp())
}

/// Mean of the run times of the route that targets have reported.
fn mean_run_ms(candidates: &[Candidate]) -> f64 {
    let (mut sum_ms, mut count) = (0.0, 0.0);
    for candidate in candidates {
        if candidate.load.route_run_ms > 0 {
            sum_ms += f64::from(candidate.load.route_run_ms);
            count += 1.0;
        }
    }
    if count == 0.0 {
        return INITIAL_RUN_MS / UNREPORTED_RUN_FACTOR;
    }
    sum_ms / count
}

fn run_ms_or_initial(run_ms: u16) -> f64 {
    match run_ms {
        0 => INITIAL_RUN_MS,
        run_ms => f64::from(run_ms),
    }
}

/// `choose_first` picks the first candidate in an order that may answer in time, so that nodes
/// that share the order load the same target.
pub fn choose_first<K: Ord>(
    candidates: &[Candidate],
    demand: &Demand,
    now: Time,
    order: impl Fn(u64) -> K,
) -> Option<u64> {
    candidates
        .iter()
        .filter(|candidate| !candidate.is_reported_full(demand.time_left, now))
        .map(|candidate| candidate.node)
        .min_by_key(|node| order(*node))
}

/// Some of the near candidates and all others.
fn sample(candidates: &[Candidate], random: &mut impl Rng) -> Vec<Candidate> {
    let (mut local, mut sampled): (Vec<Candidate>, Vec<Candidate>) = candidates
        .iter()
        .copied()
        .partition(|candidate| candidate.distance == Distance::DataCentre);
    for _ in 0..LOCAL_SAMPLE_SIZE.min(local.len()) {
        let index = random.random_range(0..local.len());
        sampled.push(local.swap_remove(index));
    }
    sampled
}

/// `choose` picks the candidate with the smallest expected loss; `None` when there is none or
/// all are known to be too full to answer in time.
pub fn choose(
    candidates: &[Candidate],
    demand: &Demand,
    now: Time,
    random: &mut impl Rng,
) -> Option<u64> {
    let mean_run_ms = mean_run_ms(candidates);
    let sampled = sample(candidates, random);
    let mut losses: Vec<(f64, u64)> = sampled
        .iter()
        .filter(|candidate| !candidate.is_reported_full(demand.time_left, now))
        .map(|candidate| {
            (
                candidate.expected_loss(demand, mean_run_ms, now),
                candidate.node,
            )
        })
        .collect();
    losses.sort_by(|a, b| a.0.total_cmp(&b.0));
    let best = losses.first()?.0;
    let best_count =
        losses.partition_point(|(expected_loss, _)| *expected_loss <= best + LOSS_TOLERANCE);
    let index = random.random_range(0..best_count);
    losses.get(index).map(|(_, node)| *node)
}
