//! Graceful shutdown of a node while requests of very different run times are in progress.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::CallerRequest;
use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use xtask::harness::process::Signal;
use xtask::soak::testbed::SERVICES;
use xtask::soak::testbed::Testbed;

use crate::setup::HOST;
use crate::setup::await_served;
use crate::setup::request;
use crate::setup::start;
use crate::setup::testbed_options;

/// Time after SIGTERM at which the platform kills a node.
const GRACE: Duration = Duration::from_secs(6);
/// Deadline of a request that may outlast the node.
const LONG: Duration = Duration::from_secs(12);

/// Starts a mesh with a route whose timeout is longer than the time for a graceful shutdown.
fn start_with_long_route(test: &str, slots: u32) -> Testbed {
    start_nodes_with_long_route(test, slots, 1)
}

fn start_nodes_with_long_route(test: &str, slots: u32, nodes: usize) -> Testbed {
    let mut options = testbed_options(test, nodes);
    options.slots = slots;
    let testbed = start(&options);
    let mut routes = [
        wire::route("batch", HOST, "/batch/", "desk", true),
        wire::route("orders", HOST, "/orders/", "desk", false),
    ];
    for route in &mut routes {
        route["timeoutS"] = LONG.as_secs().into();
        route["targetLatencyS"] = LONG.as_secs().into();
    }
    let config = wire::config(testbed.config.0 + 1, &routes, &SERVICES);
    testbed.store.put("config", "main", config);
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, "/batch/1");
    }
    testbed
}

fn batch_request(number: usize, run_ms: u64) -> CallerRequest {
    let path = format!("/batch/takes/{run_ms}");
    request(number, &path, false, LONG)
}

/// Waits for the outcomes of requests that were sent ahead on a connection.
fn receive_all(connection: &mut Connection, sent: &[CallerRequest]) -> Vec<Outcome> {
    let sent_at = Instant::now();
    sent.iter()
        .map(|sent| connection.receive(sent, sent_at).0)
        .collect()
}

/// Load: on each of six connections, two short requests wait behind one that outlasts the node.
/// Guards against answers that are ready before the SIGTERM and are dropped when the node ends,
/// since the request in front of them on their connection is unfinished.
#[test]
fn answers_behind_an_unfinished_request_are_delivered_before_the_node_ends() {
    let mut testbed = start_with_long_route("held_answers", 18);
    let node = testbed.vms[0].callers;
    let sent = [(1, 9_000), (2, 200), (3, 200)].map(|(number, ms)| batch_request(number, ms));
    let mut connections: Vec<Connection> = (0..6)
        .map(|_| Connection::open(node).expect("the node accepts connections"))
        .collect();
    for connection in &mut connections {
        for request in &sent {
            connection.send_ahead(request).expect("the node reads");
        }
    }
    thread::sleep(Duration::from_millis(600));

    testbed.vms[0]
        .node
        .signal(Signal::Term)
        .expect("the node runs");
    let outcomes: Vec<Vec<Outcome>> = connections
        .iter_mut()
        .map(|connection| receive_all(connection, &sent))
        .collect();

    for outcomes in &outcomes {
        let [Outcome::Failed(502), Outcome::Served, Outcome::Served] = outcomes.as_slice() else {
            panic!("{outcomes:?}");
        };
    }
    testbed.vms[0]
        .node
        .wait_exit(GRACE)
        .expect("the node ends in time");
}

/// Load: two orders wait for the only slot of a target, which a request holds that outlasts the
/// node. Guards against orders that are started when the requests in front of them are interrupted,
/// and against orders that end without an answer although they have not run.
#[test]
fn requests_in_the_queue_of_a_node_that_ends_are_refused_as_not_run() {
    let mut testbed = start_with_long_route("queued_orders", 1);
    let node = testbed.vms[0].callers;
    let long = batch_request(1, 9_000);
    let orders = [2, 3].map(|number| request(number, "/orders/takes/100", true, LONG));
    let mut front = Connection::open(node).expect("the node accepts connections");
    front.send_ahead(&long).expect("the node reads");
    thread::sleep(Duration::from_millis(200));
    let mut waiting = orders.each_ref().map(|order| {
        let mut connection = Connection::open(node).expect("the node accepts connections");
        connection.send_ahead(order).expect("the node reads");
        connection
    });

    testbed.vms[0]
        .node
        .signal(Signal::Term)
        .expect("the node runs");
    let started = Instant::now();
    let outcomes: Vec<Outcome> = waiting
        .iter_mut()
        .zip(&orders)
        .map(|(connection, order)| connection.receive(order, started).0)
        .collect();

    assert!(started.elapsed() > GRACE / 2, "the orders were not queued");
    for (outcome, order) in outcomes.iter().zip(&orders) {
        assert!(matches!(outcome, Outcome::NotRun), "{outcome:?}");
        assert_eq!(testbed.ledger.runs_of(&order.id), 0, "{}", order.id);
    }
}

