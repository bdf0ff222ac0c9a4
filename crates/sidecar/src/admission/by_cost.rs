//! Admission in the order of what callers lose, see [`crate::order`].

use std::time::Duration;

use super::AdmissionDecision;
use super::AdmissionQueue;
use super::AdmissionRequest;
use super::Dispatch;
use super::LATENCY_MARGIN_SHARE;
use super::QUEUE_PER_SLOT;
use super::RejectReason;
use super::Waiting;
use super::WorkId;
use super::cannot_be_in_time;
use super::latest_answer;
use crate::clock::Time;
use crate::order::Claim;
use crate::order::GiveUpReason;
use crate::order::Order;
use crate::order::Rank;
use crate::order::Standing;
use crate::order::plan;
use crate::order::plan::Horizon;
use crate::order::plan::Job;
use crate::order::plan::Plan;
use crate::order::reservation::Reservation;
use crate::order::reservation::SlotUse;
use crate::order::returns::Returns;
use crate::order::returns::Room;
use crate::order::shares::AccountShares;

/// Interval at which a request that leaves its slot to more urgent ones is considered again.
const RESERVATION_INTERVAL: Duration = Duration::from_millis(50);
/// Inverse of the part of its expected time that a run which has exceeded it is expected to take.
const OVERDUE_PART: u32 = 4;
/// Smallest part of the slots that callers that come back are expected to get.
const MIN_RETURN_SHARE: f64 = 0.1;
/// Part of the latency margin that a request must keep once it waits. Estimates vary, and a refusal
/// after a wait costs the caller more than one at once. With half of the margin, requests are given up
/// that would have been in time.
const WAITING_MARGIN_SHARE: f64 = 0.25;

/// Request that was refused, for metrics and the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Identifier of the request.
    pub id: WorkId,
    /// Priority.
    pub priority: u8,
    /// Reason of the refusal.
    pub reason: GiveUpReason,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: WorkId,
    priority: u8,
    expected_end: Time,
    run: Duration,
}

/// State that only the order by cost needs.
#[derive(Clone, Debug, Default)]
pub(super) struct CostState {
    running: Vec<Running>,
    shares: AccountShares,
    reservation: Reservation,
    returns: Returns,
    given_up: Vec<GivenUp>,
}

impl AdmissionQueue {
    /// Sets the order of waiting requests.
    pub fn set_order(&mut self, order: Order) {
        self.order = order;
        self.waiting
            .sort_by_key(|waiting| (waiting.request.priority, waiting.request.due));
    }

    /// Records the end of a run. Must be called for each run, before its slot is released.
    pub fn ended(&mut self, id: WorkId) {
        self.cost.running.retain(|running| running.id != id);
    }

    /// Returns the requests that were refused since the last call.
    pub fn take_given_up(&mut self) -> Vec<GivenUp> {
        std::mem::take(&mut self.cost.given_up)
    }

    /// Returns the number of slots that the least urgent requests leave free.
    #[must_use]
    pub fn reserved_slots(&self, now: Time) -> usize {
        let slot_use = SlotUse {
            slots: self.slots,
            more_urgent: 0,
            others: self.slots,
        };
        self.cost.reservation.left_free(u8::MAX, slot_use, now)
    }

    pub(super) fn admit_by_cost(
        &mut self,
        request: AdmissionRequest,
        standing: Standing,
        now: Time,
    ) -> AdmissionDecision {
        let (id, run) = (request.id, self.run_of(&request));
        let priority = request.priority;
        self.cost.reservation.arrived(priority, run, now);
        if !standing.has_spent_work {
            self.cost.reservation.arrived_first(priority, run, now);
        }
        if let Some(account) = &standing.account {
            self.cost.shares.arrived(account, now);
        }
        let new = Waiting {
            request,
            standing,
            since: now,
        };
        let rank = self.rank(&new, now);
        if self.waiting.is_empty() && self.has_room(rank.priority, now) {
            if cannot_be_in_time(&new.request, run, now) {
                let given_up = self.give_up(&new, now);
                return reject(RejectReason::TooLate, given_up, Vec::new());
            }
            if self.take_permit(now) {
                self.start(&new, now);
                return AdmissionDecision::Run;
            }
        }
        self.waiting.push(new);
        let plan = self.plan(now);
        let (refused, reason) = self.apply(plan);
        let mut displaced = Vec::new();
        let mut refusal = None;
        for waiting in refused {
            let given_up = self.give_up(&waiting, now);
            if given_up.id == id {
                let is_rate_limited = self.permit_wait(0, now) > self.expected_slot_wait(0);
                let reason = if is_rate_limited {
                    RejectReason::RateLimited
                } else {
                    reason
                };
                refusal = Some((reason, given_up));
            } else {
                displaced.push(given_up.id);
            }
        }
        match refusal {
            Some((reason, given_up)) => reject(reason, given_up, displaced),
            None => AdmissionDecision::Wait { displaced },
        }
    }

