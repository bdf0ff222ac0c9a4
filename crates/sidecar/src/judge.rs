//! Judgement on a new version of a service.
//!
//! Nodes count the answers of their targets; the judge compares the new version with the others
//! on each route, at busy targets and in the whole. Some versions fail under load only, so a
//! version is accepted early only if busy targets of it were seen to serve.

use std::time::Duration;

use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RouteName;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;

/// Failed answers below which a version is not judged to be bad.
const MIN_FAILURES: u64 = 4;
/// Share of failures beyond the other versions' that makes a version bad.
const FAILURE_MARGIN: f64 = 0.08;
/// Failed answers that make a version bad when the verdict falls on fewer answers than an early
/// acceptance needs. Three failures of five answers were accepted once (soak seed 678564), after
/// the only target of the version had restarted.
const MIN_FAILURES_WITH_FEW_ANSWERS: u64 = 2;
/// Share of failures that is usual at least, as few answers of the other versions may show none.
const MIN_BASELINE_SHARE: f64 = 0.03;
/// When a version counts as slow before all evidence is there. Few runs may happen to be those of
/// a slow target, of which an eighth are late where few are in the whole.
const EARLY_SLOW_LIMIT: SlowLimit = SlowLimit {
    min_late: 6,
    margin: 0.15,
    deviations: CHANCE_DEVIATIONS,
};
/// When it counts as slow at the end.
const FINAL_SLOW_LIMIT: SlowLimit = SlowLimit {
    min_late: 4,
    margin: 0.08,
    deviations: 1.0,
};
/// Standard deviations of a share of failures, beyond its margin, that are chance.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// Answers of a target below which it says nothing of the usual shares.
const MIN_TARGET_ANSWERS: u64 = 5;
/// Answers below which the latency is not judged.
const MIN_LATENCIES: u64 = 8;
/// Factor on the other versions' latency that makes a version bad. Targets of one service differ
/// in speed by up to three times.
const LATENCY_FACTOR: f64 = 3.2;
/// Latency below which a factor says nothing.
const LATENCY_FLOOR: Duration = Duration::from_millis(20);
/// Part of the time of a roll-out after which a version without fault is accepted, in percent.
const ACCEPT_AFTER_PERCENT: u32 = 62;
/// Answers of the new version that an early acceptance needs, and those of them at busy targets.
/// Of 16 answers of a version that fails two in five under load, fewer than four are failures in
/// 7 of 100 cases; the last load test, before the verdict falls in any case, adds more.
const ACCEPT_ANSWERS: u64 = 25;
const ACCEPT_BUSY_ANSWERS: u64 = 16;
/// Part of the time of a roll-out after which the verdict falls in any case, in percent.
const DECIDE_AFTER_PERCENT: u32 = 82;

/// `Tally` counts the answers of one route at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers.
    pub answers: u64,
    /// Answers that are failures.
    pub failures: u64,
    /// Runs whose time counts, including some that took too long to be waited for.
    pub timed: u64,
    /// Sum of their times, in milliseconds.
    pub latency_sum_ms: u64,
    /// Those of them that took longer than the target latency of their route.
    pub late: u64,
}

/// `SlowLimit` tells when late runs make a version bad.
#[derive(Clone, Copy, Debug)]
struct SlowLimit {
    /// Late runs below which it is not judged.
    min_late: u64,
    /// Share of late runs beyond the other versions'.
    margin: f64,
    /// Standard deviations of the share, beyond the margin, that are chance.
    deviations: f64,
}

/// `TimedRun` is the time of a run, and the time in which its route's answers should be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedRun {
    /// Time of the run so far.
    pub took: Duration,
    /// Target latency of the route.
    pub target_latency: Duration,
}

impl TimedRun {
    /// `is_late` tells whether the run has taken too long.
    #[must_use]
    pub fn is_late(self) -> bool {
        self.took > self.target_latency
    }
}

impl Tally {
    /// `add` counts one answer; the time of a target that has just started does not count.
    pub fn add(&mut self, failed: bool, timed: Option<TimedRun>) {
        self.answers += 1;
        self.failures += u64::from(failed);
        if let Some(timed) = timed
            && !failed
        {
            self.add_time(timed);
        }
    }

    /// `add_overdue` counts a run without an answer that has taken too long.
    pub fn add_overdue(&mut self, timed: TimedRun) {
        if timed.is_late() {
            self.add_time(timed);
        }
    }

    fn add_time(&mut self, timed: TimedRun) {
        self.timed += 1;
        self.late += u64::from(timed.is_late());
        self.latency_sum_ms += u64::try_from(timed.took.as_millis()).unwrap_or(u64::MAX);
    }

