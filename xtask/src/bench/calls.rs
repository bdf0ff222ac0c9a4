//! `bench calls`: measures the request path with real processes on loopback, compared with direct
//! calls and a baseline proxy.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use serde::Serialize;

mod chain;
pub mod echo;
mod faults;
mod latency;
mod overload;
mod plot;
pub mod proxy;
mod testbed;
mod wire;

use crate::errors::Error;
use crate::errors::Result;
use chain::Chain;
use faults::FaultImpact;
use faults::Faults;
use latency::Latency;
use latency::PathTimes;
use overload::Overload;
use overload::Point;

const ONE_HOP: usize = 1;
const TWO_HOPS: usize = 2;
const BASELINE: usize = 3;

/// Options of `bench calls`.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, default = "4", help = "seconds of each measurement")]
    seconds: u32,
    #[options(no_short, help = "directory for plots")]
    plot: Option<PathBuf>,
    #[options(
        no_short,
        help = "only: latency, overload, chain or faults; may be repeated"
    )]
    only: Vec<String>,
    #[options(no_short, help = "text appended to the settings of every node")]
    node_settings: String,
}

/// Results printed as JSON on the last line; those that were not measured are null.
#[derive(Debug, Default, Serialize)]
struct Report {
    added_us_p50: Option<u64>,
    added_us_p99: Option<u64>,
    one_hop_added_us_p50: Option<u64>,
    one_hop_added_us_p99: Option<u64>,
    closed_added_us_p50: Option<u64>,
    closed_added_us_p99: Option<u64>,
    closed_one_hop_added_us_p50: Option<u64>,
    closed_one_hop_added_us_p99: Option<u64>,
    goodput_ratio_at_3x: Option<f64>,
    attempts_per_request_leaf_failure: Option<f64>,
    silent_connection_ms: Option<u64>,
    frozen_target_ms: Option<u64>,
    crashed_target_ms: Option<u64>,
    baseline_added_us_p50: Option<u64>,
    baseline_added_us_p99: Option<u64>,
    baseline_goodput_ratio_at_3x: Option<f64>,
    baseline_attempts_per_request_leaf_failure: Option<f64>,
    baseline_silent_connection_ms: Option<u64>,
    baseline_frozen_target_ms: Option<u64>,
    baseline_crashed_target_ms: Option<u64>,
}

/// Runs the bench and prints its figures as one JSON object on the last line.
///
/// # Errors
/// A message with the reason why a measurement failed.
pub fn run(arguments: &Arguments) -> std::result::Result<(), String> {
    measure(arguments).map_err(|error| error.to_string())
}

fn measure(arguments: &Arguments) -> Result<()> {
    let time = Duration::from_secs(arguments.seconds.into());
    let wants = |name: &str| arguments.only.is_empty() || arguments.only.iter().any(|o| o == name);
    let settings = arguments.node_settings.as_str();
    let mut report = Report::default();
    if wants("latency") {
        let latency = latency::measure(time, settings)?;
        report.add_latency(&latency);
        if let Some(directory) = &arguments.plot {
            plot::latency(directory, &latency)?;
        }
    }
    if wants("overload") {
        let overload = overload::measure(time, settings)?;
        report.add_overload(&overload);
        if let Some(directory) = &arguments.plot {
            plot::goodput(directory, &overload)?;
        }
    }
    if wants("chain") {
        report.add_chain(&chain::measure(time, settings)?);
    }
    if wants("faults") {
        report.add_faults(&faults::measure(settings)?);
    }
    let line = serde_json::to_string(&report).map_err(|error| Error::resource("report", error))?;
    println!("{line}");
    Ok(())
}

impl Report {
    /// Adds the latencies. The main results are those of the paced loop, which has the planned
    /// load of a node, over two hops, the common case with many nodes.
    fn add_latency(&mut self, latency: &Latency) {
        for (name, paths) in [("closed", &latency.closed), ("paced", &latency.paced)] {
            for path in paths {
                println!("{name:7} {}", path.describe());
            }
        }
        let [paced, closed] = [&latency.paced, &latency.closed];
        [self.added_us_p50, self.added_us_p99] = added(paced.get(TWO_HOPS));
        [self.one_hop_added_us_p50, self.one_hop_added_us_p99] = added(paced.get(ONE_HOP));
        [self.closed_added_us_p50, self.closed_added_us_p99] = added(closed.get(TWO_HOPS));
        [
            self.closed_one_hop_added_us_p50,
            self.closed_one_hop_added_us_p99,
        ] = added(closed.get(ONE_HOP));
        [self.baseline_added_us_p50, self.baseline_added_us_p99] = added(paced.get(BASELINE));
    }

    fn add_overload(&mut self, overload: &Overload) {
        for (name, points) in [("nodes", &overload.nodes), ("baseline", &overload.baseline)] {
            for point in points {
                println!("{}", point.describe(name));
            }
        }
        self.goodput_ratio_at_3x = overload.nodes.last().map(Point::goodput_ratio);
        self.baseline_goodput_ratio_at_3x = overload.baseline.last().map(Point::goodput_ratio);
    }

    fn add_chain(&mut self, chain: &Chain) {
        println!("attempts per fresh request, by level: {:?}", chain.nodes);
        println!("the same through the baseline: {:?}", chain.baseline);
        self.attempts_per_request_leaf_failure = chain.nodes.last().copied();
        self.baseline_attempts_per_request_leaf_failure = chain.baseline.last().copied();
    }

    fn add_faults(&mut self, faults: &Faults) {
        let named = [
            ("silent connection", faults.stalled),
            ("frozen target", faults.frozen),
            ("crashed target", faults.crashed),
        ];
        for (name, [nodes, baseline]) in named {
            println!(
                "{name}: {}; baseline: {}",
                describe(nodes),
                describe(baseline)
            );
        }
        let ms = |impact: FaultImpact| Some(impact.avoided_after_ms);
        [
            self.silent_connection_ms,
            self.baseline_silent_connection_ms,
        ] = faults.stalled.map(ms);
        [self.frozen_target_ms, self.baseline_frozen_target_ms] = faults.frozen.map(ms);
        [self.crashed_target_ms, self.baseline_crashed_target_ms] = faults.crashed.map(ms);
    }
}

fn added(path: Option<&PathTimes>) -> [Option<u64>; 2] {
    [0.5, 0.99].map(|quantile| path.map(|path| path.added_us.value_at_quantile(quantile)))
}

fn describe(impact: FaultImpact) -> String {
    let FaultImpact {
        avoided_after_ms,
        affected,
        requests,
    } = impact;
    format!("avoided after {avoided_after_ms} ms, {affected} of {requests} requests affected")
}
