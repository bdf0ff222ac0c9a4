//! Times at which refused callers are asked to come back.

use std::time::Duration;

use crate::clock::Time;

/// Shortest `Retry-After` of a refused request.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);
/// Longest `Retry-After` of a request with little time left.
pub const MAX_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Part of the caller's time left up to which the `Retry-After` may grow.
const MAX_LEFT_PART: u32 = 3;
/// Fractional part of the golden ratio; its multiples modulo 1 are spread evenly.
const GOLDEN_FRACTION: f64 = 0.618_033_988_75;
/// Earliest return in a full target, as a part of the bound, for the most urgent priority.
const EARLIEST_SHARE: f64 = 0.5;
/// The same part grows by this much with each less urgent priority.
const PRIORITY_SHARE: f64 = 0.15;
/// Largest such part.
const MAX_EARLIEST_SHARE: f64 = 0.8;
/// Part of the expected wait over which callers are spread when no node was asked.
const SPREAD_SHARE: f64 = 0.5;

/// Returns the longest `Retry-After` of a caller with a time left.
#[must_use]
pub fn max_retry_after(left: Duration) -> Duration {
    MAX_RETRY_AFTER.max(left / MAX_LEFT_PART)
}

/// Returns the `Retry-After` of a caller whose request no node could be asked for. `part` is a random
/// number from 0 to 1.
#[must_use]
pub fn spread(wait: Duration, priority: u8, part: f64) -> Duration {
    let wait = wait.max(MIN_RETRY_AFTER);
    wait.mul_f64(1.0 + f64::from(priority) * PRIORITY_SHARE + part * SPREAD_SHARE)
}

/// Room that is expected for a refused request.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Priority of the request.
    pub priority: u8,
    /// Time until the requests before it have got a slot.
    pub wait: Duration,
    /// Time in which one more slot becomes free for its priority.
    pub slot_interval: Duration,
    /// Time that the caller has left.
    pub left: Duration,
}

/// Slots that were promised to refused callers.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// Time of the next slot that is not promised yet, sorted by priority.
    next_at: Vec<(u8, Time)>,
    /// Number of callers that were spread without a promise.
    spread: u32,
}

impl Returns {
    /// Returns the `Retry-After` of a refused request. Each caller is told a slot of its own; once
    /// no slot is free within the bound, callers are spread over the later part of the time.
    pub fn retry_after(&mut self, room: Room, now: Time) -> Duration {
        let bound = max_retry_after(room.left);
        let promised = self
            .next_at
            .iter()
            .take_while(|(priority, _)| *priority <= room.priority)
            .map(|(_, at)| *at)
            .max()
            .unwrap_or_default();
        let at = (now + room.wait.max(MIN_RETRY_AFTER)).max(promised);
        if at <= now + bound {
            self.promise(room.priority, at + room.slot_interval);
            return at.saturating_sub(now);
        }
        self.spread = self.spread.wrapping_add(1);
        let part = (f64::from(self.spread) * GOLDEN_FRACTION).fract();
        let earliest =
            (EARLIEST_SHARE + f64::from(room.priority) * PRIORITY_SHARE).min(MAX_EARLIEST_SHARE);
        bound.mul_f64(earliest + (1.0 - earliest) * part)
    }

    fn promise(&mut self, priority: u8, at: Time) {
        match self
            .next_at
            .binary_search_by_key(&priority, |(other, _)| *other)
        {
            Ok(index) => self.next_at[index].1 = at,
            Err(index) => self.next_at.insert(index, (priority, at)),
        }
    }
}
