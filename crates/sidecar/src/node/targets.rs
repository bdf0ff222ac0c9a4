//! Requests at this node's target: admission, slots, results and their counts.

use std::rc::Rc;
use std::time::Duration;

use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http::HttpRequest;
use serde_json::json;

use crate::admission::AdmissionDecision;
use crate::admission::AdmissionQueue;
use crate::admission::AdmissionRequest;
use crate::admission::WorkId;
use crate::clock::Time;
use crate::cold_doubt::ColdDoubt;
use crate::edge::frame::Failure;
use crate::edge::frame::Refusal;
use crate::fingerprint::Fingerprint;
use crate::judge::Tally;
use crate::judge::TimedRun;
use crate::log::LogCategory;
use crate::model::RequestId;
use crate::node::Node;
use crate::node::Timer;
use crate::node::calls::AttemptEnd;
use crate::node::ms;
use crate::node::ordering::retry_after_of;
use crate::table::Table;
use crate::target::OwnTarget;

/// Time after a request's deadline in which the target can still send its own answer.
const ANSWER_GRACE: Duration = Duration::from_millis(40);
/// The same for a non-idempotent request; it is longer since aborting such a run gains nothing.
const NON_IDEMPOTENT_ANSWER_GRACE: Duration = Duration::from_millis(600);
/// Status by which a target reports that it did not run a request.
const MISDIRECTED_REQUEST: u16 = 421;

/// State of the target beside this node.
#[derive(Default)]
pub(crate) struct LocalTarget {
    pub(crate) own: OwnTarget,
    pub(crate) admission: AdmissionQueue,
    pub(crate) cold_doubt: ColdDoubt,
    pub(crate) work_items: Table<WorkItem>,
    /// Whether the target accepted requests when that was last checked.
    pub(crate) was_open: bool,
    /// Set while the target refuses connections; cleared by its next heartbeat.
    pub(crate) is_unreachable: bool,
    /// Requests that were lost with a connection, and when, until it is known whether the target
    /// still runs.
    pub(crate) lost_requests: Vec<(Fingerprint, Time)>,
    /// Counts of answers since the target or the rollout changed, sorted by route.
    pub(crate) tallies: Vec<(RouteName, Tally)>,
    /// Counts of answers of runs that began while the target was busy.
    pub(crate) busy_tally: Tally,
    /// When `Timer::Permit` fires next.
    pub(crate) permit_timer: Option<Time>,
}

/// Request for this node's target.
pub(crate) struct WorkItem {
    pub(crate) origin: WorkOrigin,
    pub(crate) request: Rc<HttpRequest>,
    pub(crate) request_id: RequestId,
    pub(crate) caller_service: ServiceName,
    pub(crate) route: RouteName,
    pub(crate) is_idempotent: bool,
    /// Whether an earlier attempt sent the request to another target.
    pub(crate) is_retry: bool,
    pub(crate) priority: u8,
    pub(crate) due: Time,
    pub(crate) deadline: Time,
    pub(crate) target_latency: Duration,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) submitted_at: Time,
    /// Expected size of the answer if it is large and leaves the VM, otherwise 0.
    pub(crate) answer_bytes: usize,
    pub(crate) state: WorkState,
}

impl WorkItem {
    /// Returns whether another node sent the request.
    pub(super) fn is_of_link(&self) -> bool {
        matches!(self.origin, WorkOrigin::Link { .. })
    }

    /// Returns the memory of the request; that of a caller's request is counted with the call.
    pub(super) fn held_bytes(&self) -> usize {
        match self.origin {
            WorkOrigin::Call(_) | WorkOrigin::HealthCheck => 0,
            WorkOrigin::Link { .. } | WorkOrigin::Abandoned => self.request.body.capacity(),
        }
    }

    /// Returns the duration of the run so far, with the target latency of its route.
    fn timed(&self, started: Time, now: Time) -> TimedRun {
        TimedRun {
            took: now.saturating_sub(started),
            target_latency: self.target_latency,
        }
    }
}

