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

/// Refused and failed requests whose callers may still retry them.
#[derive(Debug, Default)]
pub struct CallerRetries {
    /// Sorted by fingerprint.
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
            let middle = now + (caller_deadline.saturating_sub(now)) / 2;
            self.unserved.retain(|entry| entry.caller_deadline > middle);
        }
        let index = self
            .unserved
            .partition_point(|entry| entry.fingerprint <= fingerprint);
        let entry = UnservedRequest {
            fingerprint,
            caller_deadline,
            first_requested_at,
        };
        self.unserved.insert(index, entry);
    }

    /// Returns the time of the caller's first request if this request is a retry, and removes the
    /// record.
    pub fn first_requested_at(
        &mut self,
        fingerprint: Fingerprint,
        caller_deadline: Time,
    ) -> Option<Time> {
        let start = self
            .unserved
            .partition_point(|entry| entry.fingerprint < fingerprint);
        let same = self.unserved[start..]
            .iter()
            .take_while(|entry| entry.fingerprint == fingerprint);
        let offset = same
            .enumerate()
            .find(|(_, entry)| {
                entry.caller_deadline.abs_diff(caller_deadline) <= DEADLINE_TOLERANCE
            })
            .map(|(offset, _)| offset)?;
        Some(self.unserved.remove(start + offset).first_requested_at)
    }
}
