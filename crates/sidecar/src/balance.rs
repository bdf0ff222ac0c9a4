//! Load balancing between the nodes whose targets run a service.
//!
//! A request should be answered in time, and traffic between data centres is charged by volume.
//! The choice minimizes an expected loss, in units of the value of one answer in time: that of a
//! late or failed answer plus the transfer cost.

use std::time::Duration;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::RegionName;
use rand::Rng;
use rand::RngExt;

use crate::clock::Time;
use crate::model::LoadReport;

/// Age up to which a load report may rule out a target. The weight of a report decreases linearly
/// and reaches zero at three times this age.
const MAX_FRESH_AGE: Duration = Duration::from_millis(400);
/// Run time assumed while no target has reported one, in milliseconds.
const INITIAL_RUN_MS: f64 = 100.0;
/// Factor on the mean run time for a target that has not reported a run of the route. Such a
/// target has usually just started and is slow for some seconds.
const UNREPORTED_RUN_FACTOR: f64 = 2.0;
/// Standard deviation of the logarithm of run times, which are taken to be log-normal.
const RUN_DEVIATION: f64 = 0.7;
/// Slope at which the logistic function approximates the cumulative normal distribution.
const LOGISTIC_SLOPE: f64 = 1.7;
/// Loss of a late answer.
const LATE_LOSS: f64 = 0.9;
/// Loss of a failed run; below 1, as most failed requests are retried.
const FAILURE_LOSS: f64 = 0.7;
/// Transfer cost of a request with an answer of mean size to another data centre of the region.
/// Bytes between data centres are charged by volume, and the charge is only known relative to the
/// total traffic of the mesh.
const DATA_CENTRE_TRANSFER_COST: f64 = 0.20;
/// Transfer cost of a request with an answer of mean size to another region.
const REGION_TRANSFER_COST: f64 = 0.18;
/// Upper bound of the transfer cost to another data centre of the region. Both bounds lie below the
/// loss of a late answer, so that a request that the local data centre cannot answer in time is
/// sent elsewhere.
const MAX_DATA_CENTRE_TRANSFER_COST: f64 = 0.5;
/// Upper bound of the transfer cost to another region.
const MAX_REGION_TRANSFER_COST: f64 = 0.8;
/// Size of the request and answer frames without the body of the answer, in KiB.
const FRAME_KIB: f64 = 0.3;
/// Size of the body of an answer that is assumed until the first answer, in KiB.
const INITIAL_ANSWER_KIB: f64 = 2.0;
/// Difference in expected loss up to which candidates count as equal to the best. One of them is
/// chosen at random, so that nodes with the same reports do not all choose the same target.
const LOSS_TOLERANCE: f64 = 0.01;

/// Maximum number of candidates of the local data centre that are compared. A random sample keeps
/// nodes with the same reports from all choosing the target that is best in these reports.
const LOCAL_SAMPLE_SIZE: usize = 3;

/// Network distance of a node.
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
    /// Returns the distance between two locations.
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

    /// Returns the name of the distance in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::DataCentre => "data_centre",
            Self::Region => "region",
            Self::Far => "far",
        }
    }

    /// Returns the transfer cost of a request; `relative_size` is the size of its frames relative
    /// to the mean.
    fn transfer_cost(self, relative_size: f64) -> f64 {
        match self {
            Self::Own | Self::DataCentre => 0.0,
            Self::Region => {
                (DATA_CENTRE_TRANSFER_COST * relative_size).min(MAX_DATA_CENTRE_TRANSFER_COST)
            }
            Self::Far => (REGION_TRANSFER_COST * relative_size).min(MAX_REGION_TRANSFER_COST),
        }
    }

    /// Returns the approximate round-trip time to the node.
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

/// Time and answer size of a request.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Time until the answer is late; for a request that is late already, until its deadline.
    pub time_left: Duration,
    /// Expected size of the answer's body, in KiB; `None` before the first answer of the route.
    pub answer_kib: Option<f64>,
    /// Mean size of the bodies of all routes' answers, in KiB; `None` before the first answer.
    pub mean_kib: Option<f64>,
}

impl Demand {
    /// Returns the size of the request's frames relative to the mean.
    fn relative_size(&self) -> f64 {
        let mean_kib = self.mean_kib.unwrap_or(INITIAL_ANSWER_KIB);
        (self.answer_kib.unwrap_or(mean_kib) + FRAME_KIB) / (mean_kib + FRAME_KIB)
    }
}

/// Node whose target runs the service.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Identifier of the node.
    pub node: u64,
    /// Distance of the node.
    pub distance: Distance,
    /// Latest load report.
    pub load: LoadReport,
    /// Time at which the load report was received.
    pub load_at: Time,
    /// Number of requests that this node has sent there and that have no answer yet.
    pub outstanding: u16,
    /// Number of slots of the target.
    pub slots: u16,
}

impl Candidate {
    /// Returns the expected time until the target can be sent a request, in milliseconds: until a
    /// slot is free and the rate limit of the target allows it.
    #[must_use]
    pub fn expected_wait_ms(&self, now: Time) -> f64 {
        self.slot_wait_ms(now).max(self.rate_limit_wait_ms(now))
    }

