//! Sliding-window counters over the last 10 s.

use serde::Deserialize;
use serde::Serialize;

use crate::stats;

/// Length of the sliding window, in milliseconds.
pub const WINDOW_MS: u64 = 10_000;
const SLOT_MS: u64 = 1_000;
const SLOTS: usize = 10;

/// Number of latency buckets.
pub const BUCKETS: usize = 8;
/// Upper bounds of all buckets but the last, in milliseconds.
pub const BUCKET_BOUNDS_MS: [u32; BUCKETS - 1] = [5, 10, 25, 50, 100, 250, 1_000];

/// Counters of attempts; two values are combined by adding each field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Attempts.
    pub attempts: u32,
    /// Failed attempts.
    pub failures: u32,
    /// Sum of the latencies of successful attempts, in milliseconds.
    pub latency_sum_ms: u64,
    /// Sum of the squared latencies, in square milliseconds; for the standard error of the mean.
    pub latency_square_sum_ms2: u64,
    /// Successful attempts by latency bucket.
    pub buckets: [u32; BUCKETS],
}

impl Counts {
    /// Counts a successful attempt; `latency_ms` is `None` if its latency is to be ignored.
    pub fn success(&mut self, latency_ms: Option<u32>) {
        self.attempts = self.attempts.saturating_add(1);
        let Some(latency_ms) = latency_ms else {
            return;
        };
        let latency = u64::from(latency_ms);
        self.latency_sum_ms = self.latency_sum_ms.saturating_add(latency);
        self.latency_square_sum_ms2 = self
            .latency_square_sum_ms2
            .saturating_add(latency.saturating_mul(latency));
        let index = BUCKET_BOUNDS_MS.partition_point(|bound| *bound < latency_ms);
        self.buckets[index] = self.buckets[index].saturating_add(1);
    }

    /// Counts a failed attempt.
    pub fn failure(&mut self) {
        self.attempts = self.attempts.saturating_add(1);
        self.failures = self.failures.saturating_add(1);
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u32::saturating_add, u64::saturating_add);
    }

    fn subtract(&mut self, other: &Self) {
        self.combine(other, u32::saturating_sub, u64::saturating_sub);
    }

    fn combine(&mut self, other: &Self, small: fn(u32, u32) -> u32, large: fn(u64, u64) -> u64) {
        self.attempts = small(self.attempts, other.attempts);
        self.failures = small(self.failures, other.failures);
        self.latency_sum_ms = large(self.latency_sum_ms, other.latency_sum_ms);
        self.latency_square_sum_ms2 =
            large(self.latency_square_sum_ms2, other.latency_square_sum_ms2);
        for (own, added) in self.buckets.iter_mut().zip(&other.buckets) {
            *own = small(*own, *added);
        }
    }

    /// Returns the number of attempts whose latency was counted.
    #[must_use]
    pub fn timed(&self) -> u32 {
        self.buckets
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the mean latency in milliseconds, or 0 without a timed attempt.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        stats::to_float(self.latency_sum_ms) / f64::from(self.timed().max(1))
    }

    /// Returns the standard error of the mean latency, in milliseconds.
    #[must_use]
    pub fn mean_error_ms(&self) -> f64 {
        let count = f64::from(self.timed().max(1));
        let mean = self.mean_ms();
        let variance = stats::to_float(self.latency_square_sum_ms2) / count - mean * mean;
        (variance.max(0.0) / count).sqrt()
    }

    /// Returns the share of failed attempts, in permille.
    #[must_use]
    pub fn failure_permille(&self) -> u32 {
        let permille = u64::from(self.failures) * 1000 / u64::from(self.attempts.max(1));
        u32::try_from(permille).unwrap_or(u32::MAX)
    }

    /// Returns the probability of at least this many failures if the true failure rate were the
    /// tolerated one, which follows from the limit and the old version.
    #[must_use]
    pub fn failure_tail(&self, old: &Self, limit_permille: u16) -> f64 {
        let rate = stats::tolerated_rate(limit_permille, old.attempts, old.failures);
        stats::binomial_tail(self.attempts, self.failures, rate)
    }

    /// Returns whether the mean latency, reduced by `errors` standard errors, is over 50 ms and
    /// at least twice that of the old version.
    #[must_use]
    pub fn is_slower(&self, old: &Self, min_attempts: u32, errors: f64) -> bool {
        if self.timed() < min_attempts || old.timed() < stats::MIN_COMPARED_ATTEMPTS {
            return false;
        }
        let lower_ms = self.mean_ms() - errors * self.mean_error_ms();
        let old_ms = old.mean_ms() + old.mean_error_ms();
        lower_ms > stats::SLOW_FLOOR_MS && lower_ms >= stats::SLOW_FACTOR * old_ms
    }
}

/// Counts of the last 10 s in slots of one second. An update changes one slot and the total.
#[derive(Clone, Debug, Default)]
pub struct Window {
    slots: [Counts; SLOTS],
    total: Counts,
    last_slot: u64,
}

impl Window {
    /// Discards slots that are older than the window.
    pub fn advance(&mut self, now_unix_ms: u64) {
        let slot = now_unix_ms / SLOT_MS;
        if slot <= self.last_slot {
            return;
        }
        if slot - self.last_slot >= SLOTS as u64 {
            *self = Self::default();
        } else {
            for passed in self.last_slot + 1..=slot {
                let expired = &mut self.slots[slot_index(passed)];
                self.total.subtract(expired);
                *expired = Counts::default();
            }
        }
        self.last_slot = slot;
    }

    /// Adds counts for a time; a time before the newest slot is counted in the newest slot.
    pub fn add(&mut self, counts: &Counts, now_unix_ms: u64) {
        self.advance(now_unix_ms);
        self.slots[slot_index(self.last_slot)].add(counts);
        self.total.add(counts);
    }

    /// Returns the counts of the window that ends at `now_unix_ms`.
    pub fn total(&mut self, now_unix_ms: u64) -> &Counts {
        self.advance(now_unix_ms);
        &self.total
    }
}

fn slot_index(slot: u64) -> usize {
    usize::try_from(slot % SLOTS as u64).unwrap_or(0)
}
