//! Connections that close, carry bytes that answer no request, or wait to be accepted.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::target::ConnectionBehaviour;
use xtask::harness::process::Signal;

use crate::setup::await_served;
use crate::setup::lost_requests;
use crate::setup::request;
use crate::setup::start;
use crate::setup::testbed_options;

/// Descriptor limit of a node, low enough for callers to exhaust it.
const NODE_DESCRIPTORS: u32 = 64;

/// Sends non-idempotent requests from four callers to one target with a single slot, so that its
/// connection is reused right after each answer; returns the lost requests.
fn lost_at_a_target(test: &str, connection_behaviour: ConnectionBehaviour) -> Vec<String> {
    let mut options = testbed_options(test, 1);
    options.slots = 1;
    options.run_time = Duration::from_millis(20);
    options.connection_behaviour = connection_behaviour;
    let testbed = start(&options);
    let node = testbed.vms[0].callers;
    await_served(&testbed, node, "/stock/1");
    lost_requests(&[node; 4], "/orders/1", Duration::from_secs(2))
}

/// Guards against a request that is sent on a connection that the target has closed together with
/// its previous answer.
#[test]
fn a_connection_that_has_ended_gets_no_request() {
    let lost = lost_at_a_target("ended_connection", ConnectionBehaviour::End);

    assert!(lost.is_empty(), "{lost:#?}");
}

/// Guards against a second copy of an answer that arrives while the connection is in use again: the
/// next caller would get an answer to another request.
#[test]
fn a_late_duplicate_answer_reaches_no_caller() {
    let copies = ConnectionBehaviour::DuplicateAnswer(Duration::from_millis(8));

    let lost = lost_at_a_target("second_copy", copies);

    assert!(lost.is_empty(), "{lost:#?}");
}

/// Sends requests on new connections without a pause until connections are refused; returns those
/// whose connection ended without an answer after the request had been sent.
fn cut_off_requests_until_refused(node: SocketAddr) -> Vec<String> {
    let mut cut = Vec::new();
    for number in 0.. {
        let sent = request(number, "/stock/1", false, Duration::from_secs(1));
        let Ok(mut connection) = Connection::open(node) else {
            break;
        };
        if let (Outcome::Cut { after }, _) = connection.send(&sent) {
            cut.push(format!("{}: cut off after {after:?}", sent.id));
        }
    }
    cut
}

/// Load: 16 callers open a connection for each request while the node shuts down. Guards against a
/// process that exits while connections that the kernel has accepted are still unread; soak seed
/// 577608 saw callers cut off 0 to 1 ms after their request.
#[test]
fn a_graceful_shutdown_answers_accepted_connections() {
    let options = testbed_options("planned-stop", 3);
    let mut testbed = start(&options);
    let node = testbed.vms[0].callers;
    await_served(&testbed, node, "/stock/1");
    let callers: Vec<_> = (0..16)
        .map(|_| thread::spawn(move || cut_off_requests_until_refused(node)))
        .collect();

    testbed.vms[0]
        .node
        .signal(Signal::Term)
        .expect("the node can be signalled");
    let cut: Vec<String> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("a caller does not panic"))
        .collect();

    assert!(cut.is_empty(), "{cut:#?}");
    let violations = testbed.finish();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against connections that stay unaccepted after the node ran out of descriptors: without a
/// later check, only the next new connection would make the node accept them.
#[test]
fn connections_that_found_no_descriptor_are_accepted_later() {
    let mut options = testbed_options("descriptors", 1);
    options.descriptors = Some(NODE_DESCRIPTORS);
    let testbed = start(&options);
    let node = testbed.vms[0].callers;
    await_served(&testbed, node, "/stock/1");
    let idle: Vec<Connection> = (0..NODE_DESCRIPTORS)
        .map(|_| Connection::open(node).expect("the kernel accepts the connection"))
        .collect();
    thread::sleep(Duration::from_millis(300));
    let mut last = Connection::open(node).expect("the kernel accepts the connection");

    drop(idle);
    let sent = request(2, "/stock/2", false, Duration::from_secs(1));
    let (ended, _) = last.send(&sent);

    assert!(matches!(ended, Outcome::Served), "{ended:?}");
}
