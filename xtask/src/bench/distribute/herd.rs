//! `--herd`: mass restarts. All nodes of one data centre, then all nodes, are killed and started
//! at once.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Map;
use serde_json::Value;

use crate::bench::distribute::catalogue;
use crate::bench::distribute::fleet::Fleet;
use crate::bench::distribute::fleet::Mode;
use crate::bench::distribute::fleet::Setup;
use crate::bench::distribute::measure;
use crate::bench::distribute::observe;
use crate::http;
use crate::store::state::Counters;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Samples in one second at [`SAMPLE_INTERVAL`]; rates are differences over this many samples.
const SAMPLES_PER_S: usize = 10;
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const KILLED_DATA_CENTRE: &str = "a2";

#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    reads_per_s: u64,
    writes_per_s: u64,
    refused: u64,
}

struct Sampler {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Peak>,
}

impl Sampler {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let address = fleet.store_address();
        let thread = thread::spawn(move || {
            let mut samples: Vec<Counters> = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                samples.extend(http::get_json::<Counters>(address, "/control/counters"));
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak(&samples)
        });
        Self { stop, thread }
    }

    fn finish(self) -> Peak {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn peak(samples: &[Counters]) -> Peak {
    let mut peak = Peak::default();
    for (first, last) in samples.iter().zip(samples.iter().skip(SAMPLES_PER_S)) {
        peak.reads_per_s = peak.reads_per_s.max(last.reads - first.reads);
        peak.writes_per_s = peak.writes_per_s.max(last.writes - first.writes);
    }
    if let (Some(first), Some(last)) = (samples.first(), samples.last()) {
        peak.refused = last.refused - first.refused;
    }
    peak
}

/// Measures both restarts.
///
/// # Errors
/// A message if processes cannot be started or do not become ready.
pub fn run(setup: &Setup) -> Result<Map<String, Value>, String> {
    let nodes = setup.nodes;
    let mut fleet = measure::start_fleet(setup, Mode::Product)?;
    let mut figures = Map::new();
    figures.insert("nodes".to_owned(), nodes.into());
    let is_killed = |index: &usize| fleet.nodes[*index].data_centre == KILLED_DATA_CENTRE;
    let killed: Vec<usize> = (0..nodes).filter(is_killed).collect();
    fleet.kill(&killed);
    let noticed_ms = time_until(&fleet, &killed, |survivor| {
        observe::members(&fleet.nodes[survivor]) == nodes - killed.len()
    });
    figures.insert("data_centre_loss_noticed_ms".to_owned(), noticed_ms.into());
    restart(&mut fleet, &killed, "data_centre", &mut figures)?;
    let all: Vec<usize> = (0..nodes).collect();
    fleet.kill(&all);
    restart(&mut fleet, &all, "all", &mut figures)?;
    Ok(figures)
}

/// Returns the milliseconds until a check has held for every node that is not killed, or -1 if it
/// does not hold in time.
fn time_until(fleet: &Fleet, killed: &[usize], check: impl Fn(usize) -> bool) -> i64 {
    let started = Instant::now();
    let survivors = (0..fleet.nodes.len()).filter(|index| !killed.contains(index));
    for survivor in survivors {
        while !check(survivor) {
            if started.elapsed() > WAIT_TIMEOUT {
                return -1;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
    i64::try_from(started.elapsed().as_millis()).unwrap_or(i64::MAX)
}

fn restart(
    fleet: &mut Fleet,
    restarted: &[usize],
    name: &str,
    figures: &mut Map<String, Value>,
) -> Result<(), String> {
    let sampler = Sampler::start(fleet);
    let revision = catalogue::change(&fleet.client(), 1)?;
    let started = Instant::now();
    fleet
        .restart(restarted)
        .map_err(|error| error.to_string())?;
    let started_ms = i64::try_from(started.elapsed().as_millis()).unwrap_or(i64::MAX);
    let serving_ms = time_until(fleet, &[], |index| {
        fleet.nodes[index]
            .revision()
            .is_some_and(|in_force| in_force >= revision)
    });
    let nodes = fleet.nodes.len();
    let joined_ms = time_until(fleet, &[], |index| {
        observe::members(&fleet.nodes[index]) == nodes
    });
    let peak = sampler.finish();
    let mut add = |key: &str, value: Value| {
        figures.insert(format!("{name}_{key}"), value);
    };
    add("started_ms", started_ms.into());
    add("serving_ms", (started_ms + serving_ms).into());
    add("all_known_after_serving_ms", joined_ms.into());
    add("peak_store_reads_per_s", peak.reads_per_s.into());
    add("peak_store_writes_per_s", peak.writes_per_s.into());
    add("store_calls_refused", peak.refused.into());
    Ok(())
}
