//! Measurement of one run: start, a window without changes, a window with changes, evaluation.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use hemlockfall_core::units;

use crate::bench::distribute::catalogue;
use crate::bench::distribute::figures::Figures;
use crate::bench::distribute::figures::Usage;
use crate::bench::distribute::fleet::Fleet;
use crate::bench::distribute::fleet::Mode;
use crate::bench::distribute::fleet::STORE_REGION;
use crate::bench::distribute::fleet::Setup;
use crate::bench::distribute::observe;
use crate::bench::distribute::observe::Role;
use crate::bench::distribute::observe::Sample;
use crate::harness::wait;
use crate::store::state::Counters;

const FLEET_START_TIMEOUT: Duration = Duration::from_mins(2);
/// Wait after the last change, which may take up to 7 s to be in force everywhere.
const LAST_CHANGE_WAIT: Duration = Duration::from_secs(8);
/// Store calls of the bench itself per change: a read and a write.
const BENCH_CALLS_PER_CHANGE: f64 = 2.0;

/// Number of changes and times of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of changes.
    pub changes: u32,
    /// Time between changes.
    pub interval: Duration,
    /// Time from the start to the first window. The records of joined nodes are gossiped for
    /// minutes after a start.
    pub settle: Duration,
    /// Length of the window without changes.
    pub idle: Duration,
}

struct Change {
    revision: u64,
    started_unix_ms: u64,
}

struct Window {
    first: Vec<Sample>,
    last: Vec<Sample>,
    store_first: Counters,
    store_last: Counters,
    elapsed_s: f64,
}

impl Window {
    fn usages(&self) -> Vec<Usage> {
        let pairs = self.first.iter().zip(&self.last);
        pairs
            .map(|(first, last)| Usage::between(first, last))
            .collect()
    }

    fn store_calls(&self) -> f64 {
        let calls = |counters: &Counters| counters.reads + counters.writes;
        to_float(calls(&self.store_last) - calls(&self.store_first))
    }

    fn store_bytes(&self) -> f64 {
        to_float(self.store_last.body_bytes - self.store_first.body_bytes)
    }
}