/// Returns the counts of a route; `tallies` is sorted by route.
fn tally_of<'a>(tallies: &'a mut Vec<(RouteName, Tally)>, route: &RouteName) -> &'a mut Tally {
    let index = match tallies.binary_search_by(|(name, _)| name.cmp(route)) {
        Ok(index) => index,
        Err(index) => {
            tallies.insert(index, (route.clone(), Tally::default()));
            index
        }
    };
    &mut tallies[index].1
}

/// Recipient of the result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkOrigin {
    /// A request of a caller on this VM.
    Call(u64),
    /// A call of another node on a link.
    Link { link: u64, call: u64 },
    /// None, as it is a health check of this node.
    HealthCheck,
    /// None, since the request was cancelled.
    Abandoned,
}

/// Progress of a request at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkState {
    Waiting,
    Running {
        connection: u64,
        started: Time,
        /// Whether most slots of the target were in use when the run began.
        is_busy: bool,
    },
}

impl LocalTarget {
    /// Resets the counts of answers.
    pub(super) fn clear_counts(&mut self) {
        self.tallies.clear();
        self.busy_tally = Tally::default();
    }
}

impl Node {
    /// Returns whether the target accepts new requests.
    pub(super) fn is_target_open(&self) -> bool {
        self.target.own.is_admitting()
            && !self.target.is_unreachable
            && !self.may_be_evacuated()
            && !self.lacks_cold_rate()
            && self.are_deregistrations_known()
    }

    /// Updates whether the target is cold, and publishes a new record of the node when the target
    /// starts or stops accepting requests.
    pub(super) fn check_target(&mut self) {
        self.update_coldness();
        let is_open = self.accepts_peer_calls();
        if std::mem::replace(&mut self.target.was_open, is_open) != is_open {
            self.record_changed();
        }
    }

    pub(super) fn submit_work(&mut self, id: WorkId) {
        let Some(work) = self.target.work_items.get(id) else {
            return;
        };
        let deadline = work.deadline;
        if !self.is_target_open() {
            self.reject_work(id, Refusal::NoTarget, Duration::ZERO);
            return;
        }
        if self.suspects.is_refused(work.fingerprint, self.now) {
            self.reject_work(id, Refusal::Suspected, Duration::ZERO);
            return;
        }
        let uplink = self.uplink_demand(work.answer_bytes);
        let request = AdmissionRequest {
            id,
            route: work.route.clone(),
            priority: work.priority,
            due: work.due,
            deadline,
            target_latency: work.target_latency,
            uplink,
        };
        self.uplink.add_expected(work.answer_bytes);
        let decision = self.admit_work(id, &request);
        let given_up = self.record_given_up();
        match decision {
            AdmissionDecision::Run => self.run_work(id),
            AdmissionDecision::Wait { displaced } => {
                self.set_timer(deadline, Timer::Work(id));
                self.reject_displaced(displaced, &given_up);
                self.dispatch_newly_planned();
                self.schedule_permit();
            }
            AdmissionDecision::Reject {
                reason,
                retry_after,
                displaced,
            } => {
                self.reject_work(id, reason.into(), retry_after);
                self.reject_displaced(displaced, &given_up);
                self.dispatch_newly_planned();
            }
        }
    }

    pub(super) fn run_work(&mut self, id: WorkId) {
        let Some(work) = self.target.work_items.get(id) else {
            self.target.admission.ended(id);
            self.target.admission.release();
            return;
        };
        let grace = if work.is_idempotent {
            ANSWER_GRACE
        } else {
            NON_IDEMPOTENT_ANSWER_GRACE
        };
        let deadline = work.deadline + grace;
        self.set_timer(deadline, Timer::Work(id));
        match self.send_to_target(id) {
            Ok(connection) => {
                metrics::counter!("hemlockfall_sidecar_target_requests_total").increment(1);
                let started = self.now;
                let is_busy = self.target.admission.is_busy();
                if let Some(work) = self.target.work_items.get_mut(id) {
                    work.state = WorkState::Running {
                        connection,
                        started,
                        is_busy,
                    };
                }
            }
            Err(error) => {
                self.log_event("target_unreachable", json!({ "reason": error.to_string() }));
                self.target.admission.ended(id);
                self.target.admission.release();
                self.reject_work(id, Refusal::NoTarget, Duration::ZERO);
            }
        }
    }

