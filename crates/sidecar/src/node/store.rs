//! Exchange with the platform's store: this node's entry, the initial lists and the watches.
//!
//! Every node reads the store when it starts. Then a few store watchers watch it and disseminate
//! changes, since each long-polling call is charged; nodes that receive too few watcher heartbeats
//! begin to watch as well.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockfall_http::http1::HttpLimits;
use hemlockfall_http::http1::response;
use hemlockfall_http::http1::response::ReadResponse;
use hemlockfall_http::http1::response::ResponseReader;
use rand::RngExt;
use serde_json::json;
use stakker_mio::Ready;

use crate::balance::Distance;
use crate::clock::Time;
use crate::edge::stream;
use crate::edge::stream::Reading;
use crate::edge::stream::Stream;
use crate::model::ObjectRevision;
use crate::model::StoreEra;
use crate::node::Node;
use crate::node::Socket;
use crate::node::TICK;
use crate::node::Timer;
use crate::node::ms;
use crate::node::peers::Peer;
use crate::platform::NodeEntry;
use crate::platform::StoreCall;
use crate::platform::StoreKind;
use crate::platform::StoreReply;
use crate::store_watch::OtherNode;
use crate::store_watch::StoreWatch;
use crate::store_watch::WATCHERS;
use crate::store_watch::rank_of;

/// Time for which the store may hold a watch open. A stalled connection is noticed only after it.
pub(super) const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// The same for the first watch after a failed call. The store may have come back from an older copy,
/// which its answer shows.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Time for an answer of the store, besides the wait of a watch.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest and longest backoff after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(150);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Time for which a starting node that does not watch the store waits for another node's
/// configuration before it reads the store.
const PEER_CONFIG_WAIT: Duration = Duration::from_millis(700);
/// Time in which all nodes of a mesh that starts for the first time write their entries. A list
/// that is read earlier would lack some of them and have to be read again.
const FIRST_ENTRIES_WAIT: Duration = Duration::from_millis(700);
/// Nodes of each data centre that read the configuration themselves when they start. When all nodes
/// start together, dissemination from fewer nodes would take longer than reading the store.
const CONFIG_READERS_PER_DATA_CENTRE: usize = 2;
/// Bound on the calls that wait for the connection.
const QUEUE_CAPACITY: usize = 64;
/// Limits on the store's answers: an answer holds about 1 MB.
const ANSWER_LIMITS: HttpLimits = HttpLimits {
    max_head_bytes: 64 * 1024,
    max_body_bytes: 16 * 1024 * 1024,
};

/// Connections to the store; each carries one call at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Channel {
    Calls,
    Config,
    Rollouts,
    Evacuations,
}

/// Channels that carry a watch.
pub(super) const WATCH_CHANNELS: [Channel; 3] =
    [Channel::Config, Channel::Rollouts, Channel::Evacuations];
const CHANNELS: [Channel; 4] = [
    Channel::Calls,
    Channel::Config,
    Channel::Rollouts,
    Channel::Evacuations,
];

