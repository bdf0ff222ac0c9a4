//! Limit of the rate at which requests are sent to the local target.
//!
//! A target in need names in its answers how many requests per second it takes from all nodes
//! together, for as long as it says so. Only this node can reach the target, so one token bucket
//! here bounds the sum over all nodes, whatever they have learned of the limit. A restarted node has
//! lost the limit; nodes that were told of it send it along with their calls until the node has an
//! answer of its own.

use std::time::Duration;

use crate::clock::Time;

/// Requests in this time at the limited rate that may be sent at once after a lull. Shorter than
/// the window over which targets count, so that a burst leaves most of the window's allowance.
const BURST: Duration = Duration::from_millis(250);
/// Lowest rate that is enforced, in requests per second. Only an answer shows that a limit has
/// ended, so some requests are sent even to a target that takes none.
const MIN_RATE_PER_S: f64 = 0.5;
/// Tolerance for rounding errors of the tokens.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// Token bucket at the rate that the target names.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    limit: Option<Limit>,
    /// Time since which the current process of the target is known; answers to earlier requests
    /// are of another process.
    target_since: Time,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    /// When an answer last named this limit or a lower one.
    named_at: Time,
    tokens: f64,
    refilled_at: Time,
}

/// Returns a rate in requests per 1000 seconds, as nodes report it.
#[must_use]
pub fn to_milli(per_s: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is clamped to the range of the type"
    )]
    let milli = (per_s * 1000.0).clamp(0.0, f64::from(u32::MAX)) as u32;
    milli
}

/// Returns the requests per second of a reported rate.
#[must_use]
pub fn from_milli(milli_per_s: u32) -> f64 {
    f64::from(milli_per_s) / 1000.0
}

impl RateLimiter {
    /// Applies the limit of an answer to a request that was sent at `sent_at`. Answers on several
    /// connections may be read in another order than they were made. So a higher limit replaces a
    /// lower one only if its request was sent after the lower one was read.
    pub fn set(&mut self, per_s: f64, sent_at: Time, now: Time) {
        if sent_at < self.target_since {
            return;
        }
        let Some(limit) = &mut self.limit else {
            self.limit = Some(Limit {
                per_s,
                named_at: now,
                tokens: 0.0,
                refilled_at: now,
            });
            return;
        };
        if per_s > limit.per_s && sent_at < limit.named_at {
            return;
        }
        limit.refill(now);
        limit.per_s = per_s;
        limit.tokens = limit.tokens.min(limit.capacity());
        limit.named_at = now;
    }

    /// Ends the limit after an answer without one, if its request was sent after the last answer
    /// that named the limit was read.
    pub fn withdraw(&mut self, sent_at: Time) {
        if sent_at >= self.target_since && self.limit.is_some_and(|limit| sent_at >= limit.named_at)
        {
            self.limit = None;
        }
    }

    /// Ends the limit, as another process of the target has started.
    pub fn reset(&mut self, now: Time) {
        self.limit = None;
        self.target_since = now;
    }

    /// Returns the limit in requests per second, if there is one.
    #[must_use]
    pub fn per_s(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s)
    }

    /// Returns whether a request may be sent now, and counts it if so.
    pub fn take(&mut self, now: Time) -> bool {
        let Some(limit) = &mut self.limit else {
            return true;
        };
        limit.refill(now);
        if limit.tokens < 1.0 - TOKEN_TOLERANCE {
            return false;
        }
        limit.tokens -= 1.0;
        true
    }

    /// Returns the time until a request may be sent behind a number of others.
    #[must_use]
    pub fn wait(&self, requests_before: usize, now: Time) -> Duration {
        let Some(mut limit) = self.limit else {
            return Duration::ZERO;
        };
        limit.refill(now);
        let before = f64::from(u32::try_from(requests_before).unwrap_or(u32::MAX));
        let missing = before + 1.0 - TOKEN_TOLERANCE - limit.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing / limit.rate())
    }
}

impl Limit {
    fn rate(&self) -> f64 {
        self.per_s.max(MIN_RATE_PER_S)
    }

    fn capacity(&self) -> f64 {
        (self.rate() * BURST.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate()).min(self.capacity());
        self.refilled_at = now;
    }
}
