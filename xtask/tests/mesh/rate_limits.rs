//! Targets that limit the rate of the requests of all nodes together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::target::Target;
use xtask::soak::testbed::Testbed;

use crate::setup::await_served;
use crate::setup::request;
use crate::setup::send;
use crate::setup::start;
use crate::setup::testbed_options;

/// Time after the first naming from which on a limit binds.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Window over which the requests at a target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that are allowed beyond one and a half times the limit.
const ALLOWANCE: f64 = 5.0;
/// Callers at each node.
const CALLERS: usize = 4;
const PATH: &str = "/stock/1";
const DEADLINE: Duration = Duration::from_millis(800);

/// Callers that send one request after the other until they are stopped.
struct Load {
    is_stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<(Instant, Outcome, Duration)>>>,
}

impl Load {
    /// Starts `CALLERS` callers at each node.
    fn start(testbed: &Testbed) -> Self {
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let nodes: Vec<SocketAddr> = testbed.vms.iter().map(|vm| vm.callers).collect();
        let callers = (0..nodes.len() * CALLERS)
            .map(|caller| {
                let node = nodes[caller % nodes.len()];
                let is_stopped = Arc::clone(&is_stopped);
                thread::spawn(move || {
                    let mut ends = Vec::new();
                    while !is_stopped.load(Ordering::SeqCst) {
                        let sent = request(ends.len(), PATH, false, DEADLINE);
                        let sent_at = Instant::now();
                        let outcome = send(node, &sent);
                        ends.push((sent_at, outcome, sent_at.elapsed()));
                    }
                    ends
                })
            })
            .collect();
        Self {
            is_stopped,
            callers,
        }
    }

    /// Stops the callers and returns when each request was sent, its outcome and how long it took.
    fn stop(self) -> Vec<(Instant, Outcome, Duration)> {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller ends"))
            .collect()
    }
}

fn target(testbed: &Testbed, vm: usize) -> &Target {
    testbed.vms[vm].target.as_ref().expect("the target runs")
}

/// Returns the largest number of requests in any window that began at `from` or later.
fn busiest_window(target: &Target, from: Instant) -> usize {
    target.busiest_window(from, WINDOW)
}

/// Returns the number of requests that a target may get in a window.
fn allowed(limit_per_s: f64) -> usize {
    let allowed = 1.5 * limit_per_s * WINDOW.as_secs_f64() + ALLOWANCE;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is small and positive"
    )]
    let allowed = allowed as usize;
    allowed
}

/// Load: callers at four nodes send to a service with two targets, of which one limits its rate for
/// some seconds. Guards against a limited target that goes on getting requests as its free slots
/// allow, against requests that fail although the other target has room, and against a limit that
/// outlasts its last naming.
#[test]
fn a_target_gets_no_more_requests_than_it_limits_all_nodes_to() {
    let testbed = start(&testbed_options("limited_target", 4));
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, PATH);
    }
    let load = Load::start(&testbed);
    thread::sleep(Duration::from_secs(1));

    target(&testbed, 0).set_rate_limit(Some("20.5"));
    let named_at = Instant::now();
    thread::sleep(STABILITY_WINDOW + WINDOW);
    let busiest = busiest_window(target(&testbed, 0), named_at + STABILITY_WINDOW);
    target(&testbed, 0).set_rate_limit(None);
    let withdrawn_at = Instant::now();
    thread::sleep(WINDOW);
    let busiest_afterwards = busiest_window(target(&testbed, 0), withdrawn_at);
    let ends = load.stop();

    assert!(busiest <= allowed(20.5), "{busiest} requests in a window");
    assert!(busiest > 40, "only {busiest} requests in a window");
    assert!(busiest_afterwards > 400, "only {busiest_afterwards}");
    let served = ends
        .iter()
        .filter(|(_, outcome, _)| matches!(outcome, Outcome::Served))
        .count();
    assert!(
        served * 100 >= ends.len() * 99,
        "{served} of {}",
        ends.len()
    );
}

