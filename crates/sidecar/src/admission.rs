//! Admission to the target beside this node.
//!
//! Only this node reaches the target, so the slots in use are known exactly. Requests beyond the
//! slots wait in the order of priority and due time as long as they can be answered in time;
//! all others are rejected at once and have not run.

use std::cmp::Reverse;
use std::time::Duration;

use hemlockfall_core::ids::RouteName;

use crate::clock::Time;
use crate::model::LoadReport;

/// Weight of the newest run in the mean time of a run.
const RUN_WEIGHT: f64 = 0.1;
/// Weight of the newest run in the share of failed runs.
const FAILURE_WEIGHT: f64 = 0.05;
/// Mean time of a run until one was measured, as a part of the route's target latency.
const INITIAL_RUN_SHARE: f64 = 0.35;
/// Times that a run takes longer at a target that has just started.
const COLD_FACTOR: f64 = 2.0;
/// Routes whose run times are kept.
const ROUTE_CAPACITY: usize = 64;
/// Routes whose times are told to near nodes.
const REPORTED_ROUTES: usize = 4;
/// Part of the route's target latency that must be left after the expected answer.
const LATENCY_MARGIN_SHARE: f64 = 0.2;
/// Requests that may wait, for each slot.
const QUEUE_PER_SLOT: usize = 4;

/// Part of the slots that are taken at a busy target, in percent.
const BUSY_PERCENT: usize = 70;

/// `WorkId` identifies one request at this node's target.
pub type WorkId = u64;

/// `AdmissionRequest` is a request that asks for a slot.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifies the request.
    pub id: WorkId,
    /// Route, for its mean run time.
    pub route: RouteName,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time by which the answer is worth its full credit.
    pub due: Time,
    /// Time after which nobody waits for the answer.
    pub deadline: Time,
    /// Time in which the route's answers are worth their full credit.
    pub target_latency: Duration,
    /// Room that the answer needs on the VM's link.
    pub link: UplinkDemand,
}

/// `UplinkDemand` is what a large answer needs of the VM's link; nothing for a small one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UplinkDemand {
    /// When the link has carried the large answers of the requests taken on before.
    pub free_at: Time,
    /// Time that the link needs for the answer.
    pub send: Duration,
}

impl UplinkDemand {
    /// `arrival` is when the answer of a run that ends at a time has been sent.
    fn arrival(self, run_end: Time) -> Time {
        if self.send.is_zero() {
            return run_end;
        }
        run_end.max(self.free_at) + self.send
    }

    /// Tells whether the link, and not the run, decides when the answer is sent.
    fn is_link_bound(self, run_end: Time) -> bool {
        !self.send.is_zero() && self.free_at > run_end
    }
}

/// `RejectReason` tells why a request was not given a slot; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The answer would come too late.
    TooLate,
    /// Too many requests wait.
    QueueFull,
}

/// `AdmissionDecision` is the answer to an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// A slot is taken; the request runs now.
    Run,
    /// The request waits; those listed can no longer be answered in time and are rejected.
    Wait {
        /// Requests that gave up their place.
        displaced: Vec<WorkId>,
    },
    /// The request is rejected.
    Reject {
        /// Why.
        reason: RejectReason,
        /// When a slot is expected for such a request.
        retry_after: Duration,
    },
}

/// `Dispatch` is what to do after a slot became free.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// Requests that run now; their slots are taken.
    pub run: Vec<WorkId>,
    /// Requests that can no longer be answered in time.
    pub expired: Vec<WorkId>,
}

/// `RouteTimes` is how long runs of a route take at a warm target.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTimes {
    mean_ms: f64,
    runs: u32,
}

impl RouteTimes {
    fn record(&mut self, took_ms: f64) {
        self.mean_ms = moving_average(self.mean_ms, took_ms, RUN_WEIGHT);
        self.runs = self.runs.saturating_add(1);
    }
}

/// `AdmissionQueue` owns the slots of the target and the requests that wait for one.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    slots: usize,
    running: usize,
    /// Sorted by priority, then due time.
    waiting: Vec<AdmissionRequest>,
    /// Whether the target has just started and is slow.
    is_cold: bool,
    /// Sorted by route.
    routes: Vec<(RouteName, RouteTimes)>,
    mean_run_ms: f64,
    failed_share: f64,
}