    /// Returns the probability that a request for another service is a nested call of a retried run
    /// at this node's target, as calls of the target cannot be told from other requests of callers
    /// on this VM.
    pub(super) fn retry_share(&self, service: &str) -> f64 {
        let is_own = self
            .target
            .own
            .current()
            .is_none_or(|target| target.service == service);
        if is_own {
            return 0.0;
        }
        let running = self
            .target
            .work_items
            .iter()
            .filter(|(_, work)| work.state != WorkState::Waiting);
        let (mut all, mut retries) = (0_u32, 0_u32);
        for (_, work) in running {
            all += 1;
            retries += u32::from(work.is_retry);
        }
        f64::from(retries) / f64::from(all.max(1))
    }

    /// Runs waiting requests in free slots.
    pub(super) fn dispatch_work(&mut self) {
        let dispatch = self.target.admission.dispatch(self.now);
        let given_up = self.record_given_up();
        for id in dispatch.expired {
            let retry_after = retry_after_of(&given_up, id);
            self.reject_work(id, Refusal::TooLate, retry_after);
        }
        for id in dispatch.run {
            self.run_work(id);
        }
        self.schedule_permit();
    }

    /// Sets a timer for the next request that has a free slot and waits for the rate limit.
    fn schedule_permit(&mut self) {
        let Some(at) = self.target.admission.next_permit_at(self.now) else {
            return;
        };
        let is_set = self.target.permit_timer.is_some_and(|set| set <= at);
        if !is_set {
            self.target.permit_timer = Some(at);
            self.set_timer(at, Timer::Permit);
        }
    }

    /// Sends the waiting requests that the rate limit allows by now.
    pub(super) fn permit_due(&mut self) {
        self.target.permit_timer = None;
        self.dispatch_work();
    }

    /// Rejects all waiting requests, since the target accepts no more.
    pub(super) fn drain_queue(&mut self) {
        for id in self.target.admission.drain() {
            self.reject_work(id, Refusal::NoTarget, Duration::ZERO);
        }
    }

    pub(super) fn reject_work(&mut self, id: WorkId, refusal: Refusal, retry_after: Duration) {
        metrics::counter!("hemlockfall_sidecar_rejected_total", "reason" => format!("{refusal:?}"))
            .increment(1);
        self.end_work(
            id,
            AttemptEnd::NotRun {
                refusal,
                retry_after,
            },
        );
    }

    pub(super) fn is_waiting(&self, id: WorkId) -> bool {
        self.target
            .work_items
            .get(id)
            .is_some_and(|work| work.state == WorkState::Waiting)
    }

    /// Ends a request that has timed out in the queue or at the target.
    pub(super) fn work_timed_out(&mut self, id: WorkId) {
        let Some(work) = self.target.work_items.get(id) else {
            return;
        };
        match work.state {
            WorkState::Waiting => {
                self.target.admission.cancel(id);
                self.reject_work(id, Refusal::TooLate, Duration::ZERO);
            }
            WorkState::Running {
                connection,
                started,
                ..
            } => {
                let limit = if work.is_idempotent {
                    work.deadline
                } else {
                    work.deadline + NON_IDEMPOTENT_ANSWER_GRACE
                };
                if self.now < limit {
                    return;
                }
                self.drop_connection(connection);
                self.run_ended(id, started, AttemptEnd::Failed(Failure::TimedOut));
            }
        }
    }

