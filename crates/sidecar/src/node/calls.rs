//! Requests of callers on this VM: routing, attempts, retries and answers.

use std::rc::Rc;
use std::time::Duration;

use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http::HttpRequest;
use rand::RngExt;
use serde_json::json;

use crate::admission::WorkId;
use crate::attempts;
use crate::attempts::AttemptContext;
use crate::attempts::FinalOutcome;
use crate::attempts::NextStep;
use crate::attempts::Outcome;
use crate::clock::Time;
use crate::edge::frame::Failure;
use crate::edge::frame::Refusal;
use crate::exposure::CanaryUse;
use crate::fingerprint;
use crate::fingerprint::Fingerprint;
use crate::log::LogCategory;
use crate::model::AccountName;
use crate::model::ConfigVersion;
use crate::model::Idempotency;
use crate::model::KeyDigest;
use crate::model::MAX_REQUEST_ID_BYTES;
use crate::model::RequestId;
use crate::model::Route;
use crate::node::Node;
use crate::node::Timer;
use crate::node::caller_accounts::CallerIdentity;
use crate::node::callers::CODE_NO_MEMORY;
use crate::node::callers::own_answer;
use crate::node::mesh::VersionRule;
use crate::node::ms;
use crate::node::peers::OWN_NODE;
use crate::node::placement::PlacementRequest;
use crate::node::targets::WorkItem;
use crate::node::targets::WorkOrigin;
use crate::node::targets::WorkState;
use crate::order::Order;
use crate::order::returns;
use crate::order::returns::MAX_RETRY_AFTER;
use crate::order::returns::MIN_RETRY_AFTER;
use crate::regions::AllowedRegions;

pub(super) const CODE_NO_ROUTE: &str = "HF-3702";
pub(super) const CODE_NO_TARGET: &str = "HF-3703";
pub(super) const CODE_SUSPECTED: &str = "HF-3704";
const CODE_STOPPING: &str = "HF-3708";
const CODE_UNKNOWN: &str = "HF-3706";
/// `Retry-After` when no configuration or target is available to estimate a wait from.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Lowest HTTP status after which a caller may send its request again.
const MIN_UNSERVED_STATUS: u16 = 408;

/// Decision on whether a request may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Entry {
    Begin,
    /// It waits until the starting node knows targets.
    Defer,
    /// It is refused with 503.
    Refuse {
        code: &'static str,
    },
}

/// Request of a caller.
pub(crate) struct Call {
    pub(super) caller: u64,
    pub(super) token: u64,
    pub(crate) request: Rc<HttpRequest>,
    pub(crate) request_id: RequestId,
    pub(crate) route: Rc<Route>,
    pub(crate) service: ServiceName,
    /// Client account of the caller, if the configuration has accounts and the route needs one.
    pub(crate) account: Option<AccountName>,
    /// Priority of the client account, otherwise that of the route.
    pub(crate) priority: u8,
    /// Regions that both the route and the client account allow.
    pub(crate) allowed_regions: AllowedRegions,
    /// Digest of the key by which `account` was found.
    pub(super) key: Option<KeyDigest>,
    /// Version of the configuration in which the key was last looked up.
    pub(super) account_version: ConfigVersion,
    pub(crate) version: VersionRule,
    canary_use: CanaryUse,
    fingerprint: Fingerprint,
    pub(super) arrived: Time,
    /// When the caller first sent this request; earlier than `arrived` if it is a caller's retry.
    first_requested_at: Time,
    /// When the caller stops waiting; `deadline` is earlier if the route's timeout is shorter.
    caller_deadline: Time,
    pub(crate) due: Time,
    pub(crate) deadline: Time,
    /// Nodes that refused or failed the request.
    pub(crate) tried: Vec<u64>,
    pub(crate) target_attempts: u16,
    refusals: u8,
    pub(super) may_have_run: bool,
    /// Last answer of a target, delivered if the request is not retried.
    pub(super) last_answer: Option<HttpAnswer>,
    pub(crate) location: AttemptLocation,
    retry_after: Duration,
    pub(super) trace: Vec<String>,
}

