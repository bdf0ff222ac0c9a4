//! Limits of an allowance, and how the bound on a window is divided.

use std::time::Duration;

/// One token in the unit of all levels.
pub const TOKEN_MICRO: u64 = 1_000_000;
/// Part of the overshoot of a window that the lifetime of granted tokens uses, in percent. The
/// rest covers clock resolution and the shares that may save up one token.
const LIFETIME_PERCENT: u64 = 80;
/// Bounds of the lifetime of granted tokens. A reply from another region takes some 25 ms.
const MIN_LIFETIME: Duration = Duration::from_millis(100);
const MAX_LIFETIME: Duration = Duration::from_secs(1);
/// Time of the rate that the bucket can save up beyond the burst if the bound has room for it.
/// Nodes that were refused ask again only after a pause, in which a full bucket loses tokens.
const EXTRA_BURST: Duration = Duration::from_millis(100);
/// Multiple of its equal part of the rate up to which a node gets a share.
const MAX_SHARE_FACTOR: u64 = 2;

/// Tokens that a share must be able to save up so that it loses little of its rate to requests that
/// come at random. Shares that saved up one or two lost 7 to 9 percent of a scarce allowance.
const MIN_SAVED_TOKENS: u64 = 3;

/// Rate and burst of an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Tokens in 1000 seconds.
    pub milli_per_s: u64,
    /// Tokens beyond the rate that may be spent at once.
    pub burst: u64,
}

/// Bound on the tokens that may be spent in a window, relative to the limit of an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Length of the window.
    pub window: Duration,
    /// Part of rate x window + burst by which a window may exceed it, in permille.
    pub overshoot_permille: u64,
    /// Tokens of a window that are allowed in addition.
    pub allowance: u64,
}

/// Division of the bound of one allowance.
///
/// A window holds at most rate x (window + lifetime) + capacity granted tokens, and shares that
/// save up a whole token exceed their rate by at most `slack_micro` together. The sum of all
/// parts never exceeds the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Rate in tokens per 1000 seconds.
    pub milli_per_s: u64,
    /// Largest level of the bucket.
    pub capacity_micro: u64,
    /// Lifetime of granted tokens.
    pub lifetime: Duration,
    /// Tokens that all shares together may save up beyond their rate x lifetime.
    pub slack_micro: u64,
}

impl Bound {
    /// Returns the largest number of tokens that may be spent in a window.
    #[must_use]
    pub fn tokens_micro(&self, limit: Limit) -> u64 {
        let granted = accrued_micro(limit.milli_per_s, self.window)
            .saturating_add(limit.burst.saturating_mul(TOKEN_MICRO));
        let overshoot = u128::from(granted) * u128::from(self.overshoot_permille) / 1000;
        granted
            .saturating_add(u64::try_from(overshoot).unwrap_or(u64::MAX))
            .saturating_add(self.allowance.saturating_mul(TOKEN_MICRO))
    }

    /// Returns the lifetime of granted tokens.
    #[must_use]
    pub fn lifetime(&self) -> Duration {
        let overshoot_percent = self.overshoot_permille.min(1000) * LIFETIME_PERCENT;
        let percent = u32::try_from(overshoot_percent).unwrap_or(u32::MAX);
        (self.window * percent / 100_000).clamp(MIN_LIFETIME, MAX_LIFETIME)
    }

    /// Divides the bound for an allowance.
    #[must_use]
    pub fn budget(&self, limit: Limit) -> Budget {
        let bound = self.tokens_micro(limit);
        let lifetime = self.lifetime();
        let span = self.window + lifetime;
        let burst = limit.burst.saturating_mul(TOKEN_MICRO);
        let needed = accrued_micro(limit.milli_per_s, span).saturating_add(burst);
        let (mut milli_per_s, mut capacity_micro) = (limit.milli_per_s, burst);
        if needed > bound {
            // Without overshoot the lifetime of the tokens is taken out of the rate and the burst.
            milli_per_s = scaled(milli_per_s, bound, needed);
            capacity_micro = scaled(capacity_micro, bound, needed);
        }
        let spare = bound.saturating_sub(needed);
        capacity_micro += accrued_micro(milli_per_s, EXTRA_BURST).min(spare / 4);
        if capacity_micro < TOKEN_MICRO {
            // A bucket that cannot hold one token would never grant any.
            capacity_micro = if bound < TOKEN_MICRO { 0 } else { TOKEN_MICRO };
            milli_per_s = milli_per_s.min(rate_for(bound.saturating_sub(capacity_micro), span));
        }
        let used = accrued_micro(milli_per_s, span).saturating_add(capacity_micro);
        Budget {
            milli_per_s,
            capacity_micro,
            lifetime,
            slack_micro: bound.saturating_sub(used) / 2,
        }
    }
}

impl Budget {
    /// Returns the largest share of one of `nodes` nodes, in tokens per 1000 seconds. A holder that
    /// does not know the share of a node withholds this much for it.
    #[must_use]
    pub fn max_share_milli(&self, nodes: usize) -> u64 {
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        (self.milli_per_s.saturating_mul(MAX_SHARE_FACTOR) / nodes).min(self.milli_per_s)
    }

    /// Returns by how much a share that saves up a whole token exceeds its rate x lifetime.
    #[must_use]
    pub fn share_slack_micro(&self, milli_per_s: u64) -> u64 {
        if milli_per_s == 0 {
            return 0;
        }
        TOKEN_MICRO.saturating_sub(accrued_micro(milli_per_s, self.lifetime))
    }

    /// Returns whether a share can save up so few tokens that a part of its rate is lost.
    #[must_use]
    pub fn is_wasteful_share(&self, milli_per_s: u64) -> bool {
        accrued_micro(milli_per_s, self.lifetime) < MIN_SAVED_TOKENS * TOKEN_MICRO
    }

    /// Returns the largest level of a share.
    #[must_use]
    pub fn share_capacity_micro(&self, milli_per_s: u64) -> u64 {
        accrued_micro(milli_per_s, self.lifetime).max(TOKEN_MICRO)
    }
}

/// Returns what a rate gives in a time.
#[must_use]
pub fn accrued_micro(milli_per_s: u64, time: Duration) -> u64 {
    let micro = u128::from(milli_per_s) * time.as_micros() / 1000;
    u64::try_from(micro).unwrap_or(u64::MAX)
}

/// Returns the time in which a rate gives an amount; one hour at most.
#[must_use]
pub fn time_for(amount_micro: u64, milli_per_s: u64) -> Duration {
    const LONGEST: Duration = Duration::from_hours(1);
    if milli_per_s == 0 {
        return LONGEST;
    }
    let micros = u128::from(amount_micro) * 1000 / u128::from(milli_per_s);
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)).min(LONGEST)
}

/// Returns the highest rate that gives no more than an amount in a time.
fn rate_for(amount_micro: u64, time: Duration) -> u64 {
    let rate = u128::from(amount_micro) * 1000 / time.as_micros().max(1);
    u64::try_from(rate).unwrap_or(u64::MAX)
}

fn scaled(value: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(value) * u128::from(numerator) / u128::from(denominator.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
