//! Callers that come back after a refusal.
//!
//! A caller counts from its first request, so a request that comes back must be answered that
//! much sooner to be in time. It does not say that it comes back, but it is the same request, and
//! the caller stops waiting at the same moment as before.

use std::time::Duration;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;

/// Largest difference between the moments at which the same caller stops waiting: a caller says
/// how long it waits in whole milliseconds, and its connection takes some to be made.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(25);
/// Refused requests that are kept; a node that refuses more knows those refused last.
const CAPACITY: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct UnservedRequest {
    fingerprint: Fingerprint,
    /// When the caller stops waiting.
    caller_deadline: Time,
    /// When it first asked.
    first_requested_at: Time,
}

/// `CallerRetries` remembers refused and failed requests until their callers stop waiting.
#[derive(Debug, Default)]
pub struct CallerRetries {
    /// Sorted by fingerprint.
    unserved: Vec<UnservedRequest>,
}

impl CallerRetries {
    /// `record_unserved` takes in that a request was not served: when its caller stops waiting, and when
    /// it first asked.
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

    /// `first_requested_at` returns when the caller of a request first asked for it, if it comes back.
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
