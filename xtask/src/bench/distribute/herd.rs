//! `--herd`: all nodes of one data centre, then all nodes, are killed and started at once.

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

const SAMPLE: Duration = Duration::from_millis(100);
/// Samples in one second.
const SAMPLES_PER_S: usize = 10;
const BOUND: Duration = Duration::from_secs(90);
const POLL: Duration = Duration::from_millis(250);
const LOST_DATA_CENTRE: &str = "a2";

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
                thread::sleep(SAMPLE);
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

/// `run` measures both restarts.
///
/// # Errors
/// A message when processes cannot be started or do not come up.
pub fn run(setup: &Setup) -> Result<Map<String, Value>, String> {
    let nodes = setup.nodes;
    let mut fleet = measure::up(setup, Mode::Product)?;
    let mut figures = Map::new();
    figures.insert("nodes".to_owned(), nodes.into());
    let is_lost = |index: &usize| fleet.nodes[*index].data_centre == LOST_DATA_CENTRE;
    let lost: Vec<usize> = (0..nodes).filter(is_lost).collect();
    fleet.kill(&lost);
    let noticed = time_until(&fleet, &lost, |survivor| {
        observe::members(&fleet.nodes[survivor]) == nodes - lost.len()
    });
    figures.insert("data_centre_loss_noticed_ms".to_owned(), noticed.into());
    restart(&mut fleet, &lost, "data_centre", &mut figures)?;
    let all: Vec<usize> = (0..nodes).collect();
    fleet.kill(&all);
    restart(&mut fleet, &all, "all", &mut figures)?;
    Ok(figures)
}

/// Milliseconds until a check holds for every node that is not lost; -1 when it never did.
fn time_until(fleet: &Fleet, lost: &[usize], check: impl Fn(usize) -> bool) -> i64 {
    let begun = Instant::now();
    let survivors = (0..fleet.nodes.len()).filter(|index| !lost.contains(index));
    for survivor in survivors {
        while !check(survivor) {
            if begun.elapsed() > BOUND {
                return -1;
            }
            thread::sleep(POLL);
        }
    }
    i64::try_from(begun.elapsed().as_millis()).unwrap_or(i64::MAX)
}

fn restart(
    fleet: &mut Fleet,
    restarted: &[usize],
    name: &str,
    figures: &mut Map<String, Value>,
) -> Result<(), String> {
    let sampler = Sampler::start(fleet);
    let newest = catalogue::change(&fleet.client(), 1)?;
    let begun = Instant::now();
    fleet
        .restart(restarted)
        .map_err(|error| error.to_string())?;
    let started_ms = i64::try_from(begun.elapsed().as_millis()).unwrap_or(i64::MAX);
    let serving_ms = time_until(fleet, &[], |index| {
        fleet.nodes[index]
            .revision()
            .is_some_and(|held| held >= newest)
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
