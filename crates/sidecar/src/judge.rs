//! Evaluation of the canary version of a service.
//!
//! Nodes count the answers of their targets. The judge compares the failures and run times of the
//! new version with those of the other versions: over all routes, at busy targets, and on each
//! route. Some versions fail only under load, so a version is accepted early only after enough
//! answers of its busy targets.

use std::time::Duration;

use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RouteName;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;

/// Minimum number of failed answers for a rejection because of failures.
const MIN_FAILURES: u64 = 4;
/// Share of failures above the baseline of the other versions that a version may have.
const FAILURE_MARGIN: f64 = 0.08;
/// Minimum number of failed answers for a rejection when the final verdict is due with fewer than
/// `ACCEPT_ANSWERS` answers. With `MIN_FAILURES`, a version of which three of five answers had
/// failed was accepted after its only target had restarted (soak seed 678564).
const MIN_FAILURES_WITH_FEW_ANSWERS: u64 = 2;
/// Lower bound of the baseline share of failures in a verdict on few answers, since a small number
/// of answers of the other versions may contain no failure.
const MIN_BASELINE_SHARE: f64 = 0.03;
/// Limit on late runs before the final verdict. It is wider than the final one, since the first
/// runs may all be those of a slow target: an eighth of its runs are late even if few are overall.
const EARLY_SLOW_LIMIT: SlowLimit = SlowLimit {
    min_late: 6,
    margin: 0.15,
    deviations: CHANCE_DEVIATIONS,
};
/// Limit on late runs for an acceptance and in the final verdict. A version above this limit only
/// stays open until the final verdict is due.
const FINAL_SLOW_LIMIT: SlowLimit = SlowLimit {
    min_late: 4,
    margin: 0.08,
    deviations: 1.0,
};
/// Standard deviations above baseline and margin up to which a share is attributed to chance.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// Minimum number of answers of a target for its share to enter the baseline.
const MIN_TARGET_ANSWERS: u64 = 5;
/// Minimum number of timed runs of either side for a comparison of mean latencies.
const MIN_LATENCIES: u64 = 8;
/// Ratio of the new version's mean latency to that of the other versions above which it is
/// rejected. Targets of one service differ in speed by a factor of up to three.
const LATENCY_FACTOR: f64 = 3.2;
/// Mean latency up to which a version is not rejected as slow, whatever the ratio.
const LATENCY_FLOOR: Duration = Duration::from_millis(20);
/// Part of the rollout's time, in percent, after which a version without a fault can be accepted.
const ACCEPT_AFTER_PERCENT: u32 = 62;
/// Minimum number of answers of the new version for an early acceptance.
const ACCEPT_ANSWERS: u64 = 25;
/// Minimum number of them from busy targets. A version that fails two requests in five under load
/// has fewer than four failures among 16 answers in 7 of 100 cases; the last load test, before the
/// final verdict, adds more answers.
const ACCEPT_BUSY_ANSWERS: u64 = 16;
/// Part of the rollout's time, in percent, after which the final verdict is due.
const DECIDE_AFTER_PERCENT: u32 = 82;

/// Counts of the answers of one route at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of answers.
    pub answers: u64,
    /// Number of failed answers.
    pub failures: u64,
    /// Number of timed runs, including abandoned runs that exceeded the target latency.
    pub timed: u64,
    /// Total time of the timed runs, in milliseconds.
    pub latency_sum_ms: u64,
    /// Number of timed runs that took longer than the target latency of their route.
    pub late: u64,
}

/// Threshold of late runs above which a version is rejected as slow.
#[derive(Clone, Copy, Debug)]
struct SlowLimit {
    /// Minimum number of late runs for a rejection.
    min_late: u64,
    /// Share of late runs above the baseline of the other versions that a version may have.
    margin: f64,
    /// Standard deviations above baseline and margin that are attributed to chance.
    deviations: f64,
}

/// Time of a run and the target latency of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedRun {
    /// Time that the run took, or has taken so far.
    pub took: Duration,
    /// Target latency of the route.
    pub target_latency: Duration,
}

impl TimedRun {
    /// Returns whether the run took longer than the target latency.
    #[must_use]
    pub fn is_late(self) -> bool {
        self.took > self.target_latency
    }
}

impl Tally {
    /// Counts an answer. `timed` is `None` while the target is cold after its start.
    pub fn add(&mut self, failed: bool, timed: Option<TimedRun>) {
        self.answers += 1;
        self.failures += u64::from(failed);
        if let Some(timed) = timed
            && !failed
        {
            self.add_time(timed);
        }
    }

    /// Counts a run without an answer if it exceeds the target latency.
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

/// Number of answers or runs of one kind, out of a total.
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

/// Returns whether an observed share exceeds the baseline by more than a margin plus a number of
/// standard deviations of a sample of that size.
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
        reason = "counts of one rollout stay far below 2^52"
    )]
    let share = count as f64 / total.max(1) as f64;
    share
}

/// Counts of one node at its target since the rollout began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Reporting node.
    pub node: NodeName,
    /// Incarnation of the node's process.
    pub incarnation: u64,
    /// Whether the target runs the new version.
    pub is_new_version: bool,
    /// Counts by route, sorted by route name.
    pub routes: Vec<(RouteName, Tally)>,
    /// Counts of the runs that began while the target was busy; `routes` includes them.
    pub busy: Tally,
}

/// Result of the evaluation of a canary version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// More evidence is needed.
    Open,
    /// The version gets all requests of the service.
    Accept,
    /// The version is bad and is rolled back.
    Reject {
        /// Figures that show the fault.
        reason: String,
    },
}

/// Collected evidence on one rollout.
#[derive(Debug)]
pub struct Judge {
    started: Time,
    finish_in: Duration,
    /// Sorted by node and incarnation.
    evidence: Vec<Evidence>,
}

impl Judge {
    /// Creates a judge without evidence.
    #[must_use]
    pub fn new(started: Time, finish_in: Duration) -> Self {
        Self {
            started,
            finish_in,
            evidence: Vec::new(),
        }
    }

    /// Records the evidence of a node in place of its previous report for the same version.
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

    /// Evaluates the new version on the evidence so far.
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
        let fault = self
            .fault(FINAL_SLOW_LIMIT)
            .or_else(|| self.fault_with_few_answers());
        match fault {
            Some(reason) if must_decide => Verdict::Reject { reason },
            // More answers tell a fault of the version from the runs of a slow target.
            Some(_) => Verdict::Open,
            None => Verdict::Accept,
        }
    }

    /// Returns the fault of a version that has fewer than `ACCEPT_ANSWERS` answers at the final
    /// verdict.
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

    /// Returns the counts of the new version.
    #[must_use]
    pub fn answers(&self) -> Tally {
        self.sum(true, all_routes)
    }

    /// Returns the counts of the new version at busy targets.
    #[must_use]
    pub fn busy_answers(&self) -> Tally {
        self.sum(true, |evidence| evidence.busy)
    }

    /// Returns the fault of the new version, if the evidence shows any.
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

    /// Returns the share at the median target of the other versions. With the mean, a few targets
    /// that are slow or fail often would excuse a bad new version.
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

    /// Returns the routes on which the new version has evidence, sorted.
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
