//! Spending side: the tokens and shares of one node.

use std::time::Duration;

use crate::AllowanceKey;
use crate::Incarnation;
use crate::NodeName;
use crate::Time;
use crate::limits::Bound;
use crate::limits::Budget;
use crate::limits::Limit;
use crate::messages::Ask;
use crate::messages::Grant;
use crate::messages::GrantItem;
use crate::messages::ShareEntry;
use crate::slots;
use crate::slots::KEEP_ALIVE_INTERVAL;
use crate::slots::SHARE_TIME;
use crate::slots::SUPPORT_TIME;
use crate::slots::SlotSet;
use crate::support::Support;

mod account;

use account::Account;

/// Time after which an unanswered message no longer prevents another one.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// `Retry-After` when there is no holder that could tell.
const NO_HOLDER_RETRY: Duration = Duration::from_millis(500);
/// Time after which an unused allowance is discarded.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Source of a spent token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The holder has granted it.
    Granted,
    /// The node's own share, while the holder replies.
    Share,
    /// The node's own share, while the holder does not reply.
    Fallback,
}

/// Result of a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// There is no limit.
    Unlimited,
    /// A token was spent.
    Spent(Source),
    /// The holder has been asked, or will be by the next [`Spender::poll`].
    Wait,
    /// There is no token.
    Refused {
        /// Time until the next token is expected.
        retry_after: Duration,
    },
}

/// Spender of all allowances at one node.
#[derive(Debug)]
pub struct Spender {
    incarnation: Incarnation,
    bound: Bound,
    support: Support,
    /// Sorted by key.
    budgets: Vec<(AllowanceKey, Budget)>,
    /// Sorted by key.
    accounts: Vec<Account>,
    /// Allowances of which tokens may have to be requested.
    due: Vec<AllowanceKey>,
    /// Holders with the time of the latest message to each, and the latest reply; sorted by node.
    exchanges: Vec<Exchange>,
    /// Holders that get a message at once.
    urgent: Vec<NodeName>,
}

#[derive(Clone, Debug)]
struct Exchange {
    node: NodeName,
    sent_at: Option<Time>,
    /// Sending time of the oldest message that has no reply.
    unanswered_since: Option<Time>,
    unregistered: SlotSet,
}

impl Spender {
    /// Creates a spender without tokens. A process that may have replaced another one supports no
    /// holder until the support of the earlier process has ended.
    #[must_use]
    pub fn new(incarnation: Incarnation, bound: Bound, is_first_start: bool, now: Time) -> Self {
        let silence = if is_first_start {
            Duration::ZERO
        } else {
            SUPPORT_TIME
        };
        Self {
            incarnation,
            bound,
            support: Support::new(now + silence),
            budgets: Vec::new(),
            accounts: Vec::new(),
            due: Vec::new(),
            exchanges: Vec::new(),
            urgent: Vec::new(),
        }
    }

    /// Corrects the assumption that the whole mesh starts for the first time: an earlier process of
    /// this node may have promised its support until `until`.
    pub fn not_first_start(&mut self, until: Time) {
        self.support.be_silent_until(until);
    }

    /// Replaces the limits of all allowances.
    pub fn set_limits(&mut self, limits: &[(AllowanceKey, Limit)]) {
        let mut budgets: Vec<(AllowanceKey, Budget)> = limits
            .iter()
            .map(|(key, limit)| (key.clone(), self.bound.budget(*limit)))
            .collect();
        budgets.sort_by(|a, b| a.0.cmp(&b.0));
        self.budgets = budgets;
        let budgets = &self.budgets;
        self.accounts.retain_mut(|account| {
            let budget = budget_of(budgets, &account.key);
            if let Some(budget) = budget {
                account.set_budget(budget);
            }
            budget.is_some()
        });
    }

    /// Replaces the nodes that are taken to be live, this one included. Returns whether the holder
    /// of any slot has changed.
    pub fn set_live(&mut self, live: &[NodeName]) -> bool {
        let has_changed = self.support.set_live(live);
        if has_changed {
            let holders = self.support.holders();
            self.exchanges
                .retain(|exchange| holders.contains(&exchange.node));
            for account in &mut self.accounts {
                account.asked_at = None;
            }
            self.due = self
                .accounts
                .iter()
                .map(|account| account.key.clone())
                .collect();
            self.urgent = holders;
        }
        has_changed
    }

    /// Ends the support for earlier processes of a node.
    pub fn node_restarted(&mut self, node: &NodeName, incarnation: Incarnation) {
        self.support.node_restarted(node, incarnation);
    }

