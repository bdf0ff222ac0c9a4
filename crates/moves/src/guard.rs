//! Local guard: cuts a new version on one route of one proxy as soon as its window shows a fault.
//!
//! The guard needs no other node, so it works while the store, the judge or the link is down.

use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::action::LogLine;
use crate::options::Options;
use crate::window::Counts;
use crate::window::Window;

/// `CUT_TAIL` is the tail probability of the observed failures below which the guard cuts. The
/// guard looks after every attempt and a false cut heals, so it is less strict than the judge.
pub const CUT_TAIL: f64 = 0.001;
/// Standard errors by which the mean latency must exceed the bound.
const SLOW_ERRORS: f64 = 2.5;
/// `PROBE_INTERVAL_MS` is the time between trial requests.
pub const PROBE_INTERVAL_MS: u64 = 1_000;
/// Successful trial requests in a row that lift a cut.
const PROBES_TO_LIFT_CUT: u32 = 5;
/// Attempts in the window below which a route has little traffic: one a second.
const LOW_TRAFFIC_ATTEMPTS: u32 = 10;
/// Confirmations after one failure; with it they make the three failures of a verdict.
const CONFIRMATIONS: u32 = 2;
/// Most confirmations per move, route and proxy, so that a bad version gets few of them while no
/// judge is in reach.
const MAX_CONFIRMATIONS: u32 = 4;
/// Longest time from a failed trial to the next one; bounds the requests that a bad version gets.
const MAX_CUT_MS: u64 = 40_000;

/// `Side` tells which version served an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version before the move.
    Old,
    /// The version that takes over.
    New,
}

/// `Outcome` is the result of one attempt as the proxy saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete answer without a server error.
    Succeeded,
    /// Server error or timeout.
    Failed,
    /// The target vanished while it ran the attempt.
    Lost,
}

/// `AttemptResult` is the result of one attempt during a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// Service.
    pub service: ServiceName,
    /// Route.
    pub route: RouteName,
    /// Version by role.
    pub side: Side,
    /// Result.
    pub outcome: Outcome,
    /// Time to the answer, in milliseconds.
    pub latency_ms: u32,
    /// Whether the target was in its cold start (first 10 s).
    pub cold: bool,
}

impl AttemptResult {
    /// `count` adds the attempt to counts of a guard: a cold start's latency does not count.
    pub fn count(&self, counts: &mut Counts) {
        match self.outcome {
            Outcome::Succeeded => counts.success((!self.cold).then_some(self.latency_ms)),
            Outcome::Failed | Outcome::Lost => counts.failure(),
        }
    }

    /// `is_evidence` tells whether the judge counts the attempt. Cold-start attempts do not
    /// count, except for lost ones: a version that crashes never leaves its cold start.
    #[must_use]
    pub fn is_evidence(&self) -> bool {
        !self.cold || self.outcome == Outcome::Lost
    }
}

/// `Choice` is the version that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The version before the move.
    Old,
    /// The version that takes over.
    New,
    /// The version that takes over, as a trial after a cut.
    Probe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Permit {
    Open,
    Cut {
        next_probe_unix_ms: u64,
        cut_ms: u64,
        successes: u32,
        outstanding: u32,
    },
}

#[derive(Clone, Debug)]
struct RouteGuard {
    route: RouteName,
    old: Window,
    new: Window,
    permit: Permit,
    /// Requests beyond the share that the new version gets next.
    confirmations: u32,
    /// Confirmations that the move may still use.
    confirmations_left: u32,
}

/// `Guard` watches one move on one proxy.
#[derive(Clone, Debug)]
pub struct Guard {
    service: ServiceName,
    move_id: MoveId,
    limit_permille: u16,
    min_attempts: u32,
    cut_ms: u64,
    stopped: bool,
    routes: Vec<RouteGuard>,
}

