//! Granting side: the token buckets of the allowances whose slots a node holds.

use std::time::Duration;

use crate::AllowanceKey;
use crate::Incarnation;
use crate::NodeName;
use crate::Time;
use crate::authority::Authority;
use crate::authority::Holding;
use crate::bucket::Bucket;
use crate::limits;
use crate::limits::Bound;
use crate::limits::Budget;
use crate::limits::Limit;
use crate::limits::TOKEN_MICRO;
use crate::messages::Ask;
use crate::messages::AskItem;
use crate::messages::Grant;
use crate::messages::GrantItem;
use crate::rate::RateEstimate;
use crate::shares::Room;
use crate::shares::Shares;
use crate::slots;
use crate::slots::Slot;
use crate::slots::SlotSet;

/// Time after which an allowance without requests is discarded.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Time over which refused requests are counted to estimate how many nodes compete.
const COMPETITION_TIME: Duration = Duration::from_secs(1);
/// Bounds of the time after which a refused node may ask again.
const MIN_RETRY: Duration = Duration::from_millis(20);
const MAX_RETRY: Duration = Duration::from_secs(5);
/// Largest part of that time that is due to competing nodes.
const MAX_FAIR_RETRY: Duration = Duration::from_secs(1);
/// Time after which a node may ask again that was refused for lack of authority.
const NO_AUTHORITY_RETRY: Duration = Duration::from_millis(250);

/// Allowance of which some tokens were requested.
#[derive(Debug)]
struct Account {
    key: AllowanceKey,
    slot: Slot,
    /// Start of the authority for which the bucket counts.
    since: Option<Time>,
    bucket: Bucket,
    shares: Shares,
    refused: RateEstimate,
    asked_at: Time,
}

/// Holder of the allowances of some slots.
#[derive(Debug)]
pub struct Holder {
    incarnation: Incarnation,
    bound: Bound,
    authority: Authority,
    /// Sorted by key.
    budgets: Vec<(AllowanceKey, Budget)>,
    /// Sorted by key.
    accounts: Vec<Account>,
    next_offer: u32,
}

impl Holder {
    /// Creates a holder without slots. `is_first_start` tells that the whole mesh starts for the
    /// first time, so nothing can have been granted before.
    #[must_use]
    pub fn new(incarnation: Incarnation, bound: Bound, is_first_start: bool, now: Time) -> Self {
        Self {
            incarnation,
            bound,
            authority: Authority::new(incarnation, is_first_start, now),
            budgets: Vec::new(),
            accounts: Vec::new(),
            next_offer: 0,
        }
    }

    /// Corrects the assumption that the whole mesh starts for the first time.
    pub fn not_first_start(&mut self) {
        self.authority.not_first_start();
    }

    /// Replaces the limits of all allowances.
    pub fn set_limits(&mut self, limits: &[(AllowanceKey, Limit)], now: Time) {
        for account in &mut self.accounts {
            let holding = self.authority.check(account.slot, now);
            if let Some(budget) = budget_of(&self.budgets, &account.key) {
                account.settle(holding, &budget, self.authority.member_count(), now);
            }
        }
        self.budgets = limits
            .iter()
            .map(|(key, limit)| (key.clone(), self.bound.budget(*limit)))
            .collect();
        self.budgets.sort_by(|a, b| a.0.cmp(&b.0));
        let budgets = &self.budgets;
        self.accounts
            .retain(|account| budget_of(budgets, &account.key).is_some());
    }

    /// Replaces the known nodes of the mesh, this one included, and the slots that this node holds
    /// as it sees it. A node that may not know all others yet must hold none.
    pub fn set_members(&mut self, members: &[NodeName], own: SlotSet, now: Time) {
        self.authority.set_members(members, own, now);
        let authority = &self.authority;
        self.accounts
            .retain(|account| authority.is_own(account.slot));
    }

    /// Discards unused allowances.
    pub fn forget_idle(&mut self, now: Time) {
        for account in &mut self.accounts {
            account.shares.expire(now);
        }
        self.accounts.retain(|account| {
            !account.shares.is_empty() || now.saturating_sub(account.asked_at) < IDLE_TIME
        });
    }

    /// Returns the slots over which this node has authority.
    pub fn held(&mut self, now: Time) -> SlotSet {
        let held = (0..slots::SLOTS).filter(|slot| self.authority.check(*slot, now).is_some());
        held.fold(0, |set, slot| set | slots::set_of(slot))
    }

    /// Handles a message of a node and returns the reply.
    pub fn handle(&mut self, from: &NodeName, ask: &Ask, now: Time) -> Grant {
        let mut grant = Grant {
            incarnation: self.incarnation,
            stamp_us: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
            echo_us: ask.sent_us,
            released: self.authority.released(),
            ..Grant::default()
        };
        let Some(recorded) = self.authority.record(from, ask, now) else {
            return grant;
        };
        grant.unregistered = recorded.unregistered;
        if recorded.is_restarted {
            self.settle_all(now);
            for account in &mut self.accounts {
                account.shares.remove(from);
            }
        }
        for entry in &ask.shares {
            let slot = slots::slot_of(&entry.key);
            if recorded.registers & slots::set_of(slot) != 0
                && let Some(index) = self.account(&entry.key, now)
            {
                let account = &mut self.accounts[index];
                account.shares.register(from, entry.milli_per_s, now);
            }
        }
        for item in &ask.items {
            grant.items.push(self.grant(from, item, now));
        }
        grant
    }