    /// Cancels a request whose result is no longer needed.
    pub(super) fn cancel_work(&mut self, id: WorkId) {
        let Some(work) = self.target.work_items.get_mut(id) else {
            return;
        };
        work.origin = WorkOrigin::Abandoned;
        match work.state {
            WorkState::Waiting => {
                self.target.admission.cancel(id);
                self.remove_work(id);
            }
            // A non-idempotent run is left to finish: aborting it would leave open whether it had
            // its effect.
            WorkState::Running {
                connection,
                started,
                is_busy,
            } if work.is_idempotent => {
                let (route, timed) = (work.route.clone(), work.timed(started, self.now));
                self.tally_overdue(&route, is_busy, timed);
                self.remove_work(id);
                self.target.admission.ended(id);
                self.target.admission.release();
                self.drop_connection(connection);
                self.dispatch_work();
            }
            WorkState::Running { .. } => {}
        }
    }

    /// Handles the target's answer to a request.
    pub(super) fn target_answered(&mut self, id: WorkId, answer: HttpAnswer) {
        let Some(work) = self.target.work_items.get(id) else {
            return;
        };
        let WorkState::Running { started, .. } = work.state else {
            return;
        };
        if work.origin == WorkOrigin::HealthCheck {
            self.check_answered(id, started, &answer);
            return;
        }
        let end = if answer.header(self.header_names.not_run).is_some()
            || answer.status == MISDIRECTED_REQUEST
        {
            AttemptEnd::NotRun {
                refusal: Refusal::ByTarget,
                retry_after: Duration::ZERO,
            }
        } else if self.is_valid_answer(work, &answer) {
            AttemptEnd::Answered(Box::new(answer))
        } else {
            AttemptEnd::Failed(Failure::BadAnswer)
        };
        if let AttemptEnd::Answered(answer) = &end {
            let route = work.route.clone();
            self.answer_sizes.add(&route, answer.body.len());
        }
        self.run_ended(id, started, end);
    }

    /// Returns whether an answer was made by the target for this request. A success must carry the
    /// target's signature.
    pub(super) fn is_valid_answer(&self, work: &WorkItem, answer: &HttpAnswer) -> bool {
        let is_own = answer
            .header(self.header_names.request_id)
            .is_none_or(|id| id == work.request_id);
        let is_encoded = answer.header("content-encoding").is_some();
        let is_success = (200..300).contains(&answer.status);
        is_own
            && !is_encoded
            && (!is_success || answer.header(self.header_names.signature).is_some())
    }

    /// Handles the end of a run: frees its slot, and records its duration and result.
    pub(super) fn run_ended(&mut self, id: WorkId, started: Time, end: AttemptEnd) {
        let Some(work) = self.target.work_items.get(id) else {
            return;
        };
        if work.origin == WorkOrigin::HealthCheck {
            self.target.admission.release();
            self.remove_work(id);
            self.dispatch_work();
            return;
        }
        let took = self.now.saturating_sub(started);
        let is_busy = matches!(work.state, WorkState::Running { is_busy: true, .. });
        let timed = work.timed(started, self.now);
        let route = work.route.clone();
        let fingerprint = work.fingerprint;
        let has_failed = match &end {
            AttemptEnd::Answered(answer) => answer.status >= 500,
            AttemptEnd::NotRun { .. } | AttemptEnd::Failed(_) => true,
        };
        self.target.admission.ended(id);
        match &end {
            AttemptEnd::NotRun {
                refusal: Refusal::ByTarget,
                ..
            } => self.target.admission.rejected(),
            AttemptEnd::NotRun { .. } => self.target.admission.release(),
            AttemptEnd::Answered(_) | AttemptEnd::Failed(_) => {
                self.target.admission.finished(&route, took, !has_failed);
                self.tally(&route, is_busy, has_failed, timed);
                metrics::histogram!("hemlockfall_sidecar_run_seconds").record(took.as_secs_f64());
            }
        }
        if !has_failed && !self.suspects.is_empty() {
            self.suspects.clear(fingerprint);
        }
        self.log_run(id, took, &end);
        self.end_work(id, end);
        self.dispatch_work();
    }

