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
const STORE_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy)]
struct Answer {
    from: SocketAddr,
    revision: Revision,
    attests: bool,
}

/// `Floor` finds the restart floor of a starting node.
pub struct Floor {
    revision: Option<Revision>,
    query_from: Instant,
    timeout: Duration,
    next_query: Instant,
    all_queried_since: Option<Instant>,
    first_query: Option<Instant>,
    answers: Vec<Answer>,
}

impl Floor {
    /// `new` starts without a floor.
    #[must_use]
    pub fn new(timeout: Duration, now: Instant) -> Self {
        Self {
            revision: None,
            query_from: now + STORE_ANSWER_TIMEOUT,
            timeout,
            next_query: now,
            all_queried_since: None,
            first_query: None,
            answers: Vec::new(),
        }
    }

    /// `revision` returns the floor once it is known.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// `record_store_revision` sets the floor from the store, which has every accepted revision.
    pub fn record_store_revision(&mut self, revision: Revision) {
        self.revision.get_or_insert(revision);
    }

    /// `record_store_outage` allows asking members at once.
    pub fn record_store_outage(&mut self, now: Instant) {
        self.query_from = self.query_from.min(now);
    }

    /// `record_answer` records the answer of a member.
    pub fn record_answer(&mut self, from: SocketAddr, revision: Revision, attests: bool) {
        if self.first_query.is_none() {
            return;
        }
        let answer = Answer {
            from,
            revision,
            attests,
        };
        match self.answers.binary_search_by_key(&from, |a| a.from) {
            Ok(index) => {
                let current = &mut self.answers[index];
                current.revision = current.revision.max(revision);
                current.attests |= attests;
            }
            Err(index) => self.answers.insert(index, answer),
        }
    }

    /// `tick` settles the floor when the answers allow it; otherwise it returns the members to
    /// ask now.
    pub fn tick(&mut self, peers: &Peers, now: Instant) -> Vec<SocketAddr> {
        if self.revision.is_some() || now < self.query_from {
            return Vec::new();
        }
        if self.is_determined(peers, now) {
            self.revision = Some(self.highest());
            return Vec::new();
        }
        if now < self.next_query || peers.members.is_empty() {
            return Vec::new();
        }
        self.next_query = now + RETRY_INTERVAL;
        let first_query = *self.first_query.get_or_insert(now);
        if now < first_query + self.timeout {
            return peers
                .witnesses
                .iter()
                .take(FLOOR_QUERY_COUNT)
                .copied()
                .collect();
        }
        self.all_queried_since.get_or_insert(now);
        peers.members.clone()
    }

    /// The witnesses settle the floor, or else all members that answered in time. Members that
    /// know no revision do not settle it: after a stop of the whole data centre they would
    /// allow a revision below the one served before.
    fn is_determined(&self, peers: &Peers, now: Instant) -> bool {
        let witnesses = &peers.witnesses[..WITNESS_COUNT.min(peers.witnesses.len())];
        let attesting = self
            .answers
            .iter()
            .filter(|answer| answer.attests && witnesses.contains(&answer.from))
            .count();
        let all_queries_timed_out = self
            .all_queried_since
            .is_some_and(|since| now >= since + self.timeout);
        (attesting >= REQUIRED_ACKS || all_queries_timed_out) && self.highest() > 0
    }

    fn highest(&self) -> Revision {
        self.answers
            .iter()
            .map(|answer| answer.revision)
            .max()
            .unwrap_or(0)
    }
}
