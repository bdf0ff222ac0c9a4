//! Witnesses: members of the same data centre that record which revision a node is about to put in
//! force. After a restart the node queries them for its restart floor, so that it does not serve an
//! older revision than before.
//!
//! Holds the reports that a node records as a witness of others, and the witness step, in which a
//! node reports a revision to its own witnesses before the revision is put in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::Revision;
use hemlockfall_core::peers::Peers;

use crate::snapshot::Snapshot;

/// Number of witnesses of a node.
pub const WITNESS_COUNT: usize = 3;
/// Number of witnesses that must record a revision. Any two of the three witnesses include at least
/// one of those that acknowledged.
pub const REQUIRED_ACKS: usize = 2;
/// Maximum number of reports kept; a node is a witness of about 3 others.
pub const MAX_REPORTS: usize = 4_096;

/// Maximum number of members that receive a report in one witness step.
const MAX_RECIPIENTS: usize = 8;
/// Interval at which reports without an acknowledgement are sent again, each time to one more
/// member.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

struct Report {
    address: SocketAddr,
    revision: Revision,
    expires_at: Instant,
}

/// Reports that a node recorded as a witness of others.
pub struct WitnessReports {
    started: Instant,
    lifetime: Duration,
    reports: Vec<Report>,
}

impl WitnessReports {
    /// Creates an empty list of reports, each of which is kept for `lifetime`.
    #[must_use]
    pub fn new(lifetime: Duration, now: Instant) -> Self {
        Self {
            started: now,
            lifetime,
            reports: Vec::new(),
        }
    }

    /// Records a report and returns the highest revision recorded for the address, or `None` if the
    /// list is full. No report is removed early to make room, because an acknowledged revision must
    /// stay recorded.
    pub fn record(
        &mut self,
        address: SocketAddr,
        revision: Revision,
        now: Instant,
    ) -> Option<Revision> {
        let expires_at = now + self.lifetime;
        match self.reports.binary_search_by_key(&address, |e| e.address) {
            Ok(index) => {
                let entry = &mut self.reports[index];
                entry.revision = entry.revision.max(revision);
                entry.expires_at = expires_at;
                Some(entry.revision)
            }
            Err(_) if self.reports.len() >= MAX_REPORTS => None,
            Err(index) => {
                let entry = Report {
                    address,
                    revision,
                    expires_at,
                };
                self.reports.insert(index, entry);
                Some(revision)
            }
        }
    }

    /// Returns the highest revision that an address reported.
    #[must_use]
    pub fn revision_of(&self, address: SocketAddr) -> Option<Revision> {
        let index = self
            .reports
            .binary_search_by_key(&address, |e| e.address)
            .ok()?;
        self.reports.get(index).map(|entry| entry.revision)
    }

    /// Returns whether the reports of an address are complete: there is a report, or this node has
    /// run long enough to have received every unexpired report. A witness that restarted cannot
    /// attest reports from before its start.
    #[must_use]
    pub fn covers(&self, address: SocketAddr, now: Instant) -> bool {
        self.revision_of(address).is_some() || now.duration_since(self.started) >= self.lifetime
    }

    /// Removes reports past their lifetime.
    pub fn expire(&mut self, now: Instant) {
        self.reports.retain(|entry| entry.expires_at > now);
    }
}

/// Progress of a witness step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The revision must be reported to these members.
    SendReport(Vec<SocketAddr>),
    /// Nothing is due.
    Wait,
    /// Enough witnesses recorded the revision.
    Confirmed,
    /// The deadline passed, or every witness acknowledged and they are too few.
    TimedOut,
}

/// Witness step of one snapshot.
pub struct WitnessStep {
    snapshot: Arc<Snapshot>,
    deadline: Instant,
    next_report: Instant,
    recipients: Vec<SocketAddr>,
    acknowledged_by: Vec<SocketAddr>,
    recipient_count: usize,
}

impl WitnessStep {
    /// Starts the witness step of a snapshot.
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

    /// Returns the snapshot that is to be put in force.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Records the acknowledgement of a witness.
    pub fn acknowledge(&mut self, from: SocketAddr, revision: Revision) {
        let is_expected = self.recipients.contains(&from) && revision >= self.snapshot.revision();
        if is_expected && !self.acknowledged_by.contains(&from) {
            self.acknowledged_by.push(from);
        }
    }

    /// Returns the progress of the step and selects the members to report to.
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