    /// Returns the holder nodes, sorted.
    #[must_use]
    pub fn holders(&self) -> Vec<NodeName> {
        self.support.holders()
    }

    /// Returns the slots that a node holds as this one sees it.
    #[must_use]
    pub fn slots_of(&self, node: &NodeName) -> SlotSet {
        self.support.slots_of(node)
    }

    /// Returns the holder of an allowance.
    #[must_use]
    pub fn holder_of(&self, key: &AllowanceKey) -> Option<&NodeName> {
        self.support.holder(slots::slot_of(key))
    }

    /// Takes a token for a new request. After [`Take::Wait`] the caller must call
    /// [`Spender::retake`] when a reply has come, and [`Spender::give_up`] if it stops waiting.
    pub fn take(&mut self, key: &AllowanceKey, now: Time) -> Take {
        let Some(budget) = budget_of(&self.budgets, key) else {
            return Take::Unlimited;
        };
        let has_holder = self.holder_of(key).is_some();
        let is_silent = self.is_silent(key, now);
        let account = self.account(key, budget, now);
        account.demand.record(now);
        let source = account.spend(now);
        let needs_tokens = account.is_asking_due(now);
        let result = match source {
            Some(Source::Share) if is_silent => Take::Spent(Source::Fallback),
            Some(source) => Take::Spent(source),
            None if !has_holder => Take::Refused {
                retry_after: NO_HOLDER_RETRY,
            },
            None => {
                if let Some(retry_after) = account.refusal(now) {
                    Take::Refused { retry_after }
                } else {
                    account.waiting += 1;
                    Take::Wait
                }
            }
        };
        if needs_tokens || result == Take::Wait {
            self.add_due(key);
        }
        result
    }

    /// Takes a token for a request that waits.
    pub fn retake(&mut self, key: &AllowanceKey, now: Time) -> Take {
        let Some(budget) = budget_of(&self.budgets, key) else {
            return Take::Unlimited;
        };
        let is_silent = self.is_silent(key, now);
        let account = self.account(key, budget, now);
        let result = match account.spend(now) {
            Some(Source::Share) if is_silent => Take::Spent(Source::Fallback),
            Some(source) => Take::Spent(source),
            None => {
                let Some(retry_after) = account.refusal(now) else {
                    self.add_due(key);
                    return Take::Wait;
                };
                Take::Refused { retry_after }
            }
        };
        account.waiting = account.waiting.saturating_sub(1);
        result
    }

    /// Ends the wait of a request. Returns when the next token may be expected.
    pub fn give_up(&mut self, key: &AllowanceKey, now: Time) -> Duration {
        match self.index(key) {
            Ok(index) => {
                let account = &mut self.accounts[index];
                account.waiting = account.waiting.saturating_sub(1);
                account.refusal(now).unwrap_or(NO_HOLDER_RETRY)
            }
            Err(_) => NO_HOLDER_RETRY,
        }
    }

    /// Returns the messages that are due, at most one for each holder.
    pub fn poll(&mut self, now: Time) -> Vec<(NodeName, Ask)> {
        let due = std::mem::take(&mut self.due);
        let mut asks: Vec<(NodeName, Ask)> = Vec::new();
        for key in due {
            let Some(holder) = self.holder_of(&key).cloned() else {
                continue;
            };
            let Ok(index) = self.index(&key) else {
                continue;
            };
            let incarnation = self
                .support
                .contact(&holder)
                .map(|contact| contact.incarnation);
            let account = &mut self.accounts[index];
            if let Some(item) = account.ask(incarnation, now) {
                ask_of(&mut asks, &holder).items.push(item);
            }
        }
        for node in self.support.holders() {
            let sent_at = self.exchange(&node).sent_at;
            let is_due = sent_at.is_none_or(|at| now.saturating_sub(at) >= KEEP_ALIVE_INTERVAL);
            if is_due || self.urgent.contains(&node) {
                let ask = ask_of(&mut asks, &node);
                self.report_shares(&node, ask, now);
            }
        }
        self.urgent.clear();
        for (node, ask) in &mut asks {
            self.complete(node, ask, now);
        }
        asks
    }

    /// Adds reports of the shares that end soon or are not needed.
    fn report_shares(&self, node: &NodeName, ask: &mut Ask, now: Time) {
        let slots = self.support.slots_of(node);
        let incarnation = self
            .support
            .contact(node)
            .map(|contact| contact.incarnation);
        for account in &self.accounts {
            let is_reported = slots & slots::set_of(account.slot) != 0
                && !ask.items.iter().any(|item| item.key == account.key);
            if is_reported && let Some(item) = account.share_report(incarnation, now) {
                ask.items.push(item);
            }
        }
    }

