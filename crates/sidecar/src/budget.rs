//! Retry budget of a service.
//!
//! All nodes share the budget of a service. Each node limits its retries to a share of its own
//! requests plus an equal part of the fixed allowance, which needs no coordination.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockfall_core::ids::ServiceName;

use crate::clock::Time;

/// Number of buckets of the sliding window.
const BUCKETS: u32 = 10;
/// Part of the budget that urgent requests may use, in percent. The rest covers nodes whose target
/// makes more calls in retried runs than their part of the budget allows.
const URGENT_PERCENT: u64 = 70;
/// Part of the budget that other requests may use, in percent. Their retried runs make calls to
/// urgent routes, and retrying such a call saves the run that made it, which is worth more than
/// retrying the other request itself.
const OTHER_PERCENT: u64 = 40;
/// Highest priority value that counts as urgent; 0 is the most urgent.
const URGENT_PRIORITY: u8 = 1;
/// One retry in thousandths, the unit of counting: a nested call counts by the probability that it
/// belongs to a retried run.
const RETRY_MILLI: u64 = 1000;

/// Limits on the retries of a service in the whole mesh.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Retries allowed for each thousand requests.
    pub ratio_permille: u64,
    /// Retries allowed in addition, in one window.
    pub allowance: u64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries of each service at this node.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    /// Sorted by service.
    services: Vec<(ServiceName, Window)>,
}

#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    start: Time,
    requests: u64,
    retries_milli: u64,
}

impl RetryBudget {
    /// Creates a budget without counts.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            services: Vec::new(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, service: &str, now: Time) {
        self.bucket(service, now).requests += 1;
    }

    /// Counts a call that the local target may have made while it ran retried requests; `share` is
    /// the probability that the call belongs to one of these runs. Calls of a retried run are
    /// retries at the called service.
    pub fn count_nested_call(&mut self, service: &str, share: f64, now: Time) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the share lies between 0 and 1"
        )]
        let milli = (share.clamp(0.0, 1.0) * 1000.0) as u64;
        self.bucket(service, now).retries_milli += milli;
    }

    /// Takes one retry from the budget and returns whether it was available; `nodes` is the number
    /// of nodes that share the fixed allowance.
    pub fn try_retry(&mut self, service: &str, priority: u8, now: Time, nodes: usize) -> bool {
        if self.retries_left(service, priority, now, nodes) == 0 {
            return false;
        }
        self.bucket(service, now).retries_milli += RETRY_MILLI;
        true
    }

    /// Returns the number of retries that are available now to requests of a priority.
    #[must_use]
    pub fn retries_left(&self, service: &str, priority: u8, now: Time, nodes: usize) -> u64 {
        let limits = self.limits;
        let (mut requests, mut retries_milli) = (0, 0);
        let found = self
            .services
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        if let Ok(index) = found {
            let buckets = &self.services[index].1.buckets;
            for bucket in buckets.iter().filter(|b| b.start + limits.window > now) {
                requests += bucket.requests;
                retries_milli += bucket.retries_milli;
            }
        }
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        // In thousandths, since a node's part of the allowance may be less than one retry in a
        // large mesh.
        let allowed_milli =
            requests * limits.ratio_permille + limits.allowance * RETRY_MILLI / nodes;
        let percent = if priority <= URGENT_PRIORITY {
            URGENT_PERCENT
        } else {
            OTHER_PERCENT
        };
        (allowed_milli * percent / 100).saturating_sub(retries_milli) / RETRY_MILLI
    }

    fn bucket(&mut self, service: &str, now: Time) -> &mut Bucket {
        let index = match self
            .services
            .binary_search_by(|(name, _)| name.as_str().cmp(service))
        {
            Ok(index) => index,
            Err(index) => {
                self.services
                    .insert(index, (service.into(), Window::default()));
                index
            }
        };
        let (span, length) = (self.limits.window / BUCKETS, self.limits.window);
        let buckets = &mut self.services[index].1.buckets;
        while buckets
            .front()
            .is_some_and(|bucket| bucket.start + length <= now)
        {
            buckets.pop_front();
        }
        let is_current = buckets
            .back()
            .is_some_and(|bucket| now < bucket.start + span);
        if !is_current {
            buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries_milli: 0,
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
