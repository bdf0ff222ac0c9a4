//! Admission control of the local target.
//!
//! All requests reach the target through this node, so it has an exact count of the slots in use.
//! Requests beyond the slots wait in the order of priority and due time while an answer in time can
//! be expected. All others are rejected at once and have not run. A target may also limit the rate of
//! its requests, see [`crate::rate_limit`], and takes fewer while it is cold, see
//! [`crate::cold_rate`]. With the order by cost, `by_cost` decides which requests wait, run and are
//! rejected, see [`crate::order`].

pub mod by_cost;
mod numbers;

use std::cmp::Reverse;
use std::time::Duration;

use hemlockfall_core::ids::RouteName;

use self::numbers::round_to_u16;
use self::numbers::saturate_to_u16;
use crate::clock::Time;
use crate::cold_rate::ColdLimit;
use crate::cold_rate::ColdRate;
use crate::model::LoadReport;
use crate::model::RateLimitReport;
use crate::order::Order;
use crate::order::Standing;
use crate::rate_limit;
use crate::rate_limit::RateLimiter;

/// Weight of the newest run in the moving average of run times.
const RUN_WEIGHT: f64 = 0.1;
/// Weight of the newest run in the moving average of the share of failed runs.
const FAILURE_WEIGHT: f64 = 0.05;
/// Run time assumed before the first run of a route, as a part of its target latency.
const INITIAL_RUN_SHARE: f64 = 0.35;
/// Factor by which runs take longer at a cold target, which has just started.
const COLD_FACTOR: f64 = 2.0;
/// Maximum number of routes whose run times are kept.
const ROUTE_CAPACITY: usize = 64;
/// Maximum number of routes whose run times are reported to nodes of the same data centre.
const REPORTED_ROUTES: usize = 4;
/// Part of the route's target latency that must remain between the expected answer and the latest
/// answer in time.
const LATENCY_MARGIN_SHARE: f64 = 0.2;
/// Maximum number of waiting requests for each slot.
const QUEUE_PER_SLOT: usize = 4;

/// Part of the slots, in percent, from which a target counts as busy.
const BUSY_PERCENT: usize = 70;

/// Identifier of a request at this node's target.
pub type WorkId = u64;

/// Request that needs a slot.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifier of the request.
    pub id: WorkId,
    /// Route, which determines the expected run time.
    pub route: RouteName,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time until which an answer counts as in time.
    pub due: Time,
    /// Time at which the request is abandoned.
    pub deadline: Time,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Demand of the answer on the VM's uplink.
    pub uplink: UplinkDemand,
}

/// Demand of a large answer on the VM's uplink; zero for a small answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UplinkDemand {
    /// Time at which the large answers of the requests admitted before have been sent.
    pub free_at: Time,
    /// Time that sending the answer takes.
    pub send: Duration,
}

impl UplinkDemand {
    /// Returns the time at which the answer of a run that ends at `run_end` has been sent.
    pub(crate) fn arrival(self, run_end: Time) -> Time {
        if self.send.is_zero() {
            return run_end;
        }
        run_end.max(self.free_at) + self.send
    }

    /// Returns whether the answer has to wait for the uplink after the end of the run.
    fn is_uplink_bound(self, run_end: Time) -> bool {
        !self.send.is_zero() && self.free_at > run_end
    }
}

/// Reason of a rejection; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// An answer in time cannot be expected.
    TooLate,
    /// The queue has reached its maximum length.
    QueueFull,
    /// The rate limit of the target does not allow an answer in time.
    RateLimited,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request has a slot and runs now.
    Run,
    /// The request waits in the queue.
    Wait {
        /// Requests behind it that can no longer be answered in time and were removed.
        displaced: Vec<WorkId>,
    },
    /// The request is rejected.
    Reject {
        /// Reason of the rejection.
        reason: RejectReason,
        /// Time until a slot is expected for a request of this kind.
        retry_after: Duration,
        /// Waiting requests that can no longer be answered in time and were removed.
        displaced: Vec<WorkId>,
    },
}

/// Requests that leave the queue when slots become free.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// Requests that run now; each has a slot.
    pub run: Vec<WorkId>,
    /// Requests that can no longer be answered in time and are rejected.
    pub expired: Vec<WorkId>,
}

/// Run times of a route at a warm target.
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