/// State of the exchange with the store.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each tells whether one independent step has been done"
)]
pub(crate) struct StoreSync {
    pub(super) calls: StoreConnection,
    pub(super) config: StoreConnection,
    pub(super) rollouts: StoreConnection,
    pub(super) evacuations: StoreConnection,
    pub(super) queue: VecDeque<StoreCall>,
    /// Latest era of the store that this node knows of.
    pub(super) era: Option<StoreEra>,
    /// Revision of this node's entry, once it is known.
    pub(super) entry_revision: Option<ObjectRevision>,
    pub(super) entry_is_due: bool,
    /// Whether the store was read for this node's entry of an earlier process.
    pub(super) entry_was_read: bool,
    pub(super) nodes_listed: bool,
    /// Name after which the next page of the list of entries begins; `None` for the first page.
    pub(super) nodes_after: Option<smol_str::SmolStr>,
    /// Whether a list that may be stale lacked this node's own entry.
    pub(super) stale_list_lacked_own_entry: bool,
    /// Whether the pages read so far of the list of entries held this node's own entry.
    pub(super) own_entry_was_listed: bool,
    /// Whether the last call to the store failed.
    pub(super) is_lost: bool,
    pub(super) started: Time,
    pub(super) watch: StoreWatch,
    /// Whether the last heartbeat announced that this node watches the store.
    pub(super) was_watching_store: bool,
    /// Watcher heartbeats sent so far; numbers the next one.
    pub(super) heartbeats_sent: u32,
    /// Numbers of calls since the last traffic report, sorted by the name of the call.
    pub(super) call_counts: Vec<(&'static str, u64)>,
}

/// A connection to the store with its current call.
pub(super) struct StoreConnection {
    pub(super) stream: Option<Stream>,
    pub(super) input: Vec<u8>,
    pub(super) reader: Option<ResponseReader>,
    pub(super) current: Option<StoreCall>,
    pub(super) timeout_at: Time,
    pub(super) not_before: Time,
    pub(super) failures: u32,
    /// Revision to watch from; `None` until the objects were listed.
    pub(super) revision: Option<ObjectRevision>,
    pub(super) last_success: Option<Time>,
}

impl StoreSync {
    /// Returns the size of the buffers for input of each connection.
    pub(super) fn held_bytes(&self) -> [(Socket, usize); 4] {
        [
            (Socket::Store(Channel::Calls), self.calls.held_bytes()),
            (Socket::Store(Channel::Config), self.config.held_bytes()),
            (Socket::Store(Channel::Rollouts), self.rollouts.held_bytes()),
            (
                Socket::Store(Channel::Evacuations),
                self.evacuations.held_bytes(),
            ),
        ]
    }
}

impl StoreConnection {
    fn held_bytes(&self) -> usize {
        let reader_bytes = self.reader.as_ref().map_or(0, ResponseReader::held_bytes);
        self.input.capacity() + reader_bytes
    }

    fn new(now: Time) -> Self {
        Self {
            stream: None,
            input: Vec::new(),
            reader: None,
            current: None,
            timeout_at: now,
            not_before: now,
            failures: 0,
            revision: None,
            last_success: None,
        }
    }

    pub(super) fn close(&mut self) {
        self.stream = None;
        self.input.clear();
        self.reader = None;
    }
}

impl StoreSync {
    pub(super) fn new(now: Time) -> Self {
        Self {
            calls: StoreConnection::new(now),
            config: StoreConnection::new(now),
            rollouts: StoreConnection::new(now),
            evacuations: StoreConnection::new(now),
            queue: VecDeque::new(),
            era: None,
            entry_revision: None,
            entry_is_due: true,
            entry_was_read: false,
            nodes_listed: false,
            nodes_after: None,
            stale_list_lacked_own_entry: false,
            own_entry_was_listed: false,
            is_lost: false,
            started: now,
            watch: StoreWatch::new(now),
            was_watching_store: false,
            heartbeats_sent: 0,
            call_counts: Vec::new(),
        }
    }

    fn count_call(&mut self, name: &'static str) {
        match self
            .call_counts
            .binary_search_by_key(&name, |(known, _)| known)
        {
            Ok(index) => self.call_counts[index].1 += 1,
            Err(index) => self.call_counts.insert(index, (name, 1)),
        }
    }

    pub(super) fn connection(&mut self, channel: Channel) -> &mut StoreConnection {
        match channel {
            Channel::Calls => &mut self.calls,
            Channel::Config => &mut self.config,
            Channel::Rollouts => &mut self.rollouts,
            Channel::Evacuations => &mut self.evacuations,
        }
    }
}

impl Node {
    pub(super) fn start_store(&mut self) {
        let seeds = self.settings.seeds.clone();
        let port = self.settings.peer_address.port();
        let own = self.settings.peer_address;
        for seed in seeds {
            let address = std::net::SocketAddr::new(seed.ip(), port);
            if address != own {
                self.add_seed(address);
            }
        }
        self.drive_store();
    }

