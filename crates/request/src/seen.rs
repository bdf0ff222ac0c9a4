//! Attempt ids that a target's node has met, bounded by count and time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use uuid::Uuid;

use crate::clock::Now;
use crate::clock::millis;
use crate::options::Options;
use crate::placement::uuid_time_unix_ms;

/// `AttemptId` identifies one attempt; it is a version 7 UUID made by the entry node.
pub type AttemptId = Uuid;

/// `Mark` is the state of a remembered attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// It waits for a slot.
    Queued,
    /// It was handed to the target.
    Started,
    /// It was refused, fenced or cancelled before it started and can never start.
    Barred,
}

/// `SeenAttempts` remembers attempts.
///
/// An id that is dropped raises a time floor to its own time. Every id at or below the floor
/// counts as possibly seen, so that a late duplicate of a dropped id cannot run.
#[derive(Clone, Debug)]
pub struct SeenAttempts {
    marks: HashMap<AttemptId, Mark>,
    order: VecDeque<(Instant, AttemptId)>,
    floor_unix_ms: u64,
    max_attempts: usize,
    lifetime: Duration,
}

impl SeenAttempts {
    /// `new` remembers nothing yet.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        Self {
            marks: HashMap::new(),
            order: VecDeque::new(),
            floor_unix_ms: 0,
            max_attempts: options.seen_max_attempts,
            lifetime: millis(options.seen_life_ms),
        }
    }

    /// `get` returns the mark of an attempt.
    #[must_use]
    pub fn get(&self, attempt_id: AttemptId) -> Option<Mark> {
        self.marks.get(&attempt_id).copied()
    }

    /// `is_stale` tells whether an attempt without a mark may have been seen and dropped.
    #[must_use]
    pub fn is_stale(&self, attempt_id: AttemptId) -> bool {
        self.floor_unix_ms > 0
            && uuid_time_unix_ms(attempt_id).unwrap_or(0) <= self.floor_unix_ms
            && !self.marks.contains_key(&attempt_id)
    }

    /// `set` marks an attempt.
    pub fn set(&mut self, attempt_id: AttemptId, mark: Mark, now: Now) {
        if self.marks.insert(attempt_id, mark).is_none() {
            self.order.push_back((now.at, attempt_id));
            self.expire(now);
        }
    }

    /// `len` returns the number of remembered attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// `is_empty` tells whether no attempt is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn expire(&mut self, now: Now) {
        while let Some((since, attempt_id)) = self.order.front().copied() {
            let is_old = now.at.saturating_duration_since(since) >= self.lifetime;
            if !is_old && self.order.len() <= self.max_attempts {
                return;
            }
            self.order.pop_front();
            self.marks.remove(&attempt_id);
            let time_unix_ms = uuid_time_unix_ms(attempt_id).unwrap_or(now.unix_ms);
            // The clock of an entry node that runs ahead must not bar everybody else's attempts.
            self.floor_unix_ms = self.floor_unix_ms.max(time_unix_ms.min(now.unix_ms));
        }
    }
}