/// Request in the queue.
#[derive(Clone, Debug)]
struct Waiting {
    request: AdmissionRequest,
    standing: Standing,
    since: Time,
}

/// Slots of the target and the queue of requests that wait for one.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    slots: usize,
    running: usize,
    order: Order,
    /// Sorted by priority, then due time; with the order by cost, in the order of the newest plan.
    waiting: Vec<Waiting>,
    cost: by_cost::CostState,
    /// Whether the target has just started and is still slow.
    is_cold: bool,
    rate: RateLimiter,
    cold_rate: ColdRate,
    /// Whether the target has answered a request of this process of the node.
    has_answered: bool,
    /// Sorted by route.
    routes: Vec<(RouteName, RouteTimes)>,
    mean_run_ms: f64,
    failed_share: f64,
}

impl AdmissionQueue {
    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets whether the target has just started and is still slow.
    pub fn set_cold(&mut self, is_cold: bool) {
        self.is_cold = is_cold;
    }

    /// Sets the limit for a cold target, and whether the target is cold or may be cold.
    pub fn set_cold_limit(&mut self, limit: Option<ColdLimit>, may_be_cold: bool, now: Time) {
        self.cold_rate.advance(now);
        self.cold_rate.set_limit(limit, now);
        self.cold_rate.set_in_force(may_be_cold, now);
    }

    /// Returns the rate of the target in requests per second while it is limited as cold.
    #[must_use]
    pub fn cold_limit_per_s(&self) -> Option<f64> {
        self.cold_rate.current().map(|limit| limit.per_s)
    }

    /// Gives a health check a slot and returns true, unless a request could not be sent now either. It
    /// does not wait for the cold rate, as only its answer shows that the target is no longer cold,
    /// but counts as a request in the bound on a cold target.
    pub fn admit_check(&mut self, now: Time) -> bool {
        self.cold_rate.advance(now);
        let can_send = self.running < self.slots
            && self.cold_rate.window_wait(0, self.running, now).is_zero()
            && self.rate.take(now);
        if can_send {
            self.cold_rate.take(now);
            self.running += 1;
        }
        can_send
    }

    /// Returns the time until a request may be sent behind a number of others under both limits.
    fn permit_wait(&self, requests_before: usize, now: Time) -> Duration {
        let cold_wait = self.cold_rate.wait(requests_before, self.running, now);
        self.rate.wait(requests_before, now).max(cold_wait)
    }

    /// Returns whether a request may be sent now under both limits, and counts it if so.
    fn take_permit(&mut self, now: Time) -> bool {
        if !self.permit_wait(0, now).is_zero() {
            return false;
        }
        self.cold_rate.take(now);
        self.rate.take(now)
    }

    /// Begins with another process of the target, whose rate limit is not known yet.
    pub fn replace_target(&mut self, now: Time) {
        self.rate.reset(now);
        self.has_answered = false;
    }

    /// Applies the rate limit that the target named to an earlier process of this node, as another
    /// node knows it. An answer to this process goes before it.
    pub fn restore_rate_limit(&mut self, per_s: f64, now: Time) {
        if !self.has_answered && self.rate.per_s().is_none() {
            self.rate.set(per_s, now, now);
        }
    }

    /// Applies the rate limit of an answer to a request that was sent at `sent_at`.
    pub fn set_rate_limit(&mut self, per_s: f64, sent_at: Time, now: Time) {
        self.rate.set(per_s, sent_at, now);
    }

    /// Ends the rate limit after an answer without one to a request that was sent at `sent_at`.
    pub fn withdraw_rate_limit(&mut self, sent_at: Time) {
        self.rate.withdraw(sent_at);
    }

    /// Returns the rate limit of the target in requests per second, if there is one.
    #[must_use]
    pub fn rate_limit_per_s(&self) -> Option<f64> {
        self.rate.per_s()
    }

    fn rate_limit_report(&self) -> RateLimitReport {
        match self.rate.per_s() {
            Some(per_s) => RateLimitReport::Limited(rate_limit::to_milli(per_s)),
            None if self.has_answered => RateLimitReport::Unlimited,
            None => RateLimitReport::Unknown,
        }
    }

    /// Returns the time until a new request may be sent under the rate limit and the cold rate.
    #[must_use]
    pub fn rate_limit_wait(&self, now: Time) -> Duration {
        self.permit_wait(self.waiting.len(), now)
    }

