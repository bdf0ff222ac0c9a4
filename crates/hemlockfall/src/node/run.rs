//! Builds the actors of a node and runs their loop.

use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::kernel;
use hemlockfall_core::kernel::MetricKind;
use hemlockfall_core::settings::Settings;
use hemlockfall_core::units;
use hemlockfall_distribution::node::Distribution;
use hemlockfall_membership::node::Membership;
use hemlockfall_moves::node_moves::NodeMoves;
use hemlockfall_request::balance::Place;
use hemlockfall_request::suspicion::StallDetector;
use hemlockfall_store::Client;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use stakker::Actor;
use stakker::ActorOwn;
use stakker::Fwd;
use stakker::Share;
use stakker::Stakker;
use stakker::actor;
use stakker::actor_new;
use stakker::call;
use stakker::fwd_to;
use stakker::ret_shutdown;
use stakker::sync::Channel;
use stakker::sync::ChannelGuard;
use stakker_mio::MioPoll;
use stakker_mio::mio::Events;
use stakker_mio::mio::Poll;

use crate::edge::caller_server::CallerOptions;
use crate::edge::caller_server::CallerServer;
use crate::edge::datagrams::Datagrams;
use crate::edge::datagrams::Received;
use crate::edge::emulation::Emulation;
use crate::edge::emulation::EmulationOptions;
use crate::edge::links::LinkEvent;
use crate::edge::links::LinkOptions;
use crate::edge::links::Links;
use crate::edge::local;
use crate::edge::message::CallerEvent;
use crate::edge::message::LocalEvent;
use crate::edge::options::EdgeOptions;
use crate::edge::target_client::TargetClient;
use crate::edge::target_client::TargetEvent;
use crate::log;
use crate::log::LogOptions;
use crate::node::calls::Calls;
use crate::node::calls::CallsParts;
use crate::node::control::AcceptedChange;
use crate::node::control::Control;
use crate::node::control::ControlOutput;
use crate::node::control::ControlParts;
use crate::node::decisions::DecisionLog;
use crate::node::dispatch::Dispatch;
use crate::node::dispatch::Receivers;
use crate::node::health::Health;
use crate::node::moves::Moves;
use crate::node::moves::MovesParts;
use crate::node::moves::report;
use crate::node::moves::store::MoveStore;
use crate::node::moves::store::StoreAnswer;
use crate::node::options::NodeOptions;
use crate::node::signals;
use crate::node::signals::StopRequested;
use crate::node::status::StatusBoard;
use crate::node::stopping::Stopping;
use crate::node::stopping::StoppingParts;
use crate::node::store_io::StoreEvent;
use crate::node::store_io::StoreIo;
use crate::operator;
use crate::operator::request::NodeStatus;
use crate::operator::server::Server;
use crate::operator::worker;
use crate::operator::worker::Hooks;

/// Capacity for the socket events of one poll.
const EVENT_CAPACITY: usize = 1024;
/// Maximum time that one poll blocks.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of connections to the local target until its announcement sets another.
const MAX_TARGET_CONNECTIONS: usize = 130;
/// Maximum time that an operator's call waits for the number of copies of its change.
const COPIES_TIMEOUT: Duration = Duration::from_millis(1500);

/// Runs a node until its graceful shutdown has ended.
///
/// # Errors
/// Returns the reason why the node cannot start, or why it ended.
pub fn run(settings: &Settings) -> Result<(), String> {
    let options = Sections::read(settings).map_err(|error| error.to_string())?;
    log::init(&options.log)?;
    let metrics = install_metrics()?;
    let poll = Poll::new().map_err(|error| error.to_string())?;
    let mut stakker = Stakker::new(Instant::now());
    let poll = MioPoll::new(&mut stakker, poll, Events::with_capacity(EVENT_CAPACITY), 0)
        .map_err(|error| error.to_string())?;
    let _node = start(&mut stakker, &options, &metrics)?;
    spdlog::info!("node started", kv: {
        node = options.node.name.as_str(),
        region = options.node.region.as_str(),
        data_centre = options.node.data_centre.as_str(),
    });
    serve(&mut stakker, &poll)
}

