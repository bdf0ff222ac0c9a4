//! Suspicion of a silent link: a ping first, then the link is given up.
//!
//! New calls go on a fresh connection, which the node opens when it fences or repeats those of a link
//! that is given up; only that connection's failure counts against the peer. The link itself stands
//! until its calls are settled, as their answers may still come.

use std::time::Duration;
use std::time::Instant;

use crate::clock::millis;
use crate::options::Options;

/// `StallAction` is what is due on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallAction {
    /// Send a ping on the link.
    Ping,
    /// Use the link no more; answers to its calls may still come.
    Suspect,
}

/// `StallDetector` watches one link for messages that the peer leaves unanswered.
#[derive(Clone, Debug)]
pub struct StallDetector {
    stall_timeout: Duration,
    /// Since when something is expected from the peer. A call that was given up meanwhile does
    /// not end the wait: a hanging link would otherwise never be found when all calls have
    /// deadlines below the bound.
    expected_since: Option<Instant>,
    pinged_at: Option<Instant>,
}

impl StallDetector {
    /// `new` watches a link on which nothing was sent.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        Self {
            stall_timeout: millis(options.link_silence_ms),
            expected_since: None,
            pinged_at: None,
        }
    }

    /// `call_sent` notes a call whose answer is expected.
    pub fn call_sent(&mut self, now: Instant) {
        self.expected_since.get_or_insert(now);
    }

    /// `received` notes traffic from the peer; `outstanding` tells whether calls still wait.
    pub fn received(&mut self, has_outstanding: bool, now: Instant) {
        self.expected_since = has_outstanding.then_some(now);
        self.pinged_at = None;
    }

    /// `tick` returns what is due.
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
