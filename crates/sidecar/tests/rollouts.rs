//! Simulated rollouts of good versions and of versions that fail under load or are partly slow.
//!
//! Each node limits its canary requests by its own part of the share. The rates over all seeds are
//! in `docs/decisions/rollouts.md`.

use std::time::Duration;

use hemlockfall_sidecar::clock::Time;
use hemlockfall_sidecar::exposure::CanaryUse;
use hemlockfall_sidecar::exposure::Exposure;
use hemlockfall_sidecar::exposure::RolloutRequest;
use hemlockfall_sidecar::judge::Evidence;
use hemlockfall_sidecar::judge::Judge;
use hemlockfall_sidecar::judge::Tally;
use hemlockfall_sidecar::judge::TimedRun;
use hemlockfall_sidecar::judge::Verdict;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const FINISH_IN: Duration = Duration::from_secs(15);
/// Time at which the new targets have started and are no longer cold.
const NEW_TARGETS_AT: Duration = Duration::from_millis(1500);
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest wait for a slot with which an answer can be in time.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(350);
const SEEDS: u64 = 200;
/// Bound of the mesh on the requests of a bad version: a tenth of all requests and 50 more.
const SHARE_DIVISOR: u64 = 10;
const ALLOWANCE: u64 = 50;

/// Size and load of a simulated mesh.
#[derive(Clone, Copy, Debug)]
struct Mesh {
    nodes: usize,
    requests_per_s: u64,
    /// Targets of the active version.
    old_targets: usize,
    new_targets: usize,
    slots: usize,
    run_ms: f64,
}

/// A service of a mesh of 16 VMs, the busiest service of 12 VMs, and a service of 195 VMs.
const MESHES: [Mesh; 3] = [
    Mesh {
        nodes: 16,
        requests_per_s: 75,
        old_targets: 4,
        new_targets: 4,
        slots: 6,
        run_ms: 220.0,
    },
    Mesh {
        nodes: 19,
        requests_per_s: 500,
        old_targets: 7,
        new_targets: 7,
        slots: 12,
        run_ms: 100.0,
    },
    Mesh {
        nodes: 309,
        requests_per_s: 1190,
        old_targets: 114,
        new_targets: 114,
        slots: 7,
        run_ms: 300.0,
    },
];

/// Relative speeds of the targets of a service, assigned in turn.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Target latency of the route, in multiples of the mean run time.
const TARGET_LATENCY_RUNS: f64 = 3.0;
/// Share of a bad version's requests that are affected by its fault.
const BAD_SHARE: f64 = 0.4;
/// Factor by which affected runs of a slow version take longer.
const SLOW_FACTOR: f64 = 8.0;

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A share of the requests that start with at least half of the slots in use fail.
    UnderLoad,
    /// A share of the runs take much longer.
    Slow,
}

/// Simulated target; each slot is given by the time from which it is free.
struct Target {
    speed: f64,
    slots: Vec<Time>,
    tally: Tally,
    busy: Tally,
}

impl Target {
    fn new(slots: usize, index: usize) -> Self {
        Self {
            speed: SPEEDS[index % SPEEDS.len()],
            slots: vec![Time::ZERO; slots],
            tally: Tally::default(),
            busy: Tally::default(),
        }
    }

    fn wait(&self, now: Time) -> Duration {
        let first = self.slots.iter().min().copied().unwrap_or_default();
        first.saturating_sub(now)
    }

    /// Runs a request that takes `work` at a target of speed 1.
    fn run(&mut self, now: Time, work: Duration, fault: Fault, random: &mut impl Rng) -> Run {
        let start = now + self.wait(now);
        let taken = 1 + self
            .slots
            .iter()
            .filter(|free_at| **free_at > start)
            .count();
        let is_busy = taken * 10 >= self.slots.len() * 7;
        let meets_fault = random.random_bool(BAD_SHARE);
        let failed = fault == Fault::UnderLoad && taken * 2 >= self.slots.len() && meets_fault;
        let mut took = work.div_f64(self.speed);
        if fault == Fault::Slow && meets_fault {
            took = took.mul_f64(SLOW_FACTOR);
        }
        if let Some(slot) = self.slots.iter_mut().min() {
            *slot = start + took;
        }
        Run {
            start,
            took,
            failed,
            is_busy,
        }
    }
}

struct Run {
    start: Time,
    took: Duration,
    failed: bool,
    is_busy: bool,
}

struct Outcome {
    verdict: Verdict,
    requests: u64,
    canary_requests: u64,
}

fn lognormal(mean_ms: f64, random: &mut impl Rng) -> Duration {
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let deviation = 0.5_f64;
    let ms = mean_ms * (deviation * normal - deviation * deviation / 2.0).exp();
    Duration::from_secs_f64(ms / 1000.0)
}

