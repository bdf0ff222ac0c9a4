//! Calls actor: request path of one node.
//!
//! [`entry`] handles the requests of callers of this node, which is their entry node. [`local`]
//! handles the attempts that this and other nodes send to the local target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::TargetInfo;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::units;
use hemlockfall_distribution::snapshot::Snapshot;
use hemlockfall_membership::items::GossipItem;
use hemlockfall_moves::node_moves::NodeMoves;
use hemlockfall_request::admission::Admission;
use hemlockfall_request::balance::Place;
use hemlockfall_request::call::LinkFailure;
use hemlockfall_request::clock::Now;
use hemlockfall_request::idempotency::KeyStore;
use hemlockfall_request::options::Options;
use hemlockfall_request::router::Router;
use stakker::Actor;
use stakker::CX;
use stakker::Core;
use stakker::Share;
use stakker::after;
use stakker::call;

use crate::edge::caller_server::CallerServer;
use crate::edge::links::LinkEvent;
use crate::edge::links::LinkId;
use crate::edge::links::Links;
use crate::edge::links::Tag;
use crate::edge::message::Announcement;
use crate::edge::message::CallerEvent;
use crate::edge::message::LocalEvent;
use crate::edge::target_client::TargetClient;
use crate::node::calls::suspected::SuspectedNodes;
use crate::node::control::Control;
use crate::node::control::ControlOutput;
use crate::node::decisions::DecisionLog;
use crate::node::health::Health;
use crate::node::moves::Moves;
use crate::wire::LinkMessage;

pub mod answer;
mod entry;
mod fingerprints;
mod keys;
mod local;
mod moves;
mod suspected;
mod target;

use entry::EntryCalls;
use local::LocalTarget;

const TICK: Duration = Duration::from_millis(50);
/// Ticks between removals of expired state from the router.
const TICKS_PER_EXPIRY: u32 = 20;

/// Components of the calls actor.
pub struct CallsParts {
    /// Name, region and data centre of this node.
    pub place: Place,
    /// Incarnation of this node.
    pub incarnation: Incarnation,
    /// Settings of the request path.
    pub options: Options,
    /// TCP links.
    pub links: Actor<Links>,
    /// HTTP edge towards callers.
    pub callers: Actor<CallerServer>,
    /// HTTP edge towards the local target.
    pub target_client: Actor<TargetClient>,
    /// Membership and distribution.
    pub control: Actor<Control>,
    /// Health flags.
    pub health: Arc<Health>,
    /// Log of routing decisions.
    pub decisions: DecisionLog,
    /// Shares and guards of the moves (rollouts).
    pub node_moves: Share<NodeMoves>,
    /// Receiver of the results of attempts.
    pub moves: Actor<Moves>,
}

/// Actor of the request path.
pub struct Calls {
    own: NodeName,
    options: Options,
    links: Actor<Links>,
    callers: Actor<CallerServer>,
    target_client: Actor<TargetClient>,
    control: Actor<Control>,
    health: Arc<Health>,
    decisions: DecisionLog,
    node_moves: Share<NodeMoves>,
    moves: Actor<Moves>,
    router: Router,
    keys: KeyStore,
    admission: Admission,
    entry: EntryCalls,
    local: LocalTarget,
    suspected_nodes: SuspectedNodes,
    /// Peer addresses, sorted by node name.
    addresses: Vec<NodeAddress>,
    is_serving: bool,
    ticks: u32,
}

struct NodeAddress {
    node: NodeName,
    address: SocketAddr,
}

/// Returns the time of the actor system and the wall-clock time.
fn now_of(core: &mut Core) -> Now {
    Now {
        at: core.now(),
        unix_ms: units::unix_ms(std::time::SystemTime::now()),
    }
}

