//! Witnesses: memory of the revisions that other nodes reported, and the step that reports a
//! revision before it is put in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::Revision;
use hemlockfall_core::peers::Peers;

use crate::snapshot::Snapshot;

/// `WITNESS_COUNT` is the number of witnesses of a node.
pub const WITNESS_COUNT: usize = 3;
/// `REQUIRED_ACKS` is the number of witnesses that must remember a revision. Any two of three
/// witnesses share at least one with those that acknowledged.
pub const REQUIRED_ACKS: usize = 2;
/// `MAX_REMEMBERED` bounds the memory of a witness; a node is a witness of about 3 others.
pub const MAX_REMEMBERED: usize = 4_096;

/// Members asked at most in one step.
const MAX_ASKED: usize = 8;
/// Lost reports are repeated at this interval, each time to one more member.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

struct Remembered {
    address: SocketAddr,
    revision: Revision,
    until: Instant,
}

/// `WitnessMemory` is what a node remembers for others.
pub struct WitnessMemory {
    started: Instant,
    lifetime: Duration,
    entries: Vec<Remembered>,
}

impl WitnessMemory {
    /// `new` makes an empty memory.
    #[must_use]
    pub fn new(lifetime: Duration, now: Instant) -> Self {
        Self {
            started: now,
            lifetime,
            entries: Vec::new(),
        }
    }

    /// `remember` records a report and returns the highest revision remembered for the
    /// address, or `None` when the memory is full. Nothing is dropped early to make room, since
    /// an acknowledged revision must stay remembered.
    pub fn remember(
        &mut self,
        address: SocketAddr,
        revision: Revision,
        now: Instant,
    ) -> Option<Revision> {
        let until = now + self.lifetime;
        match self.entries.binary_search_by_key(&address, |e| e.address) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.revision = entry.revision.max(revision);
                entry.until = until;
                Some(entry.revision)
            }
            Err(_) if self.entries.len() >= MAX_REMEMBERED => None,
            Err(index) => {
                let entry = Remembered {
                    address,
                    revision,
                    until,
                };
                self.entries.insert(index, entry);
                Some(revision)
            }
        }
    }

    /// `recall` returns the highest revision reported by an address.
    #[must_use]
    pub fn recall(&self, address: SocketAddr) -> Option<Revision> {
        let index = self
            .entries
            .binary_search_by_key(&address, |e| e.address)
            .ok()?;
        self.entries.get(index).map(|entry| entry.revision)
    }

    /// `vouches` tells whether the memory covers an address: it has an entry, or it is old
    /// enough to have kept every report that still counts. A witness that restarted itself
    /// does not vouch for reports from before its start.
    #[must_use]
    pub fn vouches(&self, address: SocketAddr, now: Instant) -> bool {
        self.recall(address).is_some() || now.duration_since(self.started) >= self.lifetime
    }

    /// `expire` drops reports past their lifetime.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|entry| entry.until > now);
    }
}

/// `Progress` is the state of a witness step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Report the revision to these members.
    Ask(Vec<SocketAddr>),
    /// Nothing to do now.
    Wait,
    /// Enough witnesses remember the revision.
    Confirmed,
    /// The time is up, or no further member could be asked.
    TimedOut,
}

/// `Hold` is the witness step of one snapshot.
pub struct Hold {
    snapshot: Arc<Snapshot>,
    deadline: Instant,
    next_ask: Instant,
    asked: Vec<SocketAddr>,
    acked: Vec<SocketAddr>,
    ask_count: usize,
}

impl Hold {
    /// `new` starts the step.
    #[must_use]
    pub fn new(snapshot: Arc<Snapshot>, timeout: Duration, now: Instant) -> Self {
        Self {
            snapshot,
            deadline: now + timeout,
            next_ask: now,
            asked: Vec::new(),
            acked: Vec::new(),
            ask_count: WITNESS_COUNT,
        }
    }

    /// `snapshot` returns the snapshot that waits.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// `acknowledge` records the answer of a witness.
    pub fn acknowledge(&mut self, from: SocketAddr, revision: Revision) {
        let is_expected = self.asked.contains(&from) && revision >= self.snapshot.revision();
        if is_expected && !self.acked.contains(&from) {
            self.acked.push(from);
        }
    }

    /// `progress` tells what to do next.
    pub fn progress(&mut self, peers: &Peers, now: Instant) -> Progress {
        if self.acked.len() >= REQUIRED_ACKS {
            return Progress::Confirmed;
        }
        // A data centre with one other member has no second witness to wait for.
        let is_exhausted =
            !self.acked.is_empty() && peers.witnesses.iter().all(|peer| self.acked.contains(peer));
        if now >= self.deadline || is_exhausted {
            return Progress::TimedOut;
        }
        if now < self.next_ask {
            return Progress::Wait;
        }
        self.next_ask = now + REPEAT_INTERVAL;
        let silent: Vec<SocketAddr> = peers
            .witnesses
            .iter()
            .take(self.ask_count)
            .filter(|address| !self.acked.contains(address))
            .copied()
            .collect();
        self.ask_count = (self.ask_count + 1).min(MAX_ASKED);
        for address in &silent {
            if !self.asked.contains(address) {
                self.asked.push(*address);
            }
        }
        Progress::Ask(silent)
    }
}
