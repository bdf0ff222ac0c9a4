//! The control actor: membership and distribution of one node.

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
/// Copies on other VMs after which an accepted change survives the loss of the store.
const ENOUGH_COPIES: usize = 2;
/// Relays look for contacts of other data centres this often, so that groups that started
/// apart find each other.
const CONTACTS_INTERVAL: Duration = Duration::from_secs(10);
/// In the first time after its start a relay looks this often: nodes that start at the same
/// moment read the contact objects before any of them has written its own, and start alone.
const EARLY_CONTACTS_INTERVAL: Duration = Duration::from_secs(1);
const EARLY_CONTACTS_PERIOD: Duration = Duration::from_secs(15);
/// Longest wait for the copies of an accepted change.
const COPIES_TIMEOUT: Duration = Duration::from_secs(1);

/// `ControlOutput` is what other actors learn from the control actor.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// A snapshot is in force.
    InForce(Arc<Snapshot>),
    /// An endpoint record is new or changed; also the node's own.
    Endpoint(EndpointRecord),
    /// A node is no longer listed.
    Forgotten(NodeName),
    /// A notice of another family arrived.
    Item {
        /// The notice.
        item: GossipItem,
        /// Time left to live, in milliseconds.
        lifetime_ms: u32,
    },
    /// Member lists and roles changed.
    Roles(Arc<Roles>),
    /// Since when the store does not answer, in unix milliseconds; `None` when it answers.
    StoreDownSince(Option<u64>),
}

/// `Accepted` is a change that an operator's call just made.
#[derive(Debug)]
pub struct Accepted {
    /// The catalogue after the change.
    pub stored: Box<StoredCatalogue>,
    /// Takes the number of copies on other VMs.
    pub copies: SyncSender<usize>,
}

struct AwaitedCopies {
    revision: Revision,
    copies: SyncSender<usize>,
    until: Instant,
}

/// `ControlParts` are what the control actor works with.
pub struct ControlParts {
    /// Membership state machine.
    pub membership: Membership,
    /// Distribution state machine.
    pub distribution: Distribution,
    /// UDP socket.
    pub datagrams: Actor<Datagrams>,
    /// TCP links.
    pub links: Actor<Links>,
    /// Store threads.
    pub store: StoreIo,
    /// Health page.
    pub health: Arc<Health>,
    /// State as operators see it.
    pub board: StatusBoard,
    /// Whether the node watches the store itself and exchanges nothing, for measurements.
    pub is_baseline: bool,
    /// Receives the outputs.
    pub outputs: Fwd<ControlOutput>,
}

/// `Control` is the actor that owns membership and distribution.
pub struct Control {
    parts: ControlParts,
    awaited: Vec<AwaitedCopies>,
    has_peers: bool,
    next_contacts: Instant,
    early_until: Instant,
    sent_bytes: SentBytes,
    members_gauge: metrics::Gauge,
    store_outage: StoreOutage,
    store_down_since_unix_ms: Option<u64>,
}

