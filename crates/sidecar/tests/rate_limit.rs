//! Tests of the rate limit that a target names in its answers.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::admission::AdmissionDecision;
use hemlockfall_sidecar::admission::AdmissionQueue;
use hemlockfall_sidecar::admission::AdmissionRequest;
use hemlockfall_sidecar::admission::RejectReason;
use hemlockfall_sidecar::admission::UplinkDemand;
use hemlockfall_sidecar::clock::Time;
use hemlockfall_sidecar::model::RateLimitReport;
use hemlockfall_sidecar::rate_limit;
use hemlockfall_sidecar::rate_limit::RateLimiter;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Window over which the requests at a target are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after an answer with a limit from which on it binds, in milliseconds.
const TOLD_MS: u64 = 500;
/// Time after the first naming from which on limits bind, in milliseconds.
const STABILITY_WINDOW_MS: u64 = 3_000;
/// Requests in a window that are allowed beyond one and a half times the limit.
const ALLOWANCE: f64 = 5.0;
const SLOTS: usize = 12;

fn request(id: u64, now_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        route: "lookup".into(),
        priority: 1,
        due: at(now_ms + 400),
        deadline: at(now_ms + 800),
        target_latency: Duration::from_millis(400),
        uplink: UplinkDemand::default(),
    }
}

fn limited(per_s: f64) -> RateLimiter {
    let mut limiter = RateLimiter::default();
    limiter.set(per_s, at(0), at(0));
    limiter
}

/// Returns the number of requests that are sent in a time under a demand that never ends.
fn sent_within(limiter: &mut RateLimiter, from_ms: u64, to_ms: u64) -> usize {
    (from_ms..to_ms)
        .filter(|now_ms| limiter.take(at(*now_ms)))
        .count()
}

/// Guards against a limit that is exceeded, and against one of which a part stays unused.
#[test]
fn a_limited_target_gets_its_rate() {
    for (per_s, expected) in [
        (0.3, 1..=3),
        (2.0, 7..=8),
        (30.9, 122..=125),
        (250.0, 998..=1002),
    ] {
        let mut limiter = limited(per_s);

        let sent = sent_within(&mut limiter, 0, WINDOW_MS);

        assert!(expected.contains(&sent), "{sent} sent at {per_s} a second");
    }
}

/// Guards against a target that is sent no request after it has named a limit of zero, so that no
/// answer can show that the limit has ended, and against more requests than the allowance.
#[test]
fn a_limit_of_zero_leaves_a_few_requests() {
    let mut limiter = limited(0.0);

    let sent = sent_within(&mut limiter, 0, 2 * WINDOW_MS);

    assert!((2..=5).contains(&sent), "{sent} sent");
}

/// Guards against a burst after a lull that uses up the allowance of a window.
#[test]
fn a_lull_saves_up_few_requests() {
    let mut limiter = limited(40.0);

    let sent =
        sent_within(&mut limiter, 60_000, 60_001) + sent_within(&mut limiter, 60_001, 60_002);
    let burst = (0..100).filter(|_| limiter.take(at(60_002))).count();

    assert!(sent + burst <= 10, "{sent} + {burst}");
}

/// Guards against a lower limit that is undone by an older answer, and against a higher one or the
/// end of a limit that is never believed.
#[test]
fn later_answers_raise_and_withdraw_a_limit() {
    let mut limiter = limited(30.0);
    limiter.set(10.0, at(50), at(100));

    limiter.set(30.0, at(60), at(110));
    limiter.withdraw(at(70));
    assert_eq!(
        limiter.per_s(),
        Some(10.0),
        "by answers to earlier requests"
    );

    limiter.set(20.0, at(120), at(200));
    assert_eq!(limiter.per_s(), Some(20.0));
    limiter.withdraw(at(150));
    assert_eq!(
        limiter.per_s(),
        Some(20.0),
        "by an answer to an earlier request"
    );
    limiter.withdraw(at(210));
    assert_eq!(limiter.per_s(), None);
    assert!(limiter.take(at(211)));
}

