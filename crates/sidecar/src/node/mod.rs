//! The running node: one actor that owns all sockets and timers and calls the decision modules.

mod abandoned_calls;
mod allowances;
mod caller_accounts;
mod caller_turns;
mod callers;
mod calls;
mod coldness;
mod connection_room;
mod connections;
mod control;
mod deferred;
mod deregistration;
mod displacement;
mod evacuations;
mod explain;
mod held_memory;
mod link_calls;
mod link_output;
mod link_selection;
mod links;
mod listeners;
mod loads;
mod lost_target;
mod members;
mod memory;
mod mesh;
mod ordering;
mod peers;
mod placement;
mod refusals;
mod rollouts;
mod run;
mod signals;
mod stalled_links;
mod stop;
mod store;
mod store_era;
mod store_replies;
mod target_notices;
mod targets;
mod transfers;
mod version_rules;
mod watcher_heartbeats;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::time::Duration;

use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::ServiceName;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use stakker::Actor;
use stakker::CX;
use stakker::Fwd;
use stakker::after;
use stakker::fwd_to;
use stakker::stop;
use stakker_mio::MioPoll;
use stakker_mio::Ready;

use crate::admission::WorkId;
use crate::budget::RetryBudget;
use crate::caller_retries::CallerRetries;
use crate::clock;
use crate::clock::Time;
use crate::connection_limits::ConnectionLimits;
use crate::fingerprint::Suspects;
use crate::log::Log;
use crate::log::LogCategory;
use crate::node::allowances::Allowances;
use crate::node::callers::Caller;
use crate::node::calls::Call;
use crate::node::connections::TargetConnection;
use crate::node::deferred::DeferredRequest;
use crate::node::deregistration::PendingDeregistration;
use crate::node::link_selection::ForwardState;
use crate::node::links::Link;
use crate::node::listeners::Listener;
use crate::node::loads::ReportedLoad;
use crate::node::mesh::Mesh;
use crate::node::peers::Peer;
use crate::node::signals::SignalPipe;
use crate::node::store::StoreSync;
use crate::node::targets::LocalTarget;
use crate::node::transfers::OutgoingAnswer;
use crate::overlay::Overlay;
use crate::platform::HeaderNames;
use crate::platform::Platform;
use crate::settings::SidecarSettings;
use crate::shutdown::Shutdown;
use crate::sizes::AnswerSizes;
use crate::table::Table;
use crate::traffic::Traffic;
use crate::turns::Turns;
use crate::uplink::Uplink;

pub use run::run;

/// Time until more input of a socket is read whose input was not read whole.
const READ_PAUSE: Duration = Duration::from_millis(1);
/// Interval of the periodic checks that need no exact time.
const TICK: Duration = Duration::from_millis(100);
/// Time since the last tick beyond which the process was paused or the VM suspended.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(900);
/// Time after a process pause in which no canary requests are sent and no rollout is judged.
/// Rollouts may have ended meanwhile, which the next heartbeat of a store watcher shows.
const ROLLOUTS_HELD: Duration = Duration::from_millis(1200);
/// Least number of timers from which those of requests that have ended are discarded.
const MIN_MAX_TIMERS: usize = 4096;
/// Ticks between two flushes of the log.
const FLUSH_TICKS: u64 = 5;
/// Ticks between two reports of the traffic to other nodes.
const TRAFFIC_TICKS: u64 = 50;
/// Ticks between two checks of the settings file for changes.
const SETTINGS_TICKS: u64 = 10;
/// Ticks between two runs of the upkeep of the metrics, which merges the samples of the histograms.
/// The recorder keeps each sample until then.
const METRICS_TICKS: u64 = 10;

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Port {
    Callers,
    Peers,
    Ready,
    Control,
    Metrics,
}

/// Owner of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Socket {
    Listener(Port),
    Caller(u64),
    Target(u64),
    Link(u64),
    Store(store::Channel),
    Signals,
}

impl Socket {
    /// Returns the kind of the peer for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Listener(_) => "listener",
            Self::Caller(_) => "caller",
            Self::Target(_) => "target",
            Self::Link(_) => "node",
            Self::Store(_) => "store",
            Self::Signals => "signals",
        }
    }
}

/// Action that is due at an exact time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Tick,
    /// The deadline of a caller's request has passed.
    Call(u64),
    /// The deadline of a request at the target has passed.
    Work(WorkId),
    /// A call to the store is due or has taken too long.
    Store,
    /// The rate limit of the target allows a further request.
    Permit,
    /// The VM's uplink has room for the next chunk of a large answer.
    Uplink,
    /// A request has waited long enough for a token of its client account's quota.
    Allowance(u64),
    /// A socket has more input than was read at once.
    Read(Socket),
    /// Connections of callers have more requests than were begun at once.
    Turn,
}

