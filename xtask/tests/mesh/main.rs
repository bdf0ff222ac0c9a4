//! Small meshes of real nodes in situations that violated a guarantee before.

mod accounts;
mod batches;
mod connections;
mod deregistration;
mod explain;
mod foreign_heartbeats;
mod leaving_notices;
mod order_by_cost;
mod placement_limits;
mod quotas;
mod rate_limits;
mod restored_store;
mod setup;
mod stopping;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::store::StoreFault;
use hemlockfall_standins::store::odd_specs;
use xtask::harness::process::Signal;
use xtask::soak::proxy::Mode;
use xtask::soak::testbed::CONFIG_APPLY_TIMEOUT;
use xtask::soak::testbed::SERVICES;

use crate::setup::HOST;
use crate::setup::POLL;
use crate::setup::SERVE_TIMEOUT;
use crate::setup::await_served;
use crate::setup::deregister_target;
use crate::setup::is_served_within;
use crate::setup::join_callers;
use crate::setup::lost_requests;
use crate::setup::metrics_of;
use crate::setup::request;
use crate::setup::send;
use crate::setup::send_all;
use crate::setup::start;
use crate::setup::testbed_options;

/// Guards against calls lost when a replaced VM gets the address of the old one: other nodes know
/// the address under the names of the old and of the new node, open a second link to it, and that
/// link closes the first one with the calls on it.
#[test]
fn a_node_at_a_reused_address_loses_no_calls() {
    let mut options = testbed_options("reused_address", 4);
    options.run_time = Duration::from_millis(300);
    let mut testbed = start(&options);
    let first = testbed.vms[0].callers;
    await_served(&testbed, first, "/stock/1");
    deregister_target(&mut testbed, 0);
    testbed.vms[2]
        .node
        .signal(Signal::Kill)
        .expect("the node runs");
    thread::sleep(Duration::from_secs(4));

    testbed.vms[2]
        .replace_node("n2-new")
        .expect("the node starts");
    await_served(&testbed, first, "/stock/1");
    let others = [0, 1, 3].map(|index| testbed.vms[index].callers);
    let lost = lost_requests(&others.repeat(2), "/orders/1", Duration::from_secs(5));

    assert!(lost.is_empty(), "{lost:#?}");
}

/// Guards against two nodes that start at the same time and never discover each other, because
/// neither was in the list that the other one read from the store.
#[test]
fn nodes_that_start_together_find_each_other() {
    let mut testbed = start(&testbed_options("started_together", 3));
    let first = testbed.vms[0].callers;
    await_served(&testbed, first, "/feed/1");
    deregister_target(&mut testbed, 1);
    for vm in &testbed.vms {
        vm.store_proxy.set_mode(Mode::DropAll);
    }
    thread::sleep(Duration::from_secs(5));
    testbed
        .store
        .set_fault(StoreFault::Slow(Duration::from_millis(400)));

    testbed.add_vm("a", "desk", false).expect("the node starts");
    testbed.add_vm("b", "feed", false).expect("the node starts");
    let is_served = is_served_within(testbed.vms[3].callers, "/feed/1", SERVE_TIMEOUT);

    assert!(
        is_served,
        "a does not reach the only target of the service, beside b"
    );
}

/// Guards against a node that was paused and then runs calls whose callers have disconnected.
#[test]
fn calls_that_waited_at_a_paused_node_do_not_run() {
    let mut testbed = start(&testbed_options("frozen_node", 2));
    let node = testbed.vms[1].callers;
    await_served(&testbed, node, "/stock/1");
    testbed.vms[0]
        .node
        .signal(Signal::Stop)
        .expect("the node runs");
    let callers = send_all(node, 0..6, "/stock/2", false, Duration::from_millis(250));
    let sent = join_callers(callers);
    thread::sleep(Duration::from_millis(900));

    testbed.vms[0]
        .node
        .signal(Signal::Continue)
        .expect("the node runs");
    thread::sleep(Duration::from_secs(1));

    let late_runs: Vec<_> = sent
        .iter()
        .filter(|(id, _)| testbed.ledger.runs_of(id) > 0)
        .collect();
    assert!(late_runs.is_empty(), "{late_runs:#?}");
}

