//! Goodput (answers within the deadline) at loads below and above the capacity of the targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::bench::calls::testbed;
use crate::bench::calls::testbed::TargetOptions;
use crate::bench::calls::testbed::Testbed;
use crate::bench::calls::wire;
use crate::bench::calls::wire::Client;
use crate::errors::Result;

const SERVICE: &str = "jobdesk";
const TARGETS: u16 = 2;
const SLOTS: u16 = 6;
const SERVICE_TIME: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_millis(300);
const DEADLINE_MS: &str = "300";
/// Threads that send requests: enough for three times the capacity if every request takes its
/// whole deadline.
const CALLERS: u32 = 384;
/// Offered load in permille of the capacity.
pub const LOADS_PERMILLE: [u32; 5] = [500, 1000, 1500, 2000, 3000];

/// Results at one load.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Offered load in permille of the capacity.
    pub load_permille: u32,
    /// Requests offered.
    pub offered: u32,
    /// Requests answered with status 200 within the deadline.
    pub good: u32,
    /// Requests that the targets can run in the measuring time.
    pub capacity: u32,
    /// Answers with another status.
    pub refused: u32,
    /// Median time of the answers with another status, in microseconds.
    pub refused_us_p50: u64,
}

impl Point {
    /// Returns the answers within the deadline relative to the possible number: the offered
    /// requests or the capacity, whichever is lower.
    pub fn goodput_ratio(&self) -> f64 {
        f64::from(self.good) / f64::from(self.offered.min(self.capacity).max(1))
    }

    /// Returns a line with the results.
    pub fn describe(&self, name: &str) -> String {
        format!(
            "{name:10} load {:.1}: {} offered, {} in time ({:.3} of the possible), {} refused after {} us (median)",
            f64::from(self.load_permille) / 1000.0,
            self.offered,
            self.good,
            self.goodput_ratio(),
            self.refused,
            self.refused_us_p50,
        )
    }
}

/// Results at each load.
pub struct Overload {
    /// Through nodes.
    pub nodes: Vec<Point>,
    /// Through the baseline proxy.
    pub baseline: Vec<Point>,
}

/// Offers each load for `time`, first through the nodes, then through the baseline.
pub fn measure(time: Duration, settings: &str) -> Result<Overload> {
    let mut testbed = Testbed::new(settings)?;
    let mut entries = Vec::new();
    let mut upstreams = Vec::new();
    for index in 1..=TARGETS {
        let node = format!("node-{index}");
        entries.push(testbed.node(&node)?);
        let mut options = TargetOptions {
            node: Some(node),
            service: SERVICE.to_owned(),
            slots: SLOTS,
            service_time: SERVICE_TIME,
            next: None,
        };
        testbed.target(&format!("target-{index}"), &options)?;
        options.node = None;
        let address = testbed.target(&format!("baseline-target-{index}"), &options)?;
        upstreams.push((SERVICE.to_owned(), address));
    }
    let proxy = testbed.proxy("baseline", &upstreams)?;
    testbed.apply("node-1", &[SERVICE], Duration::from_secs(1))?;
    for through in entries.iter().copied().chain([proxy]) {
        testbed::wait_ready(through, SERVICE)?;
    }
    testbed::wait_warm();
    let nodes = offer_all_loads(&entries, time);
    let baseline = offer_all_loads(&[proxy], time);
    Ok(Overload { nodes, baseline })
}

fn offer_all_loads(through: &[SocketAddr], time: Duration) -> Vec<Point> {
    let points = LOADS_PERMILLE.map(|load_permille| {
        let point = offer_load(through, load_permille, time);
        // Lets the queues drain before the next load.
        std::thread::sleep(DEADLINE * 4);
        point
    });
    points.to_vec()
}

struct Load {
    started: Instant,
    interval: Duration,
    count: u32,
    next: AtomicU32,
}

fn offer_load(through: &[SocketAddr], load_permille: u32, time: Duration) -> Point {
    let capacity_per_s = f64::from(TARGETS) * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    let interval = Duration::from_secs_f64(1000.0 / f64::from(load_permille) / capacity_per_s);
    let count = round_to_u32(time.as_secs_f64() / interval.as_secs_f64());
    let load = Arc::new(Load {
        started: Instant::now() + Duration::from_millis(50),
        interval,
        count,
        next: AtomicU32::new(0),
    });
    let threads: Vec<_> = (0..CALLERS)
        .map(|index| {
            let load = Arc::clone(&load);
            let address = through[index as usize % through.len()];
            std::thread::spawn(move || call(&load, address))
        })
        .collect();
    let mut good = 0;
    let mut refused_us = Vec::new();
    for thread in threads {
        let (good_here, refused_here) = thread.join().unwrap_or_default();
        good += good_here;
        refused_us.extend(refused_here);
    }
    refused_us.sort_unstable();
    Point {
        load_permille,
        offered: count,
        good,
        capacity: round_to_u32(time.as_secs_f64() * capacity_per_s),
        refused: u32::try_from(refused_us.len()).unwrap_or(u32::MAX),
        refused_us_p50: refused_us.get(refused_us.len() / 2).copied().unwrap_or(0),
    }
}

fn call(load: &Load, through: SocketAddr) -> (u32, Vec<u64>) {
    let mut client = Client::new(through);
    let mut good = 0;
    let mut refused_us = Vec::new();
    loop {
        let index = load.next.fetch_add(1, Ordering::Relaxed);
        if index >= load.count {
            return (good, refused_us);
        }
        // The time of a request starts when it is due. If no thread can send it by its deadline,
        // it counts as offered but not answered.
        let due = load.started + load.interval * index;
        wire::sleep_until(due);
        let remaining = DEADLINE.saturating_sub(due.elapsed());
        let headers = [("hemlockfall-deadline-ms", DEADLINE_MS)];
        match client.send(SERVICE, &headers, b"booking", remaining) {
            Ok(answer) if answer.status() == 200 => good += u32::from(due.elapsed() <= DEADLINE),
            Ok(_) => refused_us.push(u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX)),
            Err(_) => {}
        }
    }
}

/// Rounds a small positive number to an integer.
fn round_to_u32(number: f64) -> u32 {
    format!("{number:.0}").parse().unwrap_or(u32::MAX)
}
