//! Callers that ask for long answers and read them slowly or not at all, that leave long uploads
//! unfinished, or that open many connections. The tests run one after the other, as each loads
//! several processors.

#[expect(dead_code, reason = "the tests of `mesh` use the other fixtures")]
#[path = "../mesh/setup.rs"]
mod setup;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use xtask::soak::testbed::Testbed;
use xtask::soak::testbed::TestbedOptions;

use crate::setup::HOST;
use crate::setup::await_served;
use crate::setup::start;
use crate::setup::testbed_options;

/// Memory that the settings of a node state, which is the bound of its peak memory.
const MEMORY_MB: u64 = 64;
/// Memory of a node that must serve a body of the largest size.
const LARGE_MEMORY_MB: u64 = 512;
/// Size of such a body, just below 64 MiB: the stand-in rounds it up to whole lines.
const LARGE_BODY_BYTES: usize = 67_000_000;
/// Limit of a node's descriptors, and how many of them callers must leave free.
const DESCRIPTORS: u32 = 128;
const FREE_DESCRIPTORS: usize = 16;
/// Time for which a crowd keeps its connections open.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Time between two reads of a slow reader, and between two looks at a node.
const STEP: Duration = Duration::from_millis(20);
/// Time after which a reader sends its requests again, although it has not read the answers.
const REPEAT_AFTER: Duration = Duration::from_millis(200);
/// Size of a body that fits the limit of the testbed's configuration.
const UPLOAD_BYTES: usize = 1_000_000;
/// Serializes the tests.
static TURN: Mutex<()> = Mutex::new(());

/// Callers that behave in the same way, each on a connection of its own.
#[derive(Clone)]
struct Crowd {
    node: SocketAddr,
    connections: usize,
    /// Bytes that each caller sends.
    input: Vec<u8>,
    /// Bytes that each caller reads in a [`STEP`]; 0 for callers that don't read.
    read_bytes: usize,
    /// Time after which each caller sends the same again; `None` for callers that send once.
    repeat_after: Option<Duration>,
}

fn get(path: &str, number: usize) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: slow-{number}\r\n\r\n")
}

fn upload(path: &str, sent_bytes: usize) -> Vec<u8> {
    let mut input = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: upload\r\n\
         content-length: {UPLOAD_BYTES}\r\n\r\n"
    )
    .into_bytes();
    input.resize(input.len() + sent_bytes, b'u');
    input
}

impl Crowd {
    fn readers(node: SocketAddr, connections: usize, path: &str, pipelined: usize) -> Self {
        let input = (0..pipelined).map(|number| get(path, number));
        Self {
            node,
            connections,
            input: input.collect::<String>().into_bytes(),
            read_bytes: 0,
            repeat_after: Some(REPEAT_AFTER),
        }
    }

    fn senders(node: SocketAddr, connections: usize, input: Vec<u8>) -> Self {
        Self {
            node,
            connections,
            input,
            read_bytes: 0,
            repeat_after: None,
        }
    }

    /// Plays the callers until `CROWD_TIME` has passed. Failures of their connections are ignored: a
    /// node may refuse or close them.
    fn play(&self) -> Vec<thread::JoinHandle<()>> {
        (0..self.connections)
            .map(|_| {
                let crowd = self.clone();
                thread::spawn(move || crowd.play_one())
            })
            .collect()
    }

    fn play_one(&self) {
        let begun = Instant::now();
        let Ok(mut stream) = TcpStream::connect_timeout(&self.node, Duration::from_secs(1)) else {
            return;
        };
        let _ = stream.set_write_timeout(Some(CROWD_TIME));
        let _ = stream.set_read_timeout(Some(STEP));
        let _ = stream.write_all(&self.input);
        let mut block = vec![0; self.read_bytes];
        let mut sent_at = Instant::now();
        while begun.elapsed() < CROWD_TIME {
            if !block.is_empty() {
                let _ = stream.read(&mut block);
            }
            if self
                .repeat_after
                .is_some_and(|after| sent_at.elapsed() >= after)
            {
                let _ = stream.write_all(&self.input);
                sent_at = Instant::now();
            }
            thread::sleep(STEP);
        }
    }
}

