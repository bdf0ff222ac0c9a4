//! Targets that requests must not reach, or not too often: outside of home regions, in evacuated data
//! centres, and cold ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::store::StoreFault;
use hemlockfall_standins::target::Target;
use serde_json::json;
use xtask::harness::process::Signal;
use xtask::soak::testbed::SERVICES;
use xtask::soak::testbed::Testbed;

use crate::setup::HOST;
use crate::setup::POLL;
use crate::setup::SERVE_TIMEOUT;
use crate::setup::await_served;
use crate::setup::deregister_target;
use crate::setup::lost_requests;
use crate::setup::request;
use crate::setup::send;
use crate::setup::start;
use crate::setup::testbed_options;

/// Time within which an evacuation binds.
const EVACUATE: Duration = Duration::from_secs(5);
/// Cold rate of the targets, and the most requests that may reach a cold one within a second.
const COLD_PER_S: u64 = 13;
const MAX_PER_SECOND: usize = 27;
const DEADLINE: Duration = Duration::from_millis(800);
const SECOND: Duration = Duration::from_secs(1);
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);

/// Starts four VMs: one of each service in each of two data centres, which are regions of their own.
pub fn start_two_regions(test: &str) -> Testbed {
    let mut options = testbed_options(test, 4);
    options.has_two_regions = true;
    let testbed = start(&options);
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, "/stock/1");
    }
    testbed
}

/// Writes a configuration with a route whose requests only the region `east` may serve, and a cold rate.
pub fn write_limits(testbed: &mut Testbed) {
    let version = testbed.config.0 + 2;
    let mut home = wire::route("home", HOST, "/home/", "desk", true);
    home["allowedRegions"] = json!(["east"]);
    let routes = [home, wire::route("stock", HOST, "/stock/", "desk", true)];
    let mut config = wire::config(version, &routes, &SERVICES);
    for service in config["services"].as_array_mut().expect("a list") {
        service["coldPerS"] = COLD_PER_S.into();
    }
    testbed.store.put("config", "main", config);
    testbed.config = (version, Instant::now());
    for vm in &testbed.vms {
        await_served(testbed, vm.callers, "/home/1");
    }
}

fn target(testbed: &Testbed, vm: usize) -> &Target {
    testbed.vms[vm].target.as_ref().expect("the target runs")
}

pub fn arrivals_since(testbed: &Testbed, vm: usize, since: Instant) -> usize {
    let arrivals = target(testbed, vm).arrivals();
    arrivals.iter().filter(|at| **at >= since).count()
}

/// Waits until requests reach a target again.
fn is_reached(testbed: &Testbed, vm: usize, since: Instant) -> bool {
    let started = Instant::now();
    while started.elapsed() < SERVE_TIMEOUT {
        if arrivals_since(testbed, vm, since) > 0 {
            return true;
        }
        thread::sleep(POLL);
    }
    false
}

