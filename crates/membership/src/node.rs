//! State machine of one node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::endpoint::TargetInfo;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::level::Level;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::action::Action;
use crate::errors;
use crate::gossip::GossipQueue;
use crate::items::CarriedItem;
use crate::items::GossipItem;
use crate::items::Items;
use crate::join::Admission;
use crate::join::BACKOFF_MIN_MS;
use crate::join::Contacts;
use crate::join::JoinStep;
use crate::join::Joiner;
use crate::message::Message;
use crate::message::Updates;
use crate::options::Options;
use crate::options::seconds;
use crate::probe::Prober;
use crate::probe_queue::QueuedProbe;
use crate::roles;
use crate::roles::Roles;
use crate::table::MergeOutcome;
use crate::table::RecordSource;
use crate::table::Table;
use crate::table::is_departed;

/// Counter of members that this node marked failed.
pub const FAILED_MEMBERS: &str = "hemlockfall_members_failed_total";
/// Counter of false reports about this node that it refuted.
pub const REFUTED: &str = "hemlockfall_membership_refuted_total";
/// Counter of joining nodes that were told to retry later.
pub const JOINS_REFUSED: &str = "hemlockfall_joins_refused_total";
/// Counter of records that are invalid or beyond the size limit of the table.
pub const RECORDS_REFUSED: &str = "hemlockfall_records_refused_total";

/// Minimum time between two computations of the roles: ranking all nodes takes milliseconds with a
/// table of the planned size.
const ROLES_INTERVAL: Duration = Duration::from_secs(1);
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Membership of one node.
pub struct Membership {
    pub(crate) options: Options,
    pub(crate) own: EndpointRecord,
    pub(crate) rng: StdRng,
    pub(crate) table: Table,
    pub(crate) roles: Arc<Roles>,
    pub(crate) items: Items,
    pub(crate) prober: Prober,
    pub(crate) joiner: Joiner,
    pub(crate) gossip: GossipQueue,
    pub(crate) urgent: GossipQueue,
    pub(crate) to_data_centres: GossipQueue,
    pub(crate) to_regions: GossipQueue,
    pub(crate) queued_probes: Vec<QueuedProbe>,
    pub(crate) next_compare: Instant,
    admission: Admission,
    roles_changed: bool,
    next_roles: Instant,
    next_expiry: Instant,
    next_contacts: Instant,
    written_contacts: Vec<SocketAddr>,
    /// Revision in force, to be sent with the next announcement.
    revision: Revision,
}

impl Membership {
    /// Creates the state of a starting node. Its record has the state `Starting`, no target, and
    /// the start time as incarnation.
    #[must_use]
    pub fn new(options: Options, own: EndpointRecord, seed: u64, now: Instant) -> Self {
        let mut gossip = GossipQueue::default();
        gossip.push(&own.node);
        Self {
            rng: StdRng::seed_from_u64(seed),
            table: Table::new(seconds(options.departed_s)),
            roles: Arc::new(Roles::default()),
            items: Items::default(),
            prober: Prober::new(&options, now),
            joiner: Joiner::new(own.peer_address, &options.contacts, now),
            gossip,
            urgent: GossipQueue::default(),
            to_data_centres: GossipQueue::default(),
            to_regions: GossipQueue::default(),
            queued_probes: Vec::new(),
            next_compare: now,
            admission: Admission::new(options.joins_per_s, now),
            roles_changed: true,
            next_roles: now,
            next_expiry: now,
            next_contacts: now,
            written_contacts: Vec::new(),
            revision: 0,
            options,
            own,
        }
    }

    /// Returns the record of this node.
    #[must_use]
    pub fn own(&self) -> &EndpointRecord {
        &self.own
    }

    /// Returns the records of the other nodes.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the current member lists and roles.
    #[must_use]
    pub fn roles(&self) -> &Arc<Roles> {
        &self.roles
    }