/// Guards against a node that abandons the runs at a node paused for longer than the keep-alive
/// time of a link, although the requests' deadlines leave time for the answers. The requests are
/// non-idempotent, so they cannot be retried.
#[test]
fn runs_at_a_briefly_paused_node_are_not_abandoned() {
    let mut testbed = start(&testbed_options("silent_node", 2));
    let node = testbed.vms[1].callers;
    await_served(&testbed, node, "/orders/1");
    testbed.vms[0]
        .node
        .signal(Signal::Stop)
        .expect("the node runs");
    let callers = send_all(node, 0..6, "/orders/2", true, Duration::from_millis(1900));
    thread::sleep(Duration::from_millis(1100));

    testbed.vms[0]
        .node
        .signal(Signal::Continue)
        .expect("the node runs");
    let ended = join_callers(callers);

    let unserved: Vec<_> = ended
        .iter()
        .filter(|(_, ended)| !matches!(ended, Outcome::Served))
        .collect();
    assert!(unserved.is_empty(), "{unserved:#?}");
    let runs = ended.iter().map(|(id, _)| testbed.ledger.runs_of(id));
    assert_eq!(runs.collect::<Vec<_>>(), [1; 6]);
}

/// Guards against a target that no other node uses: its node published it before the links to the
/// others were up, and the `Hello` frames on the links were sent before the target was there.
#[test]
fn a_target_that_starts_while_links_connect_gets_requests() {
    let mut testbed = start(&testbed_options("opens_early", 2));
    let other = testbed.vms[1].callers;
    await_served(&testbed, other, "/stock/1");
    testbed.vms[1]
        .link_proxy
        .set_mode(Mode::Delay(Duration::from_millis(250)));

    for round in 0..3 {
        testbed.vms[0].restart_node().expect("the node starts");
        thread::sleep(Duration::from_secs(1));

        let is_served = is_served_within(other, "/stock/1", Duration::from_secs(3));
        assert!(is_served, "round {round}");
    }
}

/// Guards against a node that was paused while a bad version was rolled back and, once resumed,
/// sends canary requests to that version under the permission that it got before.
#[test]
fn a_resumed_node_sends_nothing_to_a_version_stopped_meanwhile() {
    let mut testbed = start(&testbed_options("paused_permission", 6));
    let paused = testbed.vms[1].callers;
    await_served(&testbed, paused, "/stock/1");
    let finish_in = Duration::from_secs(15);
    let order = wire::rollout("desk", "v2-bad", finish_in);
    testbed.ledger.record_rollout("v2-bad");
    testbed.store.put("rollouts", "desk", order);
    let ledger = std::sync::Arc::clone(&testbed.ledger);
    testbed.vms[0]
        .start_bad_version("v2-bad", &ledger)
        .expect("the target starts");
    thread::sleep(Duration::from_millis(800));
    let others = [2, 3, 4, 5].map(|index| testbed.vms[index].callers);
    testbed.vms[1]
        .node
        .signal(Signal::Stop)
        .expect("the node runs");
    let started = Instant::now();
    while testbed.store.status("rollouts", "desk")["state"] != "rolled_back" {
        assert!(started.elapsed() < finish_in, "the bad version is stopped");
        lost_requests(&others, "/stock/1", Duration::from_millis(300));
    }
    let runs_before = ledger.bad_version_runs();
    let waiting = send_all(
        paused,
        0..40,
        "/stock/3",
        false,
        Duration::from_millis(1900),
    );
    thread::sleep(Duration::from_millis(100));

    testbed.vms[1]
        .node
        .signal(Signal::Continue)
        .expect("the node runs");
    join_callers(waiting);

    let runs = ledger.bad_version_runs() - runs_before;
    assert_eq!(runs, 0, "runs of the stopped version");
}