    pub(super) fn dispatch_by_cost(&mut self, now: Time) -> Dispatch {
        let mut dispatch = Dispatch::default();
        while self.running < self.slots && !self.waiting.is_empty() {
            let head = &self.waiting[0];
            let rank = self.rank(head, now);
            let run = self.run_of(&head.request);
            let latest = latest_for(head, rank.claim, now);
            if now + run / 2 + head.request.uplink.send > latest {
                let expired = self.waiting.remove(0);
                self.give_up(&expired, now);
                dispatch.expired.push(expired.request.id);
                continue;
            }
            if !self.has_room(rank.priority, now) || !self.take_permit(now) {
                break;
            }
            let waiting = self.waiting.remove(0);
            self.start(&waiting, now);
            dispatch.run.push(waiting.request.id);
        }
        dispatch
    }

    /// Returns the time after which the first request is considered again if it leaves its slot to
    /// more urgent ones.
    pub(super) fn reservation_wait(&self, now: Time) -> Duration {
        match (self.order, self.waiting.first()) {
            (Order::Cost, Some(head)) if !self.has_room(self.rank(head, now).priority, now) => {
                RESERVATION_INTERVAL
            }
            _ => Duration::ZERO,
        }
    }

    fn start(&mut self, waiting: &Waiting, now: Time) {
        let run = self.run_of(&waiting.request);
        let running = Running {
            id: waiting.request.id,
            priority: self.rank(waiting, now).priority,
            expected_end: now + run,
            run,
        };
        self.running += 1;
        self.cost.running.push(running);
        if let Some(account) = &waiting.standing.account {
            self.cost.shares.served(account, now);
        }
    }

    fn rank(&self, waiting: &Waiting, now: Time) -> Rank {
        let account = waiting.standing.account.as_ref();
        let shares = &self.cost.shares;
        let claim = if account.is_some_and(|account| shares.is_starved(account, now)) {
            Claim::Protected
        } else if account.is_some_and(|account| shares.is_excess(account, now)) {
            Claim::Excess
        } else if waiting.standing.has_spent_work {
            Claim::Spent
        } else {
            Claim::Usual
        };
        Rank::new(waiting.request.priority, claim)
    }

    fn plan(&self, now: Time) -> Plan {
        let ranks: Vec<Rank> = self
            .waiting
            .iter()
            .map(|waiting| self.rank(waiting, now))
            .collect();
        let jobs: Vec<Job> = self
            .waiting
            .iter()
            .zip(&ranks)
            .map(|(waiting, rank)| Job {
                rank: *rank,
                latest: latest_for(waiting, rank.claim, now),
                run: self.run_of(&waiting.request),
                uplink: waiting.request.uplink,
                waited: now.saturating_sub(waiting.since),
            })
            .collect();
        let is_limited = self.rate.per_s().is_some() || self.cold_limit_per_s().is_some();
        let limited_jobs = if is_limited { jobs.len() } else { 0 };
        let permits_at = (0..limited_jobs)
            .map(|index| now + self.permit_wait(index, now))
            .collect();
        let mut left_free: Vec<(u8, usize)> = ranks
            .iter()
            .map(|rank| (rank.priority, self.left_free(rank.priority, now)))
            .collect();
        left_free.sort_unstable();
        left_free.dedup();
        let horizon = Horizon {
            slots_free_at: self.slots_free_at(now),
            permits_at,
            left_free,
        };
        plan::plan(&jobs, &horizon)
    }

    /// Orders the waiting requests by a plan. Returns the ones that are refused, and why those that
    /// the queue has no place for are.
    fn apply(&mut self, plan: Plan) -> (Vec<Waiting>, RejectReason) {
        let mut kept = plan.kept;
        let limit = self.slots.max(1) * QUEUE_PER_SLOT;
        let mut refused = plan.given_up;
        let reason = if kept.len() > limit {
            refused.extend(kept.drain(limit..));
            RejectReason::QueueFull
        } else {
            RejectReason::TooLate
        };
        let mut waiting: Vec<Option<Waiting>> = self.waiting.drain(..).map(Some).collect();
        let mut take = |index: usize| waiting.get_mut(index).and_then(Option::take);
        self.waiting = kept.into_iter().filter_map(&mut take).collect();
        (refused.into_iter().filter_map(&mut take).collect(), reason)
    }

