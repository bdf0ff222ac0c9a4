//! Uncertainty about whether the target is cold.
//!
//! A target reports in its heartbeats whether it is cold. After some events the last report may be out
//! of date: the process of this node was paused, the target was unreachable, or its data centre was
//! evacuated. Then the target counts as cold until it has reported since.

use std::time::Duration;

use crate::clock::Time;

/// Time after the event within which a heartbeat may have been made before it. During a process pause,
/// heartbeats wait unread on their connections.
const REPORT_MARGIN: Duration = Duration::from_millis(100);
/// Time between two health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the last report of the target may be out of date.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdDoubt {
    since: Option<Time>,
    checked_at: Option<Time>,
    heartbeat_at: Time,
}

impl ColdDoubt {
    /// Begins after an event since which the target may have become cold.
    pub fn begin(&mut self, now: Time) {
        self.since = Some(now);
    }

    /// Returns whether the target may be cold whatever it reported last.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.since.is_some()
    }

    /// Records a heartbeat, which ends the uncertainty if it was made after the event.
    pub fn heartbeat(&mut self, now: Time) {
        self.heartbeat_at = now;
        if self.since.is_some_and(|since| now >= since + REPORT_MARGIN) {
            self.since = None;
        }
    }

    /// Returns whether a health check is to be sent.
    #[must_use]
    pub fn is_check_due(&self, now: Time) -> bool {
        self.is_open() && self.checked_at.is_none_or(|at| now >= at + CHECK_INTERVAL)
    }

    /// Records that a health check was sent.
    pub fn check_sent(&mut self, now: Time) {
        self.checked_at = Some(now);
    }

    /// Records the answer to a health check that was sent at `sent_at`. A target that is not cold ends
    /// the doubt; one that is cold is checked again, as the answer does not bind for any time. An
    /// answer that a heartbeat may have overtaken counts for nothing.
    pub fn check_answered(&mut self, is_cold: Option<bool>, sent_at: Time) {
        let is_later = self.since.is_some_and(|since| sent_at >= since);
        if is_cold == Some(false) && is_later && sent_at > self.heartbeat_at {
            self.since = None;
        }
    }
}
