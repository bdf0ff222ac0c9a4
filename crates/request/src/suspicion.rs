//! Suspicion of a link: a silent link is replaced, and only a failed fresh connection suspects
//! the peer.

use std::time::Duration;
use std::time::Instant;

use crate::clock::millis;
use crate::options::Options;

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// `LinkAction` is what the node does about the link to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Send a ping on the link.
    Ping,
    /// Open a fresh connection beside the suspected one.
    OpenFresh,
    /// Move calls to the fresh connection and close the old one; its calls are lost.
    ReplaceLink,
    /// Tell membership that the peer is suspected.
    SuspectPeer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Live,
    Pinged { since: Instant },
    Opening,
    Waiting { until: Instant },
}

/// `PeerLink` watches the link to one peer.
#[derive(Clone, Debug)]
pub struct PeerLink {
    silence: Duration,
    outstanding: u32,
    last_byte: Instant,
    state: State,
    backoff: Duration,
}

impl PeerLink {
    /// `new` watches a link that was just opened.
    #[must_use]
    pub fn new(options: &Options, now: Instant) -> Self {
        Self {
            silence: millis(options.link_silence_ms),
            outstanding: 0,
            last_byte: now,
            state: State::Live,
            backoff: FIRST_BACKOFF,
        }
    }

    /// `call_sent` counts a call put on the link.
    pub fn call_sent(&mut self, now: Instant) {
        if self.outstanding == 0 {
            self.last_byte = self.last_byte.max(now);
        }
        self.outstanding += 1;
    }

    /// `call_ended` counts a call that was answered or given up.
    pub fn call_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// `byte_received` notes traffic from the peer on the link in use.
    pub fn byte_received(&mut self, now: Instant) {
        self.last_byte = now;
        if matches!(self.state, State::Pinged { .. }) {
            self.state = State::Live;
        }
    }

    /// `is_suspected` tells whether new calls should avoid the link.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        matches!(self.state, State::Opening | State::Waiting { .. })
    }

    /// `tick` returns what is due. A call given up meanwhile does not clear a ping, since a
    /// hanging link would otherwise never be suspected when calls have short deadlines.
    pub fn tick(&mut self, now: Instant) -> Option<LinkAction> {
        let is_due = self.wake_at().is_some_and(|at| at <= now);
        if !is_due {
            return None;
        }
        match self.state {
            State::Live => {
                self.state = State::Pinged { since: now };
                Some(LinkAction::Ping)
            }
            State::Pinged { .. } | State::Waiting { .. } => {
                self.state = State::Opening;
                Some(LinkAction::OpenFresh)
            }
            State::Opening => None,
        }
    }

    /// `link_lost` notes that the connection broke; a fresh one is opened at once.
    pub fn link_lost(&mut self) -> Option<LinkAction> {
        if self.is_suspected() {
            return None;
        }
        self.state = State::Opening;
        Some(LinkAction::OpenFresh)
    }

    /// `fresh_opened` notes that the fresh connection works.
    pub fn fresh_opened(&mut self, now: Instant) -> Option<LinkAction> {
        if self.state != State::Opening {
            return None;
        }
        self.state = State::Live;
        self.last_byte = now;
        self.outstanding = 0;
        self.backoff = FIRST_BACKOFF;
        Some(LinkAction::ReplaceLink)
    }

    /// `fresh_failed` notes that the fresh connection could not be opened.
    pub fn fresh_failed(&mut self, now: Instant) -> Option<LinkAction> {
        if self.state != State::Opening {
            return None;
        }
        self.state = State::Waiting {
            until: now + self.backoff,
        };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        Some(LinkAction::SuspectPeer)
    }

    /// `wake_at` returns when [`PeerLink::tick`] has something to do.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        match self.state {
            State::Live => (self.outstanding > 0).then_some(self.last_byte + self.silence),
            State::Pinged { since } => Some(since + self.silence),
            State::Opening => None,
            State::Waiting { until } => Some(until),
        }
    }
}
