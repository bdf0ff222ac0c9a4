//! What a node uses: resident memory, bytes that it has received and not read, and descriptors.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use xtask::soak::testbed::Vm;

/// Time between two samples.
const STEP: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/PID/net/tcp`, whose queue counts connections, not bytes.
const LISTENING: &str = "0A";

/// Largest values of the samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory and unread bytes together.
    pub memory_kib: u64,
    /// Unread bytes alone.
    pub unread_kib: u64,
    pub descriptors: usize,
}

impl Usage {
    fn max(self, other: Self) -> Self {
        Self {
            memory_kib: self.memory_kib.max(other.memory_kib),
            unread_kib: self.unread_kib.max(other.unread_kib),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Samples what a node uses for a time.
pub fn sample(vm: &Vm, time: Duration) -> Usage {
    let begun = Instant::now();
    let mut usage = Usage::default();
    while begun.elapsed() < time {
        usage = usage.max(usage_of(vm));
        thread::sleep(STEP);
    }
    usage
}

/// Returns what a node uses at the moment.
pub fn usage_of(vm: &Vm) -> Usage {
    let unread_kib = unread_bytes(vm) / 1024;
    Usage {
        memory_kib: resident_kib(vm) + unread_kib,
        unread_kib,
        descriptors: std::fs::read_dir(format!("/proc/{}/fd", vm.node.id()))
            .map_or(0, Iterator::count),
    }
}

/// Returns the resident memory of a node.
pub fn resident_kib(vm: &Vm) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", vm.node.id())).expect("the node runs");
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok())
        .expect("the memory of a running process")
}

/// Returns the bytes that wait in the connections which a node has accepted or will accept.
fn unread_bytes(vm: &Vm) -> u64 {
    let table =
        std::fs::read_to_string(format!("/proc/{}/net/tcp", vm.node.id())).expect("the node runs");
    let ports: Vec<u16> = accepting(vm).map(|address| address.port()).collect();
    let unread = table.lines().skip(1).filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        let (local, _remote) = (columns.next()?, columns.next()?);
        let (state, queues) = (columns.next()?, columns.next()?);
        let port = u16::from_str_radix(local.rsplit(':').next()?, 16).ok()?;
        if state == LISTENING || !ports.contains(&port) {
            return None;
        }
        u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
    });
    unread.sum()
}

/// Returns the addresses at which a node accepts connections.
pub fn accepting(vm: &Vm) -> impl Iterator<Item = SocketAddr> {
    [vm.callers, vm.peers(), vm.control(), vm.ready(), vm.metrics].into_iter()
}