    pub(super) fn queue_store_call(&mut self, call: StoreCall) {
        if self.store.queue.len() < QUEUE_CAPACITY && !self.store.queue.contains(&call) {
            self.store.queue.push_back(call);
            self.drive_store();
        }
    }

    /// Starts the calls that are due and abandons those that have timed out.
    pub(super) fn drive_store(&mut self) {
        for channel in CHANNELS {
            let now = self.now;
            let connection = self.store.connection(channel);
            if connection.current.is_some() {
                if now >= connection.timeout_at {
                    self.store_call_failed(channel, "no answer in time");
                }
                continue;
            }
            if now < connection.not_before {
                continue;
            }
            if let Some(call) = self.next_store_call(channel) {
                self.begin_store_call(channel, call);
            }
        }
        self.announce_watch_state();
        let is_due =
            self.ticks.is_multiple_of(self.heartbeat_ticks()) && self.last_tick == self.now;
        if is_due && self.is_watching_store() {
            self.send_watcher_heartbeat(true);
        }
    }

    fn next_store_call(&mut self, channel: Channel) -> Option<StoreCall> {
        let (kind, connection) = match channel {
            Channel::Calls => return self.next_queued_call(),
            Channel::Config => (StoreKind::Config, &self.store.config),
            Channel::Rollouts => (StoreKind::Rollouts, &self.store.rollouts),
            Channel::Evacuations if !self.settings.has_evacuations() => return None,
            Channel::Evacuations => (StoreKind::Evacuations, &self.store.evacuations),
        };
        match connection.revision {
            None if self.should_list() => Some(StoreCall::List {
                kind,
                after: None,
                may_be_stale: false,
            }),
            Some(revision) if self.store.watch.is_watcher() => Some(StoreCall::Watch {
                kind,
                revision,
                wait: if connection.failures > 0 {
                    FIRST_WATCH_WAIT
                } else {
                    WATCH_WAIT
                },
            }),
            _ => None,
        }
    }

    fn next_queued_call(&mut self) -> Option<StoreCall> {
        // A restarted node finds its entry in the list and does not have to write it.
        let writes_first = self.settings.is_first_start || self.store.nodes_listed;
        if self.store.entry_is_due && writes_first {
            let entry = self.own_entry();
            return Some(match self.store.entry_revision {
                None => StoreCall::CreateNode(entry),
                Some(revision) => StoreCall::ReplaceNode { entry, revision },
            });
        }
        if !self.store.nodes_listed
            && let Some(list) = self.next_list_of_nodes()
        {
            return Some(list);
        }
        self.store.queue.pop_front()
    }

    /// Returns the call for the next page of the nodes' entries, once it is due. At the first start
    /// of a mesh no target has deregistered yet, and a list that is some seconds old is sufficient;
    /// it costs a tenth and does not count towards the store's rate limit. If it lacks this node's
    /// own entry, it is too old.
    fn next_list_of_nodes(&self) -> Option<StoreCall> {
        let is_first = self.settings.is_first_start;
        let age = self.now.saturating_sub(self.store.started);
        if is_first && age < FIRST_ENTRIES_WAIT {
            return None;
        }
        Some(StoreCall::List {
            kind: StoreKind::Nodes,
            after: self.store.nodes_after.clone(),
            may_be_stale: is_first && !self.store.stale_list_lacked_own_entry,
        })
    }

    fn own_entry(&self) -> NodeEntry {
        NodeEntry {
            node: self.settings.name.clone(),
            peer_address: self.settings.advertised(),
            data_centre: self.settings.data_centre.clone(),
            region: self.settings.region.clone(),
            incarnation: self.incarnation,
            deregistered: self.target.own.deregistered().to_vec(),
        }
    }

