//! Tokens and share of one allowance at one node.

use std::collections::VecDeque;
use std::time::Duration;

use super::REPLY_TIMEOUT;
use super::Source;
use crate::AllowanceKey;
use crate::Incarnation;
use crate::Time;
use crate::bucket::Bucket;
use crate::limits::Budget;
use crate::messages::AskItem;
use crate::messages::GrantItem;
use crate::rate::RateEstimate;
use crate::slots;
use crate::slots::SHARE_TIME;
use crate::slots::Slot;

/// Memory of the estimate of the demand, by which tokens are requested ahead.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);
/// Memory of the estimate of the spent tokens, by which shares are sized.
const SPENT_MEMORY: Duration = Duration::from_secs(5);
/// Demand beyond the share from which on tokens are requested ahead, in requests per second. At
/// lower demand most of these tokens would expire.
const MIN_AHEAD_PER_S: f64 = 12.0;
/// Time of the demand for which tokens are requested ahead, and the stock below which they are.
const AHEAD_S: f64 = 0.12;
const LOW_STOCK_S: f64 = 0.05;

/// Granted tokens that expire together.
#[derive(Clone, Copy, Debug)]
struct Lot {
    tokens: u32,
    until: Time,
}

/// Rate that the node may spend on its own.
#[derive(Clone, Copy, Debug)]
struct Share {
    milli_per_s: u64,
    bucket: Bucket,
    until: Time,
    /// Process of the holder that offered the share, and the number of its offer.
    offer: (Incarnation, u32),
    /// Whether the share was reduced by this node, so that the offer must not be prolonged.
    is_closed: bool,
}

#[derive(Debug)]
pub(super) struct Account {
    pub(super) key: AllowanceKey,
    pub(super) slot: Slot,
    budget: Budget,
    pub(super) demand: RateEstimate,
    spent: RateEstimate,
    /// Oldest first.
    lots: VecDeque<Lot>,
    share: Option<Share>,
    /// Number of requests that wait for a token.
    pub(super) waiting: u32,
    /// Sending time of the request for tokens that has no reply.
    pub(super) asked_at: Option<Time>,
    refused_until: Time,
    /// When the next token is expected.
    next_token_at: Time,
    pub(super) used_at: Time,
}

impl Account {
    pub(super) fn new(key: &AllowanceKey, budget: Budget, now: Time) -> Self {
        Self {
            key: key.clone(),
            slot: slots::slot_of(key),
            budget,
            demand: RateEstimate::new(DEMAND_MEMORY, now),
            spent: RateEstimate::new(SPENT_MEMORY, now),
            lots: VecDeque::new(),
            share: None,
            waiting: 0,
            asked_at: None,
            refused_until: now,
            next_token_at: now,
            used_at: now,
        }
    }

    /// Replaces the budget. A lower rate reduces the share in proportion at once, since the holder
    /// may not reach this node.
    pub(super) fn set_budget(&mut self, budget: Budget) {
        let before = self.budget.milli_per_s;
        if budget.milli_per_s < before
            && let Some(share) = &mut self.share
        {
            let reduced = u128::from(share.milli_per_s) * u128::from(budget.milli_per_s);
            let reduced = u64::try_from(reduced / u128::from(before.max(1))).unwrap_or_default();
            let has_room = budget.share_slack_micro(reduced) == 0;
            share.milli_per_s = if has_room { reduced } else { 0 };
            share.is_closed = true;
        }
        if budget != self.budget {
            self.refused_until = Time::ZERO;
        }
        self.budget = budget;
    }

    /// Returns the share in force.
    pub(super) fn share_milli(&self, now: Time) -> u64 {
        let share = self.share.as_ref().filter(|share| now < share.until);
        share.map_or(0, |share| share.milli_per_s)
    }

    /// Spends a token: one of the share, which no other node can use, before a granted one.
    pub(super) fn spend(&mut self, now: Time) -> Option<Source> {
        self.used_at = now;
        let source = if self.spend_share(now) {
            Source::Share
        } else if self.spend_lot(now) {
            Source::Granted
        } else {
            return None;
        };
        self.spent.record(now);
        Some(source)
    }

    fn spend_share(&mut self, now: Time) -> bool {
        let Some(share) = &mut self.share else {
            return false;
        };
        if now >= share.until || share.milli_per_s == 0 {
            share.milli_per_s = 0;
            share.is_closed = true;
            return false;
        }
        let capacity = self.budget.share_capacity_micro(share.milli_per_s);
        share.bucket.refill(share.milli_per_s, capacity, now);
        share.bucket.take(1) == 1
    }

    fn spend_lot(&mut self, now: Time) -> bool {
        self.lots.retain(|lot| now < lot.until);
        let Some(lot) = self.lots.front_mut() else {
            return false;
        };
        lot.tokens -= 1;
        if lot.tokens == 0 {
            self.lots.pop_front();
        }
        true
    }

    /// Returns the time until the next token is expected, if a refusal of the holder holds.
    pub(super) fn refusal(&self, now: Time) -> Option<Duration> {
        (now < self.refused_until).then(|| self.next_token_at.saturating_sub(now))
    }

