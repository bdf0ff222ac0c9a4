//! Demand of client accounts at a target: recent against usual, and how often each is served.

use std::time::Duration;

use crate::clock::Time;
use crate::model::AccountName;
use crate::order::Decaying;

/// Time over which the recent demand is averaged.
const RECENT: Duration = Duration::from_secs(2);
/// Time over which the usual demand is averaged.
const USUAL: Duration = Duration::from_mins(1);
/// Time over which the served share is averaged.
const SERVED: Duration = Duration::from_secs(10);
/// Time for which the demand is observed before an account can exceed its usual one.
const MIN_OBSERVED: Duration = Duration::from_secs(5);
/// Factor of the usual demand, beyond the growth of all accounts, from which on demand is in excess.
const EXCESS_FACTOR: f64 = 2.0;
/// Recent requests that an account may send beyond that. At a single target, a small account sends
/// so few that chance exceeds any factor.
const EXCESS_ALLOWANCE: f64 = 3.0;
/// Weight of a request in excess in the usual demand. Eight times the usual demand counts as usual
/// after about a minute and a half.
const EXCESS_WEIGHT: f64 = 0.6;
/// Share of the overall served part below which an account is starved. The bound is a quarter; the
/// difference leaves time to react.
const STARVED_SHARE: f64 = 0.3;
/// Requests from which on the served part of an account counts.
const MIN_OFFERED: f64 = 4.0;
/// Maximum number of accounts; the ones with the least demand are forgotten first.
const CAPACITY: usize = 1024;

#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    recent: Decaying,
    usual: Decaying,
    offered: Decaying,
    served: Decaying,
}

impl Demand {
    /// Returns the usual number of requests in the recent period. `observed` is the time for which
    /// demand has been counted; the sum of a shorter time than the period is scaled up.
    fn usual(&self, observed: Duration, now: Time) -> f64 {
        let seen = 1.0 - (-observed.as_secs_f64() / USUAL.as_secs_f64()).exp();
        let per_s = self.usual.value(USUAL, now) / (seen.max(0.01) * USUAL.as_secs_f64());
        per_s * RECENT.as_secs_f64()
    }

    fn served_part(&self, now: Time) -> f64 {
        self.served.value(SERVED, now) / self.offered.value(SERVED, now).max(1e-9)
    }

    fn arrived(&mut self, weight: f64, now: Time) {
        self.recent.add(1.0, RECENT, now);
        self.usual.add(weight, USUAL, now);
        self.offered.add(1.0, SERVED, now);
    }
}

/// Demand of all accounts at a target.
#[derive(Clone, Debug, Default)]
pub struct AccountShares {
    /// Sorted by account.
    accounts: Vec<(AccountName, Demand)>,
    all: Demand,
    /// Time of the first request.
    since: Option<Time>,
}

impl AccountShares {
    /// Records a request of an account.
    pub fn arrived(&mut self, account: &AccountName, now: Time) {
        self.since.get_or_insert(now);
        let weight = if self.is_excess(account, now) {
            EXCESS_WEIGHT
        } else {
            1.0
        };
        self.all.arrived(weight, now);
        match self.find(account) {
            Ok(index) => self.accounts[index].1.arrived(weight, now),
            Err(index) => {
                let index = if self.accounts.len() >= CAPACITY {
                    self.forget_small(now);
                    self.find(account).unwrap_or_else(|index| index)
                } else {
                    index
                };
                let mut demand = Demand::default();
                demand.arrived(weight, now);
                self.accounts.insert(index, (account.clone(), demand));
            }
        }
    }

    /// Records that a request of an account got a slot.
    pub fn served(&mut self, account: &AccountName, now: Time) {
        self.all.served.add(1.0, SERVED, now);
        if let Ok(index) = self.find(account) {
            self.accounts[index].1.served.add(1.0, SERVED, now);
        }
    }

    /// Returns whether an account sends much more than usual, compared with its own usual demand and
    /// with the growth of the others.
    #[must_use]
    pub fn is_excess(&self, account: &AccountName, now: Time) -> bool {
        let observed = now.saturating_sub(self.since.unwrap_or(now));
        let Ok(index) = self.find(account) else {
            return false;
        };
        if observed < MIN_OBSERVED {
            return false;
        }
        let demand = &self.accounts[index].1;
        let (recent, usual) = (
            demand.recent.value(RECENT, now),
            demand.usual(observed, now),
        );
        let others_recent = self.all.recent.value(RECENT, now) - recent;
        let others_usual = self.all.usual(observed, now) - usual;
        let growth = (others_recent / others_usual.max(1.0)).max(1.0);
        recent > EXCESS_FACTOR * growth * usual + EXCESS_ALLOWANCE
    }

    /// Returns whether an account is served so much more rarely than all together that its requests
    /// must go first.
    #[must_use]
    pub fn is_starved(&self, account: &AccountName, now: Time) -> bool {
        let Ok(index) = self.find(account) else {
            return false;
        };
        let demand = &self.accounts[index].1;
        demand.offered.value(SERVED, now) >= MIN_OFFERED
            && demand.served_part(now) < STARVED_SHARE * self.all.served_part(now)
    }

    fn find(&self, account: &AccountName) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|(name, _)| name.cmp(account))
    }

    /// Forgets the half of the accounts with the least demand.
    fn forget_small(&mut self, now: Time) {
        let mut demands: Vec<f64> = self
            .accounts
            .iter()
            .map(|(_, demand)| demand.usual.value(USUAL, now))
            .collect();
        demands.sort_by(f64::total_cmp);
        let median = demands[demands.len() / 2];
        self.accounts
            .retain(|(_, demand)| demand.usual.value(USUAL, now) > median);
    }
}