impl AdmissionQueue {
    /// `set_slots` changes the number of slots.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// `set_cold` tells whether the target has just started and is slow.
    pub fn set_cold(&mut self, is_cold: bool) {
        self.is_cold = is_cold;
    }

    /// `admit` decides on a request.
    pub fn admit(&mut self, request: AdmissionRequest, now: Time) -> AdmissionDecision {
        let run = self.expected_run(&request.route, request.target_latency);
        if self.running < self.slots && self.waiting.is_empty() {
            let is_late_on_link = request.link.is_link_bound(now + run)
                && request.link.arrival(now + run) > latest_answer(&request);
            if now >= request.deadline || is_late_on_link {
                return self.reject(RejectReason::TooLate, &request);
            }
            self.running += 1;
            return AdmissionDecision::Run;
        }
        if self.waiting.len() >= self.slots.max(1) * QUEUE_PER_SLOT {
            return self.reject(RejectReason::QueueFull, &request);
        }
        let index = self.queue_position(&request);
        let run_end = now + self.expected_wait(index) + run;
        if request.link.arrival(run_end) > latest_answer(&request) {
            return self.reject(RejectReason::TooLate, &request);
        }
        self.waiting.insert(index, request);
        let displaced = self.displace(index + 1, now);
        AdmissionDecision::Wait { displaced }
    }

    /// `finished` returns a slot and takes in how long the run took.
    pub fn finished(&mut self, route: &RouteName, took: Duration, succeeded: bool) {
        self.release();
        let took_ms = took.as_secs_f64() * 1000.0 / self.cold_factor();
        self.mean_run_ms = moving_average(self.mean_run_ms, took_ms, RUN_WEIGHT);
        let failure = if succeeded { 0.0 } else { 1.0 };
        self.failed_share += (failure - self.failed_share) * FAILURE_WEIGHT;
        match self.routes.binary_search_by(|(name, _)| name.cmp(route)) {
            Ok(index) => self.routes[index].1.record(took_ms),
            Err(index) => {
                let index = if self.routes.len() >= ROUTE_CAPACITY {
                    self.routes.clear();
                    0
                } else {
                    index
                };
                let mut times = RouteTimes::default();
                times.record(took_ms);
                self.routes.insert(index, (route.clone(), times));
            }
        }
    }

    /// `rejected` returns the slot of a request that the target itself rejected. It answers fast
    /// and would look idle, so the rejection counts as a failure.
    pub fn rejected(&mut self) {
        self.release();
        self.failed_share += (1.0 - self.failed_share) * FAILURE_WEIGHT;
    }

