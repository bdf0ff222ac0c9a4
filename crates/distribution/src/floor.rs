//! Restart floor: the lowest revision that a starting node may serve.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::Revision;
use hemlockfall_core::peers::Peers;

use crate::witness::REQUIRED_ACKS;
use crate::witness::WITNESS_COUNT;

/// `FLOOR_QUERY_COUNT` is the number of members asked first.
pub const FLOOR_QUERY_COUNT: usize = 5;

/// Time that the store has before members are asked as well.
const STORE_PATIENCE: Duration = Duration::from_millis(500);
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy)]
struct Answer {
    from: SocketAddr,
    revision: Revision,
    vouches: bool,
}

/// `Floor` finds the restart floor of a starting node.
pub struct Floor {
    known: Option<Revision>,
    ask_from: Instant,
    timeout: Duration,
    next_query: Instant,
    all_asked_since: Option<Instant>,
    first_query: Option<Instant>,
    answers: Vec<Answer>,
}

impl Floor {
    /// `new` starts without a floor.
    #[must_use]
    pub fn new(timeout: Duration, now: Instant) -> Self {
        Self {
            known: None,
            ask_from: now + STORE_PATIENCE,
            timeout,
            next_query: now,
            all_asked_since: None,
            first_query: None,
            answers: Vec::new(),
        }
    }

    /// `known` returns the floor once it is known.
    #[must_use]
    pub fn known(&self) -> Option<Revision> {
        self.known
    }

    /// `store_answered` sets the floor from the store, which has every accepted revision.
    pub fn store_answered(&mut self, revision: Revision) {
        self.known.get_or_insert(revision);
    }

    /// `store_unreachable` allows asking members at once.
    pub fn store_unreachable(&mut self, now: Instant) {
        self.ask_from = self.ask_from.min(now);
    }

    /// `answer` records the answer of a member.
    pub fn answer(&mut self, from: SocketAddr, revision: Revision, vouches: bool) {
        if self.first_query.is_none() {
            return;
        }
        let answer = Answer {
            from,
            revision,
            vouches,
        };
        match self.answers.binary_search_by_key(&from, |a| a.from) {
            Ok(index) => {
                let known = &mut self.answers[index];
                known.revision = known.revision.max(revision);
                known.vouches |= vouches;
            }
            Err(index) => self.answers.insert(index, answer),
        }
    }

    /// `tick` settles the floor when the answers allow it; otherwise it returns the members to
    /// ask now.
    pub fn tick(&mut self, peers: &Peers, now: Instant) -> Vec<SocketAddr> {
        if self.known.is_some() || now < self.ask_from {
            return Vec::new();
        }
        if self.is_settled(peers, now) {
            self.known = Some(self.highest());
            return Vec::new();
        }
        if now < self.next_query || peers.members.is_empty() {
            return Vec::new();
        }
        self.next_query = now + REPEAT_INTERVAL;
        let first_query = *self.first_query.get_or_insert(now);
        if now < first_query + self.timeout {
            return peers
                .witnesses
                .iter()
                .take(FLOOR_QUERY_COUNT)
                .copied()
                .collect();
        }
        self.all_asked_since.get_or_insert(now);
        peers.members.clone()
    }

    /// The witnesses settle the floor, or else all members that answered in time. Members that
    /// know no revision do not settle it: after a stop of the whole data centre they would
    /// allow a revision below the one served before.
    fn is_settled(&self, peers: &Peers, now: Instant) -> bool {
        let witnesses = &peers.witnesses[..WITNESS_COUNT.min(peers.witnesses.len())];
        let vouching = self
            .answers
            .iter()
            .filter(|answer| answer.vouches && witnesses.contains(&answer.from))
            .count();
        let all_had_time = self
            .all_asked_since
            .is_some_and(|since| now >= since + self.timeout);
        (vouching >= REQUIRED_ACKS || all_had_time) && self.highest() > 0
    }

    fn highest(&self) -> Revision {
        self.answers
            .iter()
            .map(|answer| answer.revision)
            .max()
            .unwrap_or(0)
    }
}