impl Control {
    /// `init` starts the periodic work.
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
            next_contacts: cx.now() + EARLY_CONTACTS_INTERVAL,
            early_until: cx.now() + EARLY_CONTACTS_PERIOD,
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
        if now >= self.next_contacts {
            self.next_contacts = now
                + if now < self.early_until {
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

    /// `receive` takes in a control message of a peer.
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

    /// `store_event` takes in a result of the store's threads.
    pub fn store_event(&mut self, cx: CX![], event: StoreEvent) {
        match event {
            StoreEvent::Contacts(contacts) => self.parts.membership.handle_contacts(&contacts),
            StoreEvent::Catalogue(result) => {
                let now = cx.now();
                if self.parts.is_baseline {
                    return self.apply_as_baseline(result);
                }
                self.note_store(result != StoreResult::Unreachable, now);
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
            Ok(snapshot) => self.put_in_force(Arc::new(snapshot)),
            Err(error) => {
                spdlog::error!("content refused", kv: { error = error.to_string() });
            }
        }
    }

    /// Nodes that read the store regularly tell the others, which do not notice its outage.
    fn note_store(&mut self, is_reachable: bool, now: Instant) {
        if is_reachable {
            self.store_outage.answered();
        } else {
            let now_unix_ms = units::unix_ms(SystemTime::now());
            self.store_outage.failed(now_unix_ms, now);
            let roles = self.parts.membership.roles();
            let is_reader = roles.peers.is_watcher || roles.peers.region_relay_rank.is_some();
            if is_reader && let Some(since_unix_ms) = self.store_outage.take_notice(now) {
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

    /// `accepted` spreads a change that an operator's call just made, and answers with the
    /// number of copies on other VMs.
    pub fn accepted(&mut self, cx: CX![], accepted: Accepted) {
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
        let enough = ENOUGH_COPIES.min(members);
        let distribution = &self.parts.distribution;
        self.awaited.retain(|awaited| {
            let held = distribution.holders_of(awaited.revision);
            if held < enough && now < awaited.until {
                return true;
            }
            // The operator's call may have timed out meanwhile.
            let _ = awaited.copies.try_send(held);
            false
        });
    }

    /// `announce` announces the local target.
    pub fn announce(&mut self, _: CX![], target: TargetInfo) {
        let actions = self.parts.membership.announce(target);
        self.perform_membership(actions);
        self.output_own();
    }

    /// `withdraw` announces that the local target is gone.
    pub fn withdraw(&mut self, _: CX![]) {
        let actions = self.parts.membership.withdraw();
        self.perform_membership(actions);
        self.output_own();
    }

    /// `leave` announces that the local target takes nothing new.
    pub fn leave(&mut self, _: CX![]) {
        let actions = self.parts.membership.start_draining();
        self.perform_membership(actions);
        self.output_own();
    }

    /// `left` announces the planned stop of the node.
    pub fn left(&mut self, _: CX![]) {
        let actions = self.parts.membership.announce_shutdown();
        self.perform_membership(actions);
    }

    /// `spread` sends a notice to all nodes.
    pub fn spread(&mut self, cx: CX![], item: GossipItem, lifetime_ms: u32) {
        self.parts
            .membership
            .disseminate_item(item, lifetime_ms, cx.now());
    }

    /// `send_evidence` sends evidence of the moves family to a node.
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
                    self.sent_bytes.learn(self.parts.membership.own(), &record);
                    fwd!([self.parts.outputs], ControlOutput::Endpoint(record));
                }
                Action::RecordRemoved(node) => {
                    let membership = &self.parts.membership;
                    self.sent_bytes
                        .rebuild(membership.own(), membership.table().records());
                    fwd!([self.parts.outputs], ControlOutput::Forgotten(node));
                }
                Action::Item {
                    item: GossipItem::StoreDown { since_unix_ms },
                    lifetime_ms,
                } => {
                    let lifetime = Duration::from_millis(u64::from(lifetime_ms));
                    self.store_outage
                        .heard(since_unix_ms, lifetime, Instant::now());
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
                Action::InForce(snapshot) => self.put_in_force(snapshot),
                Action::WatchStore { .. } => self.parts.store.watch(),
                Action::StopWatch => self.parts.store.stop_watch(),
                Action::ReadStore => self.parts.store.read_catalogue(),
                Action::Count { metric } => metrics::counter!(metric).increment(1),
                Action::Log { level, text } => write_log(level, &text),
            }
        }
    }

    fn put_in_force(&mut self, snapshot: Arc<Snapshot>) {
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

    /// `send` sends a control message as a datagram, or over a link when it does not fit.
    fn send(&mut self, to: SocketAddr, message: ControlMessage) {
        match message.encode() {
            Ok(content) if content.len() <= DATAGRAM_LIMIT_BYTES => {
                self.sent_bytes.datagram(to, content.len());
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
                self.sent_bytes.link(to, content.len());
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