/// Guards against a limit of an earlier process of the target that binds its next one, also by an
/// answer that is read late.
#[test]
fn a_new_process_of_the_target_has_no_limit() {
    let mut limiter = limited(10.0);

    limiter.reset(at(1_000));
    limiter.set(10.0, at(900), at(1_100));
    assert_eq!(limiter.per_s(), None);

    limiter.set(5.0, at(1_050), at(1_200));
    assert_eq!(limiter.per_s(), Some(5.0));
}

/// Load: a burst at a target with free slots that has limited its rate. Guards against requests that
/// wait although the limit does not allow an answer in time; they must be rejected at once, with the
/// time after which a retry makes sense.
#[test]
fn requests_beyond_the_rate_limit_are_rejected_at_once() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(SLOTS);
    queue.set_rate_limit(10.0, at(0), at(0));

    let decisions: Vec<AdmissionDecision> = (0..6)
        .map(|id| queue.admit(request(id, 1_000), at(1_000)))
        .collect();

    let runs = |decision: &&AdmissionDecision| matches!(decision, AdmissionDecision::Run);
    assert_eq!(decisions.iter().filter(runs).count(), 2);
    let AdmissionDecision::Reject {
        reason: RejectReason::RateLimited,
        retry_after,
        ..
    } = decisions[5]
    else {
        panic!("{:?}", decisions[5]);
    };
    assert!(retry_after >= Duration::from_millis(100), "{retry_after:?}");
    assert!(queue.rate_limit_wait(at(1_000)) >= retry_after);
}

/// Guards against a request that has a free slot and waits for the rate limit, and is not sent when
/// the limit allows it.
#[test]
fn a_waiting_request_is_sent_when_the_rate_limit_allows_it() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(SLOTS);
    queue.set_rate_limit(10.0, at(0), at(0));
    let waits = AdmissionDecision::Wait {
        displaced: Vec::new(),
    };
    assert_eq!(queue.admit(request(1, 0), at(0)), waits);

    let due = queue.next_permit_at(at(0)).expect("a request waits");
    assert!(queue.dispatch(at(50)).run.is_empty());
    let dispatch = queue.dispatch(due);

    assert!(at(50) < due && due <= at(100));
    assert_eq!(dispatch.run, [1]);
    assert_eq!(queue.next_permit_at(due), None);
}

/// Guards against a restarted node that fills all slots of a target whose limit other nodes know, and
/// against their knowledge that goes before an answer of the target.
#[test]
fn a_restarted_node_takes_the_limit_from_others_until_the_first_answer() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(SLOTS);
    queue.replace_target(at(0));
    assert_eq!(queue.load().rate_limit, RateLimitReport::Unknown);

    queue.restore_rate_limit(10.0, at(100));
    for id in 0..20 {
        queue.admit(request(id, 100), at(100));
    }
    assert_eq!(queue.load().running, 0);
    assert_eq!(queue.load().rate_limit, RateLimitReport::Limited(10_000));

    queue.answered();
    queue.withdraw_rate_limit(at(200));
    queue.restore_rate_limit(10.0, at(300));
    assert_eq!(queue.load().rate_limit, RateLimitReport::Unlimited);
}

/// Rate that a target names at a time, in requests per second; infinite without a limit.
fn rate_or_infinite(named: Option<f64>) -> f64 {
    named.unwrap_or(f64::INFINITY)
}

/// Nodes at which requests begin: the target's node, one of its data centre, and a distant one.
const OWN: usize = 0;
const NEAR: usize = 1;
const NODES: usize = 3;

/// Run at the simulated target.
struct Run {
    node: usize,
    started: Time,
    end_ms: u64,
}

/// Answer of the simulated target on its way to the node.
struct Answer {
    read_at_ms: u64,
    node: usize,
    started: Time,
    named: Option<f64>,
}

