//! Plan of the waiting requests of a target.
//!
//! The ranks are planned one after the other. Within a rank, the number of requests answered in
//! time is maximized by the rule of Moore and Hodgson: requests are planned by due time, and when one
//! would be late, the one with the most work is given up.

use std::time::Duration;

use crate::admission::UplinkDemand;
use crate::clock::Time;
use crate::order::Rank;

/// Part of the time that a request has waited by which its work counts less when requests are given
/// up: a refusal after a long wait costs the caller more than one at once.
const WAITED_SHARE: f64 = 0.5;

/// Waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Rank.
    pub rank: Rank,
    /// Latest expected time of the answer for which the request is kept.
    pub latest: Time,
    /// Expected run time.
    pub run: Duration,
    /// Demand of the answer on the VM's uplink.
    pub uplink: UplinkDemand,
    /// Time for which the request has waited.
    pub waited: Duration,
}

impl Job {
    /// Returns the work by which requests are compared when one must be given up.
    fn weight(&self) -> Duration {
        self.run.saturating_sub(self.waited.mul_f64(WAITED_SHARE))
    }
}

/// Expected capacity of a target.
#[derive(Clone, Debug, Default)]
pub struct Horizon {
    /// Expected time at which each slot is free.
    pub slots_free_at: Vec<Time>,
    /// Times at which the rate limit permits the next requests; empty without a limit.
    pub permits_at: Vec<Time>,
    /// Slots that requests of a priority leave free, sorted by priority; 0 for other priorities.
    pub left_free: Vec<(u8, usize)>,
}

impl Horizon {
    fn left_free(&self, priority: u8) -> usize {
        self.left_free
            .binary_search_by_key(&priority, |entry| entry.0)
            .map_or(0, |index| self.left_free[index].1)
    }

    fn permit_at(&self, position: usize) -> Time {
        let last = self.permits_at.last().copied().unwrap_or_default();
        self.permits_at.get(position).copied().unwrap_or(last)
    }
}

/// Decision on the waiting requests, as indices.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Requests that are kept, in the order in which they run.
    pub kept: Vec<usize>,
    /// Requests that cannot be answered in time.
    pub given_up: Vec<usize>,
}

/// Slots while requests are planned.
#[derive(Clone, Debug)]
struct Slots {
    /// Sorted.
    free_at: Vec<Time>,
    /// Number of requests planned before.
    planned: usize,
}

impl Slots {
    /// Plans a request and returns whether it is in time.
    fn place(&mut self, job: &Job, left_free: usize, horizon: &Horizon) -> bool {
        if self.free_at.is_empty() {
            return false;
        }
        let index = left_free.min(self.free_at.len() - 1);
        let start = self.free_at[index].max(horizon.permit_at(self.planned));
        let run_end = start + job.run;
        self.planned += 1;
        self.free_at.remove(index);
        let position = self.free_at.partition_point(|at| *at <= run_end);
        self.free_at.insert(position, run_end);
        job.uplink.arrival(run_end) <= job.latest
    }

    /// Plans requests in turn and returns whether the last one is in time.
    fn place_all(
        &mut self,
        jobs: &[Job],
        indices: &[usize],
        left_free: usize,
        horizon: &Horizon,
    ) -> bool {
        indices.iter().fold(true, |_, index| {
            self.place(&jobs[*index], left_free, horizon)
        })
    }
}

/// Plans the waiting requests.
#[must_use]
pub fn plan(jobs: &[Job], horizon: &Horizon) -> Plan {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|index| (jobs[*index].rank, jobs[*index].latest));
    let mut free_at = horizon.slots_free_at.clone();
    free_at.sort_unstable();
    let mut slots = Slots {
        free_at,
        planned: 0,
    };
    let mut plan = Plan::default();
    for same_rank in order.chunk_by(|a, b| jobs[*a].rank == jobs[*b].rank) {
        let priority = jobs[same_rank[0]].rank.priority;
        let more_urgent = plan
            .kept
            .iter()
            .filter(|index| jobs[**index].rank.priority < priority)
            .count();
        let left_free = horizon.left_free(priority).saturating_sub(more_urgent);
        let mut kept: Vec<usize> = Vec::new();
        for index in same_rank {
            let given_up = keep_in_time(jobs, &mut kept, *index, left_free, &slots, horizon);
            plan.given_up.extend(given_up);
        }
        slots.place_all(jobs, &kept, left_free, horizon);
        plan.kept.extend(kept);
    }
    plan
}

/// Adds the request with the latest due time so far to those of its rank. If it would be late,
/// returns the request that is given up: the one with the most work whose absence lets the new one be
/// in time, or the new one.
fn keep_in_time(
    jobs: &[Job],
    kept: &mut Vec<usize>,
    new: usize,
    left_free: usize,
    slots: &Slots,
    horizon: &Horizon,
) -> Option<usize> {
    kept.push(new);
    if slots.clone().place_all(jobs, kept, left_free, horizon) {
        return None;
    }
    let mut by_work = kept.clone();
    by_work.sort_by_key(|index| (std::cmp::Reverse(jobs[*index].weight()), *index != new));
    let given_up = by_work
        .into_iter()
        .find(|index| {
            let others: Vec<usize> = kept.iter().copied().filter(|kept| kept != index).collect();
            *index == new || slots.clone().place_all(jobs, &others, left_free, horizon)
        })
        .unwrap_or(new);
    kept.retain(|index| *index != given_up);
    Some(given_up)
}
