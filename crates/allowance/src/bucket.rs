//! Token bucket whose rate may change.

use std::time::Duration;

use crate::Time;
use crate::limits;
use crate::limits::TOKEN_MICRO;

/// Token bucket. The owner passes in the rate, which held since the last call, and the capacity.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level_micro: u64,
    refilled_at: Time,
}

impl Bucket {
    /// Creates a bucket with a level.
    #[must_use]
    pub fn new(level_micro: u64, now: Time) -> Self {
        Self {
            level_micro,
            refilled_at: now,
        }
    }

    /// Adds what has accrued since the last refill.
    pub fn refill(&mut self, milli_per_s: u64, capacity_micro: u64, now: Time) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let accrued = limits::accrued_micro(milli_per_s, elapsed);
        self.level_micro = self.level_micro.saturating_add(accrued).min(capacity_micro);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes up to `wanted` whole tokens and returns their number.
    pub fn take(&mut self, wanted: u64) -> u64 {
        let taken = wanted.min(self.level_micro / TOKEN_MICRO);
        self.level_micro -= taken * TOKEN_MICRO;
        taken
    }

    /// Returns the level.
    #[must_use]
    pub fn level_micro(&self) -> u64 {
        self.level_micro
    }

    /// Returns the time until the bucket holds a token.
    #[must_use]
    pub fn time_to_token(&self, milli_per_s: u64) -> Duration {
        limits::time_for(TOKEN_MICRO.saturating_sub(self.level_micro), milli_per_s)
    }
}