/// Load: both targets of a service limit their rate at once. Guards against windows over the limits,
/// and against callers that wait for their deadline in place of being refused at once.
#[test]
fn requests_beyond_the_limits_of_all_targets_are_refused_at_once() {
    let testbed = start(&testbed_options("limited_service", 4));
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, PATH);
    }
    let load = Load::start(&testbed);
    thread::sleep(Duration::from_secs(1));

    for vm in [0, 2] {
        target(&testbed, vm).set_rate_limit(Some("10"));
    }
    let bound_at = Instant::now() + STABILITY_WINDOW;
    thread::sleep(STABILITY_WINDOW + WINDOW);
    let ends = load.stop();

    for vm in [0, 2] {
        let busiest = busiest_window(target(&testbed, vm), bound_at);
        assert!(busiest <= allowed(10.0), "{busiest} requests in a window");
        assert!(busiest > 20, "only {busiest} requests in a window");
    }
    let bound: Vec<_> = ends.iter().filter(|(at, ..)| *at >= bound_at).collect();
    let refused: Vec<_> = bound
        .iter()
        .filter(|(_, outcome, _)| matches!(outcome, Outcome::NotRun))
        .collect();
    assert!(
        refused.len() > bound.len() / 2,
        "{} of {}",
        refused.len(),
        bound.len()
    );
    let slow = refused.iter().filter(|(_, _, took)| *took > DEADLINE / 2);
    assert_eq!(slow.count(), 0, "refusals that took long");
    let failed = bound
        .iter()
        .find(|(_, outcome, _)| !matches!(outcome, Outcome::Served | Outcome::NotRun));
    assert!(failed.is_none(), "{failed:?}");
}

/// Load: the only target of a service limits its rate, and its node is restarted while callers go on.
/// Guards against a node that has lost the limit with its process and fills the target's slots.
#[test]
fn a_limit_outlasts_the_restart_of_the_targets_node() {
    let mut options = testbed_options("limit_and_restart", 2);
    options.run_time = Duration::from_millis(150);
    let mut testbed = start(&options);
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, PATH);
    }
    let load = Load::start(&testbed);
    target(&testbed, 0).set_rate_limit(Some("0.5"));
    let bound_at = Instant::now() + STABILITY_WINDOW;
    thread::sleep(STABILITY_WINDOW + WINDOW / 4);

    testbed.vms[0].restart_node().expect("the node starts");
    thread::sleep(WINDOW);
    let busiest = busiest_window(target(&testbed, 0), bound_at);
    let ends = load.stop();

    assert!(busiest <= allowed(0.5), "{busiest} requests in a window");
    assert!(!ends.is_empty());
}

/// Guards against a limit that is misread or kept when its value changes: one that rises, falls to
/// zero, cannot be read, or is gone with the process that named it.
#[test]
fn a_limit_follows_the_values_that_the_target_names() {
    let mut testbed = start(&testbed_options("limit_values", 2));
    let node = testbed.vms[1].callers;
    await_served(&testbed, node, PATH);
    let load = Load::start(&testbed);

    let mut busiest = Vec::new();
    for value in ["4", "30", "many", "0"] {
        target(&testbed, 0).set_rate_limit(Some(value));
        // The limit before holds until the next answer.
        thread::sleep(Duration::from_millis(1_500));
        let named_at = Instant::now();
        thread::sleep(WINDOW);
        busiest.push(busiest_window(target(&testbed, 0), named_at));
    }
    let ledger = Arc::clone(&testbed.ledger);
    testbed.vms[0]
        .restart_target(&ledger)
        .expect("the target starts");
    await_served(&testbed, node, PATH);
    let restarted_at = Instant::now();
    thread::sleep(Duration::from_secs(1));
    let unlimited = busiest_window(target(&testbed, 0), restarted_at);
    load.stop();

    assert!((10..=allowed(4.0)).contains(&busiest[0]), "{busiest:?}");
    for risen in &busiest[1..3] {
        assert!((80..=allowed(30.0)).contains(risen), "{busiest:?}");
    }
    assert!(busiest[3] <= allowed(0.0), "{busiest:?}");
    assert!(unlimited > 100, "{unlimited} requests");
}
