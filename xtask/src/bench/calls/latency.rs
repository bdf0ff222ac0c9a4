//! Latency that one and two hops add to a call, compared with direct calls of the same clients.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::bench::calls::testbed;
use crate::bench::calls::testbed::TargetOptions;
use crate::bench::calls::testbed::Testbed;
use crate::bench::calls::wire;
use crate::bench::calls::wire::Client;
use crate::errors::Error;
use crate::errors::Result;

const CLIENTS: u32 = 4;
/// Planned load of one node: 550,000 calls per second over 9,000 nodes.
const CALLS_PER_S: u32 = 61;
const SERVICE: &str = "order-desk";
const BODY_BYTES: usize = 200;
const TIMEOUT: Duration = Duration::from_secs(2);
const WARM_UP_CALLS: u32 = 200;
const PATHS: usize = 4;
/// Factor on the measuring time for the paced loop, whose call rate is too low to give enough
/// samples for a p99 otherwise.
const PACED_FACTOR: u32 = 5;
const MAX_US: u64 = 10_000_000;

/// Latencies of one path, in microseconds.
#[derive(Clone, Debug)]
pub struct PathTimes {
    /// Name of the path.
    pub name: &'static str,
    /// Total time of a call.
    pub whole_us: Histogram<u64>,
    /// Time in excess of the direct call of the same round, or 0 if the call took less.
    pub added_us: Histogram<u64>,
}

impl PathTimes {
    fn new(name: &'static str) -> Result<Self> {
        Ok(Self {
            name,
            whole_us: histogram()?,
            added_us: histogram()?,
        })
    }

    /// Returns a line with the quantiles of the latencies.
    pub fn describe(&self) -> String {
        format!(
            "{:10} whole p50 {} p99 {} p99.9 {} us, added p50 {} p90 {} p99 {} us, {} calls",
            self.name,
            self.whole_us.value_at_quantile(0.5),
            self.whole_us.value_at_quantile(0.99),
            self.whole_us.value_at_quantile(0.999),
            self.added_us.value_at_quantile(0.5),
            self.added_us.value_at_quantile(0.9),
            self.added_us.value_at_quantile(0.99),
            self.whole_us.len(),
        )
    }
}

/// Latencies of the paths in the order direct, one hop, two hops, baseline.
pub struct Latency {
    /// Closed loop: each client sends its next call when the previous one has been answered.
    pub closed: Vec<PathTimes>,
    /// Paced loop: calls start at the planned call rate of a node.
    pub paced: Vec<PathTimes>,
}

/// Runs the closed loop for `time` and the paced loop for five times as long.
pub fn measure(time: Duration, settings: &str) -> Result<Latency> {
    let mut testbed = Testbed::new(settings)?;
    let one_hop = testbed.node("node-1")?;
    let two_hops = testbed.node("node-2")?;
    let options = TargetOptions {
        node: Some("node-1".to_owned()),
        service: SERVICE.to_owned(),
        slots: 64,
        ..TargetOptions::default()
    };
    let target = testbed.target("target-1", &options)?;
    let proxy = testbed.proxy("baseline", &[(SERVICE.to_owned(), target)])?;
    testbed.apply("node-1", &[SERVICE], TIMEOUT)?;
    let paths = [target, one_hop, two_hops, proxy];
    for through in paths {
        testbed::wait_ready(through, SERVICE)?;
    }
    run_clients(paths, None, WARM_UP_CALLS, Duration::MAX)?;
    let closed = run_clients(paths, None, u32::MAX, time)?;
    let round_interval = Duration::from_secs(1) * CLIENTS / CALLS_PER_S;
    let paced = run_clients(paths, Some(round_interval), u32::MAX, time * PACED_FACTOR)?;
    Ok(Latency { closed, paced })
}

fn run_clients(
    paths: [SocketAddr; PATHS],
    round_interval: Option<Duration>,
    calls: u32,
    time: Duration,
) -> Result<Vec<PathTimes>> {
    let threads: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let offset = round_interval.unwrap_or_default() * index / CLIENTS;
            std::thread::spawn(move || client(paths, round_interval, offset, calls, time))
        })
        .collect();
    let mut all = new_path_times()?;
    for thread in threads {
        let times = thread
            .join()
            .map_err(|_| Error::resource("client", "the thread panicked"))??;
        for (sum, client_times) in all.iter_mut().zip(times) {
            let added = sum.whole_us.add(&client_times.whole_us);
            added
                .and_then(|()| sum.added_us.add(&client_times.added_us))
                .map_err(|error| Error::resource("histogram", error))?;
        }
    }
    Ok(all)
}

/// Sends calls in rounds of one call per path. With a round interval, the calls of a round are
/// spread evenly over it.
fn client(
    paths: [SocketAddr; PATHS],
    round_interval: Option<Duration>,
    offset: Duration,
    calls: u32,
    time: Duration,
) -> Result<Vec<PathTimes>> {
    let mut clients = paths.map(Client::new);
    let body = [b'x'; BODY_BYTES];
    let mut times = new_path_times()?;
    let started = Instant::now();
    let mut due = started + offset;
    let mut rounds = 0;
    while rounds < calls && started.elapsed() < time {
        rounds += 1;
        let mut direct_us = 0;
        for (index, client) in clients.iter_mut().enumerate() {
            if let Some(round_interval) = round_interval {
                wire::sleep_until(due);
                due += round_interval / 4;
            }
            let sent_at = Instant::now();
            let answer = client
                .send(SERVICE, &[], &body, TIMEOUT)
                .map_err(|error| Error::http(paths[index].to_string(), error))?;
            let us = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(MAX_US);
            if answer.status() != 200 || answer.body != body {
                return Err(Error::http(paths[index].to_string(), answer.first_line));
            }
            if index == 0 {
                direct_us = us;
            }
            times[index].whole_us.saturating_record(us);
            let added_us = us.saturating_sub(direct_us);
            times[index].added_us.saturating_record(added_us);
        }
    }
    Ok(times)
}

fn new_path_times() -> Result<Vec<PathTimes>> {
    ["direct", "one hop", "two hops", "baseline"]
        .into_iter()
        .map(PathTimes::new)
        .collect()
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_US, 3).map_err(|error| Error::resource("histogram", error))
}
