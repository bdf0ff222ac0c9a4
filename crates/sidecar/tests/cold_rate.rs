//! Tests of the rate at which a cold target gets requests.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::admission::AdmissionDecision;
use hemlockfall_sidecar::admission::AdmissionQueue;
use hemlockfall_sidecar::admission::AdmissionRequest;
use hemlockfall_sidecar::admission::UplinkDemand;
use hemlockfall_sidecar::cold_doubt::ColdDoubt;
use hemlockfall_sidecar::cold_rate::ColdLimit;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEEDS: u64 = 200;
const SCHEDULE_MS: u64 = 15_000;
/// Cold rate, slots, and most requests within a second; the first are those of a deployment.
const LIMITS: [(f64, usize, usize); 4] =
    [(13.0, 13, 27), (2.0, 8, 11), (40.0, 13, 40), (0.7, 1, 1)];

/// Target and its queue, in steps of a millisecond.
struct Simulation {
    queue: AdmissionQueue,
    random: SmallRng,
    limit: ColdLimit,
    /// Longest run, in milliseconds.
    max_run_ms: u64,
    /// Ends of the runs in progress, and whether each is a health check.
    running: Vec<(u64, bool)>,
    /// When each request reaches the target.
    arrivals: Vec<u64>,
    next_id: u64,
}

impl Simulation {
    fn new(seed: u64, (per_s, slots, max_per_window): (f64, usize, usize)) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut queue = AdmissionQueue::default();
        queue.set_slots(slots);
        Self {
            queue,
            max_run_ms: random.random_range(2..1_500),
            random,
            limit: ColdLimit {
                per_s,
                max_per_window,
            },
            running: Vec::new(),
            arrivals: Vec::new(),
            next_id: 0,
        }
    }

    fn set_cold(&mut self, may_be_cold: bool, now: u64) {
        let limit = Some(self.limit);
        self.queue.set_cold_limit(limit, may_be_cold, at(now));
    }

    /// Starts a run. Its request reaches the target at any time until the run ends.
    fn run(&mut self, is_check: bool, now: u64) {
        let end = now + self.random.random_range(1..=self.max_run_ms);
        self.arrivals.push(self.random.random_range(now..=end));
        self.running.push((end, is_check));
    }

    /// Ends the runs that are over, and sends requests on a demand and as the limits allow.
    fn step(&mut self, demand: usize, now: u64) {
        let (over, running) = self.running.iter().partition(|(end, _)| *end <= now);
        self.running = running;
        let over: Vec<(u64, bool)> = over;
        for (_, is_check) in over {
            if is_check {
                self.queue.release();
            } else {
                let took = Duration::from_millis(20);
                self.queue.finished(&"lookup".into(), took, true);
            }
        }
        for _ in 0..demand {
            self.next_id += 1;
            let request = AdmissionRequest {
                id: self.next_id,
                route: "lookup".into(),
                priority: 1,
                due: at(now + 900),
                deadline: at(now + 1_800),
                target_latency: Duration::from_millis(900),
                uplink: UplinkDemand::default(),
            };
            if self.queue.admit(request, at(now)) == AdmissionDecision::Run {
                self.run(false, now);
            }
        }
        for _ in self.queue.dispatch(at(now)).run {
            self.run(false, now);
        }
    }

    /// Returns the most requests that reach the target in a second of an interval.
    fn busiest_second(&self, from: u64, to: u64) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.retain(|at| (from..to).contains(at));
        arrivals.sort_unstable();
        (0..arrivals.len())
            .map(|first| arrivals.partition_point(|at| *at <= arrivals[first] + 1_000) - first)
            .max()
            .unwrap_or(0)
    }
}

/// Load: random demand, run times and health checks while a target becomes cold and warm again at any
/// moment. Guards against a cold target that gets more requests in a second than it withstands, also
/// just after it has become cold with many requests under way.
#[test]
fn no_second_of_a_cold_target_exceeds_the_bound() {
    for seed in 0..SEEDS {
        for limits in LIMITS {
            let mut simulation = Simulation::new(seed, limits);
            let mut cold_since = None;
            let mut cold_times = Vec::new();
            let mut demand_percent = 50;
            simulation.set_cold(false, 0);

            for now in 0..SCHEDULE_MS {
                if simulation.random.random_range(0..1_500) == 0 {
                    match cold_since.take() {
                        Some(since) => cold_times.push((since, now)),
                        None => cold_since = Some(now),
                    }
                    simulation.set_cold(cold_since.is_some(), now);
                    demand_percent = simulation.random.random_range(0..=100);
                }
                if simulation.random.random_range(0..500) == 0
                    && simulation.queue.admit_check(at(now))
                {
                    simulation.run(true, now);
                }
                let has_demand = simulation.random.random_range(0..100) < demand_percent;
                simulation.step(usize::from(has_demand), now);
            }
            cold_times.extend(cold_since.map(|since| (since, SCHEDULE_MS)));

            for (from, to) in cold_times {
                let most = simulation.busiest_second(from, to);
                let max = simulation.limit.max_per_window;
                assert!(most <= max, "seed {seed}: {most} of {max} in {from}..{to}");
            }
        }
    }
}

/// Guards against a cold rate of which a part stays unused under a constant demand.
#[test]
fn the_cold_rate_is_used() {
    let mut simulation = Simulation::new(1, LIMITS[0]);
    simulation.max_run_ms = 600;
    simulation.set_cold(true, 0);

    for now in 0..20_000 {
        simulation.step(usize::from(now % 20 == 0), now);
    }

    let sent = simulation.arrivals.len();
    assert!((247..=264).contains(&sent), "{sent} of 260");
}

/// Guards against a limit that also holds for a warm target or a service without a cold rate.
#[test]
fn other_targets_are_not_limited() {
    for (limit, may_be_cold) in [
        (None, true),
        (
            Some(ColdLimit {
                per_s: 13.0,
                max_per_window: 27,
            }),
            false,
        ),
    ] {
        let mut simulation = Simulation::new(1, LIMITS[0]);
        simulation.max_run_ms = 2;

        simulation.queue.set_cold_limit(limit, may_be_cold, at(0));
        for now in 0..1_000 {
            simulation.step(1, now);
        }

        assert!(simulation.arrivals.len() > 900);
    }
}

/// Guards against a doubt that an outdated report ends, and against one that never ends or is checked
/// too often.
#[test]
fn only_a_later_report_ends_a_doubt() {
    let begun = |now: u64| {
        let mut doubt = ColdDoubt::default();
        doubt.heartbeat(at(now - 500));
        doubt.begin(at(now));
        doubt
    };

    let mut buffered = begun(1_000);
    buffered.heartbeat(at(1_020));
    let mut reported = begun(1_000);
    reported.heartbeat(at(1_200));
    let mut checked = begun(1_000);
    checked.check_answered(Some(false), at(990));
    checked.check_answered(None, at(1_001));
    checked.check_answered(Some(true), at(1_001));
    let is_still_open = checked.is_open();
    checked.check_answered(Some(false), at(1_001));
    let mut asked = begun(1_000);
    asked.check_sent(at(1_000));

    assert!(buffered.is_open() && !reported.is_open());
    assert!(is_still_open && !checked.is_open());
    assert!(!asked.is_check_due(at(1_499)) && asked.is_check_due(at(1_500)));
    assert!(!reported.is_check_due(at(9_000)));
}