    fn grant(&mut self, from: &NodeName, item: &AskItem, now: Time) -> GrantItem {
        let mut granted = GrantItem {
            key: item.key.clone(),
            tokens: 0,
            retry_after_ms: millis(NO_AUTHORITY_RETRY),
            share_milli_per_s: None,
            offer: 0,
        };
        let slot = slots::slot_of(&item.key);
        let Some(holding) = self.authority.check(slot, now) else {
            return granted;
        };
        let Some(budget) = budget_of(&self.budgets, &item.key) else {
            return granted;
        };
        let Some(index) = self.account(&item.key, now) else {
            return granted;
        };
        let nodes = self.authority.member_count();
        let is_registered = self.authority.is_registered(from, slot);
        let account = &mut self.accounts[index];
        account.asked_at = now;
        account
            .shares
            .confirm(from, item.share_milli_per_s, item.offer);
        let free = account.free_milli(holding, &budget, nodes);
        let is_scarce = account.bucket.level_micro() < budget.capacity_micro / 2;
        let tokens = account.bucket.take(item.wanted.into());
        granted.tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        granted.retry_after_ms = 0;
        if granted.tokens < item.wanted {
            account.refused.record(now);
            granted.retry_after_ms = millis(account.retry_after(free, now));
        }
        if is_registered {
            let room = Room {
                free_milli_per_s: free,
                allows_small: holding.unregistered == 0,
                is_scarce,
                nodes,
            };
            let offer = account.shares.offer(
                from,
                item.spent_milli_per_s,
                &budget,
                room,
                &mut self.next_offer,
                now,
            );
            if let Some(offer) = offer {
                granted.share_milli_per_s = Some(offer.milli_per_s);
                granted.offer = offer.number;
            }
        }
        granted
    }

    /// Returns the index of an allowance, refilled up to now; `None` if there is no such allowance.
    fn account(&mut self, key: &AllowanceKey, now: Time) -> Option<usize> {
        let budget = budget_of(&self.budgets, key)?;
        let slot = slots::slot_of(key);
        let holding = self.authority.check(slot, now);
        let index = match self
            .accounts
            .binary_search_by(|account| account.key.cmp(key))
        {
            Ok(index) => index,
            Err(index) => {
                let account = Account {
                    key: key.clone(),
                    slot,
                    since: None,
                    bucket: Bucket::new(0, now),
                    shares: Shares::default(),
                    refused: RateEstimate::new(COMPETITION_TIME, now),
                    asked_at: now,
                };
                self.accounts.insert(index, account);
                index
            }
        };
        let nodes = self.authority.member_count();
        self.accounts[index].settle(holding, &budget, nodes, now);
        Some(index)
    }

    fn settle_all(&mut self, now: Time) {
        let nodes = self.authority.member_count();
        for account in &mut self.accounts {
            let holding = self.authority.check(account.slot, now);
            if let Some(budget) = budget_of(&self.budgets, &account.key) {
                account.settle(holding, &budget, nodes, now);
            }
        }
    }
}

impl Account {
    /// Refills the bucket up to now. A bucket of an earlier authority is replaced by an empty one,
    /// since another holder may have granted meanwhile.
    fn settle(&mut self, holding: Option<Holding>, budget: &Budget, nodes: usize, now: Time) {
        let Some(holding) = holding else {
            self.since = None;
            return;
        };
        if self.since != Some(holding.since) {
            let is_new = self.since.is_none() && self.shares.is_empty();
            self.since = Some(holding.since);
            self.bucket = if is_new && holding.is_first {
                Bucket::new(budget.capacity_micro, now)
            } else if is_new {
                Bucket::new(0, holding.free_since)
            } else {
                Bucket::new(0, now)
            };
        }
        let free = self.free_milli(holding, budget, nodes);
        self.bucket.refill(free, budget.capacity_micro, now);
        self.shares.expire(now);
    }

    /// Returns the rate that neither the known shares nor those that may exist use.
    fn free_milli(&self, holding: Holding, budget: &Budget, nodes: usize) -> u64 {
        let unregistered = u64::try_from(holding.unregistered).unwrap_or(u64::MAX);
        let withheld = budget.max_share_milli(nodes).saturating_mul(unregistered);
        budget
            .milli_per_s
            .saturating_sub(self.shares.total_milli())
            .saturating_sub(withheld)
    }

    /// Returns after which time a refused node may ask again. It grows with the number of refused
    /// requests, so that many nodes that compete for few tokens cause few messages.
    fn retry_after(&self, free_milli_per_s: u64, now: Time) -> Duration {
        let to_token = self.bucket.time_to_token(free_milli_per_s);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rate is positive and below the number of messages a second"
        )]
        let competing_micro = (self.refused.per_s(now) * 1e6) as u64;
        let fair = limits::time_for(competing_micro.min(1000 * TOKEN_MICRO), free_milli_per_s);
        to_token
            .max(fair.min(MAX_FAIR_RETRY))
            .clamp(MIN_RETRY, MAX_RETRY)
    }
}

fn budget_of(budgets: &[(AllowanceKey, Budget)], key: &AllowanceKey) -> Option<Budget> {
    let index = budgets.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
    budgets.get(index).map(|(_, budget)| *budget)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