    /// Returns what is left of the reported wait for the rate limit.
    #[must_use]
    pub fn rate_limit_wait_ms(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.load_at);
        f64::from(self.load.rate_limit_wait_ms) - age.as_secs_f64() * 1000.0
    }

    fn slot_wait_ms(&self, now: Time) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let excess = self.requests_at_target(now) + 1.0 - slots;
        if excess <= 0.0 {
            return 0.0;
        }
        excess * run_ms_or_initial(self.load.run_ms) / slots
    }

    /// Returns the time from the end of a run until the answer has been sent on the uplink of the
    /// candidate's VM. The reported value loses weight with its age; this node's own outstanding
    /// requests are the lower bound.
    fn uplink_wait_ms(&self, run_end_ms: f64, now: Time) -> f64 {
        let send_ms = f64::from(self.load.route_send_ms);
        if send_ms == 0.0 || self.distance == Distance::Own {
            return 0.0;
        }
        let reported_ms = f64::from(self.load.uplink_busy_ms) * self.report_weight(now);
        let busy_ms = reported_ms.max(f64::from(self.outstanding) * send_ms);
        (busy_ms - run_end_ms).max(0.0) + send_ms
    }

    /// Returns whether a fresh report rules out an answer within a time.
    #[must_use]
    pub fn is_reported_full(&self, within: Duration, now: Time) -> bool {
        let is_fresh = now.saturating_sub(self.load_at) < MAX_FRESH_AGE;
        let wait_ms = self.expected_wait_ms(now);
        is_fresh && wait_ms + self.uplink_wait_ms(wait_ms, now) > within.as_secs_f64() * 1000.0
    }

    /// Returns the number of requests at the target. The reported number loses weight with its age;
    /// this node's own outstanding requests are the lower bound.
    fn requests_at_target(&self, now: Time) -> f64 {
        let reported = f64::from(self.load.running) + f64::from(self.load.queued);
        let own = f64::from(self.outstanding);
        own.max(reported * self.report_weight(now))
    }

    fn report_weight(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.load_at);
        (1.0 - age.as_secs_f64() / (3.0 * MAX_FRESH_AGE.as_secs_f64())).max(0.0)
    }

    /// Returns the expected loss if this candidate is chosen.
    fn expected_loss(&self, demand: &Demand, mean_run_ms: f64, now: Time) -> f64 {
        let run_ms = match self.load.route_run_ms {
            0 => mean_run_ms * UNREPORTED_RUN_FACTOR,
            run_ms => f64::from(run_ms),
        };
        let network_ms = self.distance.round_trip().as_secs_f64() * 1000.0;
        let slot_ms = self.expected_wait_ms(now);
        let wait_ms = slot_ms + network_ms + self.uplink_wait_ms(slot_ms + run_ms, now);
        let left_ms = demand.time_left.as_secs_f64() * 1000.0 - wait_ms;
        let failures = f64::from(self.load.failed_permille) / 1000.0;
        late_probability(run_ms, left_ms) * LATE_LOSS
            + failures * FAILURE_LOSS
            + self.distance.transfer_cost(demand.relative_size())
    }
}

/// Returns the probability that a run takes longer than the time left for it.
fn late_probability(mean_run_ms: f64, left_ms: f64) -> f64 {
    if left_ms <= 0.0 {
        return 1.0;
    }
    let mean_of_log = mean_run_ms.max(1.0).ln() - RUN_DEVIATION * RUN_DEVIATION / 2.0;
    let deviations = (left_ms.ln() - mean_of_log) / RUN_DEVIATION;
    1.0 / (1.0 + (LOGISTIC_SLOPE * deviations).exp())
}

/// Returns the mean of the reported run times of the route.
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

/// Returns the first candidate in an order that is not reported to be too full to answer in time.
/// Nodes that use the same order thus load the same target.
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

/// Returns a random sample of the candidates of the local data centre and all other candidates.
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

/// Returns the candidate with the smallest expected loss, or `None` if there is no candidate or
/// all are reported to be too full to answer in time.
pub fn choose(
    candidates: &[Candidate],
    demand: &Demand,
    now: Time,
    random: &mut impl Rng,
) -> Option<u64> {
    let mean_run_ms = mean_run_ms(candidates);
    let losses = losses(&sample(candidates, random), demand, mean_run_ms, now);
    let best = losses.first()?.0;
    let best_count =
        losses.partition_point(|(expected_loss, _)| *expected_loss <= best + LOSS_TOLERANCE);
    let index = random.random_range(0..best_count);
    losses.get(index).map(|(_, node)| *node)
}

/// Returns the expected losses of the candidates that are not reported to be too full to answer in
/// time, with their nodes, smallest first.
fn losses(
    candidates: &[Candidate],
    demand: &Demand,
    mean_run_ms: f64,
    now: Time,
) -> Vec<(f64, u64)> {
    let mut losses: Vec<(f64, u64)> = candidates
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
    losses
}

/// Returns all candidates with the expected losses by which [`choose`] compares them, smallest first.
#[must_use]
pub fn rank(candidates: &[Candidate], demand: &Demand, now: Time) -> Vec<(f64, Candidate)> {
    let mean_run_ms = mean_run_ms(candidates);
    let mut ranked: Vec<(f64, Candidate)> = candidates
        .iter()
        .map(|candidate| {
            (
                candidate.expected_loss(demand, mean_run_ms, now),
                *candidate,
            )
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked
}
