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
/// `MAX_REPORTS` bounds the memory of a witness; a node is a witness of about 3 others.
pub const MAX_REPORTS: usize = 4_096;

/// Members asked at most in one step.
const MAX_RECIPIENTS: usize = 8;
/// Lost reports are repeated at this interval, each time to one more member.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

struct Report {
    address: SocketAddr,
    revision: Revision,
    until: Instant,
}

/// `WitnessReports` is what a node remembers for others.
pub struct WitnessReports {
    started: Instant,
    lifetime: Duration,
    reports: Vec<Report>,
}

impl WitnessReports {
    /// `new` makes an empty memory.
    #[must_use]
    pub fn new(lifetime: Duration, now: Instant) -> Self {
        Self {
            started: now,
            lifetime,
            reports: Vec::new(),
        }
    }

    /// `record` records a report and returns the highest revision remembered for the
    /// address, or `None` when the memory is full. Nothing is dropped early to make room, since
    /// an acknowledged revision must stay remembered.
    pub fn record(
        &mut self,
        address: SocketAddr,
        revision: Revision,
        now: Instant,
    ) -> Option<Revision> {
        let until = now + self.lifetime;
        match self.reports.binary_search_by_key(&address, |e| e.address) {
            Ok(index) => {
                let entry = &mut self.reports[index];
                entry.revision = entry.revision.max(revision);
                entry.until = until;
                Some(entry.revision)
            }
            Err(_) if self.reports.len() >= MAX_REPORTS => None,
            Err(index) => {
                let entry = Report {
                    address,
                    revision,
                    until,
                };
                self.reports.insert(index, entry);
                Some(revision)
            }
        }
    }

    /// `revision_of` returns the highest revision reported by an address.
    #[must_use]
    pub fn revision_of(&self, address: SocketAddr) -> Option<Revision> {
        let index = self
            .reports
            .binary_search_by_key(&address, |e| e.address)
            .ok()?;
        self.reports.get(index).map(|entry| entry.revision)
    }

    /// `covers` tells whether the memory covers an address: it has an entry, or it is old
    /// enough to have kept every report that still counts. A witness that restarted itself
    /// does not vouch for reports from before its start.
    #[must_use]
    pub fn covers(&self, address: SocketAddr, now: Instant) -> bool {
        self.revision_of(address).is_some() || now.duration_since(self.started) >= self.lifetime
    }

    /// `expire` drops reports past their lifetime.
    pub fn expire(&mut self, now: Instant) {
        self.reports.retain(|entry| entry.until > now);
    }
}

/// `Progress` is the state of a witness step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Report the revision to these members.
    SendReport(Vec<SocketAddr>),
    /// Nothing to do now.
    Wait,
    /// Enough witnesses remember the revision.
    Confirmed,
    /// The time is up, or no further member could be asked.
    TimedOut,
}

/// `WitnessStep` is the witness step of one snapshot.
pub struct WitnessStep {
    snapshot: Arc<Snapshot>,
    deadline: Instant,
    next_report: Instant,
    recipients: Vec<SocketAddr>,
    acknowledged_by: Vec<SocketAddr>,
    recipient_count: usize,
}

impl WitnessStep {
    /// `new` starts the step.
    #[must_use]
    pub fn new(snapshot: Arc<Snapshot>, timeout: Duration, now: Instant) -> Self {
        Self {
            snapshot,
            deadline: now + timeout,
            next_report: now,
            recipients: Vec::new(),
            acknowledged_by: Vec::new(),
            recipient_count: WITNESS_COUNT,
        }
    }

    /// `snapshot` returns the snapshot that waits.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// `acknowledge` records the answer of a witness.
    pub fn acknowledge(&mut self, from: SocketAddr, revision: Revision) {
        let is_expected = self.recipients.contains(&from) && revision >= self.snapshot.revision();
        if is_expected && !self.acknowledged_by.contains(&from) {
            self.acknowledged_by.push(from);
        }
    }

    /// `progress` tells what to do next.
    pub fn progress(&mut self, peers: &Peers, now: Instant) -> Progress {
        if self.acknowledged_by.len() >= REQUIRED_ACKS {
            return Progress::Confirmed;
        }
        // A data centre with one other member has no second witness to wait for.
        let is_exhausted = !self.acknowledged_by.is_empty()
            && peers
                .witnesses
                .iter()
                .all(|peer| self.acknowledged_by.contains(peer));
        if now >= self.deadline || is_exhausted {
            return Progress::TimedOut;
        }
        if now < self.next_report {
            return Progress::Wait;
        }
        self.next_report = now + RETRY_INTERVAL;
        let unacknowledged: Vec<SocketAddr> = peers
            .witnesses
            .iter()
            .take(self.recipient_count)
            .filter(|address| !self.acknowledged_by.contains(address))
            .copied()
            .collect();
        self.recipient_count = (self.recipient_count + 1).min(MAX_RECIPIENTS);
        for address in &unacknowledged {
            if !self.recipients.contains(address) {
                self.recipients.push(*address);
            }
        }
        Progress::SendReport(unacknowledged)
    }
}