fn take_turn() -> impl Drop {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn open_descriptors(testbed: &Testbed) -> Vec<usize> {
    let count = |id: u32| std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
    testbed.vms.iter().map(|vm| count(vm.node.id())).collect()
}

fn options(test: &str, nodes: usize) -> TestbedOptions {
    TestbedOptions {
        memory_mb: MEMORY_MB,
        ..testbed_options(test, nodes)
    }
}

/// Starts nodes, plays crowds that `crowds` chooses for them, and checks that all nodes live within
/// their memory and descriptors and answer an ordinary request afterwards.
fn check(options: &TestbedOptions, crowds: impl FnOnce(&[SocketAddr]) -> Vec<Crowd>) {
    let _turn = take_turn();
    let mut testbed = start(options);
    let nodes: Vec<SocketAddr> = testbed.vms.iter().map(|vm| vm.callers).collect();
    for node in &nodes {
        await_served(&testbed, *node, "/stock/1");
    }
    let descriptor_bound = options
        .descriptors
        .map_or(usize::MAX, |limit| limit as usize - FREE_DESCRIPTORS);

    let callers: Vec<_> = crowds(&nodes).iter().flat_map(Crowd::play).collect();
    let mut most_descriptors = 0;
    while callers.iter().any(|caller| !caller.is_finished()) {
        most_descriptors = open_descriptors(&testbed)
            .into_iter()
            .fold(most_descriptors, usize::max);
        thread::sleep(STEP);
    }

    let peaks: Vec<Option<u64>> = testbed
        .vms
        .iter()
        .map(|vm| vm.node.peak_memory_kib())
        .collect();
    println!("peak memory {peaks:?} KiB, descriptors {most_descriptors}");
    for (vm, peak_kib) in testbed.vms.iter_mut().zip(&peaks) {
        assert!(vm.node.exited().is_none(), "{} has ended", vm.name);
        let peak_kib = peak_kib.expect("the node runs");
        assert!(
            peak_kib < options.memory_mb * 1024,
            "{} used {peak_kib} KiB",
            vm.name
        );
    }
    assert!(most_descriptors <= descriptor_bound, "{most_descriptors}");
    for node in &nodes {
        await_served(&testbed, *node, "/stock/1");
    }
}

/// Load: 24 callers at one node each ask for two answers of 3 MB, again and again, and read none. Guards against
/// unsent answers that take more memory than the process has.
#[test]
fn unread_answers_stay_within_the_memory() {
    check(&options("unread", 1), |nodes| {
        vec![Crowd::readers(nodes[0], 24, "/stock/large/3000000", 2)]
    });
}

/// Load: eight callers do the same with six answers each at a node without the target, so that the
/// answers come over a link. Guards against the same at both nodes.
#[test]
fn unread_answers_of_other_nodes_stay_within_the_memory() {
    check(&options("unread_relayed", 2), |nodes| {
        vec![Crowd::readers(nodes[1], 8, "/stock/large/3000000", 6)]
    });
}

/// Load: callers at two nodes ask for answers of the targets of both, half of them reading slowly.
/// Guards against the same with answers of several targets.
#[test]
fn slowly_read_answers_of_several_targets_stay_within_the_memory() {
    check(&options("several_targets", 2), |nodes| {
        let crowd = |node, path| {
            let unread = Crowd::readers(node, 8, path, 2);
            let slow = Crowd {
                read_bytes: 4096,
                ..unread.clone()
            };
            [unread, slow]
        };
        nodes
            .iter()
            .flat_map(|node| {
                ["/stock/large/3000000", "/feed/large/3000000"].map(|path| (*node, path))
            })
            .flat_map(|(node, path)| crowd(node, path))
            .collect()
    });
}

/// Load: 320 callers upload 1 MB each, half of them all but the last byte, for runs of 1.5 s. Guards
/// against complete requests in progress that are not counted.
#[test]
fn uploads_in_progress_stay_within_the_memory() {
    check(&options("uploads", 2), |nodes| {
        let (complete, open) = (UPLOAD_BYTES, UPLOAD_BYTES - 1);
        let path = "/batch/takes/1500";
        nodes
            .iter()
            .flat_map(|node| {
                [complete, open].map(|sent| Crowd::senders(*node, 80, upload(path, sent)))
            })
            .collect()
    });
}

/// Load: 160 callers open a connection, more than the node has descriptors, and keep it after an
/// answer. Guards against a node whose links, store and target find no descriptor.
#[test]
fn callers_leave_descriptors_free() {
    let options = TestbedOptions {
        descriptors: Some(DESCRIPTORS),
        ..options("descriptors", 1)
    };
    check(&options, |nodes| {
        let crowd = Crowd::readers(nodes[0], 160, "/stock/1", 1);
        vec![Crowd {
            repeat_after: None,
            ..crowd
        }]
    });
}

/// Reads one answer in steps; returns the size of its body, or what was read until the connection
/// ended.
fn read_slowly(node: SocketAddr, path: &str) -> Result<usize, usize> {
    let mut stream = TcpStream::connect(node).expect("a connection");
    stream
        .write_all(get(path, 0).as_bytes())
        .expect("the request is sent");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    let mut block = vec![0; 512 * 1024];
    let mut head_bytes = 0;
    let mut total_bytes = 0;
    loop {
        match stream.read(&mut block) {
            Ok(0) | Err(_) => return Err(total_bytes - head_bytes),
            Ok(count) => {
                if total_bytes == 0 {
                    let head = String::from_utf8_lossy(&block[..count.min(4096)]);
                    head_bytes = head.find("\r\n\r\n").map_or(0, |end| end + 4);
                    println!("{path}: {}", head.lines().next().unwrap_or_default());
                }
                total_bytes += count;
            }
        }
        if total_bytes - head_bytes >= LARGE_BODY_BYTES {
            return Ok(total_bytes - head_bytes);
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Load: one caller reads an answer of almost 64 MiB steadily, of the node's own target and of another
/// node's. Guards against limits for slow readers that a caller within the limits meets.
#[test]
fn a_steady_reader_gets_the_largest_answer() {
    let _turn = take_turn();
    let testbed = start(&TestbedOptions {
        memory_mb: LARGE_MEMORY_MB,
        ..options("largest", 2)
    });
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, "/stock/1");
    }
    for vm in &testbed.vms {
        let read = read_slowly(vm.callers, &format!("/batch/large/{LARGE_BODY_BYTES}"));

        assert!(read.is_ok(), "{}: {read:?}", vm.name);
        let peaks: Vec<_> = testbed
            .vms
            .iter()
            .map(|vm| vm.node.peak_memory_kib())
            .collect();
        println!("peak memory {peaks:?} KiB");
        let bound_kib = LARGE_MEMORY_MB * 1024;
        assert!(
            peaks.iter().flatten().all(|peak| *peak < bound_kib),
            "{peaks:?}"
        );
    }
}