/// Target whose limit changes at random times, and its node, which is paused and restarted at
/// random times. Answers are read late and in another order than they were made, and a request may
/// begin at any node.
struct Simulation {
    random: SmallRng,
    queue: AdmissionQueue,
    named: Option<f64>,
    runs: Vec<Run>,
    answers: Vec<Answer>,
    /// When each node was first told of a limit; requests that begin there count from then on.
    told_ms: [Option<u64>; NODES],
    /// Limit that each node sends along with its calls.
    known: [Option<u32>; NODES],
    /// Rate of the last answer that was read, infinite before the first one.
    told_per_s: f64,
    first_named_ms: Option<u64>,
    resumes_ms: u64,
    restarted_ms: u64,
    arrivals_ms: Vec<u64>,
    /// Rates for each millisecond: what the target names, and what nodes were told.
    rates: Vec<(f64, f64)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut queue = AdmissionQueue::default();
        queue.set_slots(SLOTS);
        Self {
            random: SmallRng::seed_from_u64(seed),
            queue,
            named: None,
            runs: Vec::new(),
            answers: Vec::new(),
            told_ms: [None; NODES],
            known: [None; NODES],
            told_per_s: f64::INFINITY,
            first_named_ms: None,
            resumes_ms: 0,
            restarted_ms: 0,
            arrivals_ms: Vec::new(),
            rates: Vec::new(),
        }
    }

    fn chance(&mut self, per_s: f64) -> bool {
        self.random.random_range(0.0..1000.0) < per_s
    }

    fn send(&mut self, node: usize, now_ms: u64) {
        if self.told_ms[node].is_some_and(|told_ms| told_ms + TOLD_MS <= now_ms) {
            self.arrivals_ms.push(now_ms);
        }
        let end_ms = now_ms + self.random.random_range(5..300);
        self.runs.push(Run {
            node,
            started: at(now_ms),
            end_ms,
        });
    }

    fn change_target(&mut self, now_ms: u64) {
        if self.chance(0.3) {
            let limits = [
                None,
                Some(0.0),
                Some(0.4),
                Some(2.0),
                Some(9.5),
                Some(31.0),
                Some(80.0),
            ];
            self.named = limits[self.random.random_range(0..limits.len())];
            self.first_named_ms = self.first_named_ms.or(self.named.map(|_| now_ms));
        }
        let runs = std::mem::take(&mut self.runs);
        for run in runs {
            if run.end_ms > now_ms {
                self.runs.push(run);
                continue;
            }
            let read_at_ms = now_ms + self.random.random_range(0..40);
            self.answers.push(Answer {
                read_at_ms,
                node: run.node,
                started: run.started,
                named: self.named,
            });
        }
    }

    /// Restarts the node at most once in a window. The runs for the old process give no answer, and
    /// requests that begin at the node count from the next answer on.
    fn change_node(&mut self, now_ms: u64) {
        if self.chance(0.1) {
            self.resumes_ms = now_ms + self.random.random_range(100..2_000);
        }
        if now_ms > self.restarted_ms + WINDOW_MS && self.chance(0.2) {
            self.restarted_ms = now_ms;
            self.resumes_ms = now_ms + self.random.random_range(100..1_000);
            self.queue = AdmissionQueue::default();
            self.queue.set_slots(SLOTS);
            self.queue.replace_target(at(self.resumes_ms));
            self.runs.clear();
            self.answers.clear();
            self.told_ms[OWN] = None;
        }
    }

    fn read_answers(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        self.answers.retain_mut(|answer| {
            let is_due = answer.read_at_ms <= now_ms;
            if is_due {
                due.push((answer.node, answer.started, answer.named));
            }
            !is_due
        });
        while !due.is_empty() {
            let index = self.random.random_range(0..due.len());
            let (node, started, named) = due.swap_remove(index);
            self.queue.answered();
            match named {
                Some(per_s) => {
                    self.queue.set_rate_limit(per_s, started, at(now_ms));
                    self.told_ms[node] = self.told_ms[node].or(Some(now_ms));
                }
                None => self.queue.withdraw_rate_limit(started),
            }
            self.report_load(node);
            self.told_per_s = rate_or_infinite(named);
            let took = at(now_ms).saturating_sub(started);
            self.queue.finished(&"lookup".into(), took, true);
            self.dispatch(now_ms);
        }
    }

    fn report_load(&mut self, node: usize) {
        match self.queue.load().rate_limit {
            RateLimitReport::Unknown => {}
            RateLimitReport::Unlimited => self.known[node] = None,
            RateLimitReport::Limited(milli_per_s) => self.known[node] = Some(milli_per_s),
        }
    }

    fn dispatch(&mut self, now_ms: u64) {
        for id in self.queue.dispatch(at(now_ms)).run {
            self.send(usize::try_from(id).expect("small") % NODES, now_ms);
        }
    }

    fn begin_request(&mut self, now_ms: u64) {
        let node = self.random.random_range(0..NODES);
        if node != OWN
            && let Some(milli_per_s) = self.known[node]
        {
            let per_s = rate_limit::from_milli(milli_per_s);
            self.queue.restore_rate_limit(per_s, at(now_ms));
        }
        let id = now_ms * NODES as u64 + node as u64;
        if self.queue.admit(request(id, now_ms), at(now_ms)) == AdmissionDecision::Run {
            self.send(node, now_ms);
        }
    }

    fn step(&mut self, now_ms: u64) {
        self.change_target(now_ms);
        self.change_node(now_ms);
        if now_ms >= self.resumes_ms {
            self.read_answers(now_ms);
            let is_permit_due = self.queue.next_permit_at(at(now_ms));
            if is_permit_due.is_some_and(|due| due <= at(now_ms)) {
                self.dispatch(now_ms);
            }
            if self.chance(150.0) {
                self.begin_request(now_ms);
            }
            if now_ms.is_multiple_of(100) {
                self.report_load(NEAR);
            }
        }
        let named_per_s = rate_or_infinite(self.named);
        self.rates.push((named_per_s, self.told_per_s));
    }

    /// Returns a window with more requests than the target allows: one and a half times the rate,
    /// where a rate binds that the target names and that was told long enough ago.
    fn violation(&self) -> Option<String> {
        let binding: Vec<f64> = (0..self.rates.len())
            .map(|now| {
                let from = now.saturating_sub(usize::try_from(TOLD_MS).expect("small"));
                let told = self.rates[from..=now].iter().map(|(_, told)| *told);
                told.fold(self.rates[now].0, f64::max)
            })
            .collect();
        let first = self.first_named_ms? + STABILITY_WINDOW_MS;
        for (index, from_ms) in self.arrivals_ms.iter().enumerate() {
            let end_ms = from_ms + WINDOW_MS;
            let window = usize::try_from(*from_ms).ok()?..usize::try_from(end_ms).ok()?;
            if *from_ms < first || window.end > binding.len() {
                continue;
            }
            let allowed = 1.5 * binding[window].iter().sum::<f64>() / 1000.0 + ALLOWANCE;
            let count = self.arrivals_ms.partition_point(|at| *at < end_ms) - index;
            let count = f64::from(u32::try_from(count).ok()?);
            if count > allowed {
                return Some(format!("{count} from {from_ms} ms on, allowed {allowed}"));
            }
        }
        None
    }
}

/// Guards against a window over the limit when it changes, ends and returns, answers are read late
/// and out of order, and the node is paused and restarted.
#[test]
fn no_window_exceeds_the_limits_that_a_target_names() {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);

        for now_ms in 0..30_000 {
            simulation.step(now_ms);
        }

        let violation = simulation.violation();
        assert!(violation.is_none(), "seed {seed}: {violation:?}");
    }
}
