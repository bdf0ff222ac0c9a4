//! Judge: derives verdicts on a move (rollout) from the summed evidence of all regions and routes.

use hemlockfall_core::catalogue::MoveState;
use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::plan::COMMIT_MARGIN_MS;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::units::FULL_PERMILLE;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::evidence::Cell;
use crate::evidence::Summary;
use crate::options::Options;
use crate::record::CellRecord;
use crate::window::Counts;
use crate::window::Window;

/// Tail probability of the observed failures below which a version is bad. A verdict is final,
/// and the judge tests every route and region every second, so the bound is stricter than that
/// of the guard.
const BAD_TAIL: f64 = 5e-4;
/// Minimum number of failures for a bad version. Two failures in the first two attempts occur by
/// chance on routes with low traffic, and a verdict is final.
const MIN_FAILURES: u32 = 3;
/// Tail probability of the observed failures below which the share is held.
const SUSPECT_TAIL: f64 = 0.01;
/// Number of standard errors by which the mean latency must exceed the bound for a bad version.
const BAD_ERRORS: f64 = 4.0;
/// Number of standard errors by which the mean latency must exceed the bound for a hold.
const SUSPECT_ERRORS: f64 = 2.0;
/// Attempts of the old version from which a new version without any attempts can't be explained
/// by low traffic.
const MIN_TRAFFIC: u32 = 20;
/// Minimum number of timed attempts for a comparison of latencies.
const MIN_TIMED: u32 = 8;
/// Time before the commit deadline at which the judge decides with the evidence it has. Covers
/// the write and one retry.
const DECISION_LEAD_MS: u64 = 2_500;
/// Time at full share after which a move with clean evidence is finished.
const CLEAN_AT_FULL_SHARE_MS: u64 = 10_000;
/// Time without a suspected fault after which a held move resumes.
const CLEAR_MS: u64 = 5_000;
/// Prefix of the reason of a hold by the judge. A pause with another reason was made by an
/// operator, and only an operator resumes it.
pub const HOLD_PREFIX: &str = "held by judge: ";
/// Maximum number of holds per move. Each one changes the catalogue and takes time that is then
/// missing before the deadline.
const MAX_HOLDS: u32 = 3;

/// Verdict of the judge on a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Follow the plan.
    Continue,
    /// Keep the share.
    Hold(SmolStr),
    /// Follow the plan again after a hold.
    Resume,
    /// Roll back: give all traffic to the old version.
    TakeBack(SmolStr),
    /// Give all traffic to the new version.
    Finish(SmolStr),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Finding {
    Clean,
    Suspect,
    Bad,
}

#[derive(Clone, Debug)]
struct JudgeCell {
    route: RouteName,
    region: RegionName,
    old: Window,
    new: Window,
    recent_trips: Window,
    old_total: Counts,
    new_total: Counts,
    guards_tripped: u32,
}

/// Evidence of one move and the state of its evaluation.
#[derive(Clone, Debug)]
pub struct Judge {
    options: Options,
    limit_permille: u16,
    cells: Vec<JudgeCell>,
    suspect_since_unix_ms: Option<u64>,
    last_suspect_unix_ms: u64,
    full_since_unix_ms: Option<u64>,
    holds: u32,
    regions: Vec<(RegionName, u64)>,
}

impl Judge {
    /// Creates a judge without evidence.
    #[must_use]
    pub fn new(limit_permille: u16, options: Options) -> Self {
        Self {
            options,
            limit_permille,
            cells: Vec::new(),
            suspect_since_unix_ms: None,
            last_suspect_unix_ms: 0,
            full_since_unix_ms: None,
            holds: 0,
            regions: Vec::new(),
        }
    }

    /// Adds evidence.
    pub fn record(&mut self, summary: &Summary, now_unix_ms: u64) {
        for cell in summary.cells() {
            self.record_region(&cell.region, now_unix_ms);
            if let Some(judge_cell) = self.cell(cell) {
                judge_cell.record(cell, now_unix_ms);
            }
        }
    }

    /// Returns since when the evidence shows a fault, in unix milliseconds.
    #[must_use]
    pub fn suspect_since_unix_ms(&self) -> Option<u64> {
        self.suspect_since_unix_ms
    }

    /// Returns the evidence by route and region.
    #[must_use]
    pub fn records(&self) -> Vec<CellRecord> {
        self.cells.iter().map(JudgeCell::to_record).collect()
    }

    /// Sums the last 10 s of the new version over all routes and regions.
    pub fn window_total(&mut self, now_unix_ms: u64) -> Counts {
        let mut sum = Counts::default();
        for cell in &mut self.cells {
            sum.add(cell.new.total(now_unix_ms));
        }
        sum
    }