impl Call {
    fn placement_request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            route: &self.route,
            service: &self.service,
            priority: self.priority,
            allowed_regions: &self.allowed_regions,
            version: &self.version,
            canary_use: self.canary_use,
            due: self.due,
            deadline: self.deadline,
            tried: &self.tried,
        }
    }

    /// Returns the memory of the request and of an answer that may still be replaced.
    pub(super) fn held_bytes(&self) -> usize {
        let answer = self.last_answer.as_ref();
        self.request.body.capacity() + answer.map_or(0, |answer| answer.body.capacity())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptLocation {
    /// No attempt is in progress.
    None,
    /// At this node's target.
    Own(WorkId),
    /// At another node.
    Peer { peer: u64, link: u64 },
}

#[derive(Debug)]
pub(crate) enum AttemptEnd {
    Answered(Box<HttpAnswer>),
    NotRun {
        refusal: Refusal,
        retry_after: Duration,
    },
    Failed(Failure),
}

impl Node {
    /// Starts a caller's request, which may have been deferred since it arrived.
    pub(super) fn begin_call(
        &mut self,
        caller: u64,
        token: u64,
        mut request: HttpRequest,
        arrived: Time,
    ) {
        let request_id = self.request_id(&request);
        if request_id.len() > MAX_REQUEST_ID_BYTES {
            self.refuse_long_id(caller, token, request_id.len());
            return;
        }
        let Some(config) = self.mesh.config() else {
            self.defer_or_refuse(caller, token, request, arrived);
            return;
        };
        let account_version = config.version;
        let host = request.header("host").unwrap_or_default().to_owned();
        let Some(route) = self.mesh.router.select(&host, request.path()) else {
            self.log_unrouted(&request_id, &host, request.path(), account_version);
            let answer = own_answer(404, CODE_NO_ROUTE, None);
            self.answer_caller(caller, token, answer);
            return;
        };
        let identity = self.identify_caller(&request, &route);
        if identity == CallerIdentity::Refused {
            self.refuse_unknown_caller(caller, token, request, arrived);
            return;
        }
        let caller_timeout = self.caller_timeout(&request).unwrap_or(route.timeout);
        let deadline = arrived + caller_timeout.min(route.timeout);
        let allowed_regions = identity.allowed_regions(&route);
        match self.entry(&route, &allowed_regions, &request, arrived, deadline) {
            Entry::Begin => {
                if !self.find_memory_for(caller, &route.name, request.body.len()) {
                    self.refuse_request(caller, token, &request_id, 503, CODE_NO_MEMORY);
                    return;
                }
            }
            Entry::Defer => {
                self.defer_request(caller, token, request, arrived);
                return;
            }
            Entry::Refuse { code } => {
                self.refuse_request(caller, token, &request_id, 503, code);
                return;
            }
        }
        self.replace_account_headers(&mut request, &identity);
        let Some(service) = self.mesh.router.choose_service(&route) else {
            self.refuse_request(caller, token, &request_id, 503, CODE_NO_TARGET);
            return;
        };
        if route.idempotency == Idempotency::NonIdempotent {
            self.mark_non_idempotent(caller, token);
        }
        let fingerprint = fingerprint::fingerprint(&service, &self.settings.service, &request);
        if self.suspects.is_refused(fingerprint, self.now) {
            self.refuse_request(caller, token, &request_id, 503, CODE_SUSPECTED);
            return;
        }
        // All nodes share the allowance, also those that this node is not connected to.
        let (version, canary_use) = self.mesh.version_rule(
            &service,
            route.idempotency == Idempotency::Idempotent,
            self.settings.trial_allowance,
            self.node_count(),
            self.now,
        );
        self.budget.count_request(&service, self.now);
        let share = self.retry_share(&service);
        self.budget.count_nested_call(&service, share, self.now);
        let caller_deadline = arrived + caller_timeout;
        let first_requested_at = self
            .caller_retries
            .first_requested_at(fingerprint, caller_deadline)
            .unwrap_or(arrived);
        self.start_call(Call {
            caller,
            token,
            request: Rc::new(request),
            request_id,
            service,
            allowed_regions,
            account: identity.account().map(|account| account.name.clone()),
            priority: identity.priority(&route),
            key: identity.account().map(|account| account.key),
            account_version,
            version,
            canary_use,
            fingerprint,
            arrived,
            first_requested_at,
            caller_deadline,
            due: first_requested_at + route.target_latency,
            deadline,
            route,
            tried: Vec::new(),
            target_attempts: 0,
            refusals: 0,
            may_have_run: false,
            last_answer: None,
            location: AttemptLocation::None,
            retry_after: Duration::ZERO,
            trace: Vec::new(),
        });
    }

    /// Decides whether a request on a route may begin now.
    pub(super) fn entry(
        &self,
        route: &Route,
        allowed_regions: &AllowedRegions,
        request: &HttpRequest,
        arrived: Time,
        deadline: Time,
    ) -> Entry {
        if !self.may_start(deadline) {
            Entry::Refuse {
                code: CODE_STOPPING,
            }
        } else if self.awaits_targets(route, allowed_regions) && self.can_defer(request, arrived) {
            Entry::Defer
        } else {
            Entry::Begin
        }
    }

    fn start_call(&mut self, call: Call) {
        let deadline = call.deadline;
        let id = self.calls.insert(call);
        self.set_timer(deadline, Timer::Call(id));
        self.admit_by_quota(id);
    }

    pub(super) fn request_id(&self, request: &HttpRequest) -> RequestId {
        let text = request.header(self.header_names.request_id);
        text.unwrap_or_default().into()
    }

    /// Returns the timeout that the caller states in a header of its request, if any.
    pub(super) fn caller_timeout(&self, request: &HttpRequest) -> Option<Duration> {
        let text = request.header(self.header_names.deadline_ms)?;
        Some(Duration::from_millis(text.parse().ok()?))
    }

    /// Sends the request to the best node that has not been tried yet.
    pub(super) fn attempt(&mut self, id: u64) {
        if self.is_interrupting() {
            self.no_candidate(id, Refusal::NoTarget, None);
            return;
        }
        if !self.recheck_account(id) {
            return;
        }
        let now = self.now;
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let mut random = self.random.clone();
        let placement = self.place(&call.placement_request(), &mut random);
        self.random = random;
        let Some(node) = placement.node else {
            if self.leave_canary(id) {
                self.attempt(id);
                return;
            }
            let wait = placement
                .candidates
                .iter()
                .map(|candidate| candidate.expected_wait_ms(now))
                .reduce(f64::min);
            self.mark_service_full(id);
            let refusal = if wait.is_some() {
                Refusal::TooLate
            } else {
                Refusal::NoTarget
            };
            self.no_candidate(id, refusal, wait);
            return;
        };
        if node == OWN_NODE {
            self.attempt_locally(id);
        } else {
            self.attempt_at_peer(id, node);
        }
    }

    fn no_candidate(&mut self, id: u64, refusal: Refusal, wait_ms: Option<f64>) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        call.trace.push(format!("no candidate: {refusal:?}"));
        let wait = wait_ms.map_or(RETRY_AFTER, |wait_ms| {
            Duration::from_secs_f64(wait_ms.max(0.0) / 1000.0)
        });
        let wait = match self.settings.order {
            Order::Arrival => wait,
            Order::Cost => returns::spread(wait, call.priority, self.random.random()),
        };
        call.retry_after = call.retry_after.max(wait);
        let outcome = if call.last_answer.is_some() {
            FinalOutcome::Deliver
        } else if call.may_have_run {
            FinalOutcome::Unknown
        } else {
            FinalOutcome::NotRun
        };
        self.finish(id, outcome);
    }

    fn attempt_locally(&mut self, id: u64) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let work = WorkItem {
            origin: WorkOrigin::Call(id),
            request: Rc::clone(&call.request),
            request_id: call.request_id.clone(),
            caller_service: self.settings.service.clone(),
            route: call.route.name.clone(),
            is_idempotent: call.route.idempotency == Idempotency::Idempotent,
            is_retry: call.target_attempts > 0,
            priority: call.priority,
            due: call.due,
            deadline: call.deadline,
            target_latency: call.route.target_latency,
            fingerprint: call.fingerprint,
            submitted_at: self.now,
            answer_bytes: 0,
            state: WorkState::Waiting,
        };
        let work = self.target.work_items.insert(work);
        if let Some(call) = self.calls.get_mut(id) {
            call.location = AttemptLocation::Own(work);
        }
        self.submit_work(work);
    }

    /// Records the result of an attempt and takes the next step.
    pub(super) fn attempt_ended(&mut self, id: u64, end: AttemptEnd) {
        let now = self.now;
        let Some(location) = self.calls.get(id).map(|call| call.location) else {
            return;
        };
        let name = self.location_name(location);
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let node = match location {
            AttemptLocation::Peer { peer, .. } => peer,
            AttemptLocation::Own(_) | AttemptLocation::None => OWN_NODE,
        };
        call.location = AttemptLocation::None;
        let outcome = match end {
            AttemptEnd::Answered(answer) => {
                call.target_attempts += 1;
                call.may_have_run = true;
                let status = answer.status;
                self.answer_sizes.add(&call.route.name, answer.body.len());
                call.last_answer = Some(*answer);
                Outcome::Answered { status }
            }
            AttemptEnd::NotRun {
                refusal,
                retry_after,
            } => {
                call.retry_after = call.retry_after.max(retry_after);
                if refusal == Refusal::ByTarget {
                    call.target_attempts += 1;
                } else {
                    call.refusals += 1;
                }
                Outcome::NotRun(refusal)
            }
            AttemptEnd::Failed(failure) => {
                call.target_attempts += 1;
                call.may_have_run = true;
                Outcome::Failed(failure)
            }
        };
        call.trace.push(format!("{name}: {outcome:?}"));
        call.tried.push(node);
        let context = AttemptContext {
            idempotency: call.route.idempotency,
            target_attempts: call.target_attempts,
            max_attempts: call.route.max_attempts,
            refusals: call.refusals,
            may_have_run: call.may_have_run,
            time_left: call.deadline.saturating_sub(now),
        };
        count_attempt(outcome);
        match attempts::next_step(outcome, context) {
            NextStep::Deliver => self.finish(id, FinalOutcome::Deliver),
            NextStep::Finish(outcome) => self.finish(id, outcome),
            NextStep::TryElsewhere => self.attempt(id),
            NextStep::Retry { otherwise } => self.retry(id, otherwise),
        }
    }

    fn retry(&mut self, id: u64, otherwise: FinalOutcome) {
        let nodes = self.node_count();
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        call.version = self.mesh.retry_rule(&call.service);
        let service = call.service.clone();
        let priority = call.priority;
        if self.budget.try_retry(&service, priority, self.now, nodes) {
            self.attempt(id);
        } else {
            if let Some(call) = self.calls.get_mut(id) {
                call.trace.push("retry budget used up".to_owned());
            }
            self.finish(id, otherwise);
        }
    }

    pub(super) fn finish(&mut self, id: u64, final_outcome: FinalOutcome) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let answer = call.last_answer.take();
        let (answer, outcome) = match (final_outcome, answer) {
            (FinalOutcome::Deliver | FinalOutcome::Unknown, Some(answer)) => (answer, "answered"),
            (FinalOutcome::Unknown | FinalOutcome::Deliver, None) => {
                (own_answer(502, CODE_UNKNOWN, None), "unknown")
            }
            (FinalOutcome::NotRun, _) => {
                let max = match self.settings.order {
                    Order::Arrival => MAX_RETRY_AFTER,
                    Order::Cost => {
                        let left = call.caller_deadline.saturating_sub(self.now);
                        returns::max_retry_after(left)
                    }
                };
                let wait = call.retry_after.clamp(MIN_RETRY_AFTER, max);
                (own_answer(503, CODE_NO_TARGET, Some(wait)), "not_run")
            }
        };
        self.finish_call(id, answer, outcome);
    }

    pub(super) fn finish_call(&mut self, id: u64, mut answer: HttpAnswer, outcome: &'static str) {
        let Some(call) = self.calls.remove(id) else {
            return;
        };
        let waited = self.now.saturating_sub(call.arrived);
        if answer.status >= MIN_UNSERVED_STATUS {
            self.caller_retries.record_unserved(
                call.fingerprint,
                call.caller_deadline,
                call.first_requested_at,
                self.now,
            );
        }
        metrics::counter!("hemlockfall_sidecar_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("hemlockfall_sidecar_request_seconds").record(waited.as_secs_f64());
        let category = if answer.status < 400 {
            LogCategory::Success
        } else {
            LogCategory::Failure
        };
        if self.log.admits(category, self.now) {
            let config = self.mesh.config().map(|config| config.version);
            let config_age_ms = ms(self.mesh.config_age(self.now));
            self.log.write(
                "request",
                json!({
                    "id": call.request_id, "route": call.route.name, "service": call.service,
                    "version_rule": format!("{:?}", call.version), "status": answer.status,
                    "outcome": outcome, "waited_ms": ms(waited),
                    "asked_before_ms": ms(call.arrived.saturating_sub(call.first_requested_at)),
                    "account": call.account, "priority": call.priority, "attempts": call.trace,
                    "config": config, "config_age_ms": config_age_ms,
                }),
            );
        }
        if answer.header(self.header_names.request_id).is_none() && !call.request_id.is_empty() {
            answer.set_header(self.header_names.request_id, call.request_id);
        }
        self.answer_caller(call.caller, call.token, answer);
    }
}

fn count_attempt(outcome: Outcome) {
    let result = match outcome {
        Outcome::Answered { status } if status < 500 => "answered",
        Outcome::Answered { .. } => "target_failed",
        Outcome::NotRun(_) => "not_run",
        Outcome::Failed(_) => "unknown",
    };
    metrics::counter!("hemlockfall_sidecar_attempts_total", "result" => result).increment(1);
}

/// Returns whether a rule admits a version.
pub(super) fn is_allowed(rule: &VersionRule, version: &VersionName) -> bool {
    match rule {
        VersionRule::Any => true,
        VersionRule::Only(only) => only == version,
        VersionRule::Avoid(avoid) => avoid != version,
    }
}
