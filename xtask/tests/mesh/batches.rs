//! Callers that send many requests on one connection before the first one is answered.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::CallerRequest;
use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use xtask::soak::testbed::SERVICES;
use xtask::soak::testbed::Testbed;

use crate::setup::HOST;
use crate::setup::await_served;
use crate::setup::request;
use crate::setup::send;
use crate::setup::start;
use crate::setup::testbed_options;

/// Time for which a node that has just started defers requests without a target, and a margin.
const START_DEFERRAL: Duration = Duration::from_millis(1500);
/// Time that the caller of a batch waits for each of its answers.
const BATCH_DEADLINE: Duration = Duration::from_mins(1);

/// Starts a mesh with a route whose service has no target, so that its requests are refused at once.
fn start_with_unserved_route(test: &str) -> Testbed {
    let testbed = start(&testbed_options(test, 1));
    let routes = [
        wire::route("nowhere", HOST, "/nowhere/", "unserved", true),
        wire::route("orders", HOST, "/orders/", "desk", false),
    ];
    let services = [SERVICES[0], "unserved"];
    let config = wire::config(testbed.config.0 + 1, &routes, &services);
    testbed.store.put("config", "main", config);
    await_served(&testbed, testbed.vms[0].callers, "/orders/1");
    // A node that has just started defers requests without a target instead of refusing them.
    thread::sleep(START_DEFERRAL);
    testbed
}

/// Sends a batch on one connection behind an order, so that the node reads much of it before it
/// answers, and returns how many requests of the batch were refused as not run.
fn refused_of_batch(testbed: &Testbed, size: usize) -> usize {
    let node = testbed.vms[0].callers;
    let order = request(0, "/orders/takes/800", true, Duration::from_secs(2));
    let batch: Vec<CallerRequest> = (0..size)
        .map(|number| CallerRequest {
            id: number.to_string(),
            ..request(number, "/nowhere/1", false, BATCH_DEADLINE)
        })
        .collect();
    let mut connection = Connection::open(node).expect("the node accepts connections");
    connection.send_ahead(&order).expect("the node reads");
    let mut sender = connection.try_clone().expect("the connection is open");
    let sent = batch.clone();
    let sending = thread::spawn(move || {
        sent.iter()
            .all(|request| sender.send_ahead(request).is_ok())
    });
    let started = Instant::now();
    let (outcome, _) = connection.receive(&order, started);
    assert!(matches!(outcome, Outcome::Served), "{outcome:?}");
    let refused = batch
        .iter()
        .take_while(|request| matches!(connection.receive(request, started).0, Outcome::NotRun))
        .count();
    assert!(sending.join().expect("the sender ends"), "the node reads");
    refused
}

/// Load: a caller sends 2,000 requests ahead that are all refused at once, while an order runs. Guards
/// against a node that calls itself once for each of them, overflows its stack, and ends with the
/// requests of all other callers.
#[test]
fn a_batch_that_is_refused_at_once_does_not_end_the_node() {
    let testbed = start_with_unserved_route("refused_batch");
    let node = testbed.vms[0].callers;
    let order = request(1, "/orders/takes/1500", true, Duration::from_secs(2));
    let ordering = thread::spawn(move || send(node, &order));

    let refused = refused_of_batch(&testbed, 2_000);

    assert_eq!(refused, 2_000);
    let outcome = ordering.join().expect("the caller ends");
    assert!(matches!(outcome, Outcome::Served), "{outcome:?}");
}

/// Load: a caller sends 100,000 requests ahead, far more than the node buffers. Guards against a caller
/// that waits for answers without end, since the node does not read on once it has worked off what
/// it had buffered.
#[test]
fn a_batch_above_the_input_buffer_is_read_to_its_end() {
    let testbed = start_with_unserved_route("large_batch");

    let refused = refused_of_batch(&testbed, 100_000);

    assert_eq!(refused, 100_000);
}
