//! State machine of one request at its entry node, the node that the caller is connected to.

use std::time::Instant;

use hemlockfall_core::catalogue::Class;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use hemlockfall_core::units::duration_ms;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use uuid::Uuid;

use crate::admission::FenceAnswer;
use crate::budget;
use crate::call::types::RetryCost;
use crate::clock::Now;
use crate::clock::millis;
use crate::outcome::AttemptResult;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::placement::Key;
use crate::route;
use crate::route::ShareContext;
use crate::router::Router;
use crate::router::Target;
use crate::seen::AttemptId;

mod types;

pub use types::Answer;
pub use types::Attempt;
pub use types::AttemptKey;
pub use types::CallAction;
pub use types::CallRequest;
pub use types::Decision;

/// Multiple of the fence timeout after which an attempt behind a stalled link is abandoned. It is
/// longer than for a lost link, because a node that was paused for some seconds answers once it
/// continues.
const STALLED_FENCE_TIMEOUTS: u32 = 4;

/// Failure of a link with calls on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFailure {
    /// The link closed; no answer can arrive on it.
    Lost,
    /// Nothing arrived on the link for too long. It is still open, and answers may arrive.
    Stalled,
}

#[derive(Clone, Debug)]
struct InFlight {
    target: Target,
    attempt_id: AttemptId,
    sent_at: Instant,
}

#[derive(Clone, Debug)]
enum State {
    Waiting(InFlight),
    Fencing {
        lost: InFlight,
        until: Instant,
        /// Whether the answer may still arrive on the stalled link.
        may_answer: bool,
    },
    Backoff {
        until: Instant,
    },
    Done,
}

/// What is known about earlier requests under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyCheck {
    /// The key was generated for this request, so nobody can have used it before.
    Generated,
    /// The caller chose the key, and its keepers have not been asked yet.
    Unchecked,
    /// The caller chose the key, and its keepers have confirmed that it is new.
    New,
}

/// One request in progress at its entry node.
#[derive(Clone, Debug)]
pub struct Call {
    request_id: Uuid,
    service: ServiceName,
    route: RouteName,
    version: VersionName,
    class: Class,
    is_idempotent: bool,
    is_retry: bool,
    key: Option<Key>,
    key_check: KeyCheck,
    fingerprint: Option<Digest>,
    deadline: Instant,
    attempts: u32,
    tried: Vec<NodeName>,
    voided: Vec<AttemptId>,
    /// Reason of the first attempt that may have run.
    first_unknown_reason: Option<Reason>,
    state: State,
}

impl Call {
    /// Routes a request and sends its first attempt.
    ///
    /// `cap` returns the limit that the local guard sets on the share of a new version, as in
    /// [`route::choose_version`].
    ///
    /// # Errors
    /// [`Reason::NoService`], [`Reason::NoRoute`] and [`Reason::FingerprintRefused`]: the caller is
    /// answered with the reason, and there is no call.
    pub fn start<F>(
        request: &CallRequest<'_>,
        router: &mut Router,
        cap: F,
        now: Now,
    ) -> Result<(Self, Vec<CallAction>), Reason>
    where
        F: FnMut(&str, &str, bool) -> u16,
    {
        let mut call = Self::route(request, router, cap, now)?;
        if call.is_refused(router, now) {
            return Err(Reason::FingerprintRefused);
        }
        let mut actions = Vec::with_capacity(2);
        call.send(router, now, &mut actions);
        Ok((call, actions))
    }

    /// Handles the result of an attempt. Results of attempts other than the current one are
    /// ignored.
    pub fn attempt_ended(
        &mut self,
        attempt_id: AttemptId,
        result: AttemptResult,
        router: &mut Router,
        now: Now,
    ) -> Vec<CallAction> {
        let in_flight = match &self.state {
            State::Waiting(in_flight) if in_flight.attempt_id == attempt_id => in_flight.clone(),
            State::Fencing { lost, .. } if lost.attempt_id == attempt_id => {
                return self.resolve(attempt_id, result, router, now);
            }
            State::Waiting(_) | State::Fencing { .. } | State::Backoff { .. } | State::Done => {
                return Vec::new();
            }
        };
        let latency = now.at.saturating_duration_since(in_flight.sent_at);
        router.attempt_finished(&in_flight.target, result, latency, now);
        self.resolve(attempt_id, result, router, now)
    }