    /// Records that the target has answered a request of this process.
    pub fn answered(&mut self) {
        self.has_answered = true;
    }

    /// Gives a request a slot, queues it or rejects it.
    pub fn admit(&mut self, request: AdmissionRequest, now: Time) -> AdmissionDecision {
        self.admit_with(request, Standing::default(), now)
    }

    /// Returns what [`Self::admit_with`] would decide, and changes nothing.
    #[must_use]
    pub fn preview(
        &self,
        request: AdmissionRequest,
        standing: Standing,
        now: Time,
    ) -> AdmissionDecision {
        self.clone().admit_with(request, standing, now)
    }

    /// Gives a request of a known standing a slot, queues it or rejects it.
    pub fn admit_with(
        &mut self,
        request: AdmissionRequest,
        standing: Standing,
        now: Time,
    ) -> AdmissionDecision {
        self.cold_rate.advance(now);
        match self.order {
            Order::Arrival => self.admit_by_arrival(request, standing, now),
            Order::Cost => self.admit_by_cost(request, standing, now),
        }
    }

    fn admit_by_arrival(
        &mut self,
        request: AdmissionRequest,
        standing: Standing,
        now: Time,
    ) -> AdmissionDecision {
        let run = self.expected_run(&request.route, request.target_latency);
        if self.running < self.slots
            && self.waiting.is_empty()
            && self.permit_wait(0, now).is_zero()
        {
            if cannot_be_in_time(&request, run, now) {
                return self.reject(RejectReason::TooLate, &request, now);
            }
            if self.take_permit(now) {
                self.running += 1;
                return AdmissionDecision::Run;
            }
        }
        if self.waiting.len() >= self.slots.max(1) * QUEUE_PER_SLOT {
            return self.reject(RejectReason::QueueFull, &request, now);
        }
        let index = self.queue_position(&request);
        let run_end = now + self.expected_wait(index, now) + run;
        if request.uplink.arrival(run_end) > latest_answer(&request) {
            let is_rate_limited = self.permit_wait(index, now) > self.expected_slot_wait(index);
            let reason = if is_rate_limited {
                RejectReason::RateLimited
            } else {
                RejectReason::TooLate
            };
            return self.reject(reason, &request, now);
        }
        let waiting = Waiting {
            request,
            standing,
            since: now,
        };
        self.waiting.insert(index, waiting);
        let displaced = self.displace(index + 1, now);
        AdmissionDecision::Wait { displaced }
    }

    /// Releases the slot of a finished run and records its time and result.
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

    /// Releases the slot of a request that the target itself rejected. The rejection counts as a
    /// failure: a target that rejects quickly would otherwise appear idle.
    pub fn rejected(&mut self) {
        self.release();
        self.failed_share += (1.0 - self.failed_share) * FAILURE_WEIGHT;
    }

