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
/// Part of the budget that is used. The rest is left for calls that repeated runs make, which
/// no node can tell from others.
const USED_PERCENT: u64 = 40;

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
    repeats: u64,
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

    /// `try_repeat` takes one repeat from the budget, or tells that none is left; `nodes` is the
    /// number of nodes that share the fixed allowance.
    pub fn try_repeat(&mut self, service: &str, now: Time, nodes: usize) -> bool {
        let limits = self.limits;
        self.bucket(service, now);
        let Some(window) = self.window(service) else {
            return false;
        };
        let requests: u64 = window.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u64 = window.buckets.iter().map(|bucket| bucket.repeats).sum();
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        let allowed = requests * limits.ratio_permille / 1000 + limits.allowance / nodes;
        if repeats >= allowed * USED_PERCENT / 100 {
            return false;
        }
        self.bucket(service, now).repeats += 1;
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
                repeats: 0,
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
