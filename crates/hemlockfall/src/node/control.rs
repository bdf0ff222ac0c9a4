//! Control actor: membership and configuration distribution of one node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::TargetInfo;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::level::Level;
use hemlockfall_core::units;
use hemlockfall_distribution::action::Action as DistributionAction;
use hemlockfall_distribution::node::Distribution;
use hemlockfall_distribution::reader::StoreResult;
use hemlockfall_distribution::snapshot::Snapshot;
use hemlockfall_membership::action::Action as MembershipAction;
use hemlockfall_membership::items::GossipItem;
use hemlockfall_membership::node::Membership;
use hemlockfall_membership::roles::Roles;
use hemlockfall_moves::action::Recipient;
use hemlockfall_moves::evidence::EvidenceMessage;
use stakker::Actor;
use stakker::CX;
use stakker::Fwd;
use stakker::after;
use stakker::call;
use stakker::fwd;

use crate::edge::datagrams::DATAGRAM_LIMIT_BYTES;
use crate::edge::datagrams::Datagrams;
use crate::edge::links::Links;
use crate::node::health::Health;
use crate::node::sent_bytes::SentBytes;
use crate::node::status;
use crate::node::status::StatusBoard;
use crate::node::store_io::StoreEvent;
use crate::node::store_io::StoreIo;
use crate::node::store_outage::NOTICE_LIFETIME;
use crate::node::store_outage::StoreOutage;
use crate::wire::ControlMessage;
use crate::wire::LinkMessage;

const TICK: Duration = Duration::from_millis(100);
/// Number of copies on other VMs with which an accepted change survives the loss of the store.
const REQUIRED_COPIES: usize = 2;
/// Interval at which relays read the contacts of all data centres, so that groups of nodes that
/// started separately find each other.
const CONTACTS_INTERVAL: Duration = Duration::from_secs(10);
/// Interval during the first `EARLY_CONTACTS_PERIOD` after the start. Nodes that start at the same
/// moment read the contact objects before any of them has written its own, and so find no peers.
const EARLY_CONTACTS_INTERVAL: Duration = Duration::from_secs(1);
const EARLY_CONTACTS_PERIOD: Duration = Duration::from_secs(15);
/// Maximum wait for the copies of an accepted change.
const COPIES_TIMEOUT: Duration = Duration::from_secs(1);

/// Output of the control actor for other actors.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// A configuration snapshot came into force.
    InForce(Arc<Snapshot>),
    /// An endpoint record is new or changed; includes the node's own record.
    Endpoint(EndpointRecord),
    /// A node was removed from the member table.
    Removed(NodeName),
    /// A gossip item arrived.
    Item {
        /// Item.
        item: GossipItem,
        /// Remaining lifetime, in milliseconds.
        lifetime_ms: u32,
    },
    /// Member lists and roles changed.
    Roles(Arc<Roles>),
    /// The store became reachable (`None`), or unreachable since this time in unix milliseconds.
    StoreDownSince(Option<u64>),
}

/// Change that this node has just committed to the store.
#[derive(Debug)]
pub struct AcceptedChange {
    /// The catalogue after the change.
    pub stored: Box<StoredCatalogue>,
    /// Receives the number of copies on other VMs.
    pub copies: SyncSender<usize>,
}

struct AwaitedCopies {
    revision: Revision,
    copies: SyncSender<usize>,
    until: Instant,
}

/// Components of the control actor.
pub struct ControlParts {
    /// Membership state machine.
    pub membership: Membership,
    /// Distribution state machine.
    pub distribution: Distribution,
    /// UDP socket.
    pub datagrams: Actor<Datagrams>,
    /// TCP links.
    pub links: Actor<Links>,
    /// Threads for store calls.
    pub store: StoreIo,
    /// Health flags.
    pub health: Arc<Health>,
    /// Node status for operators.
    pub board: StatusBoard,
    /// Whether the node watches the store itself and exchanges nothing with peers (for benchmarks).
    pub is_baseline: bool,
    /// Receiver of the outputs.
    pub outputs: Fwd<ControlOutput>,
}

/// Actor that owns membership and distribution.
pub struct Control {
    parts: ControlParts,
    awaited: Vec<AwaitedCopies>,
    has_peers: bool,
    next_contacts_at: Instant,
    early_contacts_until: Instant,
    sent_bytes: SentBytes,
    members_gauge: metrics::Gauge,
    store_outage: StoreOutage,
    store_down_since_unix_ms: Option<u64>,
}