    /// Returns whether the node has joined the group or started alone. Before that its table is
    /// incomplete and no roles are computed.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.joiner.is_joined()
    }

    /// Sets the revision in force, which is sent with the next announcement. The record of the node
    /// does not change before: if every record changed with each revision, all tables would differ
    /// after a catalogue change, and table comparisons would transfer all records.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Announces the target. If a target drained before, the node starts a new incarnation, because
    /// a draining target must not become ready again within the same one.
    pub fn announce(&mut self, target: TargetInfo) -> Vec<Action> {
        if self.own.state >= EndpointState::Leaving {
            self.own.incarnation += 1;
            self.own.sequence = 0;
        }
        self.own.target = Some(target);
        self.update_own(EndpointState::Ready)
    }

    /// Announces that the target no longer exists while the node continues to run.
    pub fn withdraw(&mut self) -> Vec<Action> {
        self.own.target = None;
        let state = match self.own.state {
            EndpointState::Ready => EndpointState::Starting,
            other => other,
        };
        self.update_own(state)
    }

    /// Announces that the target drains and accepts no new requests.
    pub fn start_draining(&mut self) -> Vec<Action> {
        self.update_own(EndpointState::Leaving)
    }

    /// Announces the graceful shutdown of the node. The caller continues to call `tick` for a
    /// moment, so that the announcement is sent.
    pub fn announce_shutdown(&mut self) -> Vec<Action> {
        self.update_own(EndpointState::Left)
    }

    /// Queues a gossip item to be sent to all nodes.
    pub fn disseminate_item(&mut self, item: GossipItem, lifetime_ms: u32, now: Instant) {
        self.items.merge(&CarriedItem { item, lifetime_ms }, now);
    }

    /// Handles a message of a peer; `from` is the peer address of the sender.
    pub fn handle(&mut self, from: SocketAddr, message: Message, now: Instant) -> Vec<Action> {
        match message {
            Message::Probe { id, updates } => self.handle_probe(from, id, updates, now),
            Message::ProbeAck { id, node, updates } => {
                self.handle_probe_ack(from, id, &node, updates, now)
            }
            Message::IndirectProbe { id, target } => {
                self.handle_indirect_probe(from, id, target, now)
            }
            Message::Records { updates } => self.merge_updates(from, updates, now),
            Message::Join { record } => self.handle_join(from, &record, now),
            Message::Joined { records } => self.handle_joined(&records, now),
            Message::JoinRefused {
                retry_ms,
                is_joining,
            } => {
                if is_joining {
                    self.joiner.handle_refusal_by_joining_contact(
                        from,
                        retry_ms,
                        &mut self.rng,
                        now,
                    );
                } else {
                    self.joiner.handle_refusal(retry_ms, &mut self.rng, now);
                }
                Vec::new()
            }
            Message::Buckets { digests } => self.handle_buckets(from, &digests),
            Message::BucketsRequest { buckets } => self.handle_buckets_request(from, buckets),
            Message::BucketsReply { buckets, records } => {
                self.handle_buckets_reply(from, buckets, records, now)
            }
        }
    }

    /// Handles the contact objects that were read.
    pub fn handle_contacts(&mut self, contacts: &[Contacts]) {
        self.joiner.record_contacts_read();
        for object in contacts {
            self.joiner.add(&object.addresses);
            if object.data_centre == self.own.data_centre {
                self.written_contacts.clone_from(&object.addresses);
            }
        }
    }

    /// Performs the work that is due; called every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.join(now);
        actions.extend(self.expire(now));
        actions.extend(self.update_roles(now));
        actions.extend(self.update_contacts(now));
        actions.extend(self.start_queued_probes(now));
        actions.extend(self.probe(now));
        actions.extend(self.push_changes(now));
        actions.extend(self.compare_tables(now));
        actions
    }

    fn update_own(&mut self, state: EndpointState) -> Vec<Action> {
        self.own.state = state;
        self.own.revision = self.revision;
        self.own.sequence = self.own.sequence.saturating_add(1);
        self.queue_own()
    }

    fn queue_own(&mut self) -> Vec<Action> {
        let own = self.own.clone();
        self.queue(&own, true);
        self.roles_changed = true;
        vec![Action::RecordChanged(own)]
    }

    pub(crate) fn merge_updates(
        &mut self,
        from: SocketAddr,
        mut updates: Updates,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.verify_failure_reports(from, &mut updates.records);
        for record in &updates.records {
            actions.extend(self.merge_record(record, RecordSource::Gossip, now));
        }
        for carried in updates.items {
            if self.items.merge(&carried, now) {
                actions.push(Action::Item {
                    item: carried.item,
                    lifetime_ms: carried.lifetime_ms,
                });
            }
        }
        actions
    }

    /// Merges a record into the table and queues it for dissemination if the table changed.
    pub(crate) fn merge_record(
        &mut self,
        record: &EndpointRecord,
        source: RecordSource,
        now: Instant,
    ) -> Vec<Action> {
        if record.node == self.own.node {
            return self.handle_own_record(record);
        }
        let accepted_requests = self
            .table
            .get(&record.node)
            .is_some_and(EndpointRecord::accepts_requests);
        match self.table.merge(record, now) {
            MergeOutcome::Unchanged => return Vec::new(),
            MergeOutcome::Refused => {
                return vec![Action::Count {
                    metric: RECORDS_REFUSED,
                }];
            }
            MergeOutcome::Changed => {}
        }
        self.prober.discard_outdated(record);
        self.roles_changed = true;
        if source != RecordSource::Join {
            let is_urgent = accepted_requests && !record.accepts_requests();
            self.queue(record, is_urgent);
        }
        vec![Action::RecordChanged(record.clone())]
    }

    /// Queues a record for dissemination. Only relays send records to other data centres: to those
    /// of the same region they send the records of their own data centre and, as region relays,
    /// those of other regions; to other regions, as region relays, the records of their own region.
    fn queue(&mut self, record: &EndpointRecord, is_urgent: bool) {
        self.gossip.push(&record.node);
        if is_urgent {
            self.urgent.push(&record.node);
        }
        let is_own_region = record.region == self.own.region;
        let is_own_data_centre = is_own_region && record.data_centre == self.own.data_centre;
        let is_region_relay = self.roles.peers.region_relay_rank.is_some();
        if self.roles.is_relay && (is_own_data_centre || (!is_own_region && is_region_relay)) {
            self.to_data_centres.push(&record.node);
        }
        if is_own_region && is_region_relay {
            self.to_regions.push(&record.node);
        }
    }

    /// Handles a record about this node. An older one is answered by sending the current record
    /// again; one that overrides the current record is refuted with a higher incarnation, or logged
    /// as a name conflict if it has another address.
    fn handle_own_record(&mut self, record: &EndpointRecord) -> Vec<Action> {
        if record == &self.own {
            return Vec::new();
        }
        if !record.overrides(&self.own) {
            self.gossip.push(&record.node);
            return Vec::new();
        }
        if record.peer_address != self.own.peer_address {
            let text = format!(
                "{}: node name {} is also used by {}",
                errors::NAME_CONFLICT,
                record.node,
                record.peer_address
            );
            return vec![log(Level::Error, text)];
        }
        self.own.incarnation = record.incarnation.saturating_add(1);
        self.own.sequence = 0;
        let mut actions = self.queue_own();
        actions.push(Action::Count { metric: REFUTED });
        actions
    }

    fn join(&mut self, now: Instant) -> Vec<Action> {
        match self.joiner.next_step(&mut self.rng, now) {
            JoinStep::Wait => Vec::new(),
            JoinStep::ReadContacts => vec![Action::ReadContacts],
            JoinStep::RequestJoin(to) => {
                let record = self.own.clone();
                let message = Message::Join { record };
                vec![Action::Send { to, message }]
            }
            JoinStep::StartAlone => {
                vec![log(
                    Level::Warn,
                    "no contact admitted this node, starting alone".to_owned(),
                )]
            }
        }
    }

    fn handle_join(
        &mut self,
        from: SocketAddr,
        record: &EndpointRecord,
        now: Instant,
    ) -> Vec<Action> {
        if !self.joiner.is_joined() || !self.admission.admit(now) {
            let message = Message::JoinRefused {
                retry_ms: BACKOFF_MIN_MS,
                is_joining: !self.joiner.is_joined(),
            };
            return vec![
                Action::Count {
                    metric: JOINS_REFUSED,
                },
                Action::Send { to: from, message },
            ];
        }
        let mut actions = self.merge_record(record, RecordSource::Gossip, now);
        let mut records: Vec<EndpointRecord> = self.table.live_records().cloned().collect();
        records.push(self.own.clone());
        let message = Message::Joined { records };
        actions.push(Action::SendBulk { to: from, message });
        actions
    }

    fn handle_joined(&mut self, records: &[EndpointRecord], now: Instant) -> Vec<Action> {
        self.joiner.set_joined();
        self.next_roles = now;
        let merge = |record| self.merge_record(record, RecordSource::Join, now);
        records.iter().flat_map(merge).collect()
    }

    fn expire(&mut self, now: Instant) -> Vec<Action> {
        if now < self.next_expiry {
            return Vec::new();
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.items.expire(now);
        let removed: Vec<NodeName> = self.table.expire(now);
        removed.into_iter().map(Action::RecordRemoved).collect()
    }

    fn update_roles(&mut self, now: Instant) -> Vec<Action> {
        // With an incomplete table every joining node would become a watcher and a relay.
        if !self.roles_changed || now < self.next_roles || !self.joiner.is_joined() {
            return Vec::new();
        }
        self.next_roles = now + ROLES_INTERVAL;
        self.roles_changed = false;
        let store_region = &self.options.store_region;
        let roles = roles::compute(&self.own, self.table.records(), store_region);
        if roles == *self.roles {
            return Vec::new();
        }
        self.roles = Arc::new(roles);
        vec![Action::RolesChanged(Arc::clone(&self.roles))]
    }

    /// The first-ranked node of the data centre writes its contact object. It also reads the
    /// contact objects, to find groups that started separately.
    fn update_contacts(&mut self, now: Instant) -> Vec<Action> {
        if now < self.next_contacts || !self.joiner.is_joined() {
            return Vec::new();
        }
        let Some(addresses) = self.roles.contacts.clone() else {
            return Vec::new();
        };
        self.next_contacts = now + seconds(self.options.contacts_interval_s);
        let mut actions = vec![Action::ReadContacts];
        if addresses != self.written_contacts {
            self.written_contacts.clone_from(&addresses);
            actions.push(Action::WriteContacts { addresses });
        }
        actions
    }

    /// Names of the nodes in a round of probes: those of the own data centre, departed ones
    /// included. A relay also probes the relays and the departed nodes of the other data centres of
    /// its region, so that the roles of a failed data centre move to other nodes, and the data
    /// centre is found again when it returns.
    pub(crate) fn probe_names(&self) -> Vec<NodeName> {
        let is_probed = |record: &&EndpointRecord| {
            let is_local = record.data_centre == self.own.data_centre;
            let is_relay = self
                .roles
                .peers
                .data_centre_relays
                .contains(&record.peer_address);
            let is_probed_by_relay = self.roles.is_relay && (is_relay || is_departed(record));
            record.region == self.own.region && (is_local || is_probed_by_relay)
        };
        self.table
            .records()
            .filter(is_probed)
            .map(|record| record.node.clone())
            .collect()
    }

    /// Returns the number of live members of the own data centre, including this node.
    pub(crate) fn group_size(&self) -> usize {
        self.roles.peers.members.len() + 1
    }

    pub(crate) fn mark_failed(&mut self, node: &str, now: Instant) -> Vec<Action> {
        let Some(record) = self.table.get(node).filter(|record| !is_departed(record)) else {
            return Vec::new();
        };
        let mut failed = record.clone();
        self.queue_data_centre_probes(&failed);
        failed.state = EndpointState::Failed;
        let mut actions = self.merge_record(&failed, RecordSource::Gossip, now);
        actions.push(Action::Count {
            metric: FAILED_MEMBERS,
        });
        actions.push(log(
            Level::Warn,
            format!("{node} does not answer probes, marked failed"),
        ));
        actions
    }
}

pub(crate) fn log(level: Level, text: String) -> Action {
    Action::Log { level, text }
}
