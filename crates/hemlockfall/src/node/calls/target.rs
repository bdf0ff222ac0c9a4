//! Runs at the local target, their cancellation, and the loss of the target.
//!
//! A run that ends without a complete answer keeps its slot until the target has answered a
//! cancellation, because the target may still be working on the request. A run that timed out also
//! keeps its connection: a paused target reads the cancellation, on another connection, before or
//! after the request, and only the answer to the request shows that its slot is free.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::ids::Digest;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::seen::AttemptId;
use stakker::CX;
use stakker::after;
use stakker::call;

use crate::edge::http;
use crate::edge::http::Header;
use crate::edge::http::HttpAnswer;
use crate::edge::http::HttpRequest;
use crate::edge::message::TargetResult;
use crate::edge::message::TargetRun;
use crate::edge::target_client::TargetEvent;
use crate::node::calls::Calls;
use crate::node::calls::fingerprints;
use crate::node::calls::keys;
use crate::node::calls::now_of;
use crate::wire::AttemptEnd;

/// Timeout of a cancellation request to the target.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from the answer to a cancellation until the slot of an overdue run is freed although the
/// target has not answered the run itself.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the answer to a cancellation request.
const MAX_CANCEL_ANSWER_BYTES: usize = 64 * 1024;
const CANCEL_PATH: &str = "/hemlockfall/cancel/";
/// HTTP status with which a target refuses a request, together with the header
/// [`http::NOT_RUN_HEADER`].
const TARGET_SHED_STATUS: u16 = 503;

/// Request in progress at the local target.
pub(super) struct Run {
    id: u64,
    attempt_id: AttemptId,
    purpose: Purpose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Run of the attempt.
    Attempt,
    /// Run of an attempt that has timed out; the slot is freed when it is answered.
    Overdue,
    /// Cancellation; the slot of the attempt is freed when it ends.
    CancelAndFree,
    /// Second such cancellation, after the connection of the first one broke.
    CancelRetry,
    /// Cancellation of an attempt whose run has not ended.
    Cancel,
}

impl Calls {
    /// Sends an admitted attempt to the target.
    pub(super) fn start_run(&mut self, cx: CX![], attempt_id: AttemptId) {
        let now = now_of(cx);
        let (Ok(index), Some(address)) = (self.local.position(attempt_id), self.local.address())
        else {
            let actions = self.admission.finished(attempt_id, now);
            self.end_local(cx, attempt_id, keys::refused(Reason::NoTarget));
            self.perform_admission(cx, actions);
            return;
        };
        let attempt = &mut self.local.attempts[index];
        let Some(mut request) = attempt.request.take() else {
            return;
        };
        let time_left = attempt.deadline.saturating_duration_since(now.at);
        let max_body_bytes = usize::try_from(attempt.max_body_bytes).unwrap_or(usize::MAX);
        set_attempt_headers(&mut request, attempt_id, time_left, attempt.is_retry);
        let run = self.new_run(attempt_id, Purpose::Attempt, address, request, time_left);
        let run = Box::new(TargetRun {
            max_body_bytes,
            awaits_late_answer: true,
            ..run
        });
        call!([self.target_client], run(run));
    }

    fn new_run(
        &mut self,
        attempt_id: AttemptId,
        purpose: Purpose,
        address: SocketAddr,
        request: HttpRequest,
        time_left: Duration,
    ) -> TargetRun {
        self.local.next_run += 1;
        let id = self.local.next_run;
        self.local.runs.push(Run {
            id,
            attempt_id,
            purpose,
        });
        let request = Box::new(request);
        TargetRun {
            id,
            address,
            request,
            time_left,
            max_body_bytes: MAX_CANCEL_ANSWER_BYTES,
            awaits_late_answer: false,
        }
    }

    /// Asks the target to abandon a running attempt.
    pub(super) fn cancel_on_target(&mut self, _: CX![], attempt_id: AttemptId) {
        self.send_target_cancel(attempt_id, Purpose::Cancel);
    }

    fn send_target_cancel(&mut self, attempt_id: AttemptId, purpose: Purpose) -> bool {
        let Some(address) = self.local.address() else {
            return false;
        };
        let request = HttpRequest {
            method: "POST".into(),
            target: format!("{CANCEL_PATH}{attempt_id}").into(),
            headers: vec![Header::new("host", address.to_string())],
            body: Vec::new(),
        };
        let run = self.new_run(attempt_id, purpose, address, request, CANCEL_TIMEOUT);
        call!([self.target_client], run(Box::new(run)));
        true
    }