/// Load: a caller that sends ahead goes on sending on its connection late in a shutdown. Guards against
/// a request that is started then and cut off by the end of the node while its target is at work,
/// and against the refusal of one that ends in time.
#[test]
fn a_stopping_node_starts_only_requests_that_end_before_it() {
    let mut testbed = start_with_long_route("late_start", 8);
    let node = testbed.vms[0].callers;
    let first = batch_request(1, 4_300);
    let long = batch_request(2, 3_000);
    let mut short = batch_request(3, 200);
    short.deadline = Duration::from_millis(1_500);
    let mut connection = Connection::open(node).expect("the node accepts connections");
    connection.send_ahead(&first).expect("the node reads");
    thread::sleep(Duration::from_millis(100));

    testbed.vms[0]
        .node
        .signal(Signal::Term)
        .expect("the node runs");
    thread::sleep(Duration::from_millis(3_300));
    connection.send_ahead(&long).expect("the node reads");
    connection.send_ahead(&short).expect("the node reads");
    let sent = [first, long, short];
    let outcomes = receive_all(&mut connection, &sent);

    let [Outcome::Served, Outcome::NotRun, Outcome::Served] = outcomes.as_slice() else {
        panic!("{outcomes:?}");
    };
    assert_eq!(testbed.ledger.runs_of(&sent[1].id), 0);
}

/// Load: in calm, callers whose connections have a request in progress send orders late in the grace
/// time, once at the node of the target and once at another. Guards against orders that are passed on
/// and cut off at the end of the node without the target's answer.
#[test]
fn a_stopping_node_answers_every_order_that_it_passes_on() {
    for stopped in [0, 1] {
        let mut testbed = start_nodes_with_long_route("late_orders", 16, 2);
        let node = testbed.vms[stopped].callers;
        let mut sent = Vec::new();
        let mut connections = Vec::new();
        for caller in 0..6_u64 {
            let number = 10 * (usize::try_from(caller).expect("small") + 1);
            let first = batch_request(number, 2_900 + 300 * caller);
            let mut connection = Connection::open(node).expect("the node accepts connections");
            connection.send_ahead(&first).expect("the node reads");
            let (run_ms, deadline) = match caller % 2 {
                0 => (300 + 100 * caller, Duration::from_millis(1_600)),
                _ => (500 + 500 * caller, LONG),
            };
            let order = request(
                number + 1,
                &format!("/orders/takes/{run_ms}"),
                true,
                deadline,
            );
            sent.push([first, order]);
            connections.push(connection);
        }
        thread::sleep(Duration::from_millis(100));

        testbed.vms[stopped]
            .node
            .signal(Signal::Term)
            .expect("the node runs");
        thread::sleep(Duration::from_millis(2_800));
        for (connection, [_, order]) in connections.iter_mut().zip(&sent) {
            // The node may have closed the connection.
            let _ = connection.send_ahead(order);
        }
        let outcomes: Vec<Vec<Outcome>> = connections
            .iter_mut()
            .zip(&sent)
            .map(|(connection, sent)| receive_all(connection, sent))
            .collect();

        for (outcomes, [first, order]) in outcomes.iter().zip(&sent) {
            let [Outcome::Served, late] = outcomes.as_slice() else {
                panic!("node {stopped}, {}: {outcomes:?}", first.path);
            };
            let is_answered = matches!(late, Outcome::Served);
            let runs = testbed.ledger.runs_of(&order.id);
            let path = &order.path;
            assert!(is_answered || runs == 0, "node {stopped}, {path}: {late:?}");
        }
    }
}