/// Measures one mode of distribution.
///
/// # Errors
/// A message if processes cannot be started or do not become ready.
pub fn run(setup: &Setup, plan: &Plan, mode: Mode) -> Result<Figures, String> {
    let fleet = start_fleet(setup, mode)?;
    std::thread::sleep(plan.settle);
    let idle = measure_window(&fleet, || {
        std::thread::sleep(plan.idle);
        Ok(())
    })?;
    let client = fleet.client();
    let mut changes = Vec::new();
    let changing = measure_window(&fleet, || {
        for number in 1..=plan.changes {
            let next = Instant::now() + plan.interval;
            let started_unix_ms = units::unix_ms(SystemTime::now());
            let revision = catalogue::change(&client, number)?;
            changes.push(Change {
                revision,
                started_unix_ms,
            });
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        Ok(())
    })?;
    std::thread::sleep(LAST_CHANGE_WAIT);
    Ok(evaluate(&fleet, plan, mode, &idle, &changing, &changes))
}

/// Starts a fleet with a catalogue and waits until every node has the catalogue in force and,
/// except in the baseline, lists all nodes as members.
///
/// # Errors
/// A message if processes cannot be started or do not become ready.
pub fn start_fleet(setup: &Setup, mode: Mode) -> Result<Fleet, String> {
    let nodes = setup.nodes;
    let mut fleet = Fleet::start(setup, mode).map_err(|error| error.to_string())?;
    let revision = catalogue::write_first(&fleet.client())?;
    let started = Instant::now();
    fleet
        .start_nodes(&setup.programs)
        .map_err(|error| error.to_string())?;
    fleet.check_running().map_err(|error| error.to_string())?;
    for node in &fleet.nodes {
        let what = format!("{} is up", node.name);
        let check = || {
            let held = node.revision().unwrap_or(0);
            let members = observe::members(node);
            let is_up = held >= revision && (mode == Mode::Baseline || members == nodes);
            let seen = format!("revision {held}, {members} members");
            is_up.then_some(()).ok_or(seen)
        };
        wait::until(&what, FLEET_START_TIMEOUT, check).map_err(|error| error.to_string())?;
    }
    eprintln!("{mode:?}: {nodes} nodes up after {:?}", started.elapsed());
    Ok(fleet)
}

fn measure_window(
    fleet: &Fleet,
    during: impl FnOnce() -> Result<(), String>,
) -> Result<Window, String> {
    let counters = || fleet.counters().map_err(|error| error.to_string());
    let first = observe::samples(fleet);
    let store_first = counters()?;
    let started = Instant::now();
    during()?;
    let elapsed_s = started.elapsed().as_secs_f64();
    let store_last = counters()?;
    Ok(Window {
        first,
        last: observe::samples(fleet),
        store_first,
        store_last,
        elapsed_s,
    })
}

fn evaluate(
    fleet: &Fleet,
    plan: &Plan,
    mode: Mode,
    idle: &Window,
    changing: &Window,
    changes: &[Change],
) -> Figures {
    let mut figures = Figures::default();
    for index in 0..fleet.nodes.len() {
        let in_force = observe::in_force(&fleet.log(index));
        for change in changes {
            let reached = in_force
                .iter()
                .filter(|(revision, _)| *revision >= change.revision)
                .map(|(_, at_unix_ms)| at_unix_ms.saturating_sub(change.started_unix_ms))
                .min();
            match reached {
                Some(time_ms) => figures.convergence_ms.push(to_float(time_ms)),
                None => figures.missing += 1,
            }
        }
    }
    figures.convergence_ms.sort_unstable_by(f64::total_cmp);
    let usages = changing.usages();
    let idle_usages = idle.usages();
    figures.idle = Usage::mean(idle_usages.iter());
    figures.changing = Usage::mean(usages.iter());
    figures.max_bytes_per_s = usages.iter().map(|u| u.bytes_per_s).fold(0.0, f64::max);
    let change_count = f64::from(plan.changes);
    let bench_calls = change_count * BENCH_CALLS_PER_CHANGE;
    figures.store_calls_per_s = (changing.store_calls() - bench_calls) / changing.elapsed_s;
    figures.idle_store_calls_per_s = idle.store_calls() / idle.elapsed_s;
    let nodes = to_float(u64::try_from(fleet.nodes.len()).unwrap_or(u64::MAX));
    match mode {
        Mode::Product => {
            let extra_bytes_per_s =
                figures.changing.region_bytes_per_s - figures.idle.region_bytes_per_s;
            figures.link_bytes_per_change =
                extra_bytes_per_s * nodes * changing.elapsed_s / change_count;
            figures.roles = by_role(&observe::roles_of(&fleet.nodes), &usages);
        }
        Mode::Baseline => {
            // Leaves out the bench's own read of the catalogue for each change.
            let per_change = changing.store_bytes() / change_count * nodes / (nodes + 1.0);
            let is_remote = |node: &&crate::harness::node::NodeSpec| node.region != STORE_REGION;
            let remote_nodes = fleet.nodes.iter().filter(is_remote).count();
            let remote_nodes = to_float(u64::try_from(remote_nodes).unwrap_or(u64::MAX));
            figures.link_bytes_per_change = per_change * remote_nodes / nodes;
            figures.changing.bytes_per_s = per_change * change_count / nodes / changing.elapsed_s;
        }
    }
    figures
}

fn by_role(roles: &[Role], usages: &[Usage]) -> Vec<(Role, Usage)> {
    [Role::Member, Role::Watcher, Role::Relay, Role::RegionRelay]
        .into_iter()
        .map(|role| {
            let pairs = roles.iter().zip(usages);
            let held = pairs.filter(|(held, _)| **held == role);
            (role, Usage::mean(held.map(|(_, usage)| usage)))
        })
        .collect()
}

/// Converts a count of a run, which is far below the 2^53 up to which a float is exact.
fn to_float(number: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let number = number as f64;
    number
}