/// Parameters of a node.
pub(crate) struct NodeParams {
    pub(crate) settings: SidecarSettings,
    pub(crate) settings_file: PathBuf,
    pub(crate) platform: Box<dyn Platform>,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) incarnation: u64,
    pub(crate) seed: u64,
}

/// The node's actor.
pub(crate) struct Node {
    me: Actor<Node>,
    poll: MioPoll,
    /// Time of the event that is being handled.
    now: Time,
    settings: SidecarSettings,
    settings_file: PathBuf,
    settings_text: String,
    platform: Box<dyn Platform>,
    header_names: HeaderNames,
    metrics: PrometheusHandle,
    log: Log,
    random: SmallRng,
    incarnation: u64,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    /// Number of timers from which those of requests that have ended are discarded.
    max_timers: usize,
    /// Earliest time for which a wake-up is scheduled.
    next_wake_at: Option<Time>,
    last_tick: Time,
    ticks: u64,
    listeners: Vec<Listener>,
    /// Whether connections may wait at a listener without a further event for them.
    accept_is_due: bool,
    connection_limits: ConnectionLimits,
    signals: Option<SignalPipe>,
    callers: Table<Caller>,
    /// Callers' connections on which requests may wait behind one that has been answered.
    answered_callers: VecDeque<u64>,
    /// Callers' connections with more requests than were begun at once.
    turns: Turns<u64>,
    is_turn_scheduled: bool,
    calls: Table<Call>,
    /// Requests that wait for the first configuration.
    deferred: Vec<DeferredRequest>,
    next_token: u64,
    budget: RetryBudget,
    allowances: Allowances,
    suspects: Suspects,
    answer_sizes: AnswerSizes,
    caller_retries: CallerRetries,
    mesh: Mesh,
    target: LocalTarget,
    connections: Table<TargetConnection>,
    deregistrations: Vec<PendingDeregistration>,
    peers: Table<Peer>,
    /// Ids of peers, sorted by the names of their nodes.
    peer_names: Vec<(NodeName, u64)>,
    overlay: Overlay,
    /// Whether what the overlay depends on has changed.
    overlay_is_due: bool,
    /// Services whose linked targets are all full, and until when that counts; sorted by service.
    full_services: Vec<(ServiceName, Time)>,
    forward_state: ForwardState,
    /// Load that was last reported to the nodes of the data centre.
    reported_load: ReportedLoad,
    links: Table<Link>,
    uplink: Uplink,
    uplink_timer: Option<Time>,
    transfers: Table<OutgoingAnswer>,
    traffic: Traffic,
    record_sequence: u64,
    store: StoreSync,
    shutdown: Option<Shutdown>,
    /// When the kernel began to refuse new connections of callers in a graceful shutdown.
    connections_refused_at: Option<Time>,
    /// When the callers' listener was closed in a graceful shutdown.
    listener_closed_at: Option<Time>,
}

impl Node {
    pub(crate) fn init(cx: CX![], params: NodeParams) -> Option<Self> {
        let now = clock::now();
        let settings = params.settings;
        let mut node = Self {
            me: cx.access_actor().clone(),
            poll: cx.anymap_get::<MioPoll>(),
            now,
            log: Log::new(&settings.name, settings.log_lines_per_s),
            header_names: params.platform.headers(),
            platform: params.platform,
            metrics: params.metrics,
            random: SmallRng::seed_from_u64(params.seed),
            incarnation: params.incarnation,
            timers: BinaryHeap::new(),
            max_timers: MIN_MAX_TIMERS,
            next_wake_at: None,
            last_tick: now,
            ticks: 0,
            listeners: Vec::new(),
            accept_is_due: false,
            connection_limits: connection_room::connection_limits(settings.memory_bytes()),
            signals: None,
            callers: Table::default(),
            answered_callers: VecDeque::new(),
            turns: Turns::default(),
            is_turn_scheduled: false,
            calls: Table::default(),
            deferred: Vec::new(),
            next_token: 1,
            budget: RetryBudget::new(settings.budget()),
            allowances: Allowances::new(now),
            suspects: Suspects::default(),
            answer_sizes: AnswerSizes::default(),
            caller_retries: CallerRetries::default(),
            mesh: Mesh::default(),
            target: LocalTarget::default(),
            connections: Table::default(),
            deregistrations: Vec::new(),
            peers: Table::default(),
            peer_names: Vec::new(),
            overlay: Overlay::default(),
            overlay_is_due: true,
            full_services: Vec::new(),
            forward_state: ForwardState::default(),
            reported_load: ReportedLoad::default(),
            links: Table::default(),
            uplink: Uplink::new(settings.uplink_bytes_per_s()),
            uplink_timer: None,
            transfers: Table::default(),
            traffic: Traffic::default(),
            record_sequence: 1,
            store: StoreSync::new(now),
            shutdown: None,
            connections_refused_at: None,
            listener_closed_at: None,
            settings_text: std::fs::read_to_string(&params.settings_file).unwrap_or_default(),
            settings_file: params.settings_file,
            settings,
        };
        node.target.admission.set_order(node.settings.order);
        if let Err(error) = node.open() {
            cx.fail(error);
            return None;
        }
        node.log_event("node_started", json!({ "incarnation": node.incarnation }));
        node.set_timer(now + TICK, Timer::Tick);
        node.start_store();
        node.finish_event(cx);
        Some(node)
    }

