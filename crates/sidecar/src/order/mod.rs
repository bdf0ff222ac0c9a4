//! Order of the requests at a target by what callers lose when a request is delayed or refused.
//!
//! The decisions are values and functions without sockets or clocks: [`plan`] chooses which waiting
//! requests are served and in which order, [`shares`] compares the recent demand of client accounts
//! with their usual one, [`reservation`] determines the slots that less urgent requests leave free,
//! and [`returns`] spreads the times at which refused callers come back.

pub mod plan;
pub mod reservation;
pub mod returns;
pub mod shares;

use std::time::Duration;

use serde::Deserialize;

use crate::clock::Time;
use crate::model::AccountName;

/// Time to the deadline, as a part of the target latency, below which a request counts as nested. The
/// deadline of a nested call is what is left of the calling run's time, while callers wait for
/// longer than the target latency.
const NESTED_DEADLINE_SHARE: f64 = 1.25;

/// Rule by which waiting requests are ordered and given up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// By priority and due time.
    #[default]
    Arrival,
    /// By what callers lose.
    Cost,
}

/// Properties of a request that only the order by cost uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Client account, if the configuration has accounts.
    pub account: Option<AccountName>,
    /// Whether work or waiting time has been spent on the request that a refusal would waste.
    pub has_spent_work: bool,
}

/// Times of a request by which spent work is recognized.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// When it arrived at the target's node.
    pub submitted_at: Time,
    /// Until when an answer is in time.
    pub due: Time,
    /// When it is abandoned.
    pub deadline: Time,
    /// Target latency of the route.
    pub target_latency: Duration,
}

impl RequestTimes {
    /// Returns whether the caller has sent the request before and was refused: at least the shortest
    /// `Retry-After` of its time had passed when it arrived.
    #[must_use]
    pub fn has_come_back(&self) -> bool {
        self.due + returns::MIN_RETRY_AFTER <= self.submitted_at + self.target_latency
    }

    /// Returns whether a running request probably depends on this one.
    #[must_use]
    pub fn is_nested(&self) -> bool {
        let left = self.deadline.saturating_sub(self.submitted_at);
        left < self.target_latency.mul_f64(NESTED_DEADLINE_SHARE)
    }
}

/// Claim of a request to be served, among the requests of its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Claim {
    /// Its account is served too rarely, see [`shares::AccountShares::is_starved`].
    Protected,
    /// Work has been spent on it.
    Spent,
    /// Neither.
    Usual,
    /// Its account uses much more than its usual share.
    Excess,
}

/// Rank of a request; lower ranks are planned first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority; 0 for protected requests, since an account must not be starved by more urgent ones.
    pub priority: u8,
    /// Claim within the priority.
    pub claim: Claim,
}

impl Rank {
    /// Returns the rank of a request with a priority and a claim.
    #[must_use]
    pub fn new(priority: u8, claim: Claim) -> Self {
        let priority = match claim {
            Claim::Protected => 0,
            Claim::Spent | Claim::Usual | Claim::Excess => priority,
        };
        Self { priority, claim }
    }
}

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// Its account uses much more than its usual share.
    Excess,
    /// Slots are left free for more urgent requests.
    Reserved,
    /// It cannot be answered in time beside the others.
    NoRoom,
}

impl GiveUpReason {
    /// Returns the name of the reason in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Excess => "excess",
            Self::Reserved => "reserved",
            Self::NoRoom => "no_room",
        }
    }
}

/// Sum of events whose weight decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decaying {
    value: f64,
    at: Time,
}

impl Decaying {
    /// Returns the sum at a time; `period` is the time in which a weight decays to 1/e.
    pub(crate) fn value(&self, period: Duration, now: Time) -> f64 {
        let age = now.saturating_sub(self.at);
        self.value * (-age.as_secs_f64() / period.as_secs_f64()).exp()
    }

    pub(crate) fn add(&mut self, amount: f64, period: Duration, now: Time) {
        self.value = self.value(period, now) + amount;
        self.at = now;
    }
}
