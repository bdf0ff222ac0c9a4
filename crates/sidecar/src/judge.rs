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
/// Standard deviations of the share of failures, beyond that margin, that are chance.
const FAILURE_DEVIATIONS: f64 = 2.0;
/// Answers of a target below which it says nothing of the usual share of failures.
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
    /// Whole answers whose latency counts.
    pub timed: u64,
    /// Sum of their latencies, in milliseconds.
    pub latency_sum_ms: u64,
}

impl Tally {
    /// `add` counts one answer; the latency of a target that has just started does not count.
    pub fn add(&mut self, failed: bool, latency: Option<Duration>) {
        self.answers += 1;
        self.failures += u64::from(failed);
        if let Some(latency) = latency
            && !failed
        {
            self.timed += 1;
            self.latency_sum_ms += u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        }
    }

    fn merge(&mut self, other: Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.timed += other.timed;
        self.latency_sum_ms += other.latency_sum_ms;
    }

    fn failed_share(self) -> f64 {
        share(self.failures, self.answers)
    }

    fn latency_ms(self) -> f64 {
        share(self.latency_sum_ms, self.timed)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of one roll-out stay far below 2^52"
    )]
    let share = part as f64 / whole.max(1) as f64;
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

    /// `take_in` replaces what a node has said before.
    pub fn take_in(&mut self, evidence: Evidence) {
        let key = |evidence: &Evidence| {
            (
                evidence.node.clone(),
                evidence.incarnation,
                evidence.is_new_version,
            )
        };
        let wanted = key(&evidence);
        match self
            .evidence
            .binary_search_by(|known| key(known).cmp(&wanted))
        {
            Ok(index) => self.evidence[index] = evidence,
            Err(index) => self.evidence.insert(index, evidence),
        }
    }

    /// `verdict` judges the version.
    #[must_use]
    pub fn verdict(&self, now: Time) -> Verdict {
        if let Some(reason) = self.fault() {
            return Verdict::Reject { reason };
        }
        let (all, busy) = (self.answers(), self.busy_answers());
        let is_tried = all.answers >= ACCEPT_ANSWERS && busy.answers >= ACCEPT_BUSY_ANSWERS;
        let age = now.saturating_sub(self.started);
        if is_tried && age >= self.finish_in * ACCEPT_AFTER_PERCENT / 100 {
            return Verdict::Accept;
        }
        if age >= self.finish_in * DECIDE_AFTER_PERCENT / 100 {
            if all.answers == 0 {
                let reason = "no answer of the new version was seen".to_owned();
                return Verdict::Reject { reason };
            }
            return Verdict::Accept;
        }
        Verdict::Open
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
    fn fault(&self) -> Option<String> {
        self.fault_in("all routes", all_routes)
            .or_else(|| self.fault_in("busy targets", |evidence| evidence.busy))
            .or_else(|| {
                self.new_routes()
                    .into_iter()
                    .find_map(|route| self.fault_in(&route, |evidence| on_route(evidence, &route)))
            })
    }

    fn fault_in(&self, what: &str, pick: impl Fn(&Evidence) -> Tally) -> Option<String> {
        let (new, old) = (self.sum(true, &pick), self.sum(false, &pick));
        let (failed, usual) = (new.failed_share(), self.usual_failures(&pick));
        let deviation = (usual * (1.0 - usual) / share(new.answers, 1)).sqrt();
        if new.failures >= MIN_FAILURES
            && failed > usual + FAILURE_MARGIN + FAILURE_DEVIATIONS * deviation
        {
            return Some(format!(
                "{what}: {} of {} answers failed, {usual:.3} with the other versions",
                new.failures, new.answers
            ));
        }
        let (latency_ms, usual_ms) = (new.latency_ms(), old.latency_ms());
        let floor_ms = LATENCY_FLOOR.as_secs_f64() * 1000.0;
        if new.timed >= MIN_LATENCIES
            && old.timed >= MIN_LATENCIES
            && latency_ms > floor_ms
            && latency_ms > usual_ms * LATENCY_FACTOR
        {
            return Some(format!(
                "{what}: mean latency {latency_ms:.0} ms, {usual_ms:.0} ms with the other versions"
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

    /// Share of failures of the median target of the other versions. A few targets that fail much
    /// must not excuse a new version that does.
    fn usual_failures(&self, pick: impl Fn(&Evidence) -> Tally) -> f64 {
        let mut shares: Vec<f64> = self
            .evidence
            .iter()
            .filter(|evidence| !evidence.is_new_version)
            .map(&pick)
            .filter(|tally| tally.answers >= MIN_TARGET_ANSWERS)
            .map(Tally::failed_share)
            .collect();
        if shares.is_empty() {
            return self.sum(false, pick).failed_share();
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
