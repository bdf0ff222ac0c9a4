//! Attempt ids that a target's node has received, bounded by count and time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use uuid::Uuid;

use crate::clock::Now;
use crate::clock::millis;
use crate::options::Options;
use crate::placement::uuid_time_unix_ms;

/// Identifier of one attempt, a version 7 UUID that the entry node generates.
pub type AttemptId = Uuid;

/// State of a remembered attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// The attempt waits for a slot.
    Queued,
    /// The attempt was handed to the target.
    Started,
    /// The attempt was refused, fenced or cancelled before it started and can never start.
    Barred,
}

/// Remembered attempts.
///
/// An id that is evicted raises a time floor to its own time. Every id at or below the floor counts
/// as possibly seen, so that a late duplicate of an evicted id cannot run.
#[derive(Clone, Debug)]
pub struct SeenAttempts {
    marks: HashMap<AttemptId, Mark>,
    order: VecDeque<(Instant, AttemptId)>,
    floor_unix_ms: u64,
    max_attempts: usize,
    lifetime: Duration,
}

impl SeenAttempts {
    /// Creates an empty set of attempts.
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

    /// Returns the mark of an attempt.
    #[must_use]
    pub fn get(&self, attempt_id: AttemptId) -> Option<Mark> {
        self.marks.get(&attempt_id).copied()
    }

    /// Returns whether an attempt without a mark may have been seen and evicted.
    #[must_use]
    pub fn is_stale(&self, attempt_id: AttemptId) -> bool {
        self.floor_unix_ms > 0
            && uuid_time_unix_ms(attempt_id).unwrap_or(0) <= self.floor_unix_ms
            && !self.marks.contains_key(&attempt_id)
    }

    /// Sets the mark of an attempt.
    pub fn set(&mut self, attempt_id: AttemptId, mark: Mark, now: Now) {
        if self.marks.insert(attempt_id, mark).is_none() {
            self.order.push_back((now.at, attempt_id));
            self.expire(now);
        }
    }

    /// Returns the number of remembered attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no attempt is remembered.
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
            // An entry node whose clock runs ahead must not make the attempts of all other entry
            // nodes stale.
            self.floor_unix_ms = self.floor_unix_ms.max(time_unix_ms.min(now.unix_ms));
        }
    }
}