    /// Handles the result of a run.
    pub fn handle_target_event(&mut self, cx: CX![], event: TargetEvent) {
        let Ok(index) = self
            .local
            .runs
            .binary_search_by_key(&event.id, |run| run.id)
        else {
            return;
        };
        let is_overdue = matches!(event.result, TargetResult::TimedOut)
            && self.local.runs[index].purpose == Purpose::Attempt;
        if is_overdue {
            let run = &mut self.local.runs[index];
            run.purpose = Purpose::Overdue;
            let attempt_id = run.attempt_id;
            self.handle_run_result(cx, attempt_id, event.result);
            return;
        }
        let run = self.local.runs.remove(index);
        match run.purpose {
            Purpose::Attempt => self.handle_run_result(cx, run.attempt_id, event.result),
            Purpose::Overdue => {
                // The answer to the cancellation frees the slot if the connection has failed.
                if matches!(event.result, TargetResult::Answer(_)) {
                    self.free_slot(cx, run.attempt_id);
                }
            }
            Purpose::Cancel => {}
            Purpose::CancelAndFree => {
                // A pooled connection breaks in the same way whether a live target closed it or
                // the target was lost. A new connection tells the two cases apart.
                let is_retried = matches!(event.result, TargetResult::Broken { .. })
                    && self.send_target_cancel(run.attempt_id, Purpose::CancelRetry);
                if !is_retried {
                    self.handle_cancel_result(cx, run.attempt_id, &event.result);
                }
            }
            Purpose::CancelRetry => {
                // An ending process closes its connections before its listener, so a new
                // connection to a lost target can still be opened, and then breaks.
                if matches!(event.result, TargetResult::Broken { .. }) {
                    self.handle_target_loss(cx);
                }
                self.handle_cancel_result(cx, run.attempt_id, &event.result);
            }
        }
    }

    /// Handles the result of a cancellation that frees a slot. A timeout is inconclusive: a paused
    /// target still holds the request and may run it later. The slot stays in use and the
    /// cancellation is sent again.
    fn handle_cancel_result(&mut self, cx: CX![], attempt_id: AttemptId, result: &TargetResult) {
        match result {
            TargetResult::TimedOut => {
                if self.send_target_cancel(attempt_id, Purpose::CancelAndFree) {
                    return;
                }
            }
            TargetResult::NotSent { .. } => self.handle_target_loss(cx),
            TargetResult::Answer(_) if self.overdue_run(attempt_id).is_some() => {
                after!(LATE_ANSWER_TIMEOUT, [cx], abandon_overdue_run(attempt_id));
                return;
            }
            TargetResult::Answer(_) | TargetResult::Broken { .. } | TargetResult::Busy => {}
        }
        self.abandon_overdue_run(cx, attempt_id);
    }

    fn overdue_run(&self, attempt_id: AttemptId) -> Option<usize> {
        self.local
            .runs
            .iter()
            .position(|run| run.attempt_id == attempt_id && run.purpose == Purpose::Overdue)
    }

    /// Frees the slot of a run whose cancellation has ended, and closes its connection.
    fn abandon_overdue_run(&mut self, cx: CX![], attempt_id: AttemptId) {
        if let Some(index) = self.overdue_run(attempt_id) {
            let run = self.local.runs.remove(index);
            call!([self.target_client], abort(run.id));
        }
        self.free_slot(cx, attempt_id);
    }

    fn handle_run_result(&mut self, cx: CX![], attempt_id: AttemptId, result: TargetResult) {
        match result {
            TargetResult::Answer(answer) => self.handle_run_answer(cx, attempt_id, *answer),
            TargetResult::Busy => {
                self.end_local(cx, attempt_id, keys::refused(Reason::QueueFull));
                self.free_slot(cx, attempt_id);
            }
            TargetResult::NotSent { reason } => {
                spdlog::warn!("target unreachable", kv: { reason = reason.as_str() });
                self.end_local(cx, attempt_id, keys::refused(Reason::NoTarget));
                self.handle_target_loss(cx);
                self.free_slot(cx, attempt_id);
            }
            TargetResult::Broken { reason } => {
                spdlog::warn!("no complete answer from the target", kv: { reason = reason.as_str() });
                self.end_uncertain_run(cx, attempt_id, Reason::TargetLost);
            }
            TargetResult::TimedOut => self.end_uncertain_run(cx, attempt_id, Reason::TimedOut),
        }
    }

