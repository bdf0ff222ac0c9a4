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
struct Known {
    since_unix_ms: u64,
    until: Instant,
}

/// `StoreOutage` is the outage that a node knows of, if any.
#[derive(Clone, Debug, Default)]
pub struct StoreOutage {
    known: Option<Known>,
    next_notice: Option<Instant>,
}

impl StoreOutage {
    /// `since_unix_ms` returns when the outage began; `None` while the store counts as up.
    #[must_use]
    pub fn since_unix_ms(&self) -> Option<u64> {
        self.known.map(|known| known.since_unix_ms)
    }

    /// `failed` notes that the store did not answer this node.
    pub fn failed(&mut self, now_unix_ms: u64, now: Instant) {
        self.heard(now_unix_ms, NOTICE_LIFETIME, now);
    }

    /// `heard` notes the notice of another node. The earliest begin counts, so that all nodes
    /// come to the same one.
    pub fn heard(&mut self, since_unix_ms: u64, lifetime: Duration, now: Instant) {
        let until = now + lifetime.min(NOTICE_LIFETIME);
        let known = self.known.get_or_insert(Known {
            since_unix_ms,
            until,
        });
        known.since_unix_ms = known.since_unix_ms.min(since_unix_ms);
        known.until = known.until.max(until);
    }

    /// `answered` notes that the store answered this node.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// `expire` ends an outage that nobody renewed.
    pub fn expire(&mut self, now: Instant) {
        if self.known.is_some_and(|known| now >= known.until) {
            self.answered();
        }
    }

    /// `take_notice` returns the begin of the outage when other nodes are to be told (again).
    pub fn take_notice(&mut self, now: Instant) -> Option<u64> {
        let since_unix_ms = self.since_unix_ms()?;
        if self.next_notice.is_some_and(|next| now < next) {
            return None;
        }
        self.next_notice = Some(now + NOTICE_INTERVAL);
        Some(since_unix_ms)
    }
}
