//! Quotas of client accounts over all nodes.

use std::fs::OpenOptions;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_allowance::NodeName;
use hemlockfall_allowance::slots;
use hemlockfall_standins::caller as wire;
use hemlockfall_standins::target::Target;
use serde_json::json;
use xtask::harness::process::Signal;
use xtask::soak::testbed::SERVICES;
use xtask::soak::testbed::Testbed;

use crate::setup::HOST;
use crate::setup::await_served;
use crate::setup::start;
use crate::setup::testbed_options;

const ACCOUNT: &str = "press";
const KEY: &str = "press-key-1";
const RATE_PER_S: usize = 40;
const BURST: usize = 20;
const WINDOW: Duration = Duration::from_secs(5);
/// Requests of the account that may reach targets in a window: 1.1 times rate x window + burst, and
/// 20 more.
const BOUND: usize = (RATE_PER_S * 5 + BURST) * 11 / 10 + 20;
const QUOTA_SETTINGS: &str = "quota_window_s = 5\nquota_overshoot = 0.1\nquota_allowance = 20\n";
/// Time until the nodes have read a changed settings file, and have a configuration.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time within which half of the quota is usable again: the time of the shares that a new holder
/// does not know, and as much again for a busy machine, on which processes pause for seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(40);
/// Callers at each node; each sends more than a node's part of the quota.
const CALLERS: usize = 3;

/// Callers of the account that send one request after the other until they are stopped.
struct Load {
    is_stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<(Instant, u16)>>>,
}

impl Load {
    fn start(nodes: &[SocketAddr]) -> Self {
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let callers = nodes.repeat(CALLERS).into_iter().map(|node| {
            let is_stopped = Arc::clone(&is_stopped);
            thread::spawn(move || {
                let mut ends = Vec::new();
                while !is_stopped.load(Ordering::SeqCst) {
                    let status = status_of(node, ends.len()).unwrap_or_default();
                    ends.push((Instant::now(), status));
                    thread::sleep(Duration::from_millis(20));
                }
                ends
            })
        });
        Self {
            callers: callers.collect(),
            is_stopped,
        }
    }

    /// Stops the callers and returns when each request ended and its status.
    fn stop(self) -> Vec<(Instant, u16)> {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller ends"))
            .collect()
    }
}

/// Sends a request with the account's key and returns the status of the response.
fn status_of(node: SocketAddr, number: usize) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let id = format!("quota-{number}-{:?}", thread::current().id());
    let request = format!(
        "GET /stock/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: 1500\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    let text = String::from_utf8_lossy(&response);
    text.split(' ').nth(1)?.parse().ok()
}

/// Gives the nodes the bounds of quotas and a configuration with an account.
fn set_quota(testbed: &Testbed, directory: &std::path::Path) {
    for vm in &testbed.vms {
        let path = directory.join(format!("{}.toml", vm.name));
        let mut file = OpenOptions::new()
            .append(true)
            .open(path)
            .expect("the settings file exists");
        file.write_all(QUOTA_SETTINGS.as_bytes())
            .expect("the settings file can be written");
    }
    thread::sleep(APPLY_TIME);
    let routes = [wire::route("stock", HOST, "/stock/", "desk", true)];
    let mut config = wire::config(testbed.config.0 + 1, &routes, &SERVICES);
    config["tenants"] = json!([{
        "name": ACCOUNT, "apiKeys": [KEY], "ratePerS": RATE_PER_S, "burst": BURST,
    }]);
    testbed.store.put("config", "main", config);
    thread::sleep(APPLY_TIME);
}

/// Returns the largest number of requests that reached all targets together in a window.
fn busiest_window(testbed: &Testbed, from: Instant) -> usize {
    let targets = testbed.vms.iter().filter_map(|vm| vm.target.as_ref());
    let mut arrivals: Vec<Instant> = targets.flat_map(Target::arrivals).collect();
    arrivals.retain(|at| *at >= from);
    arrivals.sort();
    (0..arrivals.len())
        .map(|first| arrivals.partition_point(|at| *at < arrivals[first] + WINDOW) - first)
        .max()
        .unwrap_or(0)
}

/// Returns the number of requests that reached the targets in the last window.
fn recent(testbed: &Testbed) -> usize {
    let now = Instant::now();
    let targets = testbed.vms.iter().filter_map(|vm| vm.target.as_ref());
    let arrivals = targets.flat_map(Target::arrivals);
    arrivals
        .filter(|at| now.duration_since(*at) < WINDOW)
        .count()
}

fn served_between(ends: &[(Instant, u16)], from: Instant, to: Instant) -> usize {
    let served = ends
        .iter()
        .filter(|(at, status)| *at >= from && *at < to && *status == 200);
    served.count()
}

/// Load: one account sends several times its quota at all nodes while the node that holds its quota
/// is killed, and later restarted. Guards against nodes that send the whole quota each when they
/// lose the holder, against a new holder that grants again what the old one has granted, and against
/// an account that is refused for good.
#[test]
fn an_account_keeps_to_its_quota_when_the_holder_is_lost() {
    let options = testbed_options("quota_holder", 4);
    let mut testbed = start(&options);
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, "/stock/1");
    }
    set_quota(&testbed, &options.directory);
    let names: Vec<NodeName> = testbed
        .vms
        .iter()
        .map(|vm| vm.name.as_str().into())
        .collect();
    let slot = usize::from(slots::slot_of(&ACCOUNT.into()));
    let holder_name = slots::holders(&names).expect("there are nodes")[slot].clone();
    let holder = names.iter().position(|name| *name == holder_name);
    let holder = holder.expect("the holder is a node");
    let nodes: Vec<SocketAddr> = testbed.vms.iter().map(|vm| vm.callers).collect();
    let begun = Instant::now();
    let load = Load::start(&nodes);
    thread::sleep(Duration::from_secs(6));

    testbed.vms[holder]
        .node
        .signal(Signal::Kill)
        .expect("the node runs");
    let killed = Instant::now();
    thread::sleep(Duration::from_secs(9));
    testbed.vms[holder].restart_node().expect("the node starts");
    let restarted = Instant::now();
    let recovers = || recent(&testbed) >= RATE_PER_S * 5 / 2;
    while !recovers() && restarted.elapsed() < RECOVERY_TIME {
        thread::sleep(Duration::from_millis(250));
    }
    let is_recovered = restarted.elapsed() < RECOVERY_TIME;
    let ends = load.stop();

    let busiest = busiest_window(&testbed, begun);
    let calm = served_between(&ends, begun, killed);
    let lost = served_between(&ends, killed + Duration::from_secs(4), restarted);
    let refused = ends.iter().filter(|(_, status)| *status == 429).count();
    println!("busiest {busiest}, served {calm}, {lost}, refused {refused}");
    assert!(busiest <= BOUND, "{busiest} requests in a window");
    assert!(refused > 100, "{refused} requests refused");
    assert!(calm > 0, "none served in calm");
    assert!(lost > 0, "none served without the holder");
    assert!(is_recovered, "the account stays below half of its quota");
}
