//! Detection of requests that callers retry.
//!
//! A caller measures latency from its first request, so a retried request has less time left to be
//! answered in time. Requests carry no mark of a retry; a retry is recognized by its fingerprint
//! and by the caller's deadline, which is the same as that of the first request.

use std::time::Duration;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;

/// Largest difference between the deadlines of a request and its retry. A caller states its
/// time-out in whole milliseconds, and it takes some milliseconds to connect.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(25);
/// Maximum number of unserved requests that are kept; the ones with the earliest deadlines are
/// discarded first.
const CAPACITY: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct UnservedRequest {
    fingerprint: Fingerprint,
    /// Time at which the caller stops waiting.
    caller_deadline: Time,
    /// Time of the caller's first request.
    first_requested_at: Time,
}

impl UnservedRequest {
    fn key(&self) -> (Fingerprint, Time) {
        (self.fingerprint, self.caller_deadline)
    }
}

/// Refused and failed requests whose callers may still retry them.
#[derive(Debug, Default)]
pub struct CallerRetries {
    /// Sorted by fingerprint, then by deadline.
    unserved: Vec<UnservedRequest>,
}

impl CallerRetries {
    /// Records a request that was not served, with the deadline of its caller and the time of the
    /// caller's first request.
    pub fn record_unserved(
        &mut self,
        fingerprint: Fingerprint,
        caller_deadline: Time,
        first_requested_at: Time,
        now: Time,
    ) {
        if self.unserved.len() >= CAPACITY {
            self.unserved.retain(|entry| entry.caller_deadline > now);
        }
        if self.unserved.len() >= CAPACITY {
            self.discard_earliest();
        }
        let key = (fingerprint, caller_deadline);
        let index = self.unserved.partition_point(|entry| entry.key() <= key);
        let entry = UnservedRequest {
            fingerprint,
            caller_deadline,
            first_requested_at,
        };
        self.unserved.insert(index, entry);
    }

    /// Returns the number of requests that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.unserved.len()
    }

    /// Returns whether no request is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.unserved.is_empty()
    }

    /// Returns the time of the caller's first request if this request is a retry, and removes the
    /// record.
    pub fn first_requested_at(
        &mut self,
        fingerprint: Fingerprint,
        caller_deadline: Time,
    ) -> Option<Time> {
        let earliest = caller_deadline.saturating_sub(DEADLINE_TOLERANCE);
        let index = self
            .unserved
            .partition_point(|entry| entry.key() < (fingerprint, earliest));
        let found = self.unserved.get(index)?;
        if found.key() > (fingerprint, caller_deadline + DEADLINE_TOLERANCE) {
            return None;
        }
        Some(self.unserved.remove(index).first_requested_at)
    }

    /// Discards the half with the earlier deadlines.
    fn discard_earliest(&mut self) {
        let mut deadlines: Vec<Time> = self
            .unserved
            .iter()
            .map(|entry| entry.caller_deadline)
            .collect();
        let middle = deadlines.len() / 2;
        let (_, median, _) = deadlines.select_nth_unstable(middle);
        let median = *median;
        self.unserved.retain(|entry| entry.caller_deadline > median);
    }
}
