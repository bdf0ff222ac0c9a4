//! Waiting times between retries, within a total time bound.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::options::Options;

/// `Backoff` yields jittered, exponentially growing waits until its time is up.
#[derive(Debug)]
pub struct Backoff {
    next_ms: u64,
    max_ms: u64,
    deadline: Instant,
    generator: StdRng,
}

impl Backoff {
    /// `new` starts with the first wait of the options; no wait ends after `deadline`.
    #[must_use]
    pub fn new(options: &Options, seed: u64, deadline: Instant) -> Self {
        Self {
            next_ms: options.backoff_first_ms.max(1),
            max_ms: options.backoff_max_ms.max(1),
            deadline,
            generator: StdRng::seed_from_u64(seed),
        }
    }

    /// `next_wait` returns the wait before the next attempt, or `None` when it would end
    /// after the deadline.
    ///
    /// The wait lies between half of the current step and the whole step, so that clients
    /// that failed together do not return together. A wait that the store asks for is kept
    /// as a lower bound.
    pub fn next_wait(&mut self, now: Instant, at_least: Option<Duration>) -> Option<Duration> {
        let step_ms = self.next_ms.min(self.max_ms);
        self.next_ms = step_ms.saturating_mul(2);
        let jittered_ms = self.generator.random_range(step_ms.div_ceil(2)..=step_ms);
        let wait = at_least.unwrap_or_default() + Duration::from_millis(jittered_ms);
        (now + wait < self.deadline).then_some(wait)
    }

    /// `deadline` returns the time at which the operation ends.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