    /// Returns the verdict for a move that has no final status.
    pub fn decide(&mut self, state: &MoveState, now_unix_ms: u64) -> Verdict {
        let (finding, reason) = self.worst_finding(now_unix_ms);
        self.record_finding(finding, now_unix_ms);
        self.record_share(state, now_unix_ms);
        if finding == Finding::Bad {
            return Verdict::TakeBack(reason);
        }
        let decide_at_unix_ms = state
            .deadline_unix_ms
            .saturating_sub(COMMIT_MARGIN_MS + DECISION_LEAD_MS);
        let held_by_judge =
            state.status == MoveStatus::Paused && state.reason.starts_with(HOLD_PREFIX);
        if state.status == MoveStatus::Paused && !held_by_judge {
            return Verdict::Continue;
        }
        if now_unix_ms >= decide_at_unix_ms {
            return self.final_verdict(finding, &reason, now_unix_ms);
        }
        if held_by_judge {
            let is_clear = now_unix_ms >= self.last_suspect_unix_ms + CLEAR_MS;
            return if is_clear {
                Verdict::Resume
            } else {
                Verdict::Continue
            };
        }
        if finding == Finding::Suspect && self.holds < MAX_HOLDS {
            self.holds += 1;
            return Verdict::Hold(format_smolstr!("{HOLD_PREFIX}{reason}"));
        }
        let is_clean_long_enough = self
            .full_since_unix_ms
            .is_some_and(|since| now_unix_ms >= since + CLEAN_AT_FULL_SHARE_MS);
        if is_clean_long_enough && finding == Finding::Clean && !self.is_new_version_untested() {
            return Verdict::Finish("evidence is clean at full share".into());
        }
        Verdict::Continue
    }

    /// Returns the verdict when no time for more evidence is left.
    fn final_verdict(&mut self, finding: Finding, reason: &str, now_unix_ms: u64) -> Verdict {
        if finding == Finding::Suspect {
            return Verdict::TakeBack(format_smolstr!("suspect at the last moment: {reason}"));
        }
        if self.is_new_version_untested() {
            return Verdict::TakeBack("the new version answered nothing".into());
        }
        let stale_region = self
            .regions
            .iter()
            .find(|(_, last_unix_ms)| now_unix_ms >= last_unix_ms + crate::window::WINDOW_MS);
        match stale_region {
            Some((region, _)) if self.options.caution() > 1.0 => {
                Verdict::TakeBack(format_smolstr!("no evidence from region {region}"))
            }
            _ => Verdict::Finish("no fault by the last moment to commit".into()),
        }
    }

    /// Returns whether the service has traffic but no attempts of the new version. Then evidence
    /// is missing, or the new version cannot be reached.
    fn is_new_version_untested(&self) -> bool {
        let (mut old, mut new) = (0, 0);
        for cell in &self.cells {
            old += cell.old_total.attempts;
            new += cell.new_total.attempts;
        }
        new == 0 && old >= MIN_TRAFFIC
    }

    fn record_finding(&mut self, finding: Finding, now_unix_ms: u64) {
        if finding == Finding::Clean {
            if now_unix_ms >= self.last_suspect_unix_ms + crate::window::WINDOW_MS {
                self.suspect_since_unix_ms = None;
            }
        } else {
            self.last_suspect_unix_ms = now_unix_ms;
            self.suspect_since_unix_ms.get_or_insert(now_unix_ms);
        }
    }

    fn record_share(&mut self, state: &MoveState, now_unix_ms: u64) {
        if state.share_permille_at(now_unix_ms, None) >= FULL_PERMILLE {
            self.full_since_unix_ms.get_or_insert(now_unix_ms);
        } else {
            self.full_since_unix_ms = None;
        }
    }

    fn worst_finding(&mut self, now_unix_ms: u64) -> (Finding, SmolStr) {
        let (limit_permille, caution) = (self.limit_permille, self.options.caution());
        let mut worst_finding = (Finding::Clean, SmolStr::default());
        for cell in &mut self.cells {
            let found = cell.judge(limit_permille, caution, now_unix_ms);
            if found.0 > worst_finding.0 {
                let (route, region) = (&cell.route, &cell.region);
                worst_finding = (
                    found.0,
                    format_smolstr!("route {route}, region {region}: {}", found.1),
                );
            }
        }
        if worst_finding.0 < Finding::Bad {
            let pooled = self.pooled_finding();
            if pooled.0 > worst_finding.0 {
                return pooled;
            }
        }
        worst_finding
    }