    /// Handles the failure of the link to a node. An attempt of a non-idempotent request is fenced
    /// first: its node is asked to bar it from starting, and to tell whether it has started.
    pub fn link_failed(
        &mut self,
        node: &str,
        failure: LinkFailure,
        router: &mut Router,
        now: Now,
    ) -> Vec<CallAction> {
        let lost = match &self.state {
            State::Waiting(in_flight) => in_flight.clone(),
            // The stalled link has closed, so no answer can arrive any more.
            State::Fencing {
                lost,
                may_answer: true,
                ..
            } if failure == LinkFailure::Lost => lost.clone(),
            State::Fencing { .. } | State::Backoff { .. } | State::Done => return Vec::new(),
        };
        if lost.target.node != node {
            return Vec::new();
        }
        if let State::Waiting(_) = &self.state {
            let reason = Reason::LinkLost;
            let result = AttemptResult::Unknown { reason };
            let latency = now.at.saturating_duration_since(lost.sent_at);
            router.attempt_finished(&lost.target, result, latency, now);
            if self.is_idempotent {
                return self.resolve(lost.attempt_id, result, router, now);
            }
        }
        let may_answer = failure == LinkFailure::Stalled;
        let fence_timeout = millis(router.options().fence_timeout_ms);
        let wait = if may_answer {
            fence_timeout * STALLED_FENCE_TIMEOUTS
        } else {
            fence_timeout
        };
        let action = CallAction::Fence {
            to: lost.target.clone(),
            attempt_id: lost.attempt_id,
        };
        self.state = State::Fencing {
            lost,
            until: self.deadline.min(now.at + wait),
            may_answer,
        };
        vec![action]
    }

    /// Handles the answer to a fence.
    pub fn fence_answered(
        &mut self,
        attempt_id: AttemptId,
        answer: FenceAnswer,
        router: &mut Router,
        now: Now,
    ) -> Vec<CallAction> {
        let deadline = self.deadline;
        let State::Fencing {
            lost,
            until,
            may_answer,
        } = &mut self.state
        else {
            return Vec::new();
        };
        if lost.attempt_id != attempt_id {
            return Vec::new();
        }
        if answer == FenceAnswer::Started && *may_answer {
            // The node responds again, so the answer of the run is expected on the stalled link.
            *until = deadline;
            return Vec::new();
        }
        let result = match answer {
            FenceAnswer::NotStarted => AttemptResult::refused(Reason::Fenced, None),
            FenceAnswer::Started | FenceAnswer::CannotKnow => AttemptResult::Unknown {
                reason: Reason::LinkLost,
            },
        };
        self.resolve(attempt_id, result, router, now)
    }

    /// Ends the call because its caller disconnected.
    pub fn caller_disconnected(&mut self, router: &mut Router) -> Vec<CallAction> {
        let mut actions = Vec::new();
        self.cancel_in_flight(router, &mut actions);
        self.state = State::Done;
        actions
    }

    /// Performs what is due: a retry after its backoff, the end of the wait for a fence, or the
    /// final answer when the deadline has passed.
    pub fn tick(&mut self, router: &mut Router, now: Now) -> Vec<CallAction> {
        let mut actions = Vec::new();
        if matches!(self.state, State::Done) {
            return actions;
        }
        if now.at >= self.deadline {
            self.time_out(router, now, &mut actions);
            return actions;
        }
        match &self.state {
            State::Backoff { until } if *until <= now.at => self.send(router, now, &mut actions),
            State::Fencing { until, .. } if *until <= now.at => {
                self.first_unknown_reason.get_or_insert(Reason::LinkLost);
                self.answer(Reason::LinkLost, None, &mut actions);
            }
            State::Waiting(_) | State::Fencing { .. } | State::Backoff { .. } | State::Done => {}
        }
        actions
    }