fn serve(stakker: &mut Stakker, poll: &MioPoll) -> Result<(), String> {
    let mut idle_pending = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    let mut activity;
    while stakker.not_shutdown() {
        let has_work = idle_pending || io_pending;
        let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, has_work);
        (activity, io_pending) = poll.poll(wait).map_err(|error| error.to_string())?;
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    spdlog::default_logger().flush();
    match stakker.shutdown_reason() {
        None | Some(stakker::StopCause::Stopped | stakker::StopCause::Dropped) => Ok(()),
        Some(cause) => Err(cause.to_string()),
    }
}

/// Settings sections of a node.
struct Sections {
    node: NodeOptions,
    log: LogOptions,
    store: hemlockfall_store::Options,
    distribution: hemlockfall_distribution::options::Options,
    membership: hemlockfall_membership::options::Options,
    request: hemlockfall_request::options::Options,
    moves: hemlockfall_moves::options::Options,
    operator: operator::Options,
    edge: EdgeOptions,
    emulation: EmulationOptions,
}

impl Sections {
    fn read(settings: &Settings) -> hemlockfall_core::errors::Result<Self> {
        let store: hemlockfall_store::Options = settings.section("store")?;
        let membership: hemlockfall_membership::options::Options =
            settings.section("membership")?;
        let store_region = store.region.clone();
        Ok(Self {
            node: settings.section("node")?,
            log: settings.section("log")?,
            store,
            distribution: settings.section("distribution")?,
            membership: hemlockfall_membership::options::Options {
                store_region,
                ..membership
            },
            request: settings.section("request")?,
            moves: settings.section("moves")?,
            operator: settings.section("operator")?,
            edge: settings.section("edge")?,
            emulation: settings.section("emulation")?,
        })
    }
}

/// Handles that must live as long as the node.
struct Node {
    _edges: Edges,
    _control: ActorOwn<Control>,
    _calls: ActorOwn<Calls>,
    _moves: ActorOwn<Moves>,
    _dispatch: ActorOwn<Dispatch>,
    _stopping: ActorOwn<Stopping>,
    _guards: Vec<ChannelGuard>,
    _operator: Server,
}

/// The actors that own sockets.
struct Edges {
    links: ActorOwn<Links>,
    datagrams: ActorOwn<Datagrams>,
    callers: ActorOwn<CallerServer>,
    target_client: ActorOwn<TargetClient>,
}

/// State that several actors share.
struct Shared {
    incarnation: u64,
    health: Arc<Health>,
    board: StatusBoard,
    client: Client,
}