    /// Returns whether tokens should be requested now.
    pub(super) fn is_asking_due(&self, now: Time) -> bool {
        self.waiting > 0 || self.ahead(now).is_some_and(|(stock, low, _)| stock < low)
    }

    /// Returns the stock of tokens, the stock below which more are requested, and the stock to be
    /// reached; `None` if none are requested ahead.
    fn ahead(&self, now: Time) -> Option<(f64, f64, f64)> {
        #[expect(clippy::cast_precision_loss, reason = "rates are below 2^52")]
        let share_per_s = self.share_milli(now) as f64 / 1000.0;
        let per_s = self.demand.per_s(now) - share_per_s;
        if per_s < MIN_AHEAD_PER_S {
            return None;
        }
        let lots = self.lots.iter().filter(|lot| now < lot.until);
        let stock: u32 = lots.map(|lot| lot.tokens).sum();
        Some((stock.into(), per_s * LOW_STOCK_S, per_s * AHEAD_S))
    }

    /// Returns the request for tokens, if one is due.
    pub(super) fn ask(&mut self, holder: Option<Incarnation>, now: Time) -> Option<AskItem> {
        let is_pending = self
            .asked_at
            .is_some_and(|at| now.saturating_sub(at) < REPLY_TIMEOUT);
        if is_pending || now < self.refused_until || !self.is_asking_due(now) {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the numbers are small and positive"
        )]
        let ahead = self
            .ahead(now)
            .map_or(0, |(stock, _, target)| (target - stock).max(0.0) as u32);
        let wanted = self.waiting.saturating_add(ahead);
        if wanted == 0 {
            return None;
        }
        // Replies echo the sending time in whole microseconds.
        let rest = Duration::from_nanos(u64::from(now.subsec_nanos() % 1000));
        self.asked_at = Some(now.saturating_sub(rest));
        Some(self.item(wanted, holder, now))
    }

    /// Returns a message about the share alone if the share ends soon or is more than the node needs.
    pub(super) fn share_report(&self, holder: Option<Incarnation>, now: Time) -> Option<AskItem> {
        let share = self.share.as_ref().filter(|share| now < share.until)?;
        let ends_soon = share.until.saturating_sub(now) < SHARE_TIME / 2;
        let is_unused = self.spent_milli(now) < share.milli_per_s;
        (share.milli_per_s > 0 && (ends_soon || is_unused)).then(|| self.item(0, holder, now))
    }

    fn spent_milli(&self, now: Time) -> u64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rate is positive"
        )]
        let milli_per_s = (self.spent.per_s(now) * 1000.0) as u64;
        milli_per_s
    }

    fn item(&self, wanted: u32, holder: Option<Incarnation>, now: Time) -> AskItem {
        let offer = self.share.as_ref().map(|share| share.offer);
        let own_offer = offer.filter(|(incarnation, _)| Some(*incarnation) == holder);
        AskItem {
            key: self.key.clone(),
            wanted,
            spent_milli_per_s: self.spent_milli(now),
            share_milli_per_s: self.share_milli(now),
            offer: own_offer.map_or(0, |(_, number)| number),
        }
    }

    /// Adds granted tokens, or holds a refusal. Tokens count from the sending of the request, which
    /// is earlier than the grant.
    pub(super) fn granted(&mut self, item: &GrantItem, sent_at: Time, now: Time) {
        if self.asked_at.is_some_and(|at| at <= sent_at) {
            self.asked_at = None;
        }
        let until = sent_at + self.budget.lifetime;
        if item.tokens > 0 && now < until {
            self.lots.push_back(Lot {
                tokens: item.tokens,
                until,
            });
        }
        if item.retry_after_ms > 0 {
            let retry_after = Duration::from_millis(item.retry_after_ms.into());
            self.next_token_at = now + retry_after;
            self.refused_until = now + retry_after;
        }
    }

    /// Takes over the share that the holder has offered.
    pub(super) fn share_offered(
        &mut self,
        item: &GrantItem,
        incarnation: Incarnation,
        until: Time,
        now: Time,
    ) {
        let Some(milli_per_s) = item.share_milli_per_s else {
            return;
        };
        let offer = (incarnation, item.offer);
        match &mut self.share {
            Some(share) if share.offer.0 == incarnation && share.offer.1 > item.offer => {}
            Some(share) if share.offer == offer => {
                if !share.is_closed {
                    share.until = share.until.max(until);
                }
            }
            Some(share) => {
                let capacity = self.budget.share_capacity_micro(milli_per_s);
                if now < share.until {
                    share.bucket.refill(share.milli_per_s, capacity, now);
                } else {
                    share.bucket = Bucket::new(0, now);
                }
                share.milli_per_s = milli_per_s;
                share.until = until;
                share.offer = offer;
                share.is_closed = false;
            }
            None => {
                self.share = Some(Share {
                    milli_per_s,
                    bucket: Bucket::new(0, now),
                    until,
                    offer,
                    is_closed: false,
                });
            }
        }
    }
}