impl Guard {
    /// `new` makes the guard for the move of an entry, if it has one.
    #[must_use]
    pub fn new(entry: &ServiceEntry, options: &Options) -> Option<Self> {
        let state = entry.move_state.as_ref()?;
        let routes = entry
            .routes
            .iter()
            .filter(|route| route.version.is_none())
            .map(|route| RouteGuard {
                route: route.name.clone(),
                old: Window::default(),
                new: Window::default(),
                permit: Permit::Open,
                confirmations: 0,
                confirmations_left: MAX_CONFIRMATIONS,
            })
            .collect();
        Some(Self {
            service: entry.service.clone(),
            move_id: state.move_id,
            limit_permille: entry.limits.max_failure_permille,
            min_attempts: options.guard_min_attempts,
            cut_ms: options.guard_cut_ms,
            stopped: false,
            routes,
        })
    }

    /// `move_id` returns the move that the guard watches.
    #[must_use]
    pub fn move_id(&self) -> MoveId {
        self.move_id
    }

    /// `stop` obeys an advisory stop: the share is 0 until the move has a final status.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// `is_stopped` tells whether a stop was seen.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// `watches` tells whether the move shifts the traffic of a route; routes with a pinned
    /// version are not watched.
    #[must_use]
    pub fn watches(&self, route: &str) -> bool {
        self.route_guard(route).is_some()
    }

    /// `cap_permille` is the permitted share on a route: everything, or nothing after a cut or a
    /// stop.
    #[must_use]
    pub fn cap_permille(&self, route: &str) -> u16 {
        let cut = self
            .route_guard(route)
            .is_some_and(|guard| guard.permit != Permit::Open);
        if self.stopped || cut {
            0
        } else {
            hemlockfall_core::units::FULL_PERMILLE
        }
    }

    /// `choose` picks the version of a request. `hash_permille` is the request's place in
    /// 0..1000, which is stable across its retries.
    pub fn choose(
        &mut self,
        route: &str,
        share_permille: u16,
        hash_permille: u16,
        now_unix_ms: u64,
    ) -> Choice {
        if self.stopped || share_permille == 0 {
            return Choice::Old;
        }
        let in_share = hash_permille < share_permille;
        let Some(guard) = self.route_guard_mut(route) else {
            return if in_share { Choice::New } else { Choice::Old };
        };
        if !in_share {
            return guard.choose_outside_share();
        }
        match &mut guard.permit {
            Permit::Open => Choice::New,
            Permit::Cut {
                next_probe_unix_ms,
                outstanding,
                ..
            } if now_unix_ms >= *next_probe_unix_ms => {
                *next_probe_unix_ms = now_unix_ms + PROBE_INTERVAL_MS;
                *outstanding += 1;
                Choice::Probe
            }
            Permit::Cut { .. } => Choice::Old,
        }
    }

    /// `on_result` counts an attempt and returns the decision that follows from it, if any.
    pub fn on_result(&mut self, result: &AttemptResult, now_unix_ms: u64) -> Option<LogLine> {
        let (limit_permille, min_attempts, cut_ms) =
            (self.limit_permille, self.min_attempts, self.cut_ms);
        let guard = self.route_guard_mut(&result.route)?;
        let mut counts = Counts::default();
        result.count(&mut counts);
        let decision = match result.side {
            Side::Old => {
                guard.old.add(&counts, now_unix_ms);
                None
            }
            Side::New => guard.on_new_version_result(
                result,
                &counts,
                limit_permille,
                min_attempts,
                cut_ms,
                now_unix_ms,
            ),
        };
        let (decision, reason) = decision?;
        Some(LogLine {
            at_unix_ms: now_unix_ms,
            service: self.service.clone(),
            move_id: self.move_id,
            route: Some(result.route.clone()),
            decision: decision.into(),
            reason,
            decision_id: None,
        })
    }

    fn route_guard(&self, route: &str) -> Option<&RouteGuard> {
        let index = self
            .routes
            .binary_search_by(|guard| guard.route.as_str().cmp(route))
            .ok()?;
        self.routes.get(index)
    }

    fn route_guard_mut(&mut self, route: &str) -> Option<&mut RouteGuard> {
        let index = self
            .routes
            .binary_search_by(|guard| guard.route.as_str().cmp(route))
            .ok()?;
        self.routes.get_mut(index)
    }
}

