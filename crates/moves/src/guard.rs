//! Local guard of a move (rollout): a circuit breaker per route on one node.
//!
//! The guard cuts the new version, which means that the route's requests go to the old version,
//! as soon as the sliding window shows a fault. After a while it sends single probe requests and
//! lifts the cut when they succeed. The guard depends on no other node, so it works while the
//! store, the judge or a link is down.

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

/// Tail probability of the observed failures below which the guard cuts. The guard evaluates
/// every attempt and lifts a false cut by itself, so its bound is less strict than the judge's.
pub const CUT_TAIL: f64 = 0.001;
/// Number of standard errors by which the mean latency must exceed the bound of
/// [`Counts::is_slower`] for a cut.
const SLOW_ERRORS: f64 = 2.5;
/// Time between probe requests.
pub const PROBE_INTERVAL_MS: u64 = 1_000;
/// Number of consecutive successful probes that lift a cut.
const PROBES_TO_LIFT_CUT: u32 = 5;
/// Attempts in the 10 s window below which a route has low traffic: one per second.
const LOW_TRAFFIC_ATTEMPTS: u32 = 10;
/// Number of confirmation requests after one failure. Together with that failure they can give
/// the three failures that a verdict requires.
const CONFIRMATIONS: u32 = 2;
/// Maximum number of confirmation requests per move, route and node. Limits the requests to a
/// bad version while no judge is reachable.
const MAX_CONFIRMATIONS: u32 = 4;
/// Upper bound of the time from a failed probe to the next one. The time doubles with each failed
/// probe, which limits the requests to a bad version.
const MAX_CUT_MS: u64 = 40_000;

/// Version that served an attempt, by its role in the move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The old version.
    Old,
    /// The new version.
    New,
}

/// Outcome of one attempt as seen by the node that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer without a server error.
    Succeeded,
    /// A server error or a timeout.
    Failed,
    /// The target failed while it ran the attempt.
    Lost,
}

/// Result of one attempt during a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// Service.
    pub service: ServiceName,
    /// Route.
    pub route: RouteName,
    /// Version that served the attempt.
    pub side: Side,
    /// Outcome.
    pub outcome: Outcome,
    /// Time to the answer, in milliseconds.
    pub latency_ms: u32,
    /// Whether the target was in its cold start (by default its first 10 s).
    pub cold: bool,
}

impl AttemptResult {
    /// Adds the attempt to `counts`. Latencies during a cold start are left out.
    pub fn count(&self, counts: &mut Counts) {
        match self.outcome {
            Outcome::Succeeded => counts.success((!self.cold).then_some(self.latency_ms)),
            Outcome::Failed | Outcome::Lost => counts.failure(),
        }
    }

    /// Returns whether the judge counts the attempt. Attempts during a cold start are left out,
    /// except for lost ones: a version that keeps crashing never gets past its cold start.
    #[must_use]
    pub fn is_evidence(&self) -> bool {
        !self.cold || self.outcome == Outcome::Lost
    }
}

/// Version that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The old version.
    Old,
    /// The new version.
    New,
    /// The new version, as a probe after a cut.
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
    /// Confirmation requests due: requests beyond the share that go to the new version next.
    confirmations: u32,
    /// Confirmation requests that may still be granted during the move.
    confirmations_left: u32,
}

/// Local guard of one move on one node.
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
    /// Creates the guard for the move of an entry; `None` if the entry has no move.
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

    /// Returns the move that the guard watches.
    #[must_use]
    pub fn move_id(&self) -> MoveId {
        self.move_id
    }

    /// Applies an advisory stop: the share is 0 until the move has a final status.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Returns whether an advisory stop was received.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Returns whether the move shifts the traffic of a route; routes with a pinned
    /// version are not watched.
    #[must_use]
    pub fn watches(&self, route: &str) -> bool {
        self.route_guard(route).is_some()
    }

    /// Returns the largest permitted share on a route: 0 during a cut or after a stop, else the
    /// full share.
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

    /// Selects the version for a request. `hash_permille` is a hash of the request in 0..1000,
    /// which stays the same across its retries.
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

    /// Counts an attempt and returns the decision that results, if any.
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

/// `decision` of the log line for a cut.
pub const CUT: &str = "guard-cut";
/// `decision` of the log line for a lifted cut.
pub const CUT_LIFTED: &str = "guard-healed";

impl RouteGuard {
    /// Selects the version for a request that the plan assigns to the old version: the new one if
    /// a confirmation request is due.
    fn choose_outside_share(&mut self) -> Choice {
        if self.permit != Permit::Open || self.confirmations == 0 {
            return Choice::Old;
        }
        self.confirmations -= 1;
        Choice::New
    }

    /// Grants confirmation requests after a failure on a route with low traffic. At the share of
    /// the plan's first step, the judge would wait minutes there for the failures that a verdict
    /// requires.
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
            // No probe is outstanding, so the request was sent before the cut. Its answer says
            // nothing about the state after the cut.
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
                format_smolstr!("{} probes succeeded", successes + 1),
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