fn start(
    stakker: &mut Stakker,
    options: &Sections,
    metrics: &PrometheusHandle,
) -> Result<Node, String> {
    let shared = Shared {
        incarnation: units::unix_ms(SystemTime::now()),
        health: Arc::new(Health::default()),
        board: StatusBoard::new(first_status(&options.node)),
        client: Client::new(options.store.clone(), rand::random()),
    };
    let mut guards = Vec::new();
    let control = actor_new!(stakker, Control, ret_shutdown!(stakker));
    let calls = actor_new!(stakker, Calls, ret_shutdown!(stakker));
    let moves = actor_new!(stakker, Moves, ret_shutdown!(stakker));
    let node_moves = NodeMoves::new(
        options.node.name.clone(),
        options.node.region.clone(),
        options.moves.clone(),
    );
    let node_moves = Share::new(stakker, node_moves);
    let dispatch = actor_new!(stakker, Dispatch, ret_shutdown!(stakker));
    let edges = start_edges(stakker, options, &dispatch, &calls);
    let receivers = Receivers {
        control: control.clone(),
        calls: calls.clone(),
        moves: moves.clone(),
        links: edges.links.clone(),
    };
    call!([dispatch], Dispatch::init(receivers));
    let calls_parts = CallsParts {
        place: place(&options.node),
        incarnation: shared.incarnation,
        options: options.request.clone(),
        links: edges.links.clone(),
        callers: edges.callers.clone(),
        target_client: edges.target_client.clone(),
        control: control.clone(),
        health: Arc::clone(&shared.health),
        decisions: DecisionLog::new(options.log.decisions_per_s, Instant::now()),
        node_moves: node_moves.clone(),
        moves: moves.clone(),
    };
    call!([calls], Calls::init(calls_parts));
    let store_answers = fwd_to!([moves], handle_store_answer() as (StoreAnswer));
    let store_answers = channel(stakker, store_answers, &mut guards);
    let moves_parts = MovesParts {
        node: options.node.name.clone(),
        address: options.node.peer_address,
        options: options.moves.clone(),
        node_moves,
        control: control.clone(),
        store: MoveStore::start(&shared.client, options.node.name.clone(), store_answers),
    };
    call!([moves], Moves::init(moves_parts));

    let store_events = fwd_to!([control], handle_store_event() as (StoreEvent));
    let store_events = channel(stakker, store_events, &mut guards);
    let outputs = fwd_to!([dispatch], handle_control_output() as (ControlOutput));
    let control_parts = control_parts(options, &shared, &edges, store_events, outputs);
    call!([control], Control::init(control_parts));

    let local_events = fwd_to!([calls], handle_local_event() as (LocalEvent));
    let local_events = channel(stakker, local_events, &mut guards);
    local::start(
        options.node.local_address,
        &local_events,
        &shared.health,
        metrics,
    )?;
    let accepted = fwd_to!([control], handle_accepted_change() as (AcceptedChange));
    let accepted = channel(stakker, accepted, &mut guards);
    let operator = start_operator(options, &shared, accepted)?;

    let stopping_parts = StoppingParts {
        control: control.clone(),
        calls: calls.clone(),
        callers: edges.callers.clone(),
        health: shared.health,
        timeout: options.node.stop_timeout(),
        key_lag: Duration::from_millis(options.request.key_view_lag_ms.into()),
    };
    let stopping = actor!(
        stakker,
        Stopping::init(stopping_parts),
        ret_shutdown!(stakker)
    );
    let stop = fwd_to!([stopping], begin() as (StopRequested));
    signals::watch(channel(stakker, stop, &mut guards))?;
    Ok(Node {
        _edges: edges,
        _control: control,
        _calls: calls,
        _moves: moves,
        _dispatch: dispatch,
        _stopping: stopping,
        _guards: guards,
        _operator: operator,
    })
}

fn channel<M: Send + 'static>(
    stakker: &mut Stakker,
    receiver: Fwd<M>,
    guards: &mut Vec<ChannelGuard>,
) -> Channel<M> {
    let (channel, guard) = Channel::new(stakker, receiver);
    guards.push(guard);
    channel
}

fn start_edges(
    stakker: &mut Stakker,
    options: &Sections,
    dispatch: &Actor<Dispatch>,
    calls: &Actor<Calls>,
) -> Edges {
    let limits = options.edge.http_limits();
    let link_events = fwd_to!([dispatch], handle_link_event() as (LinkEvent));
    let link_options = link_options(options);
    let received = fwd_to!([dispatch], handle_datagram() as (Received));
    let address = options.node.peer_address;
    let emulation = Emulation::new(&options.emulation);
    let caller_events = fwd_to!([calls], handle_caller_event() as (CallerEvent));
    let caller_options = CallerOptions::new(options.node.caller_address, &options.edge);
    let results = fwd_to!([calls], handle_target_event() as (TargetEvent));
    Edges {
        links: actor!(
            stakker,
            Links::init(link_options, link_events),
            ret_shutdown!(stakker)
        ),
        datagrams: actor!(
            stakker,
            Datagrams::init(address, emulation, received),
            ret_shutdown!(stakker)
        ),
        callers: actor!(
            stakker,
            CallerServer::init(caller_options, caller_events),
            ret_shutdown!(stakker)
        ),
        target_client: actor!(
            stakker,
            TargetClient::init(limits, MAX_TARGET_CONNECTIONS, results),
            ret_shutdown!(stakker)
        ),
    }
}

