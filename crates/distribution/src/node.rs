//! State machine of one node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::level::Level;
use hemlockfall_core::peers::Peers;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::action::Action;
use crate::delta::Delta;
use crate::errors::Error;
use crate::floor::Floor;
use crate::history::History;
use crate::message::Message;
use crate::options::Options;
use crate::options::millis;
use crate::reader::StoreReader;
use crate::reader::StoreResult;
use crate::snapshot::Snapshot;
use crate::witness::Progress;
use crate::witness::WitnessReports;
use crate::witness::WitnessStep;

/// Counter of revisions put in force with too few witnesses.
pub const WITNESS_MISSING: &str = "hemlockfall_witness_missing_total";
/// Counter of deltas and snapshots that were not applied.
pub const REFUSED: &str = "hemlockfall_distribution_refused_total";
/// Counter of whole snapshots sent.
pub const FULL_SNAPSHOTS: &str = "hemlockfall_full_snapshots_sent_total";
/// Counter of messages from peers with other content for the same revision.
pub const DIVERGED: &str = "hemlockfall_distribution_diverged_total";

/// Distribution of the configuration on one node.
pub struct Distribution {
    pub(crate) options: Options,
    pub(crate) address: SocketAddr,
    pub(crate) rng: StdRng,
    pub(crate) peers: Peers,
    pub(crate) newest: Arc<Snapshot>,
    pub(crate) history: History,
    pub(crate) requested: Option<(Revision, Instant)>,
    pub(crate) holders: Vec<(SocketAddr, Revision)>,
    pub(crate) next_exchange: Instant,
    pub(crate) next_relay_exchange: Instant,
    diverged: Option<Revision>,
    in_force: Option<Arc<Snapshot>>,
    witness_step: Option<WitnessStep>,
    witness_reports: WitnessReports,
    floor: Floor,
    reader: StoreReader,
}

impl Distribution {
    /// Creates the state of a starting node; `address` is its own peer address.
    #[must_use]
    pub fn new(options: Options, address: SocketAddr, seed: u64, now: Instant) -> Self {
        let report_lifetime = Duration::from_secs(u64::from(options.witness_memory_s));
        Self {
            rng: StdRng::seed_from_u64(seed),
            peers: Peers::default(),
            newest: Arc::new(Snapshot::empty()),
            history: History::default(),
            requested: None,
            holders: Vec::new(),
            next_exchange: now,
            next_relay_exchange: now,
            diverged: None,
            in_force: None,
            witness_step: None,
            witness_reports: WitnessReports::new(report_lifetime, now),
            floor: Floor::new(millis(options.floor_timeout_ms), now),
            reader: StoreReader::new(millis(options.silent_region_ms), now),
            options,
            address,
        }
    }