    /// Evaluates each route over all regions. On a route with low traffic, a fault shows earlier
    /// in the sum than in any single region.
    fn pooled_finding(&self) -> (Finding, SmolStr) {
        let bad_tail = BAD_TAIL * self.options.caution();
        for cells in self.cells.chunk_by(|a, b| a.route == b.route) {
            let mut old = Counts::default();
            let mut new = Counts::default();
            for cell in cells {
                old.add(&cell.old_total);
                new.add(&cell.new_total);
            }
            if new.failures >= MIN_FAILURES
                && new.failure_tail(&old, self.limit_permille) < bad_tail
            {
                let route = cells.first().map_or("", |cell| cell.route.as_str());
                let text = failures_text(&new, &old);
                return (
                    Finding::Bad,
                    format_smolstr!("route {route}, all regions: {text}"),
                );
            }
        }
        (Finding::Clean, SmolStr::default())
    }

    fn record_region(&mut self, region: &RegionName, now_unix_ms: u64) {
        match self.regions.binary_search_by(|entry| entry.0.cmp(region)) {
            Ok(index) => self.regions[index].1 = now_unix_ms,
            Err(index) => self.regions.insert(index, (region.clone(), now_unix_ms)),
        }
    }

    fn cell(&mut self, wanted: &Cell) -> Option<&mut JudgeCell> {
        let position = self.cells.binary_search_by(|cell| {
            (&cell.route, &cell.region).cmp(&(&wanted.route, &wanted.region))
        });
        let index = match position {
            Ok(index) => index,
            Err(_) if self.cells.len() >= crate::evidence::MAX_CELLS => return None,
            Err(index) => {
                self.cells.insert(index, JudgeCell::new(wanted));
                index
            }
        };
        self.cells.get_mut(index)
    }
}

impl JudgeCell {
    fn new(cell: &Cell) -> Self {
        Self {
            route: cell.route.clone(),
            region: cell.region.clone(),
            old: Window::default(),
            new: Window::default(),
            recent_trips: Window::default(),
            old_total: Counts::default(),
            new_total: Counts::default(),
            guards_tripped: 0,
        }
    }

    fn record(&mut self, cell: &Cell, now_unix_ms: u64) {
        self.old.add(&cell.old, now_unix_ms);
        self.new.add(&cell.new, now_unix_ms);
        self.old_total.add(&cell.old);
        self.new_total.add(&cell.new);
        self.guards_tripped = self.guards_tripped.saturating_add(cell.guards_tripped);
        let recent_trips = Counts {
            attempts: cell.guards_tripped,
            ..Counts::default()
        };
        self.recent_trips.add(&recent_trips, now_unix_ms);
    }

    fn judge(&mut self, limit_permille: u16, caution: f64, now_unix_ms: u64) -> (Finding, SmolStr) {
        let old = *self.old.total(now_unix_ms);
        let new = *self.new.total(now_unix_ms);
        let window_tail = new.failure_tail(&old, limit_permille);
        let total_tail = self.new_total.failure_tail(&self.old_total, limit_permille);
        let bad_tail = BAD_TAIL * caution;
        if window_tail < bad_tail && new.failures >= MIN_FAILURES {
            return (Finding::Bad, failures_text(&new, &old));
        }
        if total_tail < bad_tail && self.new_total.failures >= MIN_FAILURES {
            return (
                Finding::Bad,
                failures_text(&self.new_total, &self.old_total),
            );
        }
        if new.is_slower(&old, MIN_TIMED, BAD_ERRORS / caution.sqrt()) {
            return (Finding::Bad, latency_text(&new, &old));
        }
        if window_tail < SUSPECT_TAIL * caution {
            return (Finding::Suspect, failures_text(&new, &old));
        }
        if new.is_slower(&old, MIN_TIMED, SUSPECT_ERRORS) {
            return (Finding::Suspect, latency_text(&new, &old));
        }
        let recent_trips = self.recent_trips.total(now_unix_ms).attempts;
        if recent_trips > 0 {
            return (
                Finding::Suspect,
                format_smolstr!("{recent_trips} guards cut"),
            );
        }
        (Finding::Clean, SmolStr::default())
    }

    fn to_record(&self) -> CellRecord {
        CellRecord {
            route: self.route.clone(),
            region: self.region.clone(),
            old: self.old_total,
            new: self.new_total,
            guards_tripped: self.guards_tripped,
        }
    }
}

fn failures_text(new: &Counts, old: &Counts) -> SmolStr {
    format_smolstr!(
        "{} of {} attempts failed, old version {} of {}",
        new.failures,
        new.attempts,
        old.failures,
        old.attempts
    )
}

fn latency_text(new: &Counts, old: &Counts) -> SmolStr {
    format_smolstr!(
        "mean latency {:.0} ms, old version {:.0} ms",
        new.mean_ms(),
        old.mean_ms()
    )
}