/// Callers that send one request after the other until the load is dropped.
struct Load {
    is_stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(nodes: &[SocketAddr], path: &'static str) -> Self {
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let callers = nodes
            .iter()
            .map(|node| {
                let (node, is_stopped) = (*node, Arc::clone(&is_stopped));
                thread::spawn(move || {
                    for number in 0.. {
                        if is_stopped.load(Ordering::SeqCst) {
                            return;
                        }
                        send(node, &request(number, path, false, DEADLINE));
                        thread::sleep(PAUSE);
                    }
                })
            })
            .collect();
        Self {
            is_stopped,
            callers,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for caller in self.callers.drain(..) {
            // A caller's panic concerns no check.
            let _ = caller.join();
        }
    }
}

/// Guards against a request that is served outside its home regions once their only target is gone.
#[test]
fn requests_stay_in_their_home_regions_when_these_have_no_target() {
    let mut testbed = start_two_regions("home_regions");
    write_limits(&mut testbed);
    let nodes: Vec<SocketAddr> = testbed.vms.iter().map(|vm| vm.callers).collect();
    let written = Instant::now();
    let lost = lost_requests(&nodes[..2], "/home/1", Duration::from_secs(1));
    let outside_before = arrivals_since(&testbed, 0, written);

    deregister_target(&mut testbed, 2);
    thread::sleep(Duration::from_secs(1));
    let ended = send(nodes[0], &request(1, "/home/2", false, DEADLINE));

    assert!(lost.is_empty(), "{lost:#?}");
    assert!(matches!(ended, Outcome::NotRun), "{ended:?}");
    assert_eq!(outside_before, 0, "before the loss");
    assert_eq!(arrivals_since(&testbed, 0, written), 0, "after the loss");
    let other = send(nodes[0], &request(2, "/stock/2", false, DEADLINE));
    assert!(matches!(other, Outcome::Served), "{other:?}");
}

/// Guards against a request that reaches a target of an evacuated data centre, in particular after its
/// node has restarted while the store is unavailable, and against an evacuation that never ends.
#[test]
fn an_evacuated_target_gets_nothing_until_the_evacuation_ends() {
    let mut testbed = start_two_regions("evacuation");
    let nodes: Vec<SocketAddr> = testbed.vms.iter().map(|vm| vm.callers).collect();
    let load = Load::start(&nodes, "/stock/1");
    testbed.store.put("evacuations", "a", json!({}));
    thread::sleep(EVACUATE);
    let evacuated = Instant::now();
    let moved = send(nodes[0], &request(1, "/stock/2", false, DEADLINE));

    testbed.store.set_fault(StoreFault::Unresponsive);
    testbed.vms[0].restart_node().expect("the node starts");
    thread::sleep(EVACUATE);
    let reached = arrivals_since(&testbed, 0, evacuated);
    testbed.store.set_fault(StoreFault::None);
    testbed.store.delete("evacuations", "a");
    let ended = Instant::now();
    let is_reached_again = is_reached(&testbed, 0, ended);
    drop(load);

    assert!(matches!(moved, Outcome::Served), "{moved:?}");
    assert_eq!(reached, 0);
    assert!(is_reached_again);
}

/// Load: more requests than the cold rate at the only target of a service. Guards against a cold target
/// that gets too many requests in a second after its node was paused, when the reports that wait at the
/// node are from before, and against one that gets few for longer than it is cold.
#[test]
fn a_target_that_became_cold_during_a_pause_of_its_node_gets_few_requests() {
    let mut testbed = start_two_regions("cold_target");
    write_limits(&mut testbed);
    deregister_target(&mut testbed, 2);
    let callers = [testbed.vms[0].callers, testbed.vms[1].callers].repeat(8);
    let started = Instant::now();
    let load = Load::start(&callers, "/stock/1");
    thread::sleep(SECOND);
    drop(load);
    let warm = target(&testbed, 0).busiest_window(started, SECOND);
    let node = &mut testbed.vms[0].node;
    node.signal(Signal::Stop).expect("the node runs");
    let load = Load::start(&callers, "/stock/1");
    thread::sleep(Duration::from_millis(1500));

    target(&testbed, 0).set_cold(Duration::from_secs(4));
    let resumed = Instant::now();
    let node = &mut testbed.vms[0].node;
    node.signal(Signal::Continue).expect("the node runs");
    thread::sleep(Duration::from_millis(3900));
    let busiest = target(&testbed, 0).busiest_window(resumed, SECOND);
    let all = arrivals_since(&testbed, 0, resumed);
    thread::sleep(SECOND);
    let later = Instant::now();
    thread::sleep(SECOND);
    let warmed = target(&testbed, 0).busiest_window(later, SECOND);
    drop(load);

    assert!(warm > MAX_PER_SECOND, "{warm} before");
    assert!(
        busiest <= MAX_PER_SECOND,
        "{busiest} in a second while cold"
    );
    assert!(all >= MAX_PER_SECOND, "{all} while cold");
    assert!(warmed > MAX_PER_SECOND, "{warmed} after");
    assert!(target(&testbed, 0).health_checks() > 0);
}
