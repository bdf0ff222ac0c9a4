//! A store that comes back from an older copy: what was written since is lost, revisions are given out
//! again, and the operator writes its objects again.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::store::StoreFault;
use serde_json::Value;
use xtask::soak::testbed::CONFIG_APPLY_TIMEOUT;
use xtask::soak::testbed::Testbed;

use crate::deregistration::await_config;
use crate::deregistration::kill;
use crate::deregistration::runs_after_late_heartbeats;
use crate::deregistration::start_with_one_target;
use crate::setup::POLL;
use crate::setup::await_served;
use crate::setup::start;
use crate::setup::testbed_options;

/// Time in which the nodes write again what the store has lost.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time in which a rollout must end, and in which its outcome must be stored after that.
const FINISH_IN: Duration = Duration::from_secs(2);
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes objects of no concern until the store has a revision.
fn raise_revision(testbed: &Testbed, revision: u64) {
    while testbed.store.revision() < revision {
        testbed.store.put("notes", "filler", Value::Null);
    }
}

/// Waits until the store has the outcome of a rollout.
fn await_outcome(testbed: &Testbed) -> bool {
    let started = Instant::now();
    while started.elapsed() < OUTCOME_TIMEOUT {
        if testbed.store.status("rollouts", "feed") != Value::Null {
            return true;
        }
        thread::sleep(POLL);
    }
    false
}

/// Guards against an acknowledged deregistration that the store has lost and that no node writes
/// again: after the loss of all nodes a late heartbeat brings the target back.
#[test]
fn a_deregistration_that_the_store_has_lost_is_written_again() {
    let mut testbed = start_with_one_target("restored_deregistration");
    let copy = testbed.store.copy();
    let deregistered = testbed.vms[0].target.take().expect("the target runs");
    assert!(deregistered.deregister(false), "the call is acknowledged");

    testbed.store.restore(copy);
    thread::sleep(REWRITE_TIMEOUT);
    for vm in 0..2 {
        kill(&mut testbed, vm);
    }
    for vm in &mut testbed.vms {
        vm.restart_node().expect("the node starts");
    }
    await_config(&testbed);
    let runs = runs_after_late_heartbeats(&testbed, &deregistered);

    assert!(runs.is_empty(), "{runs:#?}");
}

/// Guards against a watch that continues from a revision of the lost content: the store has given it
/// out again for other changes, and the configuration among them is never noticed.
#[test]
fn a_configuration_among_revisions_given_out_again_is_in_force_in_time() {
    let mut testbed = start(&testbed_options("restored_config", 3));
    await_served(&testbed, testbed.vms[0].callers, "/feed/1");
    let copy = testbed.store.copy();
    let lost_revision = testbed.store.revision() + 20;
    raise_revision(&testbed, lost_revision);
    testbed.write_config();
    await_served(
        &testbed,
        testbed.vms[2].callers,
        &format!("/probe-{}/1", testbed.config.0),
    );

    testbed.store.set_fault(StoreFault::Busy);
    thread::sleep(Duration::from_millis(300));
    testbed.store.restore(copy);
    testbed.write_config();
    raise_revision(&testbed, lost_revision + 20);
    testbed.store.set_fault(StoreFault::None);
    thread::sleep(CONFIG_APPLY_TIMEOUT);

    let version = testbed.config.0;
    for vm in 0..testbed.vms.len() {
        assert_eq!(testbed.probe(vm, version), Some(true), "node {vm}");
    }
}

/// Guards against a rollout that is ignored because the store gives it a lower revision than before,
/// and against an outcome that the store has lost and that no node writes again.
#[test]
fn the_outcome_of_a_rollout_that_the_store_has_lost_is_written_again() {
    let testbed = start(&testbed_options("restored_rollout", 3));
    await_served(&testbed, testbed.vms[0].callers, "/feed/1");
    let copy = testbed.store.copy();
    raise_revision(&testbed, testbed.store.revision() + 20);
    let rollout = wire::rollout("feed", "v2", FINISH_IN);
    testbed.store.put("rollouts", "feed", rollout.clone());
    assert!(await_outcome(&testbed), "before the loss");
    let outcome = testbed.store.status("rollouts", "feed");

    testbed.store.restore(copy);
    testbed.store.put("rollouts", "feed", rollout);
    let is_stored = await_outcome(&testbed);

    assert!(is_stored, "after the loss");
    assert_eq!(testbed.store.status("rollouts", "feed"), outcome);
}

/// Guards against nodes that cannot find each other after the store has lost their entries and all of
/// them have ended.
#[test]
fn entries_of_nodes_that_the_store_has_lost_are_written_again() {
    let mut options = testbed_options("restored_entries", 3);
    options.seed = 2;
    let mut testbed = start(&options);
    let version = testbed.config.0;
    await_served(&testbed, testbed.vms[0].callers, "/feed/1");

    testbed.store.restore_empty();
    testbed.write_config();
    assert!(testbed.config.0 > version);
    thread::sleep(REWRITE_TIMEOUT);

    let entries = testbed.store.count("hemlockfall-nodes");
    assert_eq!(entries, testbed.vms.len());
}
