//! Runs on the local target, their cancellation, and the loss of the target.
//!
//! A run that ends without a whole answer keeps its slot until the target has answered a
//! cancellation, because it may still be working on the request.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::ids::Digest;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::seen::AttemptId;
use stakker::CX;
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

const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CANCEL_ANSWER_BYTES: usize = 64 * 1024;
const CANCEL_PATH: &str = "/hemlockfall/cancel/";
const TARGET_SHED_STATUS: u16 = 503;

/// `Run` is a request in progress on the local target.
pub(super) struct Run {
    id: u64,
    attempt_id: AttemptId,
    purpose: Purpose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// The attempt itself.
    Attempt,
    /// A cancellation; the slot of the attempt is freed when it ends.
    CancelAndFree,
    /// The same once more, after the first one broke off.
    CancelRetry,
    /// A cancellation of an attempt that still runs.
    Cancel,
}

impl Calls {
    /// Hands an admitted attempt to the target.
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
        }
    }

    /// Asks the target to give up an attempt that runs.
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

    /// `target_event` takes in the end of a run.
    pub fn handle_target_event(&mut self, cx: CX![], event: TargetEvent) {
        let Ok(index) = self
            .local
            .runs
            .binary_search_by_key(&event.id, |run| run.id)
        else {
            return;
        };
        let run = self.local.runs.remove(index);
        match run.purpose {
            Purpose::Attempt => self.handle_run_result(cx, run.attempt_id, event.result),
            Purpose::Cancel => {}
            Purpose::CancelAndFree => {
                // A kept connection that the target closed when it vanished breaks the same way
                // as one of a live target; a fresh one tells them apart.
                let is_open = matches!(event.result, TargetResult::Broken { .. })
                    && self.send_target_cancel(run.attempt_id, Purpose::CancelRetry);
                if !is_open {
                    self.handle_cancel_result(cx, run.attempt_id, &event.result);
                }
            }
            Purpose::CancelRetry => {
                // A process that ends closes its connections before its listener, so a fresh
                // connection can still break.
                if matches!(event.result, TargetResult::Broken { .. }) {
                    self.handle_target_loss(cx);
                }
                self.handle_cancel_result(cx, run.attempt_id, &event.result);
            }
        }
    }

    /// A cancellation that gets no answer in its time tells nothing: a frozen target still holds
    /// the request and may run it later, so the slot stays taken and the cancellation is sent
    /// again.
    fn handle_cancel_result(&mut self, cx: CX![], attempt_id: AttemptId, result: &TargetResult) {
        match result {
            TargetResult::TimedOut => {
                if self.send_target_cancel(attempt_id, Purpose::CancelAndFree) {
                    return;
                }
            }
            TargetResult::NotSent { .. } => self.handle_target_loss(cx),
            TargetResult::Answer(_) | TargetResult::Broken { .. } | TargetResult::Busy => {}
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
                spdlog::warn!("target broke off an answer", kv: { reason = reason.as_str() });
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

    /// Answers the entry node at once and frees the slot when the target has answered the
    /// cancellation or is found gone.
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

    /// Fingerprints of requests whose connections to the target have not ended. The loss of the
    /// target can show on another connection first.
    fn running_fingerprints(&self) -> Vec<Digest> {
        let running = self.local.runs.iter();
        running
            .filter(|run| run.purpose == Purpose::Attempt)
            .filter_map(|run| self.local.position(run.attempt_id).ok())
            .map(|index| self.local.attempts[index].fingerprint)
            .collect()
    }

    /// The target refuses connections: everything that ran on it is in doubt, and what it ran
    /// when it vanished is counted as a possible cause.
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
            let known = self.router.fingerprints_mut();
            if let Some(report) = known.vanished(fingerprint, &own, ready_unix_ms, now.at) {
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

/// Sets the headers that tell the target about the attempt, replacing those of the caller.
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