    /// Counts an answer as evidence for the evaluation of a rollout.
    fn tally(&mut self, route: &RouteName, is_busy: bool, failed: bool, timed: TimedRun) {
        let timed = (!self.target.own.is_cold(self.now)).then_some(timed);
        if is_busy {
            self.target.busy_tally.add(failed, timed);
        }
        tally_of(&mut self.target.tallies, route).add(failed, timed);
    }

    /// Counts a cancelled run if it has exceeded the target latency of its route.
    fn tally_overdue(&mut self, route: &RouteName, is_busy: bool, timed: TimedRun) {
        if self.target.own.is_cold(self.now) || !timed.is_late() {
            return;
        }
        if is_busy {
            self.target.busy_tally.add_overdue(timed);
        }
        tally_of(&mut self.target.tallies, route).add_overdue(timed);
    }

    /// Returns the counts of the target, including the runs in progress that have already exceeded
    /// the target latency of their route.
    pub(super) fn counts(&self) -> (Vec<(RouteName, Tally)>, Tally) {
        let mut tallies = self.target.tallies.clone();
        let mut busy_tally = self.target.busy_tally;
        if self.target.own.is_cold(self.now) {
            return (tallies, busy_tally);
        }
        for (_, work) in self.target.work_items.iter() {
            let WorkState::Running {
                started, is_busy, ..
            } = work.state
            else {
                continue;
            };
            let timed = work.timed(started, self.now);
            if timed.is_late() {
                tally_of(&mut tallies, &work.route).add_overdue(timed);
                if is_busy {
                    busy_tally.add_overdue(timed);
                }
            }
        }
        (tallies, busy_tally)
    }

    fn log_run(&mut self, id: WorkId, took: Duration, end: &AttemptEnd) {
        let (category, outcome) = match end {
            AttemptEnd::Answered(answer) if answer.status < 500 => {
                (LogCategory::Success, format!("status {}", answer.status))
            }
            AttemptEnd::Answered(answer) => {
                (LogCategory::Failure, format!("status {}", answer.status))
            }
            AttemptEnd::NotRun { refusal, .. } => {
                (LogCategory::Failure, format!("not run {refusal:?}"))
            }
            AttemptEnd::Failed(failure) => (LogCategory::Failure, format!("unknown {failure:?}")),
        };
        if !self.log.admits(category, self.now) {
            return;
        }
        let Some(work) = self.target.work_items.get(id) else {
            return;
        };
        let load = self.target.admission.load();
        let heartbeat_age_ms = self.target.own.heartbeat_age(self.now).map(ms);
        let instance = self.target.own.current().map(|target| &target.instance);
        let fields = json!({
            "id": work.request_id, "route": work.route, "instance": instance,
            "outcome": outcome, "run_ms": ms(took),
            "at_node_ms": ms(self.now.saturating_sub(work.submitted_at)),
            "running": load.running, "queued": load.queued, "heartbeat_age_ms": heartbeat_age_ms,
            "limit_per_s": self.target.admission.rate_limit_per_s(),
        });
        self.log.write("run", fields);
    }

    /// Removes a request and passes its result to the recipient.
    fn end_work(&mut self, id: WorkId, end: AttemptEnd) {
        let Some(work) = self.remove_work(id) else {
            return;
        };
        match work.origin {
            WorkOrigin::Abandoned | WorkOrigin::HealthCheck => {}
            WorkOrigin::Call(call) => self.attempt_ended(call, end),
            WorkOrigin::Link { link, call } => self.answer_link(link, call, &work, end),
        }
    }

    fn remove_work(&mut self, id: WorkId) -> Option<WorkItem> {
        let work = self.target.work_items.remove(id)?;
        self.uplink.remove_expected(work.answer_bytes);
        Some(work)
    }
}
