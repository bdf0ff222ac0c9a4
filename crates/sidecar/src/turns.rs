//! Shares the node's time among the connections of callers.
//!
//! A caller may send many requests at once, and those that are refused take no time elsewhere that
//! would slow it down. The requests of one connection that go beyond a few therefore wait until other
//! events have been handled, in turn with those of other connections.

use std::collections::VecDeque;

use crate::clock::Time;

/// Requests of one connection that are begun in one event. No more may be in progress at once, so that
/// a caller that waits for answers doesn't meet this limit.
const MAX_REQUESTS_AT_ONCE: u32 = 16;
/// Requests of all connections that are begun in one turn of those that wait.
const MAX_REQUESTS_PER_TURN: u32 = 64;

/// Requests of a connection that were begun in the current event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventShare {
    event: Time,
    begun: u32,
    is_waiting: bool,
}

impl EventShare {
    /// Returns whether further requests of the connection wait for its turn.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.is_waiting
    }
}

/// Connections whose further requests wait for their turn, in this order.
#[derive(Debug)]
pub struct Turns<K> {
    waiting: VecDeque<K>,
    /// Connections that may still be visited in the current turn.
    visits_left: usize,
    /// Requests begun since the start of the current turn.
    begun: u32,
}

impl<K> Default for Turns<K> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            visits_left: 0,
            begun: 0,
        }
    }
}

impl<K> Turns<K> {
    /// Returns whether another request of a connection may begin in the event of some time, and counts
    /// it if so. Otherwise it waits for the connection's turn.
    pub fn may_begin(&mut self, connection: K, share: &mut EventShare, event: Time) -> bool {
        if share.is_waiting {
            return false;
        }
        if share.event != event {
            share.event = event;
            share.begun = 0;
        }
        if share.begun < MAX_REQUESTS_AT_ONCE {
            share.begun += 1;
            self.begun += 1;
            return true;
        }
        share.is_waiting = true;
        self.waiting.push_back(connection);
        false
    }

    /// Returns whether connections wait for their turn.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Starts a turn, in which each connection that waits is visited once at most.
    pub fn start(&mut self) {
        self.visits_left = self.waiting.len();
        self.begun = 0;
    }

    /// Returns the next connection of the turn; [`Turns::resume`] lets it begin requests again.
    pub fn next_connection(&mut self) -> Option<K> {
        if self.begun >= MAX_REQUESTS_PER_TURN {
            return None;
        }
        self.visits_left = self.visits_left.checked_sub(1)?;
        self.waiting.pop_front()
    }

    /// Lets a connection whose turn it is begin requests again.
    pub fn resume(share: &mut EventShare) {
        share.begun = 0;
        share.is_waiting = false;
    }
}