    /// Returns when [`Call::tick`] has something to do; `None` when the call is done.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        match &self.state {
            State::Waiting(_) => Some(self.deadline),
            State::Fencing { until, .. } | State::Backoff { until } => {
                Some((*until).min(self.deadline))
            }
            State::Done => None,
        }
    }

    /// Returns whether the caller was answered or has disconnected.
    #[must_use]
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Returns the service of the call.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the route of the call.
    #[must_use]
    pub fn route_name(&self) -> &RouteName {
        &self.route
    }

    /// Returns the version that serves the call.
    #[must_use]
    pub fn version(&self) -> &VersionName {
        &self.version
    }

    fn route<F>(
        request: &CallRequest<'_>,
        router: &mut Router,
        cap: F,
        now: Now,
    ) -> Result<Self, Reason>
    where
        F: FnMut(&str, &str, bool) -> u16,
    {
        let found = router.routes().find(request.host, request.path)?;
        let entry = router.routes().entry(found);
        let route = router.routes().route(found);
        let share = ShareContext {
            request_id: request.request_id,
            now_unix_ms: now.unix_ms,
            store_down_since_unix_ms: router.store_down_since_unix_ms(),
        };
        let mut version = route::choose_version(entry, route, share, cap);
        // While a new version has no ready target, its share of requests stays with the old
        // version.
        if let Some(state) = &entry.move_state
            && *version == state.to
            && !state.status.is_final()
            && route.version.is_none()
            && !router.has_ready(&entry.service, version)
        {
            version = &state.from;
        }
        let budget_permille = entry.limits.retry_budget_permille;
        let mut call = Self {
            request_id: request.request_id,
            service: entry.service.clone(),
            route: route.name.clone(),
            version: version.clone(),
            class: entry.class,
            is_idempotent: route.repeatable,
            is_retry: request.is_retry,
            key: None,
            key_check: if request.key.is_none() {
                KeyCheck::Generated
            } else {
                KeyCheck::Unchecked
            },
            fingerprint: request.fingerprint,
            deadline: budget::deadline(now.at, request.timeout_ms, route.timeout_ms),
            attempts: 0,
            tried: Vec::new(),
            voided: Vec::new(),
            first_unknown_reason: None,
            state: State::Done,
        };
        if !call.is_idempotent {
            let text = request
                .key
                .map_or_else(|| router.new_id(now).simple().to_smolstr(), SmolStr::from);
            call.key = Some(Key::new(call.service.clone(), text));
        }
        if !call.is_retry {
            router.deposit_retry_budget(&call.service, budget_permille, now);
        }
        Ok(call)
    }

    fn send(&mut self, router: &mut Router, now: Now, actions: &mut Vec<CallAction>) {
        let Some(time_left_ms) = budget::time_left_ms(self.deadline, now.at) else {
            self.answer(Reason::DeadlinePassed, None, actions);
            return;
        };
        if self.is_refused(router, now) {
            self.answer(Reason::FingerprintRefused, None, actions);
            return;
        }
        let target = match &self.key {
            // A node that has not run an earlier attempt may run this one.
            Some(key) => router
                .runner(key, &self.version, &self.tried, now)
                .or_else(|| router.runner(key, &self.version, &[], now)),
            None => router.pick(&self.service, &self.version, &self.tried, now),
        };
        self.attempts += 1;
        actions.push(CallAction::Log(Box::new(self.decision(target.as_ref()))));
        let Some(to) = target else {
            self.answer(Reason::NoTarget, None, actions);
            return;
        };
        let attempt_id = router.new_id(now);
        router.attempt_started(&to);
        self.tried.push(to.node.clone());
        self.state = State::Waiting(InFlight {
            target: to.clone(),
            attempt_id,
            sent_at: now.at,
        });
        actions.push(CallAction::SendAttempt(Box::new(Attempt {
            to,
            attempt_id,
            time_left_ms,
            is_retry: self.is_retry || self.attempts > 1,
            class: self.class,
            key: self.attempt_key(),
        })));
    }

    fn is_refused(&self, router: &Router, now: Now) -> bool {
        self.fingerprint
            .is_some_and(|digest| router.fingerprints().refused_for(&digest, now.at).is_some())
    }

    fn attempt_key(&self) -> Option<AttemptKey> {
        self.key.as_ref().map(|key| AttemptKey {
            key: key.clone(),
            is_generated: self.key_check == KeyCheck::Generated,
            voided: self.voided.clone(),
        })
    }

    fn decision(&self, target: Option<&Target>) -> Decision {
        Decision {
            request_id: self.request_id,
            service: self.service.clone(),
            route: self.route.clone(),
            version: self.version.clone(),
            node: target.map(|target| target.node.clone()),
            attempt: self.attempts,
        }
    }

    /// Retries after the end of an attempt, or answers the caller. A complete answer is never
    /// retried, even if its status is a failure: requests to a failing service at the end of a call
    /// chain would otherwise be retried at every level above it.
    fn resolve(
        &mut self,
        attempt_id: AttemptId,
        result: AttemptResult,
        router: &mut Router,
        now: Now,
    ) -> Vec<CallAction> {
        let mut actions = Vec::new();
        match result {
            AttemptResult::Answered { .. } => {
                self.state = State::Done;
                let answer = Answer::Forward { attempt_id };
                actions.push(CallAction::AnswerCaller(answer));
            }
            AttemptResult::KeyRefused { reason } => self.answer(reason, None, &mut actions),
            AttemptResult::NotRun {
                reason,
                retry_after_ms,
            } => {
                self.voided.push(attempt_id);
                if self.key_check == KeyCheck::Unchecked && is_decided_after_claim(reason) {
                    self.key_check = KeyCheck::New;
                }
                let cost = RetryCost::of(reason);
                if !(may_succeed_elsewhere(reason) && self.retry(cost, router, now)) {
                    self.answer(reason, retry_after_ms, &mut actions);
                }
            }
            AttemptResult::Unknown { reason } => {
                self.first_unknown_reason.get_or_insert(reason);
                let may_retry = self.is_idempotent && may_succeed_elsewhere(reason);
                if !(may_retry && self.retry(RetryCost::Token, router, now)) {
                    self.answer(reason, None, &mut actions);
                }
            }
        }
        actions
    }

    fn retry(&mut self, cost: RetryCost, router: &mut Router, now: Now) -> bool {
        let retries = self.attempts.saturating_sub(1);
        if self.is_retry || retries >= router.options().max_retries {
            return false;
        }
        let until = now.at + router.backoff(retries);
        if until >= self.deadline {
            return false;
        }
        let is_allowed = match cost {
            RetryCost::None => true,
            RetryCost::Token => router.withdraw_retry_budget(&self.service, now),
        };
        if is_allowed {
            self.state = State::Backoff { until };
        }
        is_allowed
    }

    fn time_out(&mut self, router: &mut Router, now: Now, actions: &mut Vec<CallAction>) {
        let reason = match &self.state {
            State::Waiting(in_flight) => {
                let result = AttemptResult::Unknown {
                    reason: Reason::TimedOut,
                };
                let target = in_flight.target.clone();
                let attempt_id = in_flight.attempt_id;
                let latency = now.at.saturating_duration_since(in_flight.sent_at);
                router.attempt_finished(&target, result, latency, now);
                let to = target;
                actions.push(CallAction::Cancel { to, attempt_id });
                Reason::TimedOut
            }
            State::Fencing { .. } => Reason::TimedOut,
            State::Backoff { .. } | State::Done => Reason::DeadlinePassed,
        };
        if reason == Reason::TimedOut {
            self.first_unknown_reason.get_or_insert(reason);
        }
        self.answer(reason, None, actions);
    }

    fn cancel_in_flight(&mut self, router: &mut Router, actions: &mut Vec<CallAction>) {
        let in_flight = match &self.state {
            State::Waiting(in_flight) => {
                router.attempt_abandoned(&in_flight.target);
                in_flight
            }
            State::Fencing { lost, .. } => lost,
            State::Backoff { .. } | State::Done => return,
        };
        actions.push(CallAction::Cancel {
            to: in_flight.target.clone(),
            attempt_id: in_flight.attempt_id,
        });
    }

    /// Returns whether an earlier request under the caller's key can have run. A refusal that
    /// arrives before the keepers were asked says nothing about earlier requests.
    fn may_have_run_earlier(&self) -> bool {
        self.key.is_some() && self.key_check == KeyCheck::Unchecked
    }

    /// Answers the caller. The outcome is "not run" only when that holds for every attempt and for
    /// every earlier request under the same key.
    fn answer(
        &mut self,
        reason: Reason,
        retry_after_ms: Option<u32>,
        actions: &mut Vec<CallAction>,
    ) {
        self.state = State::Done;
        let (outcome, reason) = match (reason.outcome(), self.first_unknown_reason) {
            (Outcome::NotRun, Some(unknown)) => (Outcome::Unknown, unknown),
            (Outcome::NotRun, None) if self.may_have_run_earlier() => {
                (Outcome::Unknown, Reason::KeyCannotKnow)
            }
            (outcome, _) => (outcome, reason),
        };
        let retry_after_ms = match outcome {
            Outcome::NotRun => retry_after_ms.or(reason.retry_after_ms()),
            Outcome::Ran | Outcome::Unknown => reason.retry_after_ms(),
        };
        actions.push(CallAction::AnswerCaller(Answer::Generated {
            outcome,
            reason,
            retry_after_ms,
        }));
    }

    /// Returns the time until the deadline, in milliseconds.
    #[must_use]
    pub fn time_left_ms(&self, now: Instant) -> u64 {
        duration_ms(self.deadline.saturating_duration_since(now))
    }
}

/// Returns whether the target's node gives this reason only after the keepers confirmed that the
/// key is new.
fn is_decided_after_claim(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::QueueFull | Reason::DeadlinePassed | Reason::TargetShed | Reason::NoWitness
    )
}

/// Returns whether another target may succeed. A request whose target was lost is not retried: if
/// the request crashed it, each retry could crash one more target before the fingerprint is
/// refused.
fn may_succeed_elsewhere(reason: Reason) -> bool {
    !matches!(
        reason,
        Reason::TargetLost
            | Reason::FingerprintRefused
            | Reason::Cancelled
            | Reason::NoService
            | Reason::NoRoute
    )
}
