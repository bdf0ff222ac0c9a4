//! Restart floor: the minimum revision that a starting node must reach before it serves, so that it
//! never goes back to an older revision than before its restart.
//!
//! The store gives the floor, or, while the store does not answer, the witnesses and the other
//! members of the data centre.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::Revision;
use hemlockfall_core::peers::Peers;

use crate::witness::REQUIRED_ACKS;
use crate::witness::WITNESS_COUNT;

/// Number of members that are queried first.
pub const FLOOR_QUERY_COUNT: usize = 5;

/// Wait for the answer of the store before members are queried as well.
const STORE_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy)]
struct Answer {
    from: SocketAddr,
    revision: Revision,
    attests: bool,
}

/// Search for the restart floor of a starting node.
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
    /// Creates the state of a starting node, which has no floor yet.
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

    /// Returns the floor, once it is determined.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Sets the floor to the revision of the store, which has every accepted revision.
    pub fn record_store_revision(&mut self, revision: Revision) {
        self.revision.get_or_insert(revision);
    }

    /// Records that the store does not answer, so that members are queried at once.
    pub fn record_store_outage(&mut self, now: Instant) {
        self.query_from = self.query_from.min(now);
    }

    /// Records the answer of a member to a floor query.
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

    /// Determines the floor if the answers suffice; otherwise returns the members to query now.
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

    /// Returns whether the answers determine the floor: those of enough witnesses, or else those of
    /// all members that answered in time. Answers with revision 0 alone do not determine it: after
    /// a restart of the whole data centre they would allow a revision below the one served before.
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