    /// `release` returns the slot of a request that did not run.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// `cancel` takes a waiting request out of the queue.
    pub fn cancel(&mut self, id: WorkId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.id != id);
        self.waiting.len() < before
    }

    /// `dispatch` gives free slots to waiting requests.
    pub fn dispatch(&mut self, now: Time) -> Dispatch {
        let mut dispatch = Dispatch::default();
        while self.running < self.slots && !self.waiting.is_empty() {
            let request = self.waiting.remove(0);
            let run = self.expected_run(&request.route, request.target_latency);
            if now + run / 2 + request.link.send > latest_answer(&request) {
                dispatch.expired.push(request.id);
                continue;
            }
            self.running += 1;
            dispatch.run.push(request.id);
        }
        dispatch
    }

    /// `drain` empties the queue, as the target takes no more requests.
    pub fn drain(&mut self) -> Vec<WorkId> {
        self.waiting.drain(..).map(|request| request.id).collect()
    }

    /// `is_busy` tells whether most slots are taken.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.slots > 0 && self.running * 100 >= self.slots * BUSY_PERCENT
    }

    /// `load` is the load that other nodes are told.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: saturate_to_u16(self.running),
            queued: saturate_to_u16(self.waiting.len()),
            slots: saturate_to_u16(self.slots),
            run_ms: round_to_u16(self.mean_run_ms * self.cold_factor()),
            route_run_ms: 0,
            failed_permille: round_to_u16(self.failed_share * 1000.0),
            link_busy_ms: 0,
            route_send_ms: 0,
        }
    }

    /// `busiest_routes` lists the routes with the most runs.
    #[must_use]
    pub fn busiest_routes(&self) -> Vec<RouteName> {
        let mut routes: Vec<&(RouteName, RouteTimes)> = self.routes.iter().collect();
        routes.sort_by_key(|(_, times)| Reverse(times.runs));
        routes
            .into_iter()
            .take(REPORTED_ROUTES)
            .map(|(route, _)| route.clone())
            .collect()
    }

    /// `load_for` is the load with the mean run time of a route.
    #[must_use]
    pub fn load_for(&self, route: &str) -> LoadReport {
        let found = self
            .routes
            .binary_search_by(|(name, _)| name.as_str().cmp(route));
        let route_run_ms = found.map_or(0, |index| {
            round_to_u16(self.routes[index].1.mean_ms * self.cold_factor())
        });
        LoadReport {
            route_run_ms,
            ..self.load()
        }
    }

    fn queue_position(&self, request: &AdmissionRequest) -> usize {
        self.waiting
            .partition_point(|other| (other.priority, other.due) <= (request.priority, request.due))
    }

    /// Time until the request at a place of the queue gets a slot.
    fn expected_wait(&self, index: usize) -> Duration {
        if self.running < self.slots {
            return Duration::ZERO;
        }
        let ahead_ms: f64 = self.waiting[..index]
            .iter()
            .map(|request| self.run_ms(&request.route, request.target_latency))
            .sum();
        let slots = f64::from(u16::try_from(self.slots.max(1)).unwrap_or(u16::MAX));
        let next_ms = self.mean_run_ms * self.cold_factor();
        Duration::from_secs_f64((ahead_ms + next_ms) / slots / 1000.0)
    }

    /// Removes the requests from a place on that can no longer be answered in time.
    fn displace(&mut self, from: usize, now: Time) -> Vec<WorkId> {
        let mut displaced = Vec::new();
        let mut index = from;
        while let Some(request) = self.waiting.get(index) {
            let run = self.expected_run(&request.route, request.target_latency);
            let run_end = now + self.expected_wait(index) + run;
            if request.link.arrival(run_end) > latest_answer(request) {
                displaced.push(self.waiting.remove(index).id);
            } else {
                index += 1;
            }
        }
        displaced
    }

    fn reject(&self, reason: RejectReason, request: &AdmissionRequest) -> AdmissionDecision {
        AdmissionDecision::Reject {
            reason,
            retry_after: self.expected_wait(self.queue_position(request)),
        }
    }

    fn expected_run(&self, route: &RouteName, target_latency: Duration) -> Duration {
        Duration::from_secs_f64(self.run_ms(route, target_latency) / 1000.0)
    }

    fn run_ms(&self, route: &RouteName, target_latency: Duration) -> f64 {
        let warm_ms = match self.routes.binary_search_by(|(name, _)| name.cmp(route)) {
            Ok(index) => self.routes[index].1.mean_ms,
            Err(_) => target_latency.as_secs_f64() * 1000.0 * INITIAL_RUN_SHARE,
        };
        warm_ms * self.cold_factor()
    }

    fn cold_factor(&self) -> f64 {
        if self.is_cold { COLD_FACTOR } else { 1.0 }
    }
}

/// A late answer is worth little and takes a slot from a request that could be in time. Run times
/// scatter, so an answer that is only just expected in time is mostly late.
fn latest_answer(request: &AdmissionRequest) -> Time {
    let margin = request.target_latency.mul_f64(LATENCY_MARGIN_SHARE);
    request.due.min(request.deadline).saturating_sub(margin)
}

fn moving_average(mean: f64, value: f64, weight: f64) -> f64 {
    if mean == 0.0 {
        return value;
    }
    mean + (value - mean) * weight
}

fn saturate_to_u16(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

fn round_to_u16(number: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is clamped to the range of the type"
    )]
    let rounded = number.clamp(0.0, f64::from(u16::MAX)).round() as u16;
    rounded
}
