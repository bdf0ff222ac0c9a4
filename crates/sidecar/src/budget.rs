//! The budget for sending a request to a further target.
//!
//! The budget of a service is shared by all nodes. Each node keeps to a part that needs no
//! agreement: the ratio of its own requests and an equal part of the fixed allowance.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockfall_core::ids::ServiceName;

use crate::clock::Time;

/// Buckets of the sliding window.
const BUCKETS: u32 = 10;
/// Part of the budget that urgent requests may use. The rest covers nodes whose target makes more
/// calls in repeated runs than their part allows.
const URGENT_PERCENT: u64 = 70;
/// Part that other requests may use: their repeated runs call urgent routes, and the runs that
/// such calls save are worth more than their own repeats.
const OTHER_PERCENT: u64 = 40;
/// Lowest urgency that counts as urgent.
const URGENT_PRIORITY: u8 = 1;
/// Repeats are counted in thousandths, since a call may belong to a repeated run or not.
const RETRY_MILLI: u64 = 1000;

/// `BudgetLimits` are the limits of the whole mesh.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Repeats allowed for a thousand requests.
    pub ratio_permille: u64,
    /// Repeats allowed besides, in one window.
    pub allowance: u64,
    /// Window.
    pub window: Duration,
}

/// `RetryBudget` counts requests and repeats of each service at this node.
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
    /// `new` makes an empty budget.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            services: Vec::new(),
        }
    }

    /// `set_limits` replaces the limits.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// `count_request` counts a request of a caller.
    pub fn count_request(&mut self, service: &str, now: Time) {
        self.bucket(service, now).requests += 1;
    }

    /// `count_nested_call` counts a call that the target beside this node may have made while it
    /// ran repeated requests; `share` is the chance that it belongs to one of them. Calls of a
    /// repeated run are repeats at the service that is called.
    pub fn count_nested_call(&mut self, service: &str, share: f64, now: Time) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the share lies between 0 and 1"
        )]
        let milli = (share.clamp(0.0, 1.0) * 1000.0) as u64;
        self.bucket(service, now).retries_milli += milli;
    }

    /// `try_retry` takes one repeat from the budget, or tells that none is left; `nodes` is the
    /// number of nodes that share the fixed allowance.
    pub fn try_retry(&mut self, service: &str, priority: u8, now: Time, nodes: usize) -> bool {
        let limits = self.limits;
        self.bucket(service, now);
        let Some(window) = self.window(service) else {
            return false;
        };
        let requests: u64 = window.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries_milli: u64 = window
            .buckets
            .iter()
            .map(|bucket| bucket.retries_milli)
            .sum();
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        // In thousandths, as a node's part of the allowance is small in a large mesh.
        let allowed_milli =
            requests * limits.ratio_permille + limits.allowance * RETRY_MILLI / nodes;
        let percent = if priority <= URGENT_PRIORITY {
            URGENT_PERCENT
        } else {
            OTHER_PERCENT
        };
        if retries_milli + RETRY_MILLI > allowed_milli * percent / 100 {
            return false;
        }
        self.bucket(service, now).retries_milli += RETRY_MILLI;
        true
    }

    fn window(&mut self, service: &str) -> Option<&mut Window> {
        let index = self
            .services
            .binary_search_by(|(name, _)| name.as_str().cmp(service))
            .ok()?;
        self.services.get_mut(index).map(|(_, window)| window)
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