    /// Records a refusal and determines when the caller may come back.
    fn give_up(&mut self, waiting: &Waiting, now: Time) -> GivenUp {
        let request = &waiting.request;
        let rank = self.rank(waiting, now);
        let reason = if rank.claim == Claim::Excess {
            GiveUpReason::Excess
        } else if self.left_free(rank.priority, now) > 0 {
            GiveUpReason::Reserved
        } else {
            GiveUpReason::NoRoom
        };
        // A request that comes too late for a free slot does not lack room.
        let could_be_in_time = waiting.since + self.run_of(request) <= latest_answer(request);
        if reason != GiveUpReason::Excess && could_be_in_time {
            self.cost.reservation.turned_away(request.priority, now);
        }
        let room = self.room(waiting, rank, now);
        let given_up = GivenUp {
            id: request.id,
            priority: request.priority,
            reason,
            retry_after: self.cost.returns.retry_after(room, now),
        };
        self.cost.given_up.push(given_up);
        given_up
    }

    fn room(&self, refused: &Waiting, rank: Rank, now: Time) -> Room {
        let before = self
            .waiting
            .iter()
            .filter(|waiting| self.rank(waiting, now) <= rank)
            .map(|waiting| self.run_of(&waiting.request))
            .sum::<Duration>();
        let usable = self
            .slots
            .saturating_sub(self.left_free(rank.priority, now));
        let usable = u32::try_from(usable.max(1)).unwrap_or(u32::MAX);
        let mean = self.mean_run();
        let wait = (before + mean) / usable;
        let excess = u8::from(rank.claim == Claim::Excess);
        Room {
            priority: refused.request.priority.saturating_add(excess),
            wait: wait.max(self.permit_wait(self.waiting.len(), now)),
            slot_interval: mean.div_f64(self.slots_for_returns(rank.priority, usable, now)),
            left: refused.request.deadline.saturating_sub(now),
        }
    }

    /// Returns the part of the usable slots that first requests leave to callers that come back.
    fn slots_for_returns(&self, priority: u8, usable: u32, now: Time) -> f64 {
        let usable = f64::from(usable);
        let first = self.cost.reservation.slots_of_first(priority, now);
        (usable - first).max(usable * MIN_RETURN_SHARE)
    }

    /// Returns whether a request of a priority may start in a free slot.
    fn has_room(&self, priority: u8, now: Time) -> bool {
        let free = self.slots.saturating_sub(self.running);
        free > self.left_free(priority, now)
    }

    fn left_free(&self, priority: u8, now: Time) -> usize {
        let more_urgent = self
            .cost
            .running
            .iter()
            .filter(|running| running.priority < priority)
            .count();
        let slot_use = SlotUse {
            slots: self.slots,
            more_urgent,
            others: self.running.saturating_sub(more_urgent),
        };
        self.cost.reservation.left_free(priority, slot_use, now)
    }

    /// Returns the expected time at which each slot is free. Runs beyond the number of slots must end
    /// before one is.
    fn slots_free_at(&self, now: Time) -> Vec<Time> {
        let free = self.slots.saturating_sub(self.running);
        let mut ends: Vec<Time> = self
            .cost
            .running
            .iter()
            .map(|running| {
                let earliest = now + running.run / OVERDUE_PART;
                running.expected_end.max(earliest)
            })
            .collect();
        // Runs that began before the order was set are not known.
        let unknown = self.running.saturating_sub(ends.len());
        ends.extend(std::iter::repeat_n(now + self.mean_run(), unknown));
        ends.sort_unstable();
        let excess = self.running.saturating_sub(self.slots);
        std::iter::repeat_n(now, free)
            .chain(ends.into_iter().skip(excess))
            .collect()
    }

    fn mean_run(&self) -> Duration {
        Duration::from_secs_f64(self.mean_run_ms * self.cold_factor() / 1000.0)
    }

    fn run_of(&self, request: &AdmissionRequest) -> Duration {
        self.expected_run(&request.route, request.target_latency)
    }
}

/// Returns the latest expected time of an answer for which a request is kept. Work is spent on some
/// requests already, so they need no margin; protected requests must be served also late.
fn latest_for(waiting: &Waiting, claim: Claim, now: Time) -> Time {
    let request = &waiting.request;
    match claim {
        Claim::Protected => request.deadline,
        Claim::Spent => request.due.min(request.deadline),
        Claim::Usual | Claim::Excess if waiting.since < now => {
            let share = LATENCY_MARGIN_SHARE * (1.0 - WAITING_MARGIN_SHARE);
            latest_answer(request) + request.target_latency.mul_f64(share)
        }
        Claim::Usual | Claim::Excess => latest_answer(request),
    }
}

fn reject(reason: RejectReason, given_up: GivenUp, displaced: Vec<WorkId>) -> AdmissionDecision {
    AdmissionDecision::Reject {
        reason,
        retry_after: given_up.retry_after,
        displaced,
    }
}
