//! What a node knows about an outage of the store: its own failures, and notices of the nodes
//! that watch the store.

use std::time::Duration;
use std::time::Instant;

/// `NOTICE_LIFETIME` is how long a notice, or an own failure, counts without renewal. Watchers
/// meet a failure at least every 4 s during an outage.
pub const NOTICE_LIFETIME: Duration = Duration::from_secs(15);
/// Above the 5 s by which a copy of a notice must live longer to count as renewed.
const NOTICE_INTERVAL: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct Outage {
    since_unix_ms: u64,
    until: Instant,
}

/// `StoreOutage` is the outage that a node knows of, if any.
#[derive(Clone, Debug, Default)]
pub struct StoreOutage {
    current: Option<Outage>,
    next_notice_at: Option<Instant>,
}

impl StoreOutage {
    /// `since_unix_ms` returns when the outage began; `None` while the store counts as up.
    #[must_use]
    pub fn since_unix_ms(&self) -> Option<u64> {
        self.current.map(|current| current.since_unix_ms)
    }

    /// `record_failure` notes that the store did not answer this node.
    pub fn record_failure(&mut self, now_unix_ms: u64, now: Instant) {
        self.record_notice(now_unix_ms, NOTICE_LIFETIME, now);
    }

    /// `record_notice` notes the notice of another node. The earliest begin counts, so that all nodes
    /// come to the same one.
    pub fn record_notice(&mut self, since_unix_ms: u64, lifetime: Duration, now: Instant) {
        let until = now + lifetime.min(NOTICE_LIFETIME);
        let current = self.current.get_or_insert(Outage {
            since_unix_ms,
            until,
        });
        current.since_unix_ms = current.since_unix_ms.min(since_unix_ms);
        current.until = current.until.max(until);
    }

    /// `record_answer` notes that the store answered this node.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// `expire` ends an outage that nobody renewed.
    pub fn expire(&mut self, now: Instant) {
        if self.current.is_some_and(|current| now >= current.until) {
            self.record_answer();
        }
    }

    /// `take_due_notice` returns the begin of the outage when other nodes are to be told (again).
    pub fn take_due_notice(&mut self, now: Instant) -> Option<u64> {
        let since_unix_ms = self.since_unix_ms()?;
        if self.next_notice_at.is_some_and(|next| now < next) {
            return None;
        }
        self.next_notice_at = Some(now + NOTICE_INTERVAL);
        Some(since_unix_ms)
    }
}
