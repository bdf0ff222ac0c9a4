//! Entry side: requests of callers of this node, and the attempts for them.

use std::rc::Rc;
use std::time::Instant;

use hemlockfall_core::codec;
use hemlockfall_core::ids::NodeName;
use hemlockfall_request::admission::FenceAnswer;
use hemlockfall_request::call;
use hemlockfall_request::call::Attempt;
use hemlockfall_request::call::Call;
use hemlockfall_request::call::CallAction;
use hemlockfall_request::call::CallRequest;
use hemlockfall_request::call::LinkFailure;
use hemlockfall_request::clock::Now;
use hemlockfall_request::fingerprint;
use hemlockfall_request::outcome::AttemptResult;
use hemlockfall_request::outcome::Outcome;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::router::Target;
use hemlockfall_request::seen::AttemptId;
use stakker::CX;
use stakker::at;
use stakker::call;
use uuid::Uuid;

use crate::edge::http;
use crate::edge::http::HttpAnswer;
use crate::edge::http::HttpRequest;
use crate::edge::links::Tag;
use crate::edge::message::CallerId;
use crate::node::calls::Calls;
use crate::node::calls::answer;
use crate::node::calls::local::Origin;
use crate::node::calls::moves;
use crate::node::calls::now_of;
use crate::wire::AnswerFrame;
use crate::wire::AttemptEnd;
use crate::wire::CallFrame;
use crate::wire::CallKey;
use crate::wire::LinkMessage;

/// Lowest HTTP status that counts as a failure of the target.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Requests in progress, sorted by caller id.
#[derive(Default)]
pub struct EntryCalls {
    pub(super) calls: Vec<EntryCall>,
    /// Attempts in flight, sorted by attempt id.
    attempts: Vec<AttemptEntry>,
    next_tag: Tag,
}

pub(super) struct EntryCall {
    caller: CallerId,
    pub(super) call: Call,
    request: Rc<HttpRequest>,
    max_body_bytes: u32,
    pub(super) attempt: Option<CurrentAttempt>,
    answer: Option<HttpAnswer>,
}

impl EntryCall {
    fn is_current(&self, attempt_id: AttemptId) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|current| current.attempt_id == attempt_id)
    }
}

#[derive(Clone)]
pub(super) struct CurrentAttempt {
    attempt_id: AttemptId,
    pub(super) node: NodeName,
    tag: Tag,
    pub(super) sent_at: Instant,
}

struct AttemptEntry {
    attempt_id: AttemptId,
    caller: CallerId,
}

impl EntryCalls {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    fn position(&self, caller: CallerId) -> Option<usize> {
        self.calls
            .binary_search_by_key(&caller, |call| call.caller)
            .ok()
    }

    fn get_mut(&mut self, caller: CallerId) -> Option<&mut EntryCall> {
        let index = self.position(caller)?;
        self.calls.get_mut(index)
    }

    fn caller_of(&self, attempt_id: AttemptId) -> Option<CallerId> {
        let found = self
            .attempts
            .binary_search_by_key(&attempt_id, |entry| entry.attempt_id);
        found.ok().map(|index| self.attempts[index].caller)
    }

    fn by_tag(&self, tag: Tag) -> Option<&EntryCall> {
        self.calls
            .iter()
            .find(|call| call.attempt.as_ref().is_some_and(|a| a.tag == tag))
    }

    fn add_attempt(&mut self, attempt_id: AttemptId, caller: CallerId) {
        let found = self
            .attempts
            .binary_search_by_key(&attempt_id, |entry| entry.attempt_id);
        if let Err(index) = found {
            self.attempts
                .insert(index, AttemptEntry { attempt_id, caller });
        }
    }

    fn remove_attempt(&mut self, attempt_id: AttemptId) {
        let found = self
            .attempts
            .binary_search_by_key(&attempt_id, |entry| entry.attempt_id);
        if let Ok(index) = found {
            self.attempts.remove(index);
        }
    }

    fn remove(&mut self, caller: CallerId) -> Option<EntryCall> {
        let index = self.position(caller)?;
        let call = self.calls.remove(index);
        self.attempts.retain(|entry| entry.caller != caller);
        Some(call)
    }
}