/// Simulates a rollout up to its verdict.
fn simulate(mesh: Mesh, fault: Fault, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut exposures = vec![Exposure::default(); mesh.nodes];
    let targets = |count| {
        (0..count)
            .map(|index| Target::new(mesh.slots, index))
            .collect()
    };
    let mut old: Vec<Target> = targets(mesh.old_targets);
    let mut new: Vec<Target> = targets(mesh.new_targets);
    let mut runs: Vec<(bool, usize, Run)> = Vec::new();
    let mut judge = Judge::new(Time::ZERO, FINISH_IN);
    let mut now = Time::ZERO;
    let mut next_report = REPORT_INTERVAL;
    let (mut requests, mut canary_requests) = (0, 0);
    loop {
        let gap = -random.random_range(f64::EPSILON..1.0_f64).ln();
        now += Duration::from_secs_f64(
            gap / f64::from(u32::try_from(mesh.requests_per_s).expect("a rate")),
        );
        if now >= next_report {
            next_report += REPORT_INTERVAL;
            let target_latency =
                Duration::from_secs_f64(mesh.run_ms * TARGET_LATENCY_RUNS / 1000.0);
            report(
                &mut judge,
                &mut runs,
                (&mut old, &mut new),
                target_latency,
                now,
            );
            let verdict = judge.verdict(now);
            if verdict != Verdict::Open {
                return Outcome {
                    verdict,
                    requests,
                    canary_requests,
                };
            }
        }
        requests += 1;
        let node = random.random_range(0..mesh.nodes);
        let request = RolloutRequest {
            age: now,
            finish_in: FINISH_IN,
            is_idempotent: random.random_bool(0.7),
        };
        let has_new_targets = now >= NEW_TARGETS_AT;
        let canary_use = exposures[node].next(request, ALLOWANCE, mesh.nodes);
        let is_free = |target: &Target| target.wait(now) <= MAX_SLOT_WAIT;
        let choice = match canary_use {
            CanaryUse::LoadTest(test) if has_new_targets => {
                let first = usize::from(test) % mesh.new_targets;
                (0..mesh.new_targets)
                    .map(|index| (first + index) % mesh.new_targets)
                    .find(|index| is_free(&new[*index]))
            }
            CanaryUse::Spread if has_new_targets => Some(random.random_range(0..mesh.new_targets)),
            _ => None,
        };
        let work = lognormal(mesh.run_ms, &mut random);
        if let Some(index) = choice {
            canary_requests += 1;
            let run = new[index].run(now, work, fault, &mut random);
            runs.push((true, index, run));
        } else {
            let index = random.random_range(0..mesh.old_targets);
            if is_free(&old[index]) {
                let run = old[index].run(now, work, Fault::None, &mut random);
                runs.push((false, index, run));
            }
        }
    }
}

/// Reports the finished runs and the unfinished late runs to the judge.
fn report(
    judge: &mut Judge,
    runs: &mut Vec<(bool, usize, Run)>,
    (old, new): (&mut [Target], &mut [Target]),
    target_latency: Duration,
    now: Time,
) {
    runs.retain(|(is_new_version, index, run)| {
        if run.start + run.took > now {
            return true;
        }
        let target = if *is_new_version {
            &mut new[*index]
        } else {
            &mut old[*index]
        };
        let timed = TimedRun {
            took: run.took,
            target_latency,
        };
        target.tally.add(run.failed, Some(timed));
        if run.is_busy {
            target.busy.add(run.failed, Some(timed));
        }
        false
    });
    for (is_new_version, targets) in [(false, old), (true, new)] {
        for (index, target) in targets.iter().enumerate() {
            let (mut tally, mut busy) = (target.tally, target.busy);
            let unfinished = runs
                .iter()
                .filter(|(is_new, at, _)| (*is_new, *at) == (is_new_version, index));
            for (.., run) in unfinished {
                let timed = TimedRun {
                    took: now.saturating_sub(run.start),
                    target_latency,
                };
                tally.add_overdue(timed);
                if run.is_busy {
                    busy.add_overdue(timed);
                }
            }
            judge.record(Evidence {
                node: format!("{is_new_version}-{index}").into(),
                incarnation: 1,
                is_new_version,
                routes: vec![("lookup".into(), tally)],
                busy,
            });
        }
    }
}

fn assert_bad_versions_do_not_finish(fault: Fault) {
    for mesh in MESHES {
        let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| simulate(mesh, fault, seed)).collect();

        let finished = outcomes
            .iter()
            .filter(|outcome| outcome.verdict == Verdict::Accept)
            .count();
        println!("{fault:?}: {finished} of {SEEDS} bad versions accepted, {mesh:?}");
        assert_eq!(finished, 0, "{mesh:?}");
        for outcome in outcomes {
            let bound = outcome.requests / SHARE_DIVISOR + ALLOWANCE;
            assert!(
                outcome.canary_requests <= bound,
                "{} of {bound}",
                outcome.canary_requests
            );
        }
    }
}

/// Load: a canary share that would leave new targets idle. Guards against accepting a version that
/// fails two requests in five at busy targets.
#[test]
fn no_version_that_fails_under_load_takes_over() {
    assert_bad_versions_do_not_finish(Fault::UnderLoad);
}

/// Guards against accepting a version of which two requests in five are slow, because the mean
/// latency hides them or their callers have disconnected.
#[test]
fn no_version_that_is_intermittently_slow_takes_over() {
    assert_bad_versions_do_not_finish(Fault::Slow);
}

/// Guards against rejecting a good version because its targets were under load or are slower than
/// others of the service.
#[test]
fn good_versions_take_over() {
    for mesh in MESHES {
        let rejected: Vec<Verdict> = (0..SEEDS)
            .map(|seed| simulate(mesh, Fault::None, seed).verdict)
            .filter(|verdict| *verdict != Verdict::Accept)
            .collect();

        println!(
            "{} of {SEEDS} good versions rejected, {mesh:?}",
            rejected.len()
        );
        assert!(rejected.is_empty(), "{mesh:?}: {rejected:?}");
    }
}