type Decision = Option<(&'static str, SmolStr)>;

/// `CUT` is the word for a cut in a decision line.
pub const CUT: &str = "guard-cut";
/// `CUT_LIFTED` is the word for a lifted cut in a decision line.
pub const CUT_LIFTED: &str = "guard-healed";

impl RouteGuard {
    /// Chooses the version of a request that the plan gives to the old version.
    fn choose_outside_share(&mut self) -> Choice {
        if self.permit != Permit::Open || self.confirmations == 0 {
            return Choice::Old;
        }
        self.confirmations -= 1;
        Choice::New
    }

    /// Asks for confirmations after a failure on a route with little traffic: at the first step's
    /// share, the judge would wait minutes there for the failures that a verdict needs.
    fn grant_confirmations(&mut self, now_unix_ms: u64) {
        let attempts = self.old.total(now_unix_ms).attempts + self.new.total(now_unix_ms).attempts;
        if attempts < LOW_TRAFFIC_ATTEMPTS {
            let granted = CONFIRMATIONS.min(self.confirmations_left);
            self.confirmations_left -= granted;
            self.confirmations += granted;
        }
    }

    fn on_new_version_result(
        &mut self,
        result: &AttemptResult,
        counts: &Counts,
        limit_permille: u16,
        min_attempts: u32,
        cut_ms: u64,
        now_unix_ms: u64,
    ) -> Decision {
        match self.permit {
            Permit::Open => {
                self.new.add(counts, now_unix_ms);
                if result.outcome == Outcome::Failed {
                    self.grant_confirmations(now_unix_ms);
                }
                let reason = self.fault_reason(limit_permille, min_attempts, now_unix_ms)?;
                self.permit = Permit::Cut {
                    next_probe_unix_ms: now_unix_ms + cut_ms,
                    cut_ms,
                    successes: 0,
                    outstanding: 0,
                };
                Some((CUT, reason))
            }
            // Answers to requests sent before the cut say nothing about the time after it.
            Permit::Cut { outstanding: 0, .. } => None,
            Permit::Cut {
                cut_ms, successes, ..
            } => self.on_probe_result(result, cut_ms, successes, now_unix_ms),
        }
    }

    fn on_probe_result(
        &mut self,
        result: &AttemptResult,
        cut_ms: u64,
        successes: u32,
        now_unix_ms: u64,
    ) -> Decision {
        let old = *self.old.total(now_unix_ms);
        let slow_ms = (crate::stats::SLOW_FACTOR * old.mean_ms()).max(crate::stats::SLOW_FLOOR_MS);
        let slow = !result.cold && f64::from(result.latency_ms) >= slow_ms;
        if result.outcome != Outcome::Succeeded || slow {
            let next_cut_ms = (cut_ms * 2).min(MAX_CUT_MS.max(cut_ms));
            self.permit = Permit::Cut {
                next_probe_unix_ms: now_unix_ms + cut_ms,
                cut_ms: next_cut_ms,
                successes: 0,
                outstanding: 0,
            };
            return None;
        }
        if successes + 1 >= PROBES_TO_LIFT_CUT {
            self.permit = Permit::Open;
            self.new = Window::default();
            return Some((
                CUT_LIFTED,
                format_smolstr!("{} trials succeeded", successes + 1),
            ));
        }
        if let Permit::Cut {
            successes,
            outstanding,
            ..
        } = &mut self.permit
        {
            *successes += 1;
            *outstanding -= 1;
        }
        None
    }

    fn fault_reason(
        &mut self,
        limit_permille: u16,
        min_attempts: u32,
        now_unix_ms: u64,
    ) -> Option<SmolStr> {
        let old = *self.old.total(now_unix_ms);
        let new = *self.new.total(now_unix_ms);
        if new.attempts < min_attempts {
            return None;
        }
        let tail = new.failure_tail(&old, limit_permille);
        if tail < CUT_TAIL {
            return Some(format_smolstr!(
                "{} of {} attempts failed, old version {} of {}",
                new.failures,
                new.attempts,
                old.failures,
                old.attempts
            ));
        }
        new.is_slower(&old, min_attempts, SLOW_ERRORS).then(|| {
            format_smolstr!(
                "mean latency {:.0} ms, old version {:.0} ms",
                new.mean_ms(),
                old.mean_ms()
            )
        })
    }
}
