//! Ejection of failing targets, based on this node's own attempts.

use std::time::Duration;
use std::time::Instant;

use crate::clock::millis;
use crate::options::Options;

const WINDOW_BUCKETS: usize = 10;
const BUCKET_DURATION: Duration = Duration::from_secs(1);

/// Time after the end of an ejection from which on the next one is as short as the first.
const BACKOFF_RESET_TIME: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Bucket {
    attempts: u32,
    failures: u32,
}

/// Recent failures and ejections of one target.
#[derive(Clone, Debug)]
pub struct Health {
    consecutive_failures: u32,
    buckets: [Bucket; WINDOW_BUCKETS],
    newest: usize,
    newest_started_at: Instant,
    ejected_until: Option<Instant>,
    last_ejection: Duration,
}

impl Health {
    /// Creates the health of a target without attempts.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            consecutive_failures: 0,
            buckets: [Bucket::default(); WINDOW_BUCKETS],
            newest: 0,
            newest_started_at: now,
            ejected_until: None,
            last_ejection: Duration::ZERO,
        }
    }

    /// Counts one attempt. Returns whether the target should be ejected.
    pub fn record(&mut self, is_failure: bool, now: Instant, options: &Options) -> bool {
        self.advance(now);
        let bucket = &mut self.buckets[self.newest];
        bucket.attempts += 1;
        if !is_failure {
            self.consecutive_failures = 0;
            return false;
        }
        bucket.failures += 1;
        self.consecutive_failures += 1;
        !self.is_ejected(now) && self.exceeds_limits(options)
    }

    /// Ejects the target. Returns the ejection time.
    pub fn eject(&mut self, now: Instant, options: &Options) -> Duration {
        let first = millis(options.ejection_first_ms);
        let is_reset = self
            .ejected_until
            .is_none_or(|until| now.saturating_duration_since(until) >= BACKOFF_RESET_TIME);
        let duration = if is_reset {
            first
        } else {
            (self.last_ejection * 2).min(millis(options.ejection_max_ms))
        };
        self.ejected_until = Some(now + duration);
        self.last_ejection = duration;
        self.consecutive_failures = 0;
        self.buckets = [Bucket::default(); WINDOW_BUCKETS];
        duration
    }

    /// Ends an ejection early, because too large a share of the targets is ejected.
    pub fn restore(&mut self, now: Instant) {
        if self.is_ejected(now) {
            self.ejected_until = Some(now);
        }
    }

    /// Returns whether the target is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    fn exceeds_limits(&self, options: &Options) -> bool {
        if self.consecutive_failures >= options.ejection_failures {
            return true;
        }
        let attempts: u32 = self.buckets.iter().map(|bucket| bucket.attempts).sum();
        let failures: u32 = self.buckets.iter().map(|bucket| bucket.failures).sum();
        attempts >= options.ejection_min_attempts
            && u64::from(failures) * 1000
                > u64::from(attempts) * u64::from(options.ejection_rate_permille)
    }

    fn advance(&mut self, now: Instant) {
        let mut steps = 0;
        while now.saturating_duration_since(self.newest_started_at) >= BUCKET_DURATION
            && steps < WINDOW_BUCKETS
        {
            self.newest = (self.newest + 1) % WINDOW_BUCKETS;
            self.buckets[self.newest] = Bucket::default();
            self.newest_started_at += BUCKET_DURATION;
            steps += 1;
        }
        if steps == WINDOW_BUCKETS {
            self.newest_started_at = now;
        }
    }
}