    fn open(&mut self) -> std::io::Result<()> {
        self.signals = Some(SignalPipe::open(
            &self.poll,
            self.ready_fwd(Socket::Signals),
        )?);
        let addresses = [
            (Port::Callers, self.settings.caller_address),
            (Port::Peers, self.settings.peer_address),
            (Port::Ready, self.settings.ready_address),
            (Port::Control, self.settings.control_address),
            (Port::Metrics, self.settings.metrics_address),
        ];
        for (port, address) in addresses {
            let ready = self.ready_fwd(Socket::Listener(port));
            let limits = self.port_limits(port);
            self.listeners
                .push(Listener::open(&self.poll, port, address, limits, ready)?);
        }
        Ok(())
    }

    fn ready_fwd(&self, socket: Socket) -> Fwd<Ready> {
        let me = self.me.clone();
        fwd_to!([me], ready(socket) as (Ready))
    }

    /// Handles an event of a socket.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes events by value"
    )]
    fn ready(&mut self, cx: CX![], socket: Socket, ready: Ready) {
        self.read_clock();
        match socket {
            Socket::Listener(port) => self.accept(port),
            Socket::Caller(id) => self.caller_ready(id, &ready),
            Socket::Target(id) => self.target_ready(id, &ready),
            Socket::Link(id) => self.link_ready(id, &ready),
            Socket::Store(channel) => self.store_ready(channel, &ready),
            Socket::Signals => self.signals_ready(),
        }
        self.finish_event(cx);
    }

    /// Reads the rest of a socket's input after other sockets have had their turn.
    fn read_later(&mut self, socket: Socket) {
        self.set_timer(self.now + READ_PAUSE, Timer::Read(socket));
    }

    fn read_socket(&mut self, socket: Socket) {
        match socket {
            Socket::Caller(id) => self.resume_caller(id),
            Socket::Target(id) => self.resume_target(id),
            Socket::Link(id) => self.resume_link(id),
            Socket::Store(channel) => self.resume_store(channel),
            Socket::Listener(port) => self.resume_accepting(port),
            Socket::Signals => {}
        }
        self.check_buffers();
    }

    /// Sets the time of the event. After a process pause, holds rollouts and treats the target as cold:
    /// the first events may be requests, handled before the updates that arrived meanwhile have been
    /// read.
    fn read_clock(&mut self) {
        self.now = clock::now();
        if self.now.saturating_sub(self.last_tick) > PAUSE_THRESHOLD {
            self.mesh.hold_rollouts_until(self.now + ROLLOUTS_HELD);
            self.doubt_coldness();
        }
    }

    fn wake(&mut self, cx: CX![]) {
        self.read_clock();
        self.next_wake_at = None;
        self.finish_event(cx);
    }

    /// Finishes the work of an event: starts requests that wait behind answered ones, runs the timers
    /// that are due, ends the node if its shutdown is complete, and schedules the next wake-up.
    fn finish_event(&mut self, cx: CX![]) {
        self.read_answered_callers();
        while let Some(Reverse((at, timer))) = self.timers.peek().copied()
            && at <= self.now
        {
            self.timers.pop();
            self.run_timer(timer);
            self.read_answered_callers();
        }
        self.send_allowance_asks();
        if self.is_stopped() {
            self.log_event("node_stopped", json!({ "calls": self.calls.len() }));
            self.log.flush();
            stop!(cx);
            return;
        }
        let Some(Reverse((next, _))) = self.timers.peek() else {
            return;
        };
        if self
            .next_wake_at
            .is_none_or(|next_wake_at| *next < next_wake_at)
        {
            self.next_wake_at = Some(*next);
            after!(next.saturating_sub(self.now), [cx], wake());
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Tick => self.tick(),
            Timer::Call(id) => self.call_timed_out(id),
            Timer::Work(id) => self.work_timed_out(id),
            Timer::Store => self.drive_store(),
            Timer::Permit => self.permit_due(),
            Timer::Uplink => self.drive_uplink(),
            Timer::Allowance(id) => self.allowance_wait_ended(id),
            Timer::Read(socket) => self.read_socket(socket),
            Timer::Turn => self.take_turn(),
        }
    }

    fn tick(&mut self) {
        let late = self.now.saturating_sub(self.last_tick);
        self.last_tick = self.now;
        self.ticks += 1;
        self.set_timer(self.now + TICK, Timer::Tick);
        if late > PAUSE_THRESHOLD {
            self.log_event("process_paused", json!({ "gap_ms": ms(late) }));
            self.recover_from_pause();
        }
        self.accept_pending();
        self.check_callers();
        self.begin_deferred();
        self.check_allowances();
        self.check_overlay();
        self.check_links();
        self.check_members();
        self.check_connections();
        self.check_buffers();
        self.measure_drain_rates();
        self.check_held_memory();
        self.check_target();
        self.check_coldness();
        self.report_reserved_slots();
        self.report_load();
        self.check_rollouts();
        self.check_stop();
        self.check_store_watch();
        self.check_config();
        self.drive_store();
        if self.ticks.is_multiple_of(FLUSH_TICKS) {
            self.log.flush();
        }
        if self.ticks.is_multiple_of(TRAFFIC_TICKS) {
            self.report_traffic();
        }
        if self.ticks.is_multiple_of(METRICS_TICKS) {
            self.metrics.run_upkeep();
        }
        if self.ticks.is_multiple_of(SETTINGS_TICKS) {
            self.reload_settings("file");
        }
    }

    pub(crate) fn set_timer(&mut self, at: Time, timer: Timer) {
        if self.timers.len() >= self.max_timers {
            self.discard_timers();
        }
        self.timers.push(Reverse((at, timer)));
    }

    /// Discards the timers of requests that have ended. Most requests end long before their deadline.
    fn discard_timers(&mut self) {
        let (calls, work_items) = (&self.calls, &self.target.work_items);
        self.timers.retain(|Reverse((_, timer))| match timer {
            Timer::Call(id) | Timer::Allowance(id) => calls.get(*id).is_some(),
            Timer::Work(id) => work_items.get(*id).is_some(),
            Timer::Tick
            | Timer::Store
            | Timer::Permit
            | Timer::Uplink
            | Timer::Read(_)
            | Timer::Turn => true,
        });
        self.max_timers = MIN_MAX_TIMERS.max(2 * self.timers.len());
        self.timers.shrink_to(self.max_timers);
    }

    pub(crate) fn allocate_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    /// Logs a change of the node's state.
    pub(crate) fn log_event(&mut self, event: &str, fields: serde_json::Value) {
        if self.log.admits(LogCategory::State, self.now) {
            self.log.write(event, fields);
        }
    }

    /// Reports the bytes sent to other nodes, by kind and distance, and the calls to the store.
    fn report_traffic(&mut self) {
        let sent = self.traffic.take();
        let mut fields = serde_json::Map::new();
        for item in &sent {
            let (kind, distance) = (item.kind.name(), item.distance.name());
            metrics::counter!(
                "hemlockfall_sidecar_link_bytes_total", "kind" => kind, "distance" => distance
            )
            .increment(item.bytes);
            fields.insert(
                format!("{kind}_{distance}"),
                json!([item.frames, item.bytes]),
            );
        }
        let mut store_calls = serde_json::Map::new();
        for (name, count) in std::mem::take(&mut self.store.call_counts) {
            store_calls.insert(name.to_owned(), count.into());
        }
        self.log_event(
            "traffic",
            json!({
                "links": self.links.len(), "peers": self.peers.len(), "frames_and_bytes": fields,
                "store_calls": store_calls,
            }),
        );
    }

    /// Reads the settings file again and applies the settings that may change while the node runs.
    pub(crate) fn reload_settings(&mut self, trigger: &str) {
        let Ok(text) = std::fs::read_to_string(&self.settings_file) else {
            return;
        };
        if text == self.settings_text && trigger == "file" {
            return;
        }
        let file = self.settings_file.display().to_string();
        match SidecarSettings::parse(&file, &text) {
            Ok(settings) => {
                self.budget.set_limits(settings.budget());
                self.target.admission.set_order(settings.order);
                self.settings = settings;
                self.log_event("settings_reloaded", json!({ "trigger": trigger }));
            }
            Err(error) => {
                let reason = error.to_string();
                self.log_event(
                    "settings_refused",
                    json!({ "trigger": trigger, "reason": reason }),
                );
            }
        }
        self.settings_text = text;
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn ms(duration: Duration) -> u64 {
    hemlockfall_core::units::duration_ms(duration)
}
