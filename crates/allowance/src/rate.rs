//! Estimate of the rate of events.

use std::time::Duration;

use crate::Time;

/// Exponentially decaying estimate of a rate.
#[derive(Clone, Copy, Debug)]
pub struct RateEstimate {
    per_s: f64,
    updated_at: Time,
    memory: Duration,
}

impl RateEstimate {
    /// Creates an estimate of zero in which an event counts for about the time `memory`.
    #[must_use]
    pub fn new(memory: Duration, now: Time) -> Self {
        Self {
            per_s: 0.0,
            updated_at: now,
            memory,
        }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Time) {
        self.per_s = self.per_s(now) + 1.0 / self.memory.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the rate in events per second.
    #[must_use]
    pub fn per_s(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.per_s * (-elapsed.as_secs_f64() / self.memory.as_secs_f64()).exp()
    }
}
