//! Targets that announce in their answers that they leave.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::target::Target;
use xtask::soak::testbed::Testbed;

use crate::setup::SERVE_TIMEOUT;
use crate::setup::await_served;
use crate::setup::request;
use crate::setup::send;
use crate::setup::start;
use crate::setup::testbed_options;

/// Time after the announcement in which requests may still be on their way to the target.
const IN_TRANSIT: Duration = Duration::from_millis(300);
const PATH: &str = "/stock/1";

fn target(testbed: &Testbed, vm: usize) -> &Target {
    testbed.vms[vm].target.as_ref().expect("the target runs")
}

/// Sends requests to all nodes for a time, and heartbeats of a target from before them; returns the
/// outcomes.
fn send_for(testbed: &Testbed, vm: usize, duration: Duration) -> Vec<Outcome> {
    let started = Instant::now();
    let mut outcomes = Vec::new();
    while started.elapsed() < duration {
        target(testbed, vm).send_late_heartbeat();
        let node = testbed.vms[outcomes.len() % testbed.vms.len()].callers;
        let sent = request(outcomes.len(), PATH, false, Duration::from_millis(500));
        outcomes.push(send(node, &sent));
    }
    outcomes
}

/// Returns the number of requests that reached a target after a moment.
fn arrivals_after(target: &Target, moment: Instant) -> usize {
    let arrivals = target.arrivals();
    arrivals.iter().filter(|at| **at > moment).count()
}

/// Announces in its answers that a target leaves, and waits until one of them was delivered.
fn announce(testbed: &Testbed, vm: usize) -> Instant {
    let before = target(testbed, vm).arrivals().len();
    target(testbed, vm).set_leaving(Some("1"));
    let started = Instant::now();
    while target(testbed, vm).arrivals().len() == before {
        assert!(
            started.elapsed() < SERVE_TIMEOUT,
            "the target gets a request"
        );
        send_for(testbed, vm, Duration::from_millis(20));
    }
    thread::sleep(IN_TRANSIT);
    Instant::now()
}

/// Guards against requests that reach a target after an answer of it has announced that it leaves:
/// also from other nodes, after later answers without the announcement, and after a restart of its
/// node while heartbeats from before arrive and the target sends no other call.
#[test]
fn a_target_that_announces_its_stop_gets_no_more_requests() {
    let mut testbed = start(&testbed_options("leaving_target", 4));
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, PATH);
    }

    let announced = announce(&testbed, 0);
    target(&testbed, 0).set_leaving(None);
    let outcomes = send_for(&testbed, 0, Duration::from_secs(2));
    let unserved = outcomes
        .iter()
        .find(|outcome| !matches!(outcome, Outcome::Served));
    assert!(unserved.is_none(), "{unserved:?}");
    assert_eq!(arrivals_after(target(&testbed, 0), announced), 0);

    testbed.vms[0].restart_node().expect("the node starts");
    send_for(&testbed, 0, Duration::from_secs(4));
    assert_eq!(arrivals_after(target(&testbed, 0), announced), 0);
}

/// Guards against an announcement that outlasts the process of the target, which may start again
/// under its id, and against a target taken out of service by a value that announces nothing.
#[test]
fn a_target_that_starts_again_is_back_in_service() {
    let mut testbed = start(&testbed_options("leaving_and_back", 2));
    let node = testbed.vms[1].callers;
    await_served(&testbed, node, PATH);
    for odd in ["0", "yes", ""] {
        target(&testbed, 0).set_leaving(Some(odd));
        await_served(&testbed, node, PATH);
    }
    await_served(&testbed, node, PATH);

    announce(&testbed, 0);
    let sent = request(1, PATH, false, Duration::from_secs(2));
    let sent_at = Instant::now();
    let outcome = send(node, &sent);
    assert!(matches!(outcome, Outcome::NotRun), "{outcome:?}");
    assert!(
        sent_at.elapsed() < Duration::from_millis(500),
        "refused late"
    );

    let ledger = Arc::clone(&testbed.ledger);
    testbed.vms[0]
        .restart_target(&ledger)
        .expect("the target starts");
    await_served(&testbed, node, PATH);
}