    /// Releases the slot of a request that did not run.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.cold_rate.record_end();
    }

    /// Removes a request from the queue and returns whether it was waiting.
    pub fn cancel(&mut self, id: WorkId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.request.id != id);
        self.waiting.len() < before
    }

    /// Gives free slots to waiting requests and removes those that cannot be answered in time.
    pub fn dispatch(&mut self, now: Time) -> Dispatch {
        self.cold_rate.advance(now);
        match self.order {
            Order::Arrival => self.dispatch_by_arrival(now),
            Order::Cost => self.dispatch_by_cost(now),
        }
    }

    fn dispatch_by_arrival(&mut self, now: Time) -> Dispatch {
        let mut dispatch = Dispatch::default();
        while self.running < self.slots && !self.waiting.is_empty() {
            let request = &self.waiting[0].request;
            let run = self.expected_run(&request.route, request.target_latency);
            if now + run / 2 + request.uplink.send > latest_answer(request) {
                dispatch.expired.push(self.waiting.remove(0).request.id);
                continue;
            }
            if !self.take_permit(now) {
                break;
            }
            let request = self.waiting.remove(0).request;
            self.running += 1;
            dispatch.run.push(request.id);
        }
        dispatch
    }

    /// Returns when a waiting request may be sent that has a free slot but no permit of the rate
    /// limit, or leaves its slot to more urgent requests.
    #[must_use]
    pub fn next_permit_at(&self, now: Time) -> Option<Time> {
        let is_limited = self.running < self.slots && !self.waiting.is_empty();
        let wait = || self.permit_wait(0, now).max(self.reservation_wait(now));
        is_limited.then(|| now + wait())
    }

    /// Empties the queue when the target admits no more requests.
    pub fn drain(&mut self) -> Vec<WorkId> {
        self.waiting
            .drain(..)
            .map(|waiting| waiting.request.id)
            .collect()
    }

    /// Returns whether at least `BUSY_PERCENT` of the slots are in use.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.slots > 0 && self.running * 100 >= self.slots * BUSY_PERCENT
    }

    /// Returns the load as reported to other nodes, without the run time of a route.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: saturate_to_u16(self.running),
            queued: saturate_to_u16(self.waiting.len()),
            slots: saturate_to_u16(self.slots),
            run_ms: round_to_u16(self.mean_run_ms * self.cold_factor()),
            route_run_ms: 0,
            failed_permille: round_to_u16(self.failed_share * 1000.0),
            uplink_busy_ms: 0,
            route_send_ms: 0,
            rate_limit_wait_ms: 0,
            rate_limit: self.rate_limit_report(),
        }
    }

    /// Returns the routes with the most runs.
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

    /// Returns the load with the mean run time of a route.
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
        self.waiting.partition_point(|waiting| {
            let other = &waiting.request;
            (other.priority, other.due) <= (request.priority, request.due)
        })
    }

    /// Returns the expected time until a request at a position of the queue is sent.
    fn expected_wait(&self, index: usize, now: Time) -> Duration {
        self.expected_slot_wait(index)
            .max(self.permit_wait(index, now))
    }

    /// Returns the expected time until a request at a position of the queue gets a slot.
    fn expected_slot_wait(&self, index: usize) -> Duration {
        if self.running < self.slots {
            return Duration::ZERO;
        }
        let ahead_ms: f64 = self.waiting[..index]
            .iter()
            .map(|waiting| &waiting.request)
            .map(|request| self.run_ms(&request.route, request.target_latency))
            .sum();
        let slots = f64::from(u16::try_from(self.slots.max(1)).unwrap_or(u16::MAX));
        let next_ms = self.mean_run_ms * self.cold_factor();
        Duration::from_secs_f64((ahead_ms + next_ms) / slots / 1000.0)
    }

    /// Removes requests that can no longer be answered in time, from a position of the queue on.
    fn displace(&mut self, from: usize, now: Time) -> Vec<WorkId> {
        let mut displaced = Vec::new();
        let mut index = from;
        while let Some(waiting) = self.waiting.get(index) {
            let request = &waiting.request;
            let run = self.expected_run(&request.route, request.target_latency);
            let run_end = now + self.expected_wait(index, now) + run;
            if request.uplink.arrival(run_end) > latest_answer(request) {
                displaced.push(self.waiting.remove(index).request.id);
            } else {
                index += 1;
            }
        }
        displaced
    }

    fn reject(
        &self,
        reason: RejectReason,
        request: &AdmissionRequest,
        now: Time,
    ) -> AdmissionDecision {
        AdmissionDecision::Reject {
            reason,
            retry_after: self.expected_wait(self.queue_position(request), now),
            displaced: Vec::new(),
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

/// Returns the latest expected time of an answer for which a request is admitted. A late answer has
/// little value and takes a slot from a request that could be answered in time. Run times vary, so
/// without a margin an answer expected just in time is mostly late.
fn latest_answer(request: &AdmissionRequest) -> Time {
    let margin = request.target_latency.mul_f64(LATENCY_MARGIN_SHARE);
    request.due.min(request.deadline).saturating_sub(margin)
}

/// Returns whether a request is rejected although a slot is free: its deadline has passed, or its
/// answer would wait for the uplink until it is late.
fn cannot_be_in_time(request: &AdmissionRequest, run: Duration, now: Time) -> bool {
    let is_late_on_uplink = request.uplink.is_uplink_bound(now + run)
        && request.uplink.arrival(now + run) > latest_answer(request);
    now >= request.deadline || is_late_on_uplink
}

fn moving_average(mean: f64, value: f64, weight: f64) -> f64 {
    if mean == 0.0 {
        return value;
    }
    mean + (value - mean) * weight
}
