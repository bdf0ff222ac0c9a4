//! Heartbeats of other writers at a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hemlockfall_standins::target::ConnectionBehaviour;
use hemlockfall_standins::target::Run;
use hemlockfall_standins::target::RunObserver;
use hemlockfall_standins::target::Target;
use hemlockfall_standins::target::TargetOptions;
use xtask::harness::ports;
use xtask::soak::testbed::Vm;

use crate::setup::await_served;
use crate::setup::lost_requests;
use crate::setup::start;
use crate::setup::testbed_options;

/// Starts a server that sends heartbeats to a node beside which another target runs; also returns
/// the runs of the server.
fn start_foreign_server(
    vm: &Vm,
    service: &str,
    announced: Option<SocketAddr>,
) -> (Target, Arc<Mutex<Vec<Run>>>) {
    let address = ports::free_address().expect("an address is free");
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let seen = Arc::clone(&runs);
    let observer: RunObserver = Arc::new(move |run| {
        seen.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    });
    let options = TargetOptions {
        instance: "i-foreign".to_owned(),
        service: service.to_owned(),
        version: "v1".to_owned(),
        address,
        announced: announced.unwrap_or(address),
        control: vm.control(),
        heartbeat: Duration::from_millis(100),
        run_time: Duration::from_millis(20),
        slots: 8,
        fails_permille: 0,
        connection_behaviour: ConnectionBehaviour::Keep,
    };
    let server = Target::start(options, observer).expect("the server starts");
    (server, runs)
}

/// Load: orders wait for the slots of a target while another server sends heartbeats to its node:
/// for another service, from another address, or both, also as the first ones after a restart.
/// Guards against orders that are sent to that server, and against a target that is replaced by it.
#[test]
fn heartbeats_of_another_server_change_nothing() {
    let mut options = testbed_options("foreign_heartbeat", 1);
    options.slots = 2;
    options.run_time = Duration::from_millis(100);
    let mut testbed = start(&options);
    let node = testbed.vms[0].callers;
    await_served(&testbed, node, "/stock/1");
    let own_address = testbed.vms[0].announced();
    let cases = [
        ("ledger", None),
        ("desk", None),
        ("ledger", Some(own_address)),
    ];

    for (service, announced) in cases {
        let (_server, runs) = start_foreign_server(&testbed.vms[0], service, announced);
        let lost = lost_requests(&[node; 8], "/orders/1", Duration::from_secs(1));
        testbed.vms[0].restart_node().expect("the node starts");
        await_served(&testbed, node, "/stock/1");
        let lost_later = lost_requests(&[node; 8], "/orders/1", Duration::from_secs(1));

        let case = format!("{service} at {announced:?}");
        assert!(lost.is_empty(), "{case}: {lost:#?}");
        assert!(lost_later.is_empty(), "{case}: {lost_later:#?}");
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        assert!(runs.is_empty(), "{case}: {runs:#?}");
    }
    let violations = testbed.finish();
    assert!(violations.is_empty(), "{violations:#?}");
}
