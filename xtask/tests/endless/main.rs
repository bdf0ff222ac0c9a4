//! Targets, callers and nodes that send bytes without end. These tests keep several processors busy,
//! so they do not run beside those of `mesh`.

#[expect(dead_code, reason = "the tests of `mesh` use the other fixtures")]
#[path = "../mesh/setup.rs"]
mod setup;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::endless::EndlessBytes;
use xtask::soak::testbed::MEMORY_MB;
use xtask::soak::testbed::Testbed;

use crate::setup::HOST;
use crate::setup::await_served;
use crate::setup::request;
use crate::setup::send;
use crate::setup::start;
use crate::setup::testbed_options;

/// Requests that are answered without end at the same time; the rest of the target's eight slots is
/// for other requests.
const ENDLESS_AT_ONCE: usize = 6;
/// Time for which callers go on to send such requests.
const ENDLESS_TIME: Duration = Duration::from_secs(1);
/// Time after which a caller gives up.
const DEADLINE: Duration = Duration::from_secs(2);
/// Path of an answer of 8 MB.
const LARGE_PATH: &str = "/stock/large/8000000";
/// Time for which a caller, or a node, sends without end unless the connection is closed before.
const SENDING_TIME: Duration = Duration::from_secs(3);
/// Largest share of the VM's memory that the process may use, in percent.
const MEMORY_PERCENT: u64 = 50;
/// Largest latency of other requests, at the 99th percentile.
const P99_BOUND: Duration = Duration::from_millis(500);

/// Latencies of requests that were sent one after the other, and the number that were not served.
struct Served {
    latencies: Vec<Duration>,
    failed: usize,
}

impl Served {
    fn p99(&self) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        sorted[(sorted.len() - 1) * 99 / 100]
    }
}

/// Sends requests to `path` until `is_done` is set.
fn send_until(node: SocketAddr, path: &str, is_done: &AtomicBool) -> Served {
    let mut served = Served {
        latencies: Vec::new(),
        failed: 0,
    };
    for number in 0.. {
        let started = Instant::now();
        let outcome = send(node, &request(number, path, false, DEADLINE));
        served.latencies.push(started.elapsed());
        served.failed += usize::from(!matches!(outcome, Outcome::Served));
        if is_done.load(Ordering::SeqCst) {
            return served;
        }
    }
    served
}

/// Sends other requests while `work` runs; returns what became of both.
fn while_served<T>(node: SocketAddr, work: impl FnOnce() -> T) -> (T, Served) {
    let is_done = Arc::new(AtomicBool::new(false));
    let ends = Arc::clone(&is_done);
    let other = thread::spawn(move || send_until(node, "/stock/1", &ends));
    let result = work();
    is_done.store(true, Ordering::SeqCst);
    (result, other.join().expect("the caller ends"))
}

/// Sends requests that the targets answer without end, again and again.
fn send_endless_requests(node: SocketAddr, pattern: EndlessBytes) -> Vec<Outcome> {
    let callers: Vec<_> = (0..ENDLESS_AT_ONCE)
        .map(|number| {
            thread::spawn(move || {
                let begun = Instant::now();
                let mut outcomes = Vec::new();
                while begun.elapsed() < ENDLESS_TIME {
                    let number = number + outcomes.len() * ENDLESS_AT_ONCE;
                    let sent = request(number, &pattern.path("/stock"), false, DEADLINE);
                    outcomes.push(send(node, &sent));
                }
                outcomes
            })
        })
        .collect();
    callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("the caller ends"))
        .collect()
}

/// Writes bytes without end to an address; returns whether the connection was closed meanwhile.
fn write_endlessly(address: SocketAddr, start: &[u8], block: &[u8]) -> bool {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .expect("a timeout");
    let begun = Instant::now();
    let mut sent = stream.write_all(start);
    while begun.elapsed() < SENDING_TIME {
        match sent {
            Ok(()) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return true,
        }
        sent = stream.write_all(block);
    }
    stream
        .set_read_timeout(Some(Duration::from_millis(10)))
        .expect("a timeout");
    stream.read(&mut [0]).is_ok()
}