/// Load: non-idempotent requests at all nodes while one node after the other is shut down
/// gracefully and started again. Guards against a hand-over in which the old and the new process
/// are both active for a moment and a request is sent twice.
#[test]
fn non_idempotent_requests_run_once_during_graceful_restarts() {
    let mut testbed = start(&testbed_options("planned_restarts", 4));
    let caller_addresses: Vec<SocketAddr> = testbed.vms.iter().map(|vm| vm.callers).collect();
    for node in &caller_addresses {
        await_served(&testbed, *node, "/orders/1");
    }
    let callers = caller_addresses.repeat(2);
    let load = thread::spawn(move || lost_requests(&callers, "/orders/1", Duration::from_secs(8)));

    for vm in &mut testbed.vms[..2] {
        vm.node.signal(Signal::Term).expect("the node runs");
        vm.node
            .wait_exit(Duration::from_secs(6))
            .expect("the node ends in time");
        vm.restart_node().expect("the node starts");
        thread::sleep(Duration::from_millis(500));
    }
    let lost = load.join().expect("the callers end");

    let failed: Vec<_> = lost.iter().filter(|end| !end.contains("NotSent")).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    let violations = testbed.finish();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a configuration that has a route of an unknown kind and is applied in part, or
/// removes the configuration in force.
#[test]
fn an_unreadable_configuration_keeps_the_previous_one_in_force() {
    let mut testbed = start(&testbed_options("unknown_kind", 2));
    let node = testbed.vms[0].callers;
    await_served(&testbed, node, "/stock/1");
    let mut unknown = wire::route("odd", HOST, "/odd/", "desk", true);
    unknown["type"] = "sometimes".into();
    let version = testbed.config.0 + 1;

    testbed.store.put(
        "config",
        "main",
        wire::config(version, &[unknown], &SERVICES),
    );
    thread::sleep(Duration::from_secs(2));

    let odd = send(node, &request(1, "/odd/1", false, Duration::from_secs(1)));
    assert!(matches!(odd, Outcome::NoRoute), "{odd:?}");
    assert!(is_served_within(node, "/stock/2", POLL));
    assert!(metrics_of(&testbed).contains("objects_refused_total 1"));
    testbed.write_config();
    let shown = format!("/probe-{}/x", testbed.config.0);
    assert!(is_served_within(node, &shown, CONFIG_APPLY_TIMEOUT));
}

/// Guards against nodes that end, or stop following the store, because another writer left objects
/// there that can't be decoded: nested deeply, with a number or a port out of range.
#[test]
fn odd_objects_in_the_store_do_not_hide_the_others() {
    let mut testbed = start(&testbed_options("odd_objects", 2));
    let node = testbed.vms[1].callers;
    await_served(&testbed, node, "/stock/1");
    for kind in ["config", "rollouts", "hemlockfall-nodes"] {
        for (index, spec) in odd_specs().iter().enumerate() {
            testbed.store.put_odd(kind, &format!("odd-{index}"), spec);
        }
    }

    testbed.write_config();
    let shown = format!("/probe-{}/x", testbed.config.0);

    for vm in 0..2 {
        let node = testbed.vms[vm].callers;
        assert!(is_served_within(node, &shown, CONFIG_APPLY_TIMEOUT), "{vm}");
        assert!(testbed.vms[vm].node.exited().is_none(), "{vm} has ended");
    }
    for vm in &mut testbed.vms {
        vm.restart_node().expect("the node starts");
    }
    await_served(&testbed, node, &shown);
}

/// Guards against a long request id that is truncated on a link, so that the target's answer counts as
/// that of another request, and against an id above the limit that is accepted.
#[test]
fn long_request_ids_are_carried_whole_or_refused() {
    let testbed = start(&testbed_options("long_ids", 2));
    let other = testbed.vms[1].callers;
    await_served(&testbed, other, "/stock/1");
    let mut order = request(1, "/orders/1", true, Duration::from_secs(2));

    order.id = "x".repeat(256);
    let longest = send(other, &order);
    order.id.push('x');
    let too_long = send(other, &order);

    assert!(matches!(longest, Outcome::Served), "{longest:?}");
    assert!(matches!(too_long, Outcome::Failed(400)), "{too_long:?}");
    assert_eq!(testbed.ledger.runs_of(&order.id), 0);
}

/// Guards against a restarted node that refuses requests until it has its first configuration,
/// while callers retry only once.
#[test]
fn requests_before_the_first_configuration_are_served() {
    let mut testbed = start(&testbed_options("early_requests", 2));
    let node = testbed.vms[1].callers;
    await_served(&testbed, node, "/stock/1");
    testbed.vms[1].restart_node().expect("the node starts");

    let mut ended = Outcome::NotSent;
    let started = Instant::now();
    while matches!(ended, Outcome::NotSent) && started.elapsed() < SERVE_TIMEOUT {
        let sent = request(2, "/stock/2", false, Duration::from_secs(3));
        ended = send(node, &sent);
    }

    assert!(matches!(ended, Outcome::Served), "{ended:?}");
}
