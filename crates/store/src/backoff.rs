//! Delays between retries, within a total time limit.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::options::Options;

/// Smallest part of the request timeout that an attempt must have. An attempt that is cut off sooner
/// replaces the reason of the earlier failures, and leaves open whether a write took effect.
const MIN_ATTEMPT_PERCENT: u32 = 30;

/// Exponential backoff with jitter that ends at a deadline.
#[derive(Debug)]
pub struct Backoff {
    next_ms: u64,
    max_ms: u64,
    deadline: Instant,
    /// Time that must be left for an attempt.
    min_attempt: Duration,
    generator: StdRng,
}

impl Backoff {
    /// Creates a backoff that starts with the first wait of the options. Each wait leaves time for an
    /// attempt before `deadline`.
    #[must_use]
    pub fn new(options: &Options, seed: u64, deadline: Instant) -> Self {
        Self {
            next_ms: options.backoff_first_ms.max(1),
            max_ms: options.backoff_max_ms.max(1),
            deadline,
            min_attempt: options.request_timeout() * MIN_ATTEMPT_PERCENT / 100,
            generator: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the wait before the next attempt, or `None` if it would leave too little time for it.
    ///
    /// The wait is between half of the current step and the whole step, so that clients that
    /// failed at the same time do not retry at the same time. It is added to the wait that the
    /// store asked for, which is therefore a lower bound.
    pub fn next_wait(&mut self, now: Instant, at_least: Option<Duration>) -> Option<Duration> {
        let step_ms = self.next_ms.min(self.max_ms);
        self.next_ms = step_ms.saturating_mul(2);
        let jittered_ms = self.generator.random_range(step_ms.div_ceil(2)..=step_ms);
        let wait = at_least.unwrap_or_default() + Duration::from_millis(jittered_ms);
        (now + wait + self.min_attempt < self.deadline).then_some(wait)
    }

    /// Returns the deadline of the operation.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