fn assert_bounded_memory(testbed: &Testbed, what: &str) {
    let bound_kib = MEMORY_MB * 1024 * MEMORY_PERCENT / 100;
    for vm in &testbed.vms {
        let peak_kib = vm.node.peak_memory_kib().expect("the node runs");
        println!("{what}: peak {peak_kib} KiB at {}", vm.name);
        assert!(
            peak_kib < bound_kib,
            "{what}: {peak_kib} KiB at {}",
            vm.name
        );
    }
}

/// Load: a target answers most of its requests with bytes that do not end, in each pattern. Guards
/// against a process that reads them until its memory limit ends it, or until no other caller is
/// served, and against an answer that was cut off and looks whole.
#[test]
fn endless_answers_of_a_target_are_cut_off() {
    let testbed = start(&testbed_options("endless_answers", 3));
    let node = testbed.vms[0].callers;
    await_served(&testbed, node, "/stock/1");

    for pattern in EndlessBytes::ALL {
        let (outcomes, other) = while_served(node, || send_endless_requests(node, pattern));

        assert!(
            !outcomes
                .iter()
                .any(|outcome| matches!(outcome, Outcome::Served)),
            "{pattern:?}: {outcomes:?}"
        );
        let (p99, sent) = (other.p99(), other.latencies.len());
        println!(
            "{pattern:?}: {sent} others, {} failed, p99 {p99:?}",
            other.failed
        );
        assert!(
            other.failed * 50 <= sent,
            "{pattern:?}: {} of {sent}",
            other.failed
        );
        assert!(p99 < P99_BOUND, "{pattern:?}: {p99:?}");
        assert_bounded_memory(&testbed, &format!("{pattern:?}"));
        await_served(&testbed, node, "/stock/1");
    }
    // The memory that is left must still hold an honest answer.
    await_served(&testbed, node, LARGE_PATH);
}

/// Load: callers send requests that do not end. Guards against the same, and against connections
/// that stay open for them.
#[test]
fn endless_requests_of_callers_are_cut_off() {
    let testbed = start(&testbed_options("endless_requests", 1));
    let node = testbed.vms[0].callers;
    await_served(&testbed, node, "/stock/1");

    for pattern in EndlessBytes::REQUESTS {
        let start = pattern.request_start("/stock/2", &format!("host: {HOST}\r\n"));
        let (were_closed, other) = while_served(node, || {
            let callers: Vec<_> = (0..ENDLESS_AT_ONCE)
                .map(|_| {
                    let (start, block) = (start.clone(), pattern.block());
                    thread::spawn(move || write_endlessly(node, &start, &block))
                })
                .collect();
            callers
                .into_iter()
                .map(|caller| caller.join().expect("the caller ends"))
                .collect::<Vec<bool>>()
        });

        assert!(were_closed.iter().all(|closed| *closed), "{pattern:?}");
        assert!(other.p99() < P99_BOUND, "{pattern:?}: {:?}", other.p99());
        assert_eq!(other.failed, 0, "{pattern:?}");
        assert_bounded_memory(&testbed, &format!("{pattern:?}"));
    }
}

/// Load: connections to the port of other nodes carry a frame that claims to be large, and bytes
/// that are no frames. Guards against memory that grows with each of them.
#[test]
fn endless_frames_of_other_nodes_are_cut_off() {
    let testbed = start(&testbed_options("endless_frames", 1));
    let node = testbed.vms[0].callers;
    let peers = testbed.vms[0].peers();
    await_served(&testbed, node, "/stock/1");
    let large_frame = (79_u32 * 1024 * 1024).to_le_bytes();

    let ((), other) = while_served(node, || {
        let senders: Vec<_> = (0..ENDLESS_AT_ONCE)
            .map(|_| thread::spawn(move || write_endlessly(peers, &large_frame, &[7; 16 * 1024])))
            .collect();
        for sender in senders {
            sender.join().expect("the sender ends");
        }
    });

    assert!(other.p99() < P99_BOUND, "{:?}", other.p99());
    assert_eq!(other.failed, 0);
    assert_bounded_memory(&testbed, "frames");
}