    fn merge(&mut self, other: Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.timed += other.timed;
        self.latency_sum_ms += other.latency_sum_ms;
        self.late += other.late;
    }

    fn failures_of_answers(self) -> Proportion {
        Proportion {
            count: self.failures,
            total: self.answers,
        }
    }

    fn late_of_timed(self) -> Proportion {
        Proportion {
            count: self.late,
            total: self.timed,
        }
    }

    fn latency_ms(self) -> f64 {
        share(self.latency_sum_ms, self.timed)
    }
}

/// `Proportion` is a part of a number of answers or runs.
#[derive(Clone, Copy, Debug)]
struct Proportion {
    count: u64,
    total: u64,
}

impl Proportion {
    fn share(self) -> f64 {
        share(self.count, self.total)
    }
}

/// Tells whether a share lies further above a usual one than a margin and chance explain.
fn is_significantly_above(
    observed: Proportion,
    baseline: f64,
    margin: f64,
    deviations: f64,
) -> bool {
    let deviation = (baseline * (1.0 - baseline) / share(observed.total, 1)).sqrt();
    observed.share() > baseline + margin + deviations * deviation
}

fn share(count: u64, total: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of one roll-out stay far below 2^52"
    )]
    let share = count as f64 / total.max(1) as f64;
    share
}

/// `Evidence` is what one node has counted at its target since the roll-out began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Node.
    pub node: NodeName,
    /// Start of the node's process.
    pub incarnation: u64,
    /// Whether the target runs the new version.
    pub is_new_version: bool,
    /// Counts, sorted by route.
    pub routes: Vec<(RouteName, Tally)>,
    /// Counts of the runs that began at a busy target; they are in `routes` as well.
    pub busy: Tally,
}

/// `Verdict` is the judgement on a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// More answers are needed.
    Open,
    /// The version takes over.
    Accept,
    /// The version is bad.
    Reject {
        /// What shows the fault.
        reason: String,
    },
}

/// `Judge` collects the evidence on one roll-out.
#[derive(Debug)]
pub struct Judge {
    started: Time,
    finish_in: Duration,
    /// Sorted by node and incarnation.
    evidence: Vec<Evidence>,
}

impl Judge {
    /// `new` starts without evidence.
    #[must_use]
    pub fn new(started: Time, finish_in: Duration) -> Self {
        Self {
            started,
            finish_in,
            evidence: Vec::new(),
        }
    }

    /// `record` replaces what a node has said before.
    pub fn record(&mut self, evidence: Evidence) {
        let key = |evidence: &Evidence| {
            (
                evidence.node.clone(),
                evidence.incarnation,
                evidence.is_new_version,
            )
        };
        let new_key = key(&evidence);
        match self
            .evidence
            .binary_search_by(|existing| key(existing).cmp(&new_key))
        {
            Ok(index) => self.evidence[index] = evidence,
            Err(index) => self.evidence.insert(index, evidence),
        }
    }

    /// `verdict` judges the version.
    #[must_use]
    pub fn verdict(&self, now: Time) -> Verdict {
        if let Some(reason) = self.fault(EARLY_SLOW_LIMIT) {
            return Verdict::Reject { reason };
        }
        let (all, busy) = (self.answers(), self.busy_answers());
        let has_enough_answers =
            all.answers >= ACCEPT_ANSWERS && busy.answers >= ACCEPT_BUSY_ANSWERS;
        let age = now.saturating_sub(self.started);
        let may_accept = has_enough_answers && age >= self.finish_in * ACCEPT_AFTER_PERCENT / 100;
        let must_decide = age >= self.finish_in * DECIDE_AFTER_PERCENT / 100;
        if !may_accept && !must_decide {
            return Verdict::Open;
        }
        if all.answers == 0 {
            let reason = "no answer of the new version was seen".to_owned();
            return Verdict::Reject { reason };
        }
        match self
            .fault(FINAL_SLOW_LIMIT)
            .or_else(|| self.fault_with_few_answers())
        {
            Some(reason) => Verdict::Reject { reason },
            None => Verdict::Accept,
        }
    }

    /// What shows that a version with few answers is bad, when no more of them can be awaited.
    fn fault_with_few_answers(&self) -> Option<String> {
        let all = self.answers();
        let baseline = self.baseline_share(|evidence| all_routes(evidence).failures_of_answers());
        let is_bad = all.answers < ACCEPT_ANSWERS
            && all.failures >= MIN_FAILURES_WITH_FEW_ANSWERS
            && is_significantly_above(
                all.failures_of_answers(),
                baseline.max(MIN_BASELINE_SHARE),
                FAILURE_MARGIN,
                CHANCE_DEVIATIONS,
            );
        is_bad.then(|| {
            format!(
                "{} of only {} answers failed, {baseline:.3} with the other versions",
                all.failures, all.answers
            )
        })
    }

