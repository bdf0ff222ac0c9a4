//! Detection of stalled links: an unresponsive peer is pinged first, then the link is suspected.
//!
//! New calls use a fresh connection, which the node opens when it fences or retries the calls of a
//! suspected link; only that connection's failure counts against the peer. The link itself stays
//! open until its calls are settled, as their answers may still arrive.

use std::time::Duration;
use std::time::Instant;

use crate::clock::millis;
use crate::options::Options;

/// Action that is due on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallAction {
    /// Send a ping on the link.
    Ping,
    /// Send no new calls on the link; answers to its calls may still arrive.
    Suspect,
}

/// Detector of messages on one link that the peer leaves unanswered.
#[derive(Clone, Debug)]
pub struct StallDetector {
    stall_timeout: Duration,
    /// Time since which traffic is expected from the peer. Abandoning a call does not reset it: a
    /// stalled link would otherwise never be detected when all calls have deadlines below
    /// `stall_timeout`.
    expected_since: Option<Instant>,
    pinged_at: Option<Instant>,
}

impl StallDetector {
    /// Creates a detector for a link on which nothing was sent.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        Self {
            stall_timeout: millis(options.link_silence_ms),
            expected_since: None,
            pinged_at: None,
        }
    }

    /// Records that a call was sent whose answer is expected.
    pub fn call_sent(&mut self, now: Instant) {
        self.expected_since.get_or_insert(now);
    }

    /// Records traffic from the peer; `has_outstanding` tells whether calls still wait for their
    /// answer.
    pub fn received(&mut self, has_outstanding: bool, now: Instant) {
        self.expected_since = has_outstanding.then_some(now);
        self.pinged_at = None;
    }

    /// Returns the action that is due.
    pub fn tick(&mut self, now: Instant) -> Option<StallAction> {
        if let Some(pinged_at) = self.pinged_at {
            return (now >= pinged_at + self.stall_timeout).then_some(StallAction::Suspect);
        }
        let since = self.expected_since?;
        if now < since + self.stall_timeout {
            return None;
        }
        self.pinged_at = Some(now);
        Some(StallAction::Ping)
    }
}