    /// Decides again whether this node watches the store.
    pub(super) fn check_store_watch(&mut self) {
        let nodes: Vec<OtherNode> = self
            .peers
            .iter()
            .map(|(_, peer)| OtherNode {
                rank: peer.rank,
                is_live: is_live(peer),
                last_heartbeat_at: peer.watcher_heartbeat_at,
            })
            .collect();
        let ticks = u32::try_from(self.heartbeat_ticks()).unwrap_or(u32::MAX);
        let own = rank_of(&self.settings.name);
        let interval = TICK.saturating_mul(ticks);
        self.store.watch.update(own, &nodes, interval, self.now);
    }

    /// Returns whether this node reads the objects itself: since it watches the store, is among the
    /// first nodes to read the store, or has received no configuration from other nodes within
    /// `PEER_CONFIG_WAIT`.
    fn should_list(&self) -> bool {
        if !self.store.nodes_listed {
            return false;
        }
        let own = rank_of(&self.settings.name);
        let is_before = |peer: &Peer| peer.rank < own;
        let peers = || self.peers.iter().map(|(_, peer)| peer);
        let before = peers().filter(|peer| is_before(peer)).count();
        let before_in_data_centre = peers()
            .filter(|peer| is_before(peer) && peer.distance <= Distance::DataCentre)
            .count();
        let is_first_reader =
            self.mesh.config().is_none() && before_in_data_centre < CONFIG_READERS_PER_DATA_CENTRE;
        let waited = self.now.saturating_sub(self.store.started);
        // A store watcher whose heartbeats arrive will send the configuration.
        let has_no_watcher = peers().all(|peer| peer.watcher_heartbeat_at.is_none());
        let is_still_without_config =
            self.mesh.config().is_none() && has_no_watcher && waited > PEER_CONFIG_WAIT;
        before < WATCHERS
            || is_first_reader
            || is_still_without_config
            || self.store.watch.is_watcher()
    }

    /// Restarts the watches, whose connections may have failed during a process pause.
    pub(super) fn restart_watches(&mut self) {
        for channel in WATCH_CHANNELS {
            self.abandon_watch(channel);
        }
        self.drive_store();
    }