impl Calls {
    pub(super) fn caller_request(&mut self, cx: CX![], caller: CallerId, request: HttpRequest) {
        let now = now_of(cx);
        metrics::counter!("hemlockfall_requests_total").increment(1);
        if !self.is_serving {
            self.refuse_caller(caller, Reason::NoTarget);
            return;
        }
        let request = Rc::new(request);
        match self.start_call(cx, &request, now) {
            Ok((call, actions)) => {
                let max_body_bytes = self.max_body_bytes(&call);
                let (attempt, answer) = (None, None);
                let entry = EntryCall {
                    caller,
                    call,
                    request,
                    max_body_bytes,
                    attempt,
                    answer,
                };
                self.entry.calls.push(entry);
                self.perform_call(cx, caller, actions);
            }
            Err(reason) => self.refuse_caller(caller, reason),
        }
    }

    fn start_call(
        &mut self,
        cx: CX![],
        request: &HttpRequest,
        now: Now,
    ) -> Result<(Call, Vec<CallAction>), Reason> {
        let host = request.header("host").unwrap_or_default();
        let path = request.path();
        let key = request.header(http::IDEMPOTENCY_KEY_HEADER);
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            return Err(Reason::BadKey);
        }
        let timeout_ms = request
            .header(http::DEADLINE_HEADER)
            .and_then(|text| text.parse().ok());
        let has_no_crashes = self.router.fingerprints().is_empty();
        let fingerprint = (!has_no_crashes).then(|| {
            let service = request.service().unwrap_or_default();
            fingerprint::fingerprint(service, &request.method, path, &request.body)
        });
        let call_request = CallRequest {
            request_id: request_id(request).unwrap_or_else(|| self.router.new_id(now)),
            host,
            path,
            timeout_ms,
            is_retry: request.header(http::RETRY_HEADER).is_some(),
            key,
            fingerprint,
        };
        let node_moves = self.node_moves.rw(cx);
        self.router
            .set_store_down_since(node_moves.store_down_since_unix_ms());
        let cap = |service: &str, route: &str, in_share| {
            let choice = node_moves.permit(service, route, in_share, now.unix_ms);
            moves::cap_permille(choice, in_share)
        };
        Call::start(&call_request, &mut self.router, cap, now)
    }

    fn max_body_bytes(&self, call: &Call) -> u32 {
        let configuration = self.router.routes().configuration();
        configuration
            .entry(call.service())
            .map_or(0, |entry| entry.limits.max_body_bytes)
    }

    fn refuse_caller(&mut self, caller: CallerId, reason: Reason) {
        self.answer_generated(caller, reason.outcome(), reason, reason.retry_after_ms());
    }

    fn answer_generated(
        &mut self,
        caller: CallerId,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: Option<u32>,
    ) {
        spdlog::info!("answer generated", kv: {
            outcome = outcome.header(), reason = reason.to_string(),
        });
        metrics::counter!("hemlockfall_answers_generated_total").increment(1);
        let generated = answer::generated(outcome, reason, retry_after_ms);
        call!([self.callers], answer(caller, generated));
    }

    pub(super) fn handle_caller_disconnect(&mut self, cx: CX![], caller: CallerId) {
        let Some(index) = self.entry.position(caller) else {
            return;
        };
        let actions = self.entry.calls[index]
            .call
            .caller_disconnected(&mut self.router);
        self.perform_call(cx, caller, actions);
        self.remove_call(caller);
    }

    fn remove_call(&mut self, caller: CallerId) {
        if let Some(entry) = self.entry.remove(caller)
            && let Some(current) = entry.attempt
        {
            call!([self.links], settle(current.tag));
        }
    }

    fn perform_call(&mut self, cx: CX![], caller: CallerId, actions: Vec<CallAction>) {
        for action in actions {
            match action {
                CallAction::SendAttempt(attempt) => self.send_attempt(cx, caller, &attempt),
                CallAction::Fence { to, attempt_id } => self.send_fence(&to, attempt_id),
                CallAction::Cancel { to, attempt_id } => self.send_cancel(cx, &to, attempt_id),
                CallAction::AnswerCaller(answer) => self.answer_caller(caller, answer),
                CallAction::Log(decision) => self.decisions.write(&decision, cx.now()),
            }
        }
        self.schedule(cx, caller);
    }

    /// Sets a timer for the end of the call's backoff, fence or deadline. If the call has changed
    /// by then, the timer fires too early and has no effect.
    fn schedule(&mut self, cx: CX![], caller: CallerId) {
        let Some(entry) = self.entry.get_mut(caller) else {
            return;
        };
        match entry.call.wake_at() {
            Some(wake_at) => {
                at!(wake_at, [cx], call_due(caller));
            }
            None => self.remove_call(caller),
        }
    }

    fn call_due(&mut self, cx: CX![], caller: CallerId) {
        let now = now_of(cx);
        let Some(index) = self.entry.position(caller) else {
            return;
        };
        let call = &mut self.entry.calls[index].call;
        if call.wake_at().is_some_and(|wake_at| wake_at > now.at) {
            return;
        }
        let actions = call.tick(&mut self.router, now);
        // Only a call whose deadline has passed cancels its attempt.
        if actions
            .iter()
            .any(|action| matches!(action, CallAction::Cancel { .. }))
        {
            let reason = Reason::TimedOut;
            self.report_attempt(cx, index, AttemptResult::Unknown { reason }, now);
        }
        self.perform_call(cx, caller, actions);
    }

    fn send_attempt(&mut self, cx: CX![], caller: CallerId, attempt: &Attempt) {
        self.entry.next_tag += 1;
        let tag = self.entry.next_tag;
        let attempt_id = attempt.attempt_id;
        let key = self.call_key(attempt, now_of(cx));
        let Some(entry) = self.entry.get_mut(caller) else {
            return;
        };
        let earlier = entry.attempt.take();
        entry.attempt = Some(CurrentAttempt {
            attempt_id,
            node: attempt.to.node.clone(),
            tag,
            sent_at: cx.now(),
        });
        let frame = call_frame(entry, attempt, key);
        if let Some(earlier) = earlier {
            self.entry.remove_attempt(earlier.attempt_id);
            call!([self.links], settle(earlier.tag));
        }
        self.entry.add_attempt(attempt_id, caller);
        metrics::counter!("hemlockfall_attempts_total").increment(1);
        if attempt.to.node == self.own {
            self.handle_call(cx, Origin::Own, frame);
        } else {
            self.send_link(attempt.to.address, tag, &LinkMessage::Call(Box::new(frame)));
        }
    }

    fn call_key(&self, attempt: &Attempt, now: Now) -> Option<CallKey> {
        let key = attempt.key.as_ref()?;
        let has_history = !key.is_generated && self.keys.has_history(&key.key, now);
        let keepers = if has_history {
            self.router.keepers(&key.key, false, true, now)
        } else {
            Vec::new()
        };
        Some(CallKey {
            text: key.key.text.clone(),
            is_generated: key.is_generated,
            voided: key.voided.clone(),
            keepers,
        })
    }

    fn send_fence(&mut self, to: &Target, attempt_id: AttemptId) {
        let message = LinkMessage::Fence {
            attempt_id,
            incarnation: to.incarnation,
        };
        self.send_link(to.address, 0, &message);
    }

    fn send_cancel(&mut self, cx: CX![], to: &Target, attempt_id: AttemptId) {
        if to.node == self.own {
            self.handle_cancel(cx, attempt_id);
        } else {
            self.send_link(to.address, 0, &LinkMessage::Cancel { attempt_id });
        }
    }

    fn answer_caller(&mut self, caller: CallerId, answer: call::Answer) {
        match answer {
            call::Answer::Forward { .. } => {
                let stored_answer = self
                    .entry
                    .get_mut(caller)
                    .and_then(|entry| entry.answer.take());
                let Some(mut complete_answer) = stored_answer else {
                    self.refuse_caller(caller, Reason::IncompleteAnswer);
                    return;
                };
                complete_answer.set_header(http::OUTCOME_HEADER, Outcome::Ran.header());
                call!([self.callers], answer(caller, complete_answer));
            }
            call::Answer::Generated {
                outcome,
                reason,
                retry_after_ms,
            } => self.answer_generated(caller, outcome, reason, retry_after_ms),
        }
    }

    /// Handles the result of an attempt at a peer or at the local target.
    pub(super) fn handle_answer(&mut self, cx: CX![], frame: AnswerFrame) {
        let Some(caller) = self.entry.caller_of(frame.attempt_id) else {
            return;
        };
        let Some(entry) = self.entry.get_mut(caller) else {
            return;
        };
        if let Some(current) = &entry.attempt
            && current.attempt_id == frame.attempt_id
        {
            call!([self.links], settle(current.tag));
        }
        let result = match frame.end {
            AttemptEnd::Answered(answer) if answer.is_body_intact() => {
                let is_failure = answer.status >= MIN_SERVER_ERROR_STATUS;
                entry.answer = Some(answer);
                AttemptResult::Answered { is_failure }
            }
            AttemptEnd::Answered(_) => AttemptResult::Unknown {
                reason: Reason::IncompleteAnswer,
            },
            AttemptEnd::Refused {
                reason,
                retry_after_ms,
            } => AttemptResult::refused(reason, retry_after_ms),
        };
        self.end_attempt(cx, caller, frame.attempt_id, result);
    }

    fn end_attempt(
        &mut self,
        cx: CX![],
        caller: CallerId,
        attempt_id: AttemptId,
        result: AttemptResult,
    ) {
        let now = now_of(cx);
        let Some(index) = self.entry.position(caller) else {
            return;
        };
        if self.entry.calls[index].is_current(attempt_id) {
            self.report_attempt(cx, index, result, now);
        }
        let call = &mut self.entry.calls[index].call;
        let actions = call.attempt_ended(attempt_id, result, &mut self.router, now);
        self.perform_call(cx, caller, actions);
    }

    pub(super) fn handle_unsent_attempt(&mut self, cx: CX![], tag: Tag) {
        let Some(entry) = self.entry.by_tag(tag) else {
            return;
        };
        let Some(current) = entry.attempt.clone() else {
            return;
        };
        self.suspected_nodes.add(&current.node, cx.now());
        self.router.set_suspected(&current.node, true);
        let result = AttemptResult::refused(Reason::NotSent, None);
        self.end_attempt(cx, entry.caller, current.attempt_id, result);
    }

    pub(super) fn handle_attempt_link_failure(
        &mut self,
        cx: CX![],
        tag: Tag,
        failure: LinkFailure,
    ) {
        let now = now_of(cx);
        let Some(entry) = self.entry.by_tag(tag) else {
            return;
        };
        let (caller, current) = (entry.caller, entry.attempt.clone());
        let (Some(current), Some(index)) = (current, self.entry.position(caller)) else {
            return;
        };
        let call = &mut self.entry.calls[index].call;
        let actions = call.link_failed(&current.node, failure, &mut self.router, now);
        self.perform_call(cx, caller, actions);
    }

    pub(super) fn handle_fence_answer(
        &mut self,
        cx: CX![],
        attempt_id: AttemptId,
        answer: FenceAnswer,
    ) {
        let now = now_of(cx);
        let caller = self.entry.caller_of(attempt_id);
        let Some((caller, index)) = caller.and_then(|c| Some((c, self.entry.position(c)?))) else {
            return;
        };
        let call = &mut self.entry.calls[index].call;
        let actions = call.fence_answered(attempt_id, answer, &mut self.router, now);
        self.perform_call(cx, caller, actions);
    }
}

/// Returns the request id that the caller set. It keeps the chosen version stable when the caller
/// retries the request.
fn request_id(request: &HttpRequest) -> Option<Uuid> {
    request
        .header("x-request-id")
        .and_then(|text| Uuid::try_parse(text).ok())
}

fn call_frame(entry: &EntryCall, attempt: &Attempt, key: Option<CallKey>) -> CallFrame {
    let request = HttpRequest::clone(&entry.request);
    CallFrame {
        attempt_id: attempt.attempt_id,
        incarnation: attempt.to.incarnation,
        time_left_ms: attempt.time_left_ms,
        class: attempt.class,
        service: entry.call.service().clone(),
        route: entry.call.route_name().clone(),
        version: entry.call.version().clone(),
        max_body_bytes: entry.max_body_bytes,
        is_retry: attempt.is_retry,
        key,
        body_digest: codec::digest(&request.body),
        request,
    }
}
