//! Retry budgets, backoff and deadlines.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::units::duration_ms;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::clock::millis;
use crate::options::Options;

const TOKEN_MILLI: u64 = 1_000;
const SECOND: Duration = Duration::from_secs(1);

/// Capacity of an idle bucket, as 2 s of the minimum rate of one token per second. It bounds the
/// burst of retries after a quiet time.
const BURST_MILLI: u64 = 2 * TOKEN_MILLI;

/// Time subtracted from the time left at each hop, for transit and for returning the answer.
const HOP_ALLOWANCE_MS: u32 = 1;

/// Token bucket of one service's retries. It allows a share of the fresh requests, and at least one
/// retry per second.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens_milli: u64,
    deposited_milli: u64,
    last_deposited_milli: u64,
    second_started_at: Instant,
}

impl RetryBudget {
    /// Creates a bucket with one token.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens_milli: TOKEN_MILLI,
            deposited_milli: 0,
            last_deposited_milli: 0,
            second_started_at: now,
        }
    }

    /// Adds the tokens of one fresh request.
    pub fn deposit(&mut self, budget_permille: u16, now: Instant) {
        self.advance(now);
        let deposited_milli = u64::from(budget_permille);
        self.deposited_milli += deposited_milli;
        self.tokens_milli = (self.tokens_milli + deposited_milli).min(self.capacity_milli());
    }

    /// Takes the token of one retry. Returns whether there was one.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.advance(now);
        if self.tokens_milli < TOKEN_MILLI {
            return false;
        }
        self.tokens_milli -= TOKEN_MILLI;
        true
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.second_started_at);
        if passed < SECOND {
            return;
        }
        let seconds = passed.as_secs();
        let missing_milli = TOKEN_MILLI.saturating_sub(self.deposited_milli)
            + (seconds - 1).saturating_mul(TOKEN_MILLI);
        self.last_deposited_milli = self.deposited_milli;
        self.deposited_milli = 0;
        self.tokens_milli = self
            .tokens_milli
            .saturating_add(missing_milli)
            .min(self.capacity_milli());
        self.second_started_at += Duration::from_secs(seconds);
    }

    fn capacity_milli(&self) -> u64 {
        BURST_MILLI + self.last_deposited_milli + self.deposited_milli
    }
}

/// Returns the backoff before a retry (0 is the first): a random time between the base and twice
/// the base, where the base doubles with each retry.
pub fn backoff(retry: u32, options: &Options, random: &mut SmallRng) -> Duration {
    let base_us = (u64::from(options.backoff_ms) * 1_000) << retry.min(8);
    Duration::from_micros(random.random_range(base_us..base_us * 2))
}

/// Returns the time by which a request must be answered.
#[must_use]
pub fn deadline(now: Instant, caller_timeout_ms: Option<u32>, route_timeout_ms: u32) -> Instant {
    now + millis(caller_timeout_ms.map_or(route_timeout_ms, |limit| limit.min(route_timeout_ms)))
}

/// Returns the time left for the next hop; `None` when nothing is left.
#[must_use]
pub fn time_left_ms(deadline: Instant, now: Instant) -> Option<u32> {
    let left_ms = duration_ms(deadline.saturating_duration_since(now));
    let next_ms = u32::try_from(left_ms)
        .unwrap_or(u32::MAX)
        .saturating_sub(HOP_ALLOWANCE_MS);
    (next_ms > 0).then_some(next_ms)
}
