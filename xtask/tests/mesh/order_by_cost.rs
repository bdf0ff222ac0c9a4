//! Requests of several priorities at targets that order them by cost.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::Outcome;
use serde_json::Value;
use xtask::harness::process::Signal;
use xtask::soak::testbed::SERVICES;
use xtask::soak::testbed::Testbed;

use crate::setup::HOST;
use crate::setup::RequestEnd;
use crate::setup::await_served;
use crate::setup::metrics_of;
use crate::setup::request;
use crate::setup::send;
use crate::setup::start;
use crate::setup::testbed_options;

/// Difference of the served shares from which on it counts as a disadvantage of urgent requests.
const MAX_DISADVANTAGE: f64 = 0.05;
const URGENT: &str = "/urgent/takes/20";
const LONG: &str = "/long/takes/300";
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(30);

fn priority_route(name: &str, priority: u8, target_latency_s: f64) -> Value {
    let prefix = format!("/{name}/");
    let mut route = wire::route(name, HOST, &prefix, "desk", true);
    route["priority"] = priority.into();
    route["targetLatencyS"] = target_latency_s.into();
    route
}

/// Writes a configuration with an urgent and a less urgent route to one service, and has all nodes
/// order requests by cost.
fn order_by_cost(testbed: &mut Testbed, directory: &std::path::Path) {
    let routes = [
        priority_route("urgent", 0, 0.15),
        priority_route("long", 2, 1.0),
    ];
    let version = testbed.config.0 + 2;
    let config = wire::config(version, &routes, &SERVICES);
    testbed.store.put("config", "main", config);
    for vm in &mut testbed.vms {
        let path = directory.join(format!("{}.toml", vm.name));
        let mut file = OpenOptions::new()
            .append(true)
            .open(path)
            .expect("the node has settings");
        writeln!(file, "order = \"cost\"").expect("the settings are written");
        vm.node.signal(Signal::Reload).expect("the node runs");
    }
    for vm in &testbed.vms {
        await_served(testbed, vm.callers, URGENT);
    }
}

/// Starts callers that send one request after the other until they are stopped.
fn start_callers(
    nodes: &[SocketAddr],
    path: &'static str,
    is_stopped: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<RequestEnd>>> {
    nodes
        .iter()
        .map(|node| {
            let (node, is_stopped) = (*node, Arc::clone(is_stopped));
            thread::spawn(move || {
                let mut ends = Vec::new();
                while !is_stopped.load(Ordering::SeqCst) {
                    let sent = request(ends.len(), path, false, DEADLINE);
                    let ended = send(node, &sent);
                    ends.push((sent.id, ended));
                    thread::sleep(PAUSE);
                }
                ends
            })
        })
        .collect()
}

fn join(callers: Vec<JoinHandle<Vec<RequestEnd>>>) -> Vec<RequestEnd> {
    callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("the caller ends"))
        .collect()
}

fn served_share(ends: &[RequestEnd]) -> f64 {
    let count = |number: usize| f64::from(u32::try_from(number).expect("a small number"));
    let served = ends
        .iter()
        .filter(|(_, ended)| matches!(ended, Outcome::Served));
    count(served.count()) / count(ends.len().max(1))
}

/// Load: long, less urgent requests fill the two targets of a service, and one of the two VMs is lost
/// while urgent requests arrive. Guards against urgent requests that are served less often than the
/// others, against a refused request that runs after all, and against refusals that no metric shows.
#[test]
fn urgent_requests_are_not_worse_off_after_the_loss_of_a_target() {
    let mut options = testbed_options("order_by_cost", 4);
    options.slots = 4;
    let mut testbed = start(&options);
    order_by_cost(&mut testbed, &options.directory);
    let nodes = [0, 1, 3].map(|vm| testbed.vms[vm].callers);
    let is_stopped = Arc::default();
    let long = start_callers(&nodes.repeat(6), LONG, &is_stopped);
    thread::sleep(Duration::from_secs(1));

    testbed.vms[2]
        .node
        .signal(Signal::Kill)
        .expect("the node runs");
    testbed.vms[2].target.take();
    thread::sleep(Duration::from_secs(1));
    let urgent = start_callers(&nodes.repeat(2), URGENT, &is_stopped);
    thread::sleep(Duration::from_secs(4));
    is_stopped.store(true, Ordering::SeqCst);
    let (urgent, long) = (join(urgent), join(long));

    let (urgent_share, long_share) = (served_share(&urgent), served_share(&long));
    assert!(
        urgent_share >= long_share - MAX_DISADVANTAGE,
        "{urgent_share} of {} urgent, {long_share} of {} others",
        urgent.len(),
        long.len()
    );
    let ran: Vec<_> = urgent
        .iter()
        .chain(&long)
        .filter(|(id, ended)| matches!(ended, Outcome::NotRun) && testbed.ledger.runs_of(id) > 0)
        .collect();
    assert!(ran.is_empty(), "{ran:#?}");
    testbed.vms.remove(2);
    let metrics = metrics_of(&testbed);
    assert!(metrics.contains("given_up_total{"), "{metrics}");
    assert!(metrics.contains("slots_reserved"), "{metrics}");
}