    fn begin_store_call(&mut self, channel: Channel, call: StoreCall) {
        self.store.count_call(call.name());
        let request = self.platform.store_request(&call);
        let mut output = Vec::new();
        response::write_request(&mut output, &request, &[]);
        let address = self.settings.store_address;
        let ready = self.ready_fwd(Socket::Store(channel));
        let timeout = match &call {
            StoreCall::Watch { wait, .. } => *wait + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let timeout_at = self.now + timeout;
        let poll = self.poll.clone();
        let receive_bytes = self.connection_limits.links.receive_bytes;
        let connection = self.store.connection(channel);
        connection.current = Some(call);
        connection.timeout_at = timeout_at;
        connection.reader = Some(ResponseReader::new(&request.method, ANSWER_LIMITS));
        if connection.stream.is_none() {
            connection.input.clear();
            connection.stream = Stream::connect(&poll, address, receive_bytes, ready).ok();
        }
        let is_sent = connection
            .stream
            .as_mut()
            .is_some_and(|stream| stream.send(&output).is_ok());
        self.set_timer(timeout_at, Timer::Store);
        if !is_sent {
            self.store_call_failed(channel, "the connection cannot be used");
        }
    }

    pub(super) fn store_ready(&mut self, channel: Channel, ready: &Ready) {
        let connection = self.store.connection(channel);
        let Some(stream) = &mut connection.stream else {
            return;
        };
        if ready.is_writable()
            && let Err(error) = stream.writable()
        {
            self.store_call_failed(channel, &error.to_string());
            return;
        }
        self.read_store(channel);
    }

    pub(super) fn resume_store(&mut self, channel: Channel) {
        if let Some(stream) = &mut self.store.connection(channel).stream {
            stream.resume();
            self.read_store(channel);
        }
    }

    fn read_store(&mut self, channel: Channel) {
        let connection = self.store.connection(channel);
        let Some(stream) = &mut connection.stream else {
            return;
        };
        let reading = stream.read(&mut connection.input);
        if reading == Reading::More {
            self.read_later(Socket::Store(channel));
        }
        let connection = self.store.connection(channel);
        let read = match connection
            .reader
            .as_mut()
            .map(|reader| reader.push(&connection.input))
        {
            None => {
                if reading.has_ended() || !connection.input.is_empty() {
                    connection.close();
                }
                return;
            }
            Some(Ok((used, read))) => {
                connection.input.drain(..used);
                stream::release_empty(&mut connection.input);
                read
            }
            Some(Err(error)) => {
                self.store_call_failed(channel, &error.to_string());
                return;
            }
        };
        match read {
            Some(read) => self.store_answered(channel, &read, reading),
            None if reading.has_ended() => {
                self.store_call_failed(channel, "the connection ended");
            }
            None => {}
        }
    }

    fn store_answered(&mut self, channel: Channel, read: &ReadResponse, reading: Reading) {
        let now = self.now;
        let connection = self.store.connection(channel);
        connection.reader = None;
        if !read.keep_alive || reading.has_ended() || !connection.input.is_empty() {
            connection.close();
        }
        let Some(call) = connection.current.take() else {
            return;
        };
        let reply = self.platform.store_reply(&call, &read.answer);
        let failure = match (&call, &reply) {
            (_, StoreReply::Refused { status }) => Some(format!("status {status}")),
            (_, StoreReply::Unreadable { reason }) => Some(reason.clone()),
            (StoreCall::List { .. }, StoreReply::Missing) => Some("no such kind".to_owned()),
            _ => None,
        };
        if let Some(reason) = failure {
            self.store.connection(channel).current = Some(call);
            self.store_call_failed(channel, &reason);
            return;
        }
        if !self.is_of_current_era(channel, &call, &read.answer) {
            return;
        }
        let connection = self.store.connection(channel);
        connection.failures = 0;
        connection.last_success = Some(now);
        metrics::counter!("hemlockfall_sidecar_store_calls_total", "result" => "done").increment(1);
        if std::mem::take(&mut self.store.is_lost) {
            self.log_event("store_regained", json!({}));
        }
        self.handle_store_reply(channel, call, reply);
        self.drive_store();
    }

    pub(super) fn store_call_failed(&mut self, channel: Channel, reason: &str) {
        let jitter = self.random.random_range(0.6..1.4);
        let now = self.now;
        let connection = self.store.connection(channel);
        connection.close();
        let call = connection.current.take();
        let backoff = BACKOFF_MIN
            .saturating_mul(1 << connection.failures.min(4))
            .min(BACKOFF_MAX);
        connection.failures += 1;
        let not_before = now + backoff.mul_f64(jitter);
        connection.not_before = not_before;
        self.set_timer(not_before, Timer::Store);
        metrics::counter!("hemlockfall_sidecar_store_calls_total", "result" => "failed")
            .increment(1);
        if !std::mem::replace(&mut self.store.is_lost, true) {
            let last_success_ms = self
                .store
                .config
                .last_success
                .map(|at| ms(now.saturating_sub(at)));
            self.log_event(
                "store_lost",
                json!({
                    "reason": reason, "channel": format!("{channel:?}"),
                    "last_success_ms": last_success_ms,
                }),
            );
        }
        self.announce_watch_state();
        // Rollout outcomes are not queued here: `write_outcome` queues them until they are stored.
        if let Some(call @ StoreCall::RemoveNode(_)) = call {
            self.store.queue.push_back(call);
        }
    }
}

/// Returns whether a node is taken to be running. Nodes of this data centre are all linked with
/// this node; a failure of another node is noticed only if this node has dialled it.
pub(super) fn is_live(peer: &Peer) -> bool {
    if peer.distance <= Distance::DataCentre {
        return peer.is_linked;
    }
    !peer.is_replaced && !peer.record.is_stopping && (peer.is_linked || peer.dial_failures == 0)
}