    /// `answers` counts the answers of the new version.
    #[must_use]
    pub fn answers(&self) -> Tally {
        self.sum(true, all_routes)
    }

    /// `busy_answers` counts the answers of busy targets of the new version.
    #[must_use]
    pub fn busy_answers(&self) -> Tally {
        self.sum(true, |evidence| evidence.busy)
    }

    /// What shows that the new version is bad, if anything does.
    fn fault(&self, slow: SlowLimit) -> Option<String> {
        self.fault_in("all routes", slow, all_routes)
            .or_else(|| self.fault_in("busy targets", slow, |evidence| evidence.busy))
            .or_else(|| {
                self.new_routes().into_iter().find_map(|route| {
                    self.fault_in(&route, slow, |evidence| on_route(evidence, &route))
                })
            })
    }

    fn fault_in(
        &self,
        what: &str,
        slow: SlowLimit,
        pick: impl Fn(&Evidence) -> Tally,
    ) -> Option<String> {
        let (new, old) = (self.sum(true, &pick), self.sum(false, &pick));
        let baseline = self.baseline_share(|evidence| pick(evidence).failures_of_answers());
        if new.failures >= MIN_FAILURES
            && is_significantly_above(
                new.failures_of_answers(),
                baseline,
                FAILURE_MARGIN,
                CHANCE_DEVIATIONS,
            )
        {
            return Some(format!(
                "{what}: {} of {} answers failed, {baseline:.3} with the other versions",
                new.failures, new.answers
            ));
        }
        let baseline = self.baseline_share(|evidence| pick(evidence).late_of_timed());
        if new.late >= slow.min_late
            && is_significantly_above(new.late_of_timed(), baseline, slow.margin, slow.deviations)
        {
            return Some(format!(
                "{what}: {} of {} runs were late, {baseline:.3} with the other versions",
                new.late, new.timed
            ));
        }
        let (latency_ms, old_ms) = (new.latency_ms(), old.latency_ms());
        let floor_ms = LATENCY_FLOOR.as_secs_f64() * 1000.0;
        if new.timed >= MIN_LATENCIES
            && old.timed >= MIN_LATENCIES
            && latency_ms > floor_ms
            && latency_ms > old_ms * LATENCY_FACTOR
        {
            return Some(format!(
                "{what}: mean latency {latency_ms:.0} ms, {old_ms:.0} ms with the other versions"
            ));
        }
        None
    }

    fn sum(&self, is_new_version: bool, pick: impl Fn(&Evidence) -> Tally) -> Tally {
        let mut sum = Tally::default();
        for evidence in &self.evidence {
            if evidence.is_new_version == is_new_version {
                sum.merge(pick(evidence));
            }
        }
        sum
    }

    /// Share at the median target of the other versions. A few targets that fail much or are slow
    /// must not excuse a new version that is bad.
    fn baseline_share(&self, pick: impl Fn(&Evidence) -> Proportion) -> f64 {
        let old: Vec<Proportion> = self
            .evidence
            .iter()
            .filter(|evidence| !evidence.is_new_version)
            .map(pick)
            .collect();
        let mut shares: Vec<f64> = old
            .iter()
            .filter(|observed| observed.total >= MIN_TARGET_ANSWERS)
            .map(|observed| observed.share())
            .collect();
        if shares.is_empty() {
            let (count, total) = old.iter().fold((0, 0), |(count, total), observed| {
                (count + observed.count, total + observed.total)
            });
            return Proportion { count, total }.share();
        }
        shares.sort_by(f64::total_cmp);
        shares[shares.len() / 2]
    }

    /// Routes on which the new version has answered, sorted.
    fn new_routes(&self) -> Vec<RouteName> {
        let mut routes: Vec<RouteName> = self
            .evidence
            .iter()
            .filter(|evidence| evidence.is_new_version)
            .flat_map(|evidence| evidence.routes.iter().map(|(route, _)| route.clone()))
            .collect();
        routes.sort();
        routes.dedup();
        routes
    }
}

fn all_routes(evidence: &Evidence) -> Tally {
    let mut total = Tally::default();
    for (_, tally) in &evidence.routes {
        total.merge(*tally);
    }
    total
}

fn on_route(evidence: &Evidence, route: &RouteName) -> Tally {
    evidence
        .routes
        .binary_search_by(|(name, _)| name.cmp(route))
        .map_or(Tally::default(), |index| evidence.routes[index].1)
}