impl Control {
    /// Creates the actor and starts its tick.
    pub fn init(cx: CX![], parts: ControlParts) -> Option<Self> {
        after!(TICK, [cx], tick());
        let own = parts.membership.own().clone();
        fwd!([parts.outputs], ControlOutput::Endpoint(own));
        let mut parts = parts;
        if parts.is_baseline {
            parts.store.watch();
        }
        Some(Self {
            parts,
            awaited: Vec::new(),
            has_peers: false,
            next_contacts_at: cx.now() + EARLY_CONTACTS_INTERVAL,
            early_contacts_until: cx.now() + EARLY_CONTACTS_PERIOD,
            sent_bytes: SentBytes::default(),
            members_gauge: metrics::gauge!("hemlockfall_members"),
            store_outage: StoreOutage::default(),
            store_down_since_unix_ms: None,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = cx.now();
        if self.parts.is_baseline {
            return;
        }
        let actions = self.parts.membership.tick(now);
        self.perform_membership(actions);
        if !self.has_peers && self.parts.membership.is_joined() {
            self.update_peers();
        }
        let actions = self.parts.distribution.tick(now);
        self.perform_distribution(actions);
        self.answer_copies(now);
        self.store_outage.expire(now);
        self.publish_store_outage();
        self.update_board();
        if now >= self.next_contacts_at {
            self.next_contacts_at = now
                + if now < self.early_contacts_until {
                    EARLY_CONTACTS_INTERVAL
                } else {
                    CONTACTS_INTERVAL
                };
            if self.parts.membership.roles().is_relay {
                self.parts.store.read_all_contacts();
            }
        }
    }

    fn update_board(&self) {
        let membership = &self.parts.membership;
        let members = membership.table().live_records().count() + 1;
        self.members_gauge
            .set(f64::from(u32::try_from(members).unwrap_or(u32::MAX)));
        let state = format!("{:?}", membership.own().state).to_lowercase();
        self.parts.board.update(|status| {
            status.members = members;
            status.state = state.into();
        });
    }

    /// Handles a control message of a peer.
    #[expect(clippy::boxed_local, reason = "stakker's queue copies arguments")]
    pub fn receive(&mut self, cx: CX![], from: SocketAddr, message: Box<ControlMessage>) {
        let now = cx.now();
        match *message {
            ControlMessage::Membership(message) => {
                let actions = self.parts.membership.handle(from, message, now);
                self.perform_membership(actions);
            }
            ControlMessage::Distribution(message) => {
                let actions = self.parts.distribution.handle(from, message, now);
                self.perform_distribution(actions);
            }
            ControlMessage::Evidence { .. } => {}
        }
    }

    /// Handles a result of a store call.
    pub fn handle_store_event(&mut self, cx: CX![], event: StoreEvent) {
        match event {
            StoreEvent::Contacts(contacts) => self.parts.membership.handle_contacts(&contacts),
            StoreEvent::Catalogue(result) => {
                let now = cx.now();
                if self.parts.is_baseline {
                    return self.apply_as_baseline(result);
                }
                self.record_store_result(result != StoreResult::Unreachable, now);
                let actions = self.parts.distribution.handle_store(result, now);
                self.perform_distribution(actions);
            }
        }
    }

    fn apply_as_baseline(&mut self, result: StoreResult) {
        let StoreResult::Read(stored) = result else {
            return;
        };
        if stored.configuration.revision <= self.parts.health.revision() {
            return;
        }
        match Snapshot::new(stored.configuration) {
            Ok(snapshot) => self.apply_snapshot(Arc::new(snapshot)),
            Err(error) => {
                spdlog::error!("content refused", kv: { error = error.to_string() });
            }
        }
    }

    /// Updates the outage state after a store call. Nodes that read the store regularly also send
    /// notices, because the other nodes would not detect an outage.
    fn record_store_result(&mut self, is_reachable: bool, now: Instant) {
        if is_reachable {
            self.store_outage.record_answer();
        } else {
            let now_unix_ms = units::unix_ms(SystemTime::now());
            self.store_outage.record_failure(now_unix_ms, now);
            let roles = self.parts.membership.roles();
            let is_reader = roles.peers.is_watcher || roles.peers.region_relay_rank.is_some();
            if is_reader && let Some(since_unix_ms) = self.store_outage.take_due_notice(now) {
                let lifetime_ms = u32::try_from(NOTICE_LIFETIME.as_millis()).unwrap_or(0);
                let item = GossipItem::StoreDown { since_unix_ms };
                self.parts
                    .membership
                    .disseminate_item(item, lifetime_ms, now);
            }
        }
        self.publish_store_outage();
    }

    fn publish_store_outage(&mut self) {
        let since_unix_ms = self.store_outage.since_unix_ms();
        if since_unix_ms == self.store_down_since_unix_ms {
            return;
        }
        self.store_down_since_unix_ms = since_unix_ms;
        if let Some(since) = since_unix_ms {
            spdlog::warn!("the store does not answer", kv: { since_unix_ms = since });
        } else {
            spdlog::info!("the store answers again");
        }
        self.parts
            .board
            .update(|status| status.store_down_since_unix_ms = since_unix_ms);
        fwd!(
            [self.parts.outputs],
            ControlOutput::StoreDownSince(since_unix_ms)
        );
    }

    /// Distributes a change that this node has just committed, and reports the number of copies on
    /// other VMs once it is sufficient or the wait has timed out.
    pub fn handle_accepted_change(&mut self, cx: CX![], accepted: AcceptedChange) {
        let now = cx.now();
        let revision = accepted.stored.configuration.revision;
        let result = StoreResult::Read(accepted.stored);
        let actions = self.parts.distribution.handle_store(result, now);
        self.perform_distribution(actions);
        let until = now + COPIES_TIMEOUT;
        self.awaited.push(AwaitedCopies {
            revision,
            copies: accepted.copies,
            until,
        });
        self.answer_copies(now);
    }

    fn answer_copies(&mut self, now: Instant) {
        let members = self.parts.membership.roles().peers.members.len();
        let required = REQUIRED_COPIES.min(members);
        let distribution = &self.parts.distribution;
        self.awaited.retain(|awaited| {
            let copies = distribution.holders_of(awaited.revision);
            if copies < required && now < awaited.until {
                return true;
            }
            // The receiver may have timed out.
            let _ = awaited.copies.try_send(copies);
            false
        });
    }

    /// Announces the local target.
    pub fn announce(&mut self, _: CX![], target: TargetInfo) {
        let actions = self.parts.membership.announce(target);
        self.perform_membership(actions);
        self.output_own();
    }

    /// Announces that the local target is lost.
    pub fn withdraw(&mut self, _: CX![]) {
        let actions = self.parts.membership.withdraw();
        self.perform_membership(actions);
        self.output_own();
    }

    /// Announces that the local target is draining.
    pub fn drain(&mut self, _: CX![]) {
        let actions = self.parts.membership.start_draining();
        self.perform_membership(actions);
        self.output_own();
    }

    /// Announces the graceful shutdown of the node.
    pub fn announce_stop(&mut self, _: CX![]) {
        let actions = self.parts.membership.announce_shutdown();
        self.perform_membership(actions);
    }

    /// Sends a gossip item to all nodes.
    pub fn disseminate(&mut self, cx: CX![], item: GossipItem, lifetime_ms: u32) {
        self.parts
            .membership
            .disseminate_item(item, lifetime_ms, cx.now());
    }

    /// Sends evidence about a move to a node.
    pub fn send_evidence(
        &mut self,
        _: CX![],
        address: SocketAddr,
        to: Recipient,
        message: EvidenceMessage,
    ) {
        self.send(address, ControlMessage::Evidence { to, message });
    }

    fn output_own(&self) {
        let own = self.parts.membership.own().clone();
        fwd!([self.parts.outputs], ControlOutput::Endpoint(own));
    }

    fn perform_membership(&mut self, actions: Vec<MembershipAction>) {
        use MembershipAction as Action;
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, ControlMessage::Membership(message)),
                Action::SendBulk { to, message } => {
                    self.send_bulk(to, ControlMessage::Membership(message));
                }
                Action::RecordChanged(record) => {
                    log_placement(&record);
                    self.sent_bytes
                        .set_distance(self.parts.membership.own(), &record);
                    fwd!([self.parts.outputs], ControlOutput::Endpoint(record));
                }
                Action::RecordRemoved(node) => {
                    let membership = &self.parts.membership;
                    self.sent_bytes
                        .rebuild(membership.own(), membership.table().records());
                    fwd!([self.parts.outputs], ControlOutput::Removed(node));
                }
                Action::Item {
                    item: GossipItem::StoreDown { since_unix_ms },
                    lifetime_ms,
                } => {
                    let lifetime = Duration::from_millis(u64::from(lifetime_ms));
                    self.store_outage
                        .record_notice(since_unix_ms, lifetime, Instant::now());
                    self.publish_store_outage();
                }
                Action::Item { item, lifetime_ms } => {
                    fwd!(
                        [self.parts.outputs],
                        ControlOutput::Item { item, lifetime_ms }
                    );
                }
                Action::RolesChanged(roles) => {
                    if self.parts.membership.is_joined() {
                        self.update_peers();
                    }
                    fwd!([self.parts.outputs], ControlOutput::Roles(roles));
                }
                Action::ReadContacts => self.parts.store.read_contacts(),
                Action::WriteContacts { addresses } => self.parts.store.write_contacts(addresses),
                Action::Count { metric } => metrics::counter!(metric).increment(1),
                Action::Log { level, text } => write_log(level, &text),
            }
        }
    }

    fn perform_distribution(&mut self, actions: Vec<DistributionAction>) {
        use DistributionAction as Action;
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.send(to, ControlMessage::Distribution(message));
                }
                Action::SendBulk { to, message } => {
                    self.send_bulk(to, ControlMessage::Distribution(message));
                }
                Action::InForce(snapshot) => self.apply_snapshot(snapshot),
                Action::WatchStore { .. } => self.parts.store.watch(),
                Action::StopWatch => self.parts.store.stop_watch(),
                Action::ReadStore => self.parts.store.read_catalogue(),
                Action::Count { metric } => metrics::counter!(metric).increment(1),
                Action::Log { level, text } => write_log(level, &text),
            }
        }
    }

    fn apply_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        let revision = snapshot.revision();
        spdlog::info!("configuration in force", kv: { revision = revision });
        self.parts.membership.set_revision(revision);
        self.parts.health.set_revision(revision);
        let digest = status::hexadecimal(&snapshot.digest());
        self.parts.board.update(|status| {
            status.revision = revision;
            status.digest = digest;
        });
        let revision_gauge = u32::try_from(revision).unwrap_or(u32::MAX);
        metrics::gauge!("hemlockfall_revision").set(f64::from(revision_gauge));
        fwd!([self.parts.outputs], ControlOutput::InForce(snapshot));
    }

    fn update_peers(&mut self) {
        self.has_peers = true;
        let peers = self.parts.membership.roles().peers.clone();
        self.parts.distribution.set_peers(peers);
    }

    /// Sends a control message as a datagram, or over a link if it does not fit into one.
    fn send(&mut self, to: SocketAddr, message: ControlMessage) {
        match message.encode() {
            Ok(content) if content.len() <= DATAGRAM_LIMIT_BYTES => {
                self.sent_bytes.count_datagram(to, content.len());
                call!([self.parts.datagrams], send(to, content));
            }
            Ok(_) => self.send_bulk(to, message),
            Err(error) => {
                spdlog::error!("control message not sent", kv: { error = error.to_string() });
            }
        }
    }

    fn send_bulk(&mut self, to: SocketAddr, message: ControlMessage) {
        match LinkMessage::Control(Box::new(message)).encode() {
            Ok(content) => {
                self.sent_bytes.count_link_message(to, content.len());
                call!([self.parts.links], send(to, 0, content));
            }
            Err(error) => {
                spdlog::error!("control message not sent", kv: { error = error.to_string() });
            }
        }
    }
}

fn write_log(level: Level, text: &str) {
    match level {
        Level::Info => spdlog::info!("{text}"),
        Level::Warn => spdlog::warn!("{text}"),
        Level::Error => spdlog::error!("{text}"),
    }
}

fn log_placement(record: &EndpointRecord) {
    let target = record.target.as_ref();
    let service = target.map_or("", |target| target.service.as_str());
    let version = target.map_or("", |target| target.version.as_str());
    let state = format!("{:?}", record.state);
    spdlog::info!("endpoint", kv: {
        node = record.node.as_str(), service, version, state = state.as_str(),
        incarnation = record.incarnation,
    });
}