fn control_parts(
    options: &Sections,
    shared: &Shared,
    edges: &Edges,
    store_events: Channel<StoreEvent>,
    outputs: Fwd<ControlOutput>,
) -> ControlParts {
    let now = Instant::now();
    let address = options.node.peer_address;
    let data_centre = options.node.data_centre.clone();
    ControlParts {
        membership: membership(options, shared.incarnation, now),
        distribution: Distribution::new(options.distribution.clone(), address, rand::random(), now),
        datagrams: edges.datagrams.clone(),
        links: edges.links.clone(),
        store: StoreIo::start(shared.client.clone(), data_centre, store_events),
        health: Arc::clone(&shared.health),
        board: shared.board.clone(),
        is_baseline: options.emulation.baseline,
        outputs,
    }
}

fn link_options(options: &Sections) -> LinkOptions {
    LinkOptions {
        address: options.node.peer_address,
        connect_timeout: options.edge.link_connect_timeout(),
        stall_detector: StallDetector::new(&options.request),
        idle_timeout: options.edge.idle_timeout(),
        queue_limit_bytes: options.edge.link_queue_bytes,
        max_incoming: options.edge.max_incoming_links,
        emulation: Emulation::new(&options.emulation),
    }
}

fn place(options: &NodeOptions) -> Place {
    Place {
        node: options.name.clone(),
        region: options.region.clone(),
        data_centre: options.data_centre.clone(),
    }
}

fn membership(options: &Sections, incarnation: u64, now: Instant) -> Membership {
    let own = EndpointRecord {
        node: options.node.name.clone(),
        peer_address: options.node.peer_address,
        region: options.node.region.clone(),
        data_centre: options.node.data_centre.clone(),
        incarnation,
        sequence: 0,
        state: EndpointState::Starting,
        target: None,
        revision: 0,
    };
    Membership::new(options.membership.clone(), own, rand::random(), now)
}

fn first_status(options: &NodeOptions) -> NodeStatus {
    NodeStatus {
        node: options.name.clone(),
        region: options.region.clone(),
        data_centre: options.data_centre.clone(),
        state: "starting".into(),
        revision: 0,
        digest: String::new(),
        members: 0,
        store_down_since_unix_ms: None,
        operations: Vec::new(),
    }
}

fn start_operator(
    options: &Sections,
    shared: &Shared,
    accepted: Channel<AcceptedChange>,
) -> Result<Server, String> {
    let (client, board) = (shared.client.clone(), shared.board.clone());
    let reader = client.clone();
    let (requests, receiver) = operator::channel(&options.operator);
    let hooks = Hooks {
        on_accepted: Box::new(move |stored| {
            let (copies, counted) = mpsc::sync_channel(1);
            accepted.send(AcceptedChange {
                stored: Box::new(stored.clone()),
                copies,
            });
            counted.recv_timeout(COPIES_TIMEOUT).unwrap_or(0)
        }),
        status: Box::new(move || board.get()),
        report: Box::new(move |format| report::render(&reader, format)),
    };
    let worker_options = options.operator.clone();
    thread::spawn(move || worker::run(receiver, client, hooks, &worker_options));
    let address = options.node.operator_address;
    Server::start(address, &options.operator, requests, Arc::new(|| {}))
        .map_err(|error| error.to_string())
}

/// Installs the recorder of the metrics page, and the descriptions of all registered metrics.
fn install_metrics() -> Result<PrometheusHandle, String> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| error.to_string())?;
    for plugin in kernel::plugins() {
        for metric in plugin.metrics {
            match metric.kind {
                MetricKind::Counter => metrics::describe_counter!(metric.name, metric.help),
                MetricKind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
                MetricKind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
            }
        }
    }
    Ok(handle)
}
