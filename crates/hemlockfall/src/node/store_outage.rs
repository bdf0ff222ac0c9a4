//! Detection of store outages from the node's own failed calls and from notices of the nodes that
//! watch the store.

use std::time::Duration;
use std::time::Instant;

/// Time after which an outage ends unless a notice or an own failure renews it. During an outage, a
/// call of a watcher fails at least every 4 s.
pub const NOTICE_LIFETIME: Duration = Duration::from_secs(15);
/// Time between notices. It exceeds the 5 s by which the expiry of a notice must grow for
/// membership to treat it as renewed.
const NOTICE_INTERVAL: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct Outage {
    since_unix_ms: u64,
    until: Instant,
}

/// Current outage of the store as seen by one node, if any.
#[derive(Clone, Debug, Default)]
pub struct StoreOutage {
    current: Option<Outage>,
    next_notice_at: Option<Instant>,
}

impl StoreOutage {
    /// Returns the start of the outage, or `None` if there is none.
    #[must_use]
    pub fn since_unix_ms(&self) -> Option<u64> {
        self.current.map(|current| current.since_unix_ms)
    }

    /// Records that the store did not answer this node.
    pub fn record_failure(&mut self, now_unix_ms: u64, now: Instant) {
        self.record_notice(now_unix_ms, NOTICE_LIFETIME, now);
    }

    /// Records a notice of another node. The earliest start of the outage is kept, so that all
    /// nodes arrive at the same one.
    pub fn record_notice(&mut self, since_unix_ms: u64, lifetime: Duration, now: Instant) {
        let until = now + lifetime.min(NOTICE_LIFETIME);
        let current = self.current.get_or_insert(Outage {
            since_unix_ms,
            until,
        });
        current.since_unix_ms = current.since_unix_ms.min(since_unix_ms);
        current.until = current.until.max(until);
    }

    /// Ends the outage because the store answered this node.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Ends an outage that has not been renewed in time.
    pub fn expire(&mut self, now: Instant) {
        if self.current.is_some_and(|current| now >= current.until) {
            self.record_answer();
        }
    }

    /// Returns the start of the outage if a notice to the other nodes is due.
    pub fn take_due_notice(&mut self, now: Instant) -> Option<u64> {
        let since_unix_ms = self.since_unix_ms()?;
        if self.next_notice_at.is_some_and(|next| now < next) {
            return None;
        }
        self.next_notice_at = Some(now + NOTICE_INTERVAL);
        Some(since_unix_ms)
    }
}