impl Calls {
    /// Creates the actor without configuration and target and starts its tick.
    pub fn init(cx: CX![], parts: CallsParts) -> Option<Self> {
        after!(TICK, [cx], tick());
        let now = now_of(cx);
        let own = parts.place.node.clone();
        let options = parts.options;
        Some(Self {
            router: Router::new(parts.place, options.clone(), rand::random()),
            keys: KeyStore::new(own.clone(), options.clone(), now),
            admission: Admission::new(parts.incarnation, 0, &options),
            own,
            options,
            links: parts.links,
            callers: parts.callers,
            target_client: parts.target_client,
            control: parts.control,
            health: parts.health,
            decisions: parts.decisions,
            node_moves: parts.node_moves,
            moves: parts.moves,
            entry: EntryCalls::default(),
            local: LocalTarget::default(),
            suspected_nodes: SuspectedNodes::default(),
            addresses: Vec::new(),
            is_serving: false,
            ticks: 0,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = now_of(cx);
        let actions = self.keys.tick(now);
        self.perform_keys(cx, actions);
        self.advance_admission(cx);
        for node in self.suspected_nodes.remove_expired(now.at) {
            self.router.set_suspected(&node, false);
        }
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(TICKS_PER_EXPIRY) {
            self.router.expire(now);
            self.update_gauges();
        }
    }

    fn update_gauges(&self) {
        metrics::gauge!("hemlockfall_slots_in_use").set(gauge_value(self.admission.running()));
        metrics::gauge!("hemlockfall_queue_length").set(gauge_value(self.admission.queued()));
        metrics::gauge!("hemlockfall_calls_in_flight").set(gauge_value(self.entry.len()));
    }

    /// Handles an output of the control actor.
    pub fn handle_control_output(&mut self, cx: CX![], output: ControlOutput) {
        let now = now_of(cx);
        match output {
            ControlOutput::InForce(snapshot) => self.apply_snapshot(&snapshot),
            ControlOutput::Endpoint(record) => self.handle_endpoint(&record, now),
            ControlOutput::Removed(node) => {
                self.router.remove_endpoint(&node, now);
                if let Ok(index) = self.address_position(&node) {
                    self.addresses.remove(index);
                }
            }
            ControlOutput::Item { item, lifetime_ms } => self.handle_item(&item, lifetime_ms, now),
            ControlOutput::StoreDownSince(since_unix_ms) => {
                self.router.set_store_down_since(since_unix_ms);
            }
            ControlOutput::Roles(_) => {}
        }
    }

    fn apply_snapshot(&mut self, snapshot: &Arc<Snapshot>) {
        self.router
            .set_configuration(Arc::new(snapshot.configuration().clone()));
        self.is_serving = true;
    }

    fn handle_endpoint(&mut self, record: &EndpointRecord, now: Now) {
        self.router.set_endpoint(record, now);
        match self.address_position(&record.node) {
            Ok(index) => self.addresses[index].address = record.peer_address,
            Err(index) => {
                let (node, address) = (record.node.clone(), record.peer_address);
                self.addresses.insert(index, NodeAddress { node, address });
            }
        }
        if record.node == self.own {
            self.apply_own_record(record);
        }
    }

    fn address_position(&self, node: &str) -> Result<usize, usize> {
        self.addresses
            .binary_search_by(|entry| entry.node.as_str().cmp(node))
    }

    fn handle_item(&mut self, item: &GossipItem, lifetime_ms: u32, now: Now) {
        if let Some(report) = fingerprints::report_of(item, lifetime_ms) {
            self.router.fingerprints_mut().merge(&report, now.at);
        }
    }

    /// Handles a request of a caller, or the disconnection of a caller.
    pub fn handle_caller_event(&mut self, cx: CX![], event: CallerEvent) {
        match event {
            CallerEvent::Request { id, request } => self.caller_request(cx, id, *request),
            CallerEvent::Disconnected { id } => self.handle_caller_disconnect(cx, id),
        }
    }

    /// Handles the loss or stall of a link, or the refusal of a message.
    pub fn handle_link_event(&mut self, cx: CX![], event: LinkEvent) {
        match event {
            LinkEvent::Message { .. } => {}
            LinkEvent::Refused { tag, .. } => self.handle_unsent_attempt(cx, tag),
            LinkEvent::Lost {
                unsent, unsettled, ..
            } => self.handle_link_failure(cx, unsent, unsettled, LinkFailure::Lost),
            LinkEvent::Stalled {
                unsent, unsettled, ..
            } => self.handle_link_failure(cx, unsent, unsettled, LinkFailure::Stalled),
        }
    }

    fn handle_link_failure(
        &mut self,
        cx: CX![],
        unsent: Vec<Tag>,
        unsettled: Vec<Tag>,
        failure: LinkFailure,
    ) {
        for tag in unsent {
            self.handle_unsent_attempt(cx, tag);
        }
        for tag in unsettled {
            self.handle_attempt_link_failure(cx, tag, failure);
        }
    }

    /// Handles a message of a peer.
    pub fn handle_link_message(&mut self, cx: CX![], link: LinkId, message: LinkMessage) {
        match message {
            LinkMessage::Control(_) => {}
            LinkMessage::Call(frame) => self.handle_call(cx, local::Origin::Link(link), *frame),
            LinkMessage::Answer(frame) => self.handle_answer(cx, *frame),
            LinkMessage::Cancel { attempt_id } => self.handle_cancel(cx, attempt_id),
            LinkMessage::Fence {
                attempt_id,
                incarnation,
            } => {
                self.handle_fence(cx, link, attempt_id, incarnation);
            }
            LinkMessage::FenceAnswer { attempt_id, answer } => {
                self.handle_fence_answer(cx, attempt_id, answer);
            }
            LinkMessage::Key { from, message } => {
                let actions = self.keys.receive(&from, message, now_of(cx));
                self.perform_keys(cx, actions);
            }
        }
    }

    /// Handles a message of the local target about itself.
    pub fn handle_local_event(&mut self, cx: CX![], event: LocalEvent) {
        match event {
            LocalEvent::Announce(announcement) => self.handle_announcement(cx, &announcement),
            LocalEvent::Leave => self.drain(cx),
            LocalEvent::Report(report) => {
                let load_percent = u8::try_from(report.load_percent).unwrap_or(u8::MAX);
                self.router
                    .report(&self.own.clone(), report.healthy, load_percent);
            }
        }
    }

    fn handle_announcement(&mut self, cx: CX![], announcement: &Announcement) {
        if !self.local.is_new(announcement) {
            return;
        }
        let now = now_of(cx);
        // Keys that were used before this node became a member of the service, or while it was not
        // a member, have other keepers. A target that was lost for less than half of
        // `key_view_lag_ms` returns before any key is placed on other keepers.
        let min_absence_ms = u64::from(self.options.key_view_lag_ms / 2);
        if self
            .local
            .joins_service(announcement, now.unix_ms, min_absence_ms)
        {
            self.keys.rejoined(now);
        }
        self.local.apply_announcement(announcement, now.unix_ms);
        self.health.set_target(true);
        self.admission.resize(announcement.slots);
        let connections = usize::from(announcement.connections);
        call!([self.target_client], set_max_connections(connections));
        let info = TargetInfo {
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            slots: announcement.slots,
            ready_unix_ms: now.unix_ms,
        };
        call!([self.control], announce(info));
    }

    /// Drains the target: it gets no new attempts, and running and queued ones are finished.
    pub fn drain(&mut self, _: CX![]) {
        self.admission.drain();
        self.local.drain();
        call!([self.control], drain());
    }

    /// Returns whether no request is in progress on this node.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.entry.len() == 0 && self.local.is_idle()
    }

    /// Sends [`Calls::is_idle`] to `idle`.
    pub fn report_idle(&self, _: CX![], idle: stakker::Ret<bool>) {
        stakker::ret!([idle], self.is_idle());
    }

    fn send_link(&self, to: SocketAddr, tag: u64, message: &LinkMessage) {
        match message.encode() {
            Ok(content) => call!([self.links], send(to, tag, content)),
            Err(error) => {
                spdlog::error!("message not sent", kv: { error = error.to_string() });
            }
        }
    }
}

/// Converts a count to the value of a gauge.
fn gauge_value(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
