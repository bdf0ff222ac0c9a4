//! Testbeds of real nodes, and callers that return the outcomes of their requests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller::CallerRequest;
use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::target::ConnectionBehaviour;
use xtask::soak::testbed::MEMORY_MB;
use xtask::soak::testbed::Testbed;
use xtask::soak::testbed::TestbedOptions;

pub const HOST: &str = "mesh.example";
/// Time within which a newly started or changed mesh must serve.
pub const SERVE_TIMEOUT: Duration = Duration::from_secs(12);
pub const POLL: Duration = Duration::from_millis(50);
/// Number of request outcomes, and of lines of each node's log, in a failure message.
pub const LOG_LINES: usize = 30;

pub fn testbed_options(test: &str, nodes: usize) -> TestbedOptions {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join("mesh")
        .join(test);
    std::fs::create_dir_all(&directory).expect("the directory can be made");
    TestbedOptions {
        seed: 1,
        nodes,
        callers_per_node: 0,
        run_time: Duration::from_millis(15),
        slots: 8,
        connection_behaviour: ConnectionBehaviour::Keep,
        descriptors: None,
        has_two_regions: false,
        has_accounts: false,
        memory_mb: MEMORY_MB,
        directory,
    }
}

pub fn start(options: &TestbedOptions) -> Testbed {
    // The start is tried twice: another program may take a port between its choice and its use.
    Testbed::start(options)
        .or_else(|_| Testbed::start(options))
        .expect("the mesh can be started")
}

/// Creates a request for `path`; a request that may run at most once has a body.
pub fn request(
    number: usize,
    path: &str,
    is_non_idempotent: bool,
    deadline: Duration,
) -> CallerRequest {
    CallerRequest {
        id: format!("{path}-{number}-{:?}", thread::current().id()),
        host: HOST.to_owned(),
        path: path.to_owned(),
        body: if is_non_idempotent {
            b"order".to_vec()
        } else {
            Vec::new()
        },
        deadline,
    }
}

pub fn send(node: SocketAddr, sent: &CallerRequest) -> Outcome {
    match Connection::open(node) {
        Ok(mut connection) => connection.send(sent).0,
        Err(_) => Outcome::NotSent,
    }
}

/// Waits until a path is served through a node; otherwise returns the outcomes of the requests.
pub fn served_within(node: SocketAddr, path: &str, bound: Duration) -> Result<(), Vec<Outcome>> {
    let started = Instant::now();
    let mut ends = Vec::new();
    while started.elapsed() < bound {
        let sent = request(ends.len() + 1, path, false, Duration::from_secs(1));
        match send(node, &sent) {
            Outcome::Served => return Ok(()),
            ended => ends.push(ended),
        }
        thread::sleep(POLL);
    }
    Err(ends)
}

pub fn is_served_within(node: SocketAddr, path: &str, bound: Duration) -> bool {
    served_within(node, path, bound).is_ok()
}

/// Waits until a path is served through a node of a newly started or changed mesh. A failure may
/// not be reproducible, so it is reported with the outcomes and the logs of the nodes.
pub fn await_served(testbed: &Testbed, node: SocketAddr, path: &str) {
    let Err(ends) = served_within(node, path, SERVE_TIMEOUT) else {
        return;
    };
    let nodes: Vec<String> = testbed
        .vms
        .iter()
        .map(|vm| vm.node.state(LOG_LINES))
        .collect();
    let last = &ends[ends.len().saturating_sub(LOG_LINES)..];
    panic!(
        "{path} is not served within {SERVE_TIMEOUT:?} at {node}; {} requests ended, the last: \
         {last:?}; the store had {} calls\n{}",
        ends.len(),
        testbed.store.calls(),
        nodes.join("\n")
    );
}

/// Sends non-idempotent requests from one thread per address in `nodes`, each one after the other,
/// and returns the outcomes of those that were neither served nor refused as not run.
pub fn lost_requests(nodes: &[SocketAddr], path: &'static str, duration: Duration) -> Vec<String> {
    let threads: Vec<_> = nodes
        .iter()
        .map(|node| {
            let node = *node;
            thread::spawn(move || {
                let started = Instant::now();
                let mut ends = Vec::new();
                let mut number = 0;
                while started.elapsed() < duration {
                    number += 1;
                    let sent = request(number, path, true, Duration::from_millis(1500));
                    let ended = send(node, &sent);
                    if !matches!(ended, Outcome::Served | Outcome::NotRun) {
                        ends.push(format!("{}: {ended:?}", sent.id));
                    }
                }
                ends
            })
        })
        .collect();
    threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("the caller ends"))
        .collect()
}

/// Id and outcome of a request.
pub type RequestEnd = (String, Outcome);

/// Sends one request per number, each on a thread of its own.
pub fn send_all(
    node: SocketAddr,
    numbers: std::ops::Range<usize>,
    path: &'static str,
    is_non_idempotent: bool,
    deadline: Duration,
) -> Vec<thread::JoinHandle<RequestEnd>> {
    numbers
        .map(|number| {
            thread::spawn(move || {
                let sent = request(number, path, is_non_idempotent, deadline);
                let ended = send(node, &sent);
                (sent.id, ended)
            })
        })
        .collect()
}

pub fn join_callers(callers: Vec<thread::JoinHandle<RequestEnd>>) -> Vec<RequestEnd> {
    callers
        .into_iter()
        .map(|caller| caller.join().expect("the caller ends"))
        .collect()
}

/// Deregisters a target at its node and stops it.
pub fn deregister_target(testbed: &mut Testbed, vm: usize) {
    let target = testbed.vms[vm].target.take().expect("the target runs");
    assert!(
        target.deregister(false),
        "the deregistration is acknowledged"
    );
}

/// Returns the metrics pages of all nodes; at least one of the nodes is a store watcher.
pub fn metrics_of(testbed: &Testbed) -> String {
    testbed
        .vms
        .iter()
        .map(|vm| {
            ureq::get(format!("http://{}/metrics", vm.metrics))
                .call()
                .and_then(|mut answer| answer.body_mut().read_to_string())
                .expect("the metrics page is served")
        })
        .collect()
}