    /// Replaces the member lists. Must not be called before the node has joined: with an incomplete
    /// list a starting node would query the wrong witnesses.
    pub fn set_peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// Returns the snapshot in force; `None` while the node must not serve.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Snapshot>> {
        self.in_force.as_ref()
    }

    /// Returns the newest snapshot, which may not be in force yet.
    #[must_use]
    pub fn newest(&self) -> &Arc<Snapshot> {
        &self.newest
    }

    /// Returns the restart floor, once it is determined.
    #[must_use]
    pub fn floor(&self) -> Option<Revision> {
        self.floor.revision()
    }

    /// Handles a message of a peer.
    pub fn handle(&mut self, from: SocketAddr, message: Message, now: Instant) -> Vec<Action> {
        if self.peers.store_region_relays.contains(&from) {
            self.reader.record_message(now);
        }
        match message {
            Message::Advertise { revision, digest } => {
                self.handle_advertise(from, revision, digest, now)
            }
            Message::Push { deltas } => self.handle_push(from, &deltas, now),
            Message::SnapshotRequest {
                revision,
                digest,
                full,
            } => self.handle_snapshot_request(from, revision, digest, full),
            Message::SnapshotReply {
                configuration,
                digest,
            } => self.handle_snapshot_reply(from, configuration, digest, now),
            Message::WitnessReport { address, revision } => {
                self.handle_witness_report(from, address, revision, now)
            }
            Message::WitnessAck { address, revision } => {
                self.handle_witness_ack(from, address, revision, now)
            }
            Message::FloorQuery { address } => self.handle_floor_query(from, address, now),
            Message::FloorAnswer {
                address,
                revision,
                attests,
            } => self.handle_floor_answer(from, address, revision, attests, now),
        }
    }

    /// Handles the result of a read or of the watch.
    pub fn handle_store(&mut self, result: StoreResult, now: Instant) -> Vec<Action> {
        match result {
            StoreResult::Read(stored) => self.handle_stored(*stored, now),
            StoreResult::Absent => self.handle_absent(now),
            StoreResult::Unreachable => {
                self.floor.record_store_outage(now);
                if self.floor.revision().is_none() {
                    self.reader.schedule_retry(&mut self.rng, now);
                }
                Vec::new()
            }
        }
    }

    /// Performs the work that is due; called every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.witness_reports.expire(now);
        let is_starting = self.floor.revision().is_none();
        let held = self.newest.revision();
        let mut actions = self.reader.tick(&self.peers, is_starting, held, now);
        let address = self.address;
        for to in self.floor.tick(&self.peers, now) {
            let message = Message::FloorQuery { address };
            actions.push(Action::Send { to, message });
        }
        actions.extend(self.send_due_advertisements(now));
        actions.extend(self.advance(now));
        actions
    }

    fn handle_stored(&mut self, stored: StoredCatalogue, now: Instant) -> Vec<Action> {
        let revision = stored.configuration.revision;
        let held = self.newest.revision();
        self.floor.record_store_revision(revision);
        if revision < held {
            return vec![log(
                Level::Warn,
                format!("store returned revision {revision}, older than current {held}; ignored"),
            )];
        }
        let mut actions = Vec::new();
        if revision > held {
            match Snapshot::new(stored.configuration) {
                Ok(snapshot) => {
                    let delta = Delta::between(&self.newest, &snapshot);
                    self.replace_newest(snapshot, delta.clone());
                    actions.extend(self.disseminate(vec![delta], None));
                }
                Err(error) => return refuse("the store", &error),
            }
        }
        actions.extend(self.advance(now));
        actions
    }

    fn handle_absent(&mut self, now: Instant) -> Vec<Action> {
        self.floor.record_store_revision(0);
        let held = self.newest.revision();
        let mut actions = self.advance(now);
        if held > 0 {
            let text = format!("the store has no catalogue; keeping revision {held}");
            actions.push(log(Level::Error, text));
        }
        actions
    }

    /// Replaces the newest snapshot by a newer one.
    pub(crate) fn replace_newest(&mut self, snapshot: Snapshot, delta: Delta) {
        // A delta from revision 0 is the whole catalogue; a snapshot reply serves the same purpose.
        if delta.base_revision > 0 {
            self.history.push(delta);
        }
        self.newest = Arc::new(snapshot);
    }

    fn handle_witness_report(
        &mut self,
        from: SocketAddr,
        address: SocketAddr,
        revision: Revision,
        now: Instant,
    ) -> Vec<Action> {
        let Some(revision) = self.witness_reports.record(address, revision, now) else {
            return Vec::new();
        };
        let message = Message::WitnessAck { address, revision };
        vec![Action::Send { to: from, message }]
    }

    fn handle_witness_ack(
        &mut self,
        from: SocketAddr,
        address: SocketAddr,
        revision: Revision,
        now: Instant,
    ) -> Vec<Action> {
        if address != self.address {
            return Vec::new();
        }
        if let Some(witness_step) = &mut self.witness_step {
            witness_step.acknowledge(from, revision);
        }
        self.advance(now)
    }

    fn handle_floor_query(
        &mut self,
        from: SocketAddr,
        address: SocketAddr,
        now: Instant,
    ) -> Vec<Action> {
        let reported = self.witness_reports.revision_of(address).unwrap_or(0);
        let message = Message::FloorAnswer {
            address,
            revision: reported.max(self.newest.revision()),
            attests: self.witness_reports.covers(address, now),
        };
        vec![Action::Send { to: from, message }]
    }

    fn handle_floor_answer(
        &mut self,
        from: SocketAddr,
        address: SocketAddr,
        revision: Revision,
        attests: bool,
        now: Instant,
    ) -> Vec<Action> {
        if address != self.address || self.floor.revision().is_some() {
            return Vec::new();
        }
        self.floor.record_answer(from, revision, attests);
        let mut actions = Vec::new();
        if revision > self.newest.revision() {
            actions.extend(self.request(from, revision, false, now));
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Advances towards putting the newest snapshot in force: the floor must be determined and
    /// reached, and the witness step must end. A snapshot that arrives during a witness step waits
    /// for its own step, so that frequent changes cannot delay a snapshot for ever.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.start_witness_step(now);
        let Some(witness_step) = &mut self.witness_step else {
            return actions;
        };
        match witness_step.progress(&self.peers, now) {
            Progress::Wait => {}
            Progress::SendReport(witnesses) => {
                let message = Message::WitnessReport {
                    address: self.address,
                    revision: witness_step.snapshot().revision(),
                };
                actions.extend(witnesses.into_iter().map(|to| Action::Send {
                    to,
                    message: message.clone(),
                }));
            }
            Progress::Confirmed => actions.extend(self.finish_witness_step(now)),
            Progress::TimedOut => {
                actions.push(Action::Count {
                    metric: WITNESS_MISSING,
                });
                actions.extend(self.finish_witness_step(now));
            }
        }
        actions
    }

    fn start_witness_step(&mut self, now: Instant) {
        let Some(floor) = self.floor.revision() else {
            return;
        };
        let newest = self.newest.revision();
        let in_force = self.in_force.as_ref().map_or(0, |held| held.revision());
        if self.witness_step.is_none() && newest >= floor && newest > in_force {
            let timeout = millis(self.options.witness_timeout_ms);
            self.witness_step = Some(WitnessStep::new(Arc::clone(&self.newest), timeout, now));
        }
    }

    fn finish_witness_step(&mut self, now: Instant) -> Vec<Action> {
        let Some(witness_step) = self.witness_step.take() else {
            return Vec::new();
        };
        let snapshot = Arc::clone(witness_step.snapshot());
        self.in_force = Some(Arc::clone(&snapshot));
        let text = format!("revision {} is in force", snapshot.revision());
        let mut actions = vec![log(Level::Info, text), Action::InForce(snapshot)];
        actions.extend(self.advance(now));
        actions
    }

    pub(crate) fn diverged(&mut self, from: SocketAddr) -> Vec<Action> {
        let revision = self.newest.revision();
        let mut actions = vec![Action::Count { metric: DIVERGED }];
        if self.diverged != Some(revision) {
            self.diverged = Some(revision);
            let text = format!("peer {from} has different content for revision {revision}");
            actions.push(log(Level::Error, text));
        }
        actions
    }
}

pub(crate) fn log(level: Level, text: String) -> Action {
    Action::Log { level, text }
}

pub(crate) fn refuse(source: &str, error: &Error) -> Vec<Action> {
    vec![
        Action::Count { metric: REFUSED },
        log(
            Level::Error,
            format!("content from {source} refused: {error}"),
        ),
    ]
}
