//! Deregistrations of targets while nodes are killed and the store is unavailable.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::store::StoreFault;
use hemlockfall_standins::target::Target;
use xtask::harness::process::Signal;
use xtask::soak::testbed::Testbed;

use crate::setup::POLL;
use crate::setup::SERVE_TIMEOUT;
use crate::setup::await_served;
use crate::setup::request;
use crate::setup::send;
use crate::setup::start;
use crate::setup::testbed_options;

/// Time within which the platform expects an acknowledgement, once the store is available.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts a mesh of two nodes of which the first has the only target of its service.
pub fn start_with_one_target(test: &str) -> Testbed {
    let testbed = start(&testbed_options(test, 2));
    await_served(&testbed, testbed.vms[1].callers, "/stock/1");
    testbed
}

pub fn kill(testbed: &mut Testbed, vm: usize) {
    testbed.vms[vm]
        .node
        .signal(Signal::Kill)
        .expect("the node runs");
}

/// Sends orders to both nodes, and a heartbeat from before the deregistration before each of them;
/// returns the orders that reached the target.
pub fn runs_after_late_heartbeats(testbed: &Testbed, deregistered: &Target) -> Vec<String> {
    let mut sent = Vec::new();
    for number in 0..60 {
        deregistered.send_late_heartbeat();
        let node = testbed.vms[number % 2].callers;
        let order = request(number, "/orders/9", true, Duration::from_millis(100));
        send(node, &order);
        sent.push(order.id);
    }
    sent.retain(|id| testbed.ledger.runs_of(id) > 0);
    sent
}

/// Waits until all nodes have a configuration again, which shows that they have read the store.
pub fn await_config(testbed: &Testbed) {
    let started = Instant::now();
    for vm in &testbed.vms {
        loop {
            let unknown = request(0, "/unknown/1", false, Duration::from_secs(1));
            if matches!(send(vm.callers, &unknown), Outcome::NoRoute) {
                break;
            }
            let name = &vm.name;
            assert!(
                started.elapsed() < SERVE_TIMEOUT,
                "{name} has no configuration"
            );
            thread::sleep(POLL);
        }
    }
}

/// Deregisters a target and restarts its node while the store has a fault; returns the orders that
/// reached the target afterwards.
fn runs_after_deregistration_and_restart(
    testbed: &mut Testbed,
    fault_at_restart: StoreFault,
) -> Vec<String> {
    let deregistered = testbed.vms[0].target.take().expect("the target runs");
    assert!(
        deregistered.deregister(false),
        "the deregistration is acknowledged"
    );
    testbed.store.set_fault(fault_at_restart);
    thread::sleep(Duration::from_millis(300));
    kill(testbed, 0);
    testbed.vms[0].restart_node().expect("the node starts");
    runs_after_late_heartbeats(testbed, &deregistered)
}

/// Guards against a deregistered target that gets requests again after its node has restarted,
/// because an old heartbeat arrives before the node has learned of the deregistration.
#[test]
fn a_deregistered_target_gets_no_requests_after_a_restart() {
    let mut testbed = start_with_one_target("left_target");

    let runs = runs_after_deregistration_and_restart(&mut testbed, StoreFault::None);

    assert!(runs.is_empty(), "{runs:#?}");
}

/// Guards against a deregistered target that gets requests again after its node has restarted while
/// the store refuses all calls, so that the node can learn of the deregistration from other nodes
/// only.
#[test]
fn a_deregistered_target_gets_no_requests_after_a_restart_without_the_store() {
    let mut testbed = start_with_one_target("left_target_no_store");

    let runs = runs_after_deregistration_and_restart(&mut testbed, StoreFault::Busy);

    assert!(runs.is_empty(), "{runs:#?}");
}

/// Guards against an acknowledged deregistration that no process knows of any more: the target
/// deregisters while the store is silent, all nodes are killed, and a late heartbeat arrives at the
/// new process.
#[test]
fn an_acknowledged_deregistration_outlives_all_nodes() {
    let mut testbed = start_with_one_target("left_target_all_killed");
    let deregistered = testbed.vms[0].target.take().expect("the target runs");
    testbed.store.set_fault(StoreFault::Unresponsive);

    let is_acknowledged = deregistered.deregister(false);
    thread::sleep(Duration::from_millis(150));
    for vm in 0..2 {
        kill(&mut testbed, vm);
    }
    for vm in &mut testbed.vms {
        vm.restart_node().expect("the node starts");
    }
    testbed.store.set_fault(StoreFault::None);
    await_config(&testbed);
    let runs = runs_after_late_heartbeats(&testbed, &deregistered);

    assert!(!is_acknowledged || runs.is_empty(), "{runs:#?}");
}

/// Guards against a deregistration that is acknowledged before the store holds it, at the first
/// call or at a repeated one; a target that is not acknowledged must get no requests either. Once
/// the store is available, a repeated call is acknowledged and also binds after the loss of all
/// nodes.
#[test]
fn a_deregistration_is_acknowledged_once_the_store_holds_it() {
    for by_heartbeat in [false, true] {
        let mut testbed = start_with_one_target(&format!("left_target_unstored_{by_heartbeat}"));
        let deregistered = testbed.vms[0].target.take().expect("the target runs");
        testbed.store.set_fault(StoreFault::Unresponsive);
        assert!(!deregistered.deregister(by_heartbeat), "not stored");
        assert!(!deregistered.deregister(by_heartbeat), "not stored");
        let runs = runs_after_late_heartbeats(&testbed, &deregistered);
        assert!(runs.is_empty(), "{runs:#?}");

        testbed.store.set_fault(StoreFault::None);
        let started = Instant::now();
        while !deregistered.deregister(by_heartbeat) {
            assert!(started.elapsed() < ACKNOWLEDGEMENT_TIMEOUT);
        }
        for vm in &mut testbed.vms {
            vm.restart_node().expect("the node starts");
        }
        await_config(&testbed);
        let runs = runs_after_late_heartbeats(&testbed, &deregistered);

        assert!(runs.is_empty(), "{runs:#?}");
    }
}