    fn handle_run_answer(&mut self, cx: CX![], attempt_id: AttemptId, answer: HttpAnswer) {
        let was_shed = answer.status == TARGET_SHED_STATUS
            && answer.header(http::NOT_RUN_HEADER) == Some("true");
        let end = if was_shed {
            keys::refused(Reason::TargetShed)
        } else {
            if let Ok(index) = self.local.position(attempt_id) {
                self.local
                    .completed
                    .add(self.local.attempts[index].fingerprint);
            }
            AttemptEnd::Answered(answer)
        };
        self.end_local(cx, attempt_id, end);
        self.free_slot(cx, attempt_id);
    }

    /// Ends a run that may or may not have been carried out. The entry node gets the result at
    /// once; the slot is freed when the target has answered the cancellation or is found to be
    /// lost.
    fn end_uncertain_run(&mut self, cx: CX![], attempt_id: AttemptId, reason: Reason) {
        if let Ok(index) = self.local.position(attempt_id) {
            let fingerprint = self.local.attempts[index].fingerprint;
            if reason == Reason::TargetLost {
                self.local.suspects.push(fingerprint);
            }
        }
        self.end_local(cx, attempt_id, keys::refused(reason));
        if !self.send_target_cancel(attempt_id, Purpose::CancelAndFree) {
            self.free_slot(cx, attempt_id);
        }
    }

    fn free_slot(&mut self, cx: CX![], attempt_id: AttemptId) {
        let actions = self.admission.finished(attempt_id, now_of(cx));
        self.perform_admission(cx, actions);
        if self.admission.running() == 0 {
            self.local.suspects.clear();
        }
    }

    /// Returns the fingerprints of requests whose connection to the target is still open. The loss
    /// of the target may be detected on another connection first.
    fn running_fingerprints(&self) -> Vec<Digest> {
        let running = self.local.runs.iter();
        running
            .filter(|run| run.purpose == Purpose::Attempt)
            .filter_map(|run| self.local.position(run.attempt_id).ok())
            .map(|index| self.local.attempts[index].fingerprint)
            .collect()
    }

    /// Handles a target that refuses connections. The outcome of all its runs is unknown, and the
    /// requests that it ran are counted as possible causes of the loss.
    fn handle_target_loss(&mut self, cx: CX![]) {
        let Some(service) = self.local.service().cloned() else {
            return;
        };
        let now = now_of(cx);
        spdlog::warn!("target lost", kv: { service = service.as_str() });
        metrics::counter!("hemlockfall_targets_lost_total").increment(1);
        let ready_unix_ms = self.local.ready_unix_ms;
        self.local.record_loss(now.unix_ms);
        self.health.set_target(false);
        call!([self.control], withdraw());
        let mut suspects = std::mem::take(&mut self.local.suspects);
        suspects.extend(self.running_fingerprints());
        for fingerprint in suspects {
            if self.local.completed.contains(&fingerprint) {
                continue;
            }
            let own = self.own.clone();
            let fingerprints = self.router.fingerprints_mut();
            if let Some(report) =
                fingerprints.record_crash(fingerprint, &own, ready_unix_ms, now.at)
            {
                for item in fingerprints::items_of(&service, &report) {
                    call!([self.control], disseminate(item, fingerprints::LIFETIME_MS));
                }
            }
        }
        let (lost, actions) = self.admission.target_lost(now);
        for attempt_id in lost {
            self.end_local(cx, attempt_id, keys::refused(Reason::TargetLost));
        }
        self.perform_admission(cx, actions);
    }
}

/// Sets the headers that describe the attempt to the target, and removes those of the caller.
fn set_attempt_headers(
    request: &mut HttpRequest,
    attempt_id: AttemptId,
    time_left: Duration,
    is_retry: bool,
) {
    let own = [
        http::DEADLINE_HEADER,
        http::ATTEMPT_HEADER,
        http::RETRY_HEADER,
    ];
    request.headers.retain(|header| {
        !own.iter()
            .any(|name| header.name.eq_ignore_ascii_case(name))
    });
    let left_ms = time_left.as_millis().to_string();
    request
        .headers
        .push(Header::new(http::DEADLINE_HEADER, left_ms));
    request
        .headers
        .push(Header::new(http::ATTEMPT_HEADER, attempt_id.to_string()));
    if is_retry {
        request.headers.push(Header::new(http::RETRY_HEADER, "1"));
    }
}