    /// Adds the sender's state to a message.
    fn complete(&mut self, node: &NodeName, ask: &mut Ask, now: Time) {
        ask.incarnation = self.incarnation;
        ask.sent_us = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        (ask.supports, ask.echo) = self.support.promise(node, now);
        let exchange = self.exchange(node);
        exchange.sent_at = Some(now);
        exchange.unanswered_since.get_or_insert(now);
        ask.registers = exchange.unregistered & ask.supports;
        for account in &self.accounts {
            let milli_per_s = account.share_milli(now);
            if ask.registers & slots::set_of(account.slot) != 0 && milli_per_s > 0 {
                ask.shares.push(ShareEntry {
                    key: account.key.clone(),
                    milli_per_s,
                });
            }
        }
    }

    /// Handles the reply of a holder. Returns the allowances whose waiting requests can go on.
    pub fn handle(&mut self, from: &NodeName, grant: Grant, now: Time) -> Vec<AllowanceKey> {
        let is_first = self.support.record(from, &grant, now);
        let registers_before = self.exchange(from).unregistered;
        let exchange = self.exchange(from);
        exchange.unanswered_since = None;
        exchange.unregistered = grant.unregistered;
        let must_register = grant.unregistered & !registers_before != 0;
        if is_first || must_register {
            self.urgent.push(from.clone());
        }
        let sent_at = Duration::from_micros(grant.echo_us);
        let mut keys = Vec::new();
        for item in grant.items {
            let key = item.key.clone();
            self.apply(from, grant.incarnation, &item, sent_at, now);
            keys.push(key);
        }
        keys
    }

    fn apply(
        &mut self,
        from: &NodeName,
        incarnation: Incarnation,
        item: &GrantItem,
        sent_at: Time,
        now: Time,
    ) {
        let Ok(index) = self.index(&item.key) else {
            return;
        };
        let slot = self.accounts[index].slot;
        let is_supported = self.support.supports(slot, from, incarnation, now);
        let account = &mut self.accounts[index];
        account.granted(item, sent_at, now);
        if is_supported {
            account.share_offered(item, incarnation, sent_at + SHARE_TIME, now);
        }
        if account.is_asking_due(now) {
            self.add_due(&item.key);
        }
    }

    /// Discards unused allowances.
    pub fn forget_idle(&mut self, now: Time) {
        self.accounts.retain(|account| {
            account.waiting > 0
                || account.share_milli(now) > 0
                || now.saturating_sub(account.used_at) < IDLE_TIME
        });
    }

    /// Returns whether the holder of an allowance does not reply.
    fn is_silent(&mut self, key: &AllowanceKey, now: Time) -> bool {
        let Some(holder) = self.holder_of(key).cloned() else {
            return true;
        };
        let since = self.exchange(&holder).unanswered_since;
        since.is_some_and(|since| now.saturating_sub(since) > REPLY_TIMEOUT)
    }

    fn add_due(&mut self, key: &AllowanceKey) {
        if !self.due.contains(key) {
            self.due.push(key.clone());
        }
    }

    fn exchange(&mut self, node: &NodeName) -> &mut Exchange {
        let index = match self
            .exchanges
            .binary_search_by(|exchange| exchange.node.cmp(node))
        {
            Ok(index) => index,
            Err(index) => {
                let exchange = Exchange {
                    node: node.clone(),
                    sent_at: None,
                    unanswered_since: None,
                    unregistered: 0,
                };
                self.exchanges.insert(index, exchange);
                index
            }
        };
        &mut self.exchanges[index]
    }

    fn account(&mut self, key: &AllowanceKey, budget: Budget, now: Time) -> &mut Account {
        let index = match self.index(key) {
            Ok(index) => index,
            Err(index) => {
                self.accounts.insert(index, Account::new(key, budget, now));
                index
            }
        };
        &mut self.accounts[index]
    }

    fn index(&self, key: &AllowanceKey) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|account| account.key.cmp(key))
    }
}

fn ask_of<'a>(asks: &'a mut Vec<(NodeName, Ask)>, node: &NodeName) -> &'a mut Ask {
    let index = match asks.binary_search_by(|(known, _)| known.cmp(node)) {
        Ok(index) => index,
        Err(index) => {
            asks.insert(index, (node.clone(), Ask::default()));
            index
        }
    };
    &mut asks[index].1
}

fn budget_of(budgets: &[(AllowanceKey, Budget)], key: &AllowanceKey) -> Option<Budget> {
    let index = budgets.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
    budgets.get(index).map(|(_, budget)| *budget)
}
