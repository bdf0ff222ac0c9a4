//! Limit of the requests that reach a target while it is cold.
//!
//! A cold target crashes if it gets well more requests than its cold rate. All its requests pass through
//! this node, so a token bucket here bounds the sum over all nodes. The bucket is empty when the target
//! becomes cold, but requests from before are still at the target or have just reached it. So besides
//! the bucket, a request is sent only if few enough others can have reached the target within a window:
//! those that run, and those that ended in that window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::rate_limit::RateLimiter;

/// Window over which the requests at a cold target are bounded: one second, with a margin for the time
/// between the steps of one event.
const WINDOW: Duration = Duration::from_millis(1020);

/// Limit of the requests at a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Most requests that may reach the target within any second; at least 1.
    pub max_per_window: usize,
}

/// Token bucket and window of a target that may become cold.
#[derive(Clone, Debug, Default)]
pub struct ColdRate {
    /// Limit that the configuration names; `None` if a cold target takes any rate.
    limit: Option<ColdLimit>,
    /// Holds the limit while the target may be cold.
    limiter: RateLimiter,
    is_in_force: bool,
    /// Ends of runs within the last `WINDOW`, oldest first.
    ended: VecDeque<Time>,
    /// Runs that ended after the last event whose time is known.
    ended_untimed: usize,
}

impl ColdRate {
    /// Sets the limit that holds while the target may be cold.
    pub fn set_limit(&mut self, limit: Option<ColdLimit>, now: Time) {
        if self.limit != limit {
            self.limit = limit;
            self.apply(now);
        }
    }

    /// Sets whether the target is cold or may be cold.
    pub fn set_in_force(&mut self, is_in_force: bool, now: Time) {
        if self.is_in_force != is_in_force {
            self.is_in_force = is_in_force;
            self.apply(now);
        }
    }

    fn apply(&mut self, now: Time) {
        match self.limit.filter(|_| self.is_in_force) {
            Some(limit) => self.limiter.set(limit.per_s, now, now),
            None => self.limiter.reset(now),
        }
        if self.limit.is_none() {
            self.ended.clear();
            self.ended_untimed = 0;
        }
    }

    /// Returns the limit while it holds.
    #[must_use]
    pub fn current(&self) -> Option<ColdLimit> {
        self.limit.filter(|_| self.is_in_force)
    }

    /// Counts the end of a run. The next event states its time.
    pub fn record_end(&mut self) {
        if self.limit.is_some() {
            self.ended_untimed += 1;
        }
    }

    /// Sets the time of the ends counted since the last event, and discards old ones.
    pub fn advance(&mut self, now: Time) {
        for _ in 0..std::mem::take(&mut self.ended_untimed) {
            self.ended.push_back(now);
        }
        while self.ended.front().is_some_and(|at| *at + WINDOW < now) {
            self.ended.pop_front();
        }
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, now: Time) {
        self.limiter.take(now);
    }

    /// Returns the time until a request may be sent behind a number of others, while `running` ones
    /// are at the target.
    #[must_use]
    pub fn wait(&self, requests_before: usize, running: usize, now: Time) -> Duration {
        let window = self.window_wait(requests_before, running, now);
        window.max(self.limiter.wait(requests_before, now))
    }

    /// Returns the time until few enough requests can have reached the target within the window.
    #[must_use]
    pub fn window_wait(&self, requests_before: usize, running: usize, now: Time) -> Duration {
        let Some(limit) = self.current() else {
            return Duration::ZERO;
        };
        let old = self.ended.partition_point(|at| *at + WINDOW < now);
        let recent = self.ended.len() - old;
        let used = running + self.ended_untimed + recent + requests_before;
        let Some(excess) = used.checked_sub(limit.max_per_window) else {
            return Duration::ZERO;
        };
        let frees_at = self.ended.get(old + excess).filter(|_| excess < recent);
        let wait = frees_at.map_or(WINDOW, |at| (*at + WINDOW).saturating_sub(now));
        wait + Duration::from_millis(1)
    }
}
