//! Target side: attempts for the local target.

use std::net::SocketAddr;
use std::time::Instant;

use hemlockfall_core::catalogue::Class;
use hemlockfall_core::codec;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use hemlockfall_request::admission::Admission;
use hemlockfall_request::admission::AdmissionAction;
use hemlockfall_request::admission::AdmissionDecision;
use hemlockfall_request::admission::AdmissionRequest;
use hemlockfall_request::admission::Cancelled;
use hemlockfall_request::admission::FenceAnswer;
use hemlockfall_request::clock;
use hemlockfall_request::fingerprint;
use hemlockfall_request::idempotency::ClaimRequest;
use hemlockfall_request::outcome::Outcome;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::placement::Key;
use hemlockfall_request::seen::AttemptId;
use stakker::CX;
use stakker::at;

use crate::edge::http::HttpRequest;
use crate::edge::links::LinkId;
use crate::edge::message::Announcement;
use crate::node::calls::Calls;
use crate::node::calls::fingerprints::CompletedFingerprints;
use crate::node::calls::keys;
use crate::node::calls::now_of;
use crate::wire::AnswerFrame;
use crate::wire::AttemptEnd;
use crate::wire::CallFrame;
use crate::wire::CallKey;
use crate::wire::LinkMessage;

/// Origin of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Entry node at the other end of a link.
    Link(LinkId),
    /// Caller of this node.
    Own,
}

/// Attempt at the local target that has not ended.
pub(super) struct LocalAttempt {
    pub(super) attempt_id: AttemptId,
    origin: Origin,
    class: Class,
    incarnation: Incarnation,
    pub(super) deadline: Instant,
    pub(super) is_retry: bool,
    pub(super) max_body_bytes: u32,
    pub(super) has_key: bool,
    /// `None` once the request has been sent to the target.
    pub(super) request: Option<HttpRequest>,
    pub(super) fingerprint: Digest,
}

/// Local target with its attempts and runs.
#[derive(Default)]
pub struct LocalTarget {
    announcement: Option<Announcement>,
    pub(super) ready_unix_ms: u64,
    is_draining: bool,
    /// Service of a lost target and the time of the loss, until a target announces itself again.
    lost: Option<(ServiceName, u64)>,
    /// Sorted by attempt id.
    pub(super) attempts: Vec<LocalAttempt>,
    /// Runs at the target, sorted by run id.
    pub(super) runs: Vec<super::target::Run>,
    pub(super) next_run: u64,
    pub(super) completed: CompletedFingerprints,
    /// Fingerprints of runs whose connection broke and for which it is not known yet whether the
    /// target was lost.
    pub(super) suspects: Vec<Digest>,
}

impl LocalTarget {
    pub(super) fn is_new(&self, announcement: &Announcement) -> bool {
        self.is_draining || self.announcement.as_ref() != Some(announcement)
    }

    /// Returns whether this announcement makes the node a member of the service, either for the
    /// first time or after at least `min_absence_ms`, when keys may have been placed on other
    /// keepers.
    pub(super) fn joins_service(
        &self,
        announcement: &Announcement,
        now_unix_ms: u64,
        min_absence_ms: u64,
    ) -> bool {
        if self.is_draining {
            return true;
        }
        match &self.lost {
            Some((service, lost_unix_ms)) => {
                *service != announcement.service || lost_unix_ms + min_absence_ms <= now_unix_ms
            }
            None => self.service() != Some(&announcement.service),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) fn apply_announcement(&mut self, announcement: &Announcement, now_unix_ms: u64) {
        self.announcement = Some(announcement.clone());
        self.ready_unix_ms = now_unix_ms;
        self.is_draining = false;
        self.lost = None;
    }

    pub(super) fn drain(&mut self) {
        self.is_draining = true;
    }

    pub(super) fn record_loss(&mut self, now_unix_ms: u64) {
        if let Some(announcement) = self.announcement.take() {
            self.lost = Some((announcement.service, now_unix_ms));
        }
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.announcement
            .as_ref()
            .map(|announcement| announcement.address)
    }

    pub(super) fn service(&self) -> Option<&ServiceName> {
        self.announcement
            .as_ref()
            .map(|announcement| &announcement.service)
    }

    fn serves(&self, service: &ServiceName, version: &VersionName) -> bool {
        self.announcement
            .as_ref()
            .is_some_and(|target| target.service == *service && target.version == *version)
    }

    pub(super) fn position(&self, attempt_id: AttemptId) -> Result<usize, usize> {
        self.attempts
            .binary_search_by_key(&attempt_id, |attempt| attempt.attempt_id)
    }
}

impl Calls {
    /// Applies the node's own record. A new incarnation gets a new admission state, so that
    /// attempts for an earlier incarnation are recognised.
    pub(super) fn apply_own_record(&mut self, record: &EndpointRecord) {
        if !self.admission.is_for_incarnation(record.incarnation) {
            let slots = record.target.as_ref().map_or(0, |target| target.slots);
            self.admission = Admission::new(record.incarnation, slots, &self.options);
        }
    }

    /// Handles an attempt for the local target.
    pub(super) fn handle_call(&mut self, cx: CX![], origin: Origin, frame: CallFrame) {
        let now = now_of(cx);
        let attempt_id = frame.attempt_id;
        match self.admission.screen(attempt_id, frame.incarnation) {
            Some(AdmissionDecision::Refused {
                reason,
                retry_after_ms,
            }) => {
                let end = AttemptEnd::Refused {
                    reason,
                    retry_after_ms,
                };
                self.send_end(cx, origin, attempt_id, end);
                return;
            }
            Some(_) => return,
            None => {}
        }
        let Err(index) = self.local.position(attempt_id) else {
            return;
        };
        if let Some(reason) = self.refusal_reason(&frame, now) {
            self.admission.cancel(attempt_id, now);
            self.send_end(cx, origin, attempt_id, keys::refused(reason));
            return;
        }
        let request = &frame.request;
        let fingerprint = fingerprint::fingerprint(
            &frame.service,
            &request.method,
            request.path(),
            &request.body,
        );
        let deadline = now.at + clock::millis(frame.time_left_ms);
        self.local.attempts.insert(
            index,
            LocalAttempt {
                attempt_id,
                origin,
                class: frame.class,
                incarnation: frame.incarnation,
                deadline,
                is_retry: frame.is_retry,
                max_body_bytes: frame.max_body_bytes,
                has_key: frame.key.is_some(),
                request: Some(frame.request),
                fingerprint,
            },
        );
        let Some(call_key) = frame.key else {
            self.request_slot(cx, attempt_id);
            return;
        };
        let key = Key::new(frame.service, call_key.text.clone());
        let claim = ClaimRequest {
            keepers: self.keepers(&key, &call_key, now),
            key,
            claimant: attempt_id,
            voided: call_key.voided,
            is_generated: call_key.is_generated,
            deadline,
        };
        let actions = self.keys.begin(claim, now);
        self.perform_keys(cx, actions);
    }

    /// Returns the keepers of a key. If this node has joined too late to know the members at the
    /// time of the key, it uses the keepers that the entry node named. Otherwise targets of a new
    /// version could not run requests with keys until they had been members for some time.
    fn keepers(&self, key: &Key, call_key: &CallKey, now: clock::Now) -> Vec<NodeName> {
        let has_history = self.keys.has_history(key, now);
        if !has_history && !call_key.keepers.is_empty() {
            return call_key.keepers.clone();
        }
        self.router
            .keepers(key, call_key.is_generated, has_history, now)
    }

    fn refusal_reason(&self, frame: &CallFrame, now: clock::Now) -> Option<Reason> {
        if !self.local.serves(&frame.service, &frame.version) {
            return Some(Reason::NoTarget);
        }
        if codec::digest(&frame.request.body) != frame.body_digest {
            return Some(Reason::NotSent);
        }
        let fingerprints = self.router.fingerprints();
        if fingerprints.is_empty() {
            return None;
        }
        let request = &frame.request;
        let fingerprint = fingerprint::fingerprint(
            &frame.service,
            &request.method,
            request.path(),
            &request.body,
        );
        let refused = fingerprints.refused_for(&fingerprint, now.at).is_some();
        refused.then_some(Reason::FingerprintRefused)
    }

    /// Requests a slot from admission.
    pub(super) fn request_slot(&mut self, cx: CX![], attempt_id: AttemptId) {
        let now = now_of(cx);
        let Ok(index) = self.local.position(attempt_id) else {
            return;
        };
        let attempt = &self.local.attempts[index];
        let deadline = attempt.deadline;
        let request = AdmissionRequest {
            attempt_id,
            incarnation: attempt.incarnation,
            class: attempt.class,
            deadline,
        };
        match self.admission.admit(&request, now) {
            AdmissionDecision::Start => self.start_run(cx, attempt_id),
            AdmissionDecision::Queued { displaced } => {
                at!(deadline, [cx], advance_admission());
                if let Some(displaced) = displaced {
                    self.end_local(cx, displaced, keys::refused(Reason::QueueFull));
                }
            }
            AdmissionDecision::Refused {
                reason,
                retry_after_ms,
            } => {
                metrics::counter!("hemlockfall_refusals_total").increment(1);
                self.end_local(
                    cx,
                    attempt_id,
                    AttemptEnd::Refused {
                        reason,
                        retry_after_ms,
                    },
                );
            }
            AdmissionDecision::Duplicate => {}
        }
    }

    pub(super) fn advance_admission(&mut self, cx: CX![]) {
        let actions = self.admission.advance(now_of(cx));
        self.perform_admission(cx, actions);
    }

    pub(super) fn perform_admission(&mut self, cx: CX![], actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(attempt_id) => self.start_run(cx, attempt_id),
                AdmissionAction::Refuse { attempt_id, reason } => {
                    self.end_local(cx, attempt_id, keys::refused(reason));
                }
            }
        }
    }

    pub(super) fn handle_cancel(&mut self, cx: CX![], attempt_id: AttemptId) {
        match self.admission.cancel(attempt_id, now_of(cx)) {
            // The entry node has already answered its caller and ignores the result. Ending the
            // attempt releases its key.
            Cancelled::NotStarted => {
                self.end_local(cx, attempt_id, keys::refused(Reason::Cancelled));
            }
            Cancelled::Running => self.cancel_on_target(cx, attempt_id),
            Cancelled::Ended => {}
        }
    }

    pub(super) fn handle_fence(
        &mut self,
        cx: CX![],
        link: LinkId,
        attempt_id: AttemptId,
        incarnation: Incarnation,
    ) {
        let answer = self.admission.fence(attempt_id, incarnation, now_of(cx));
        if answer == FenceAnswer::NotStarted {
            self.end_local(cx, attempt_id, keys::refused(Reason::Fenced));
        }
        let message = LinkMessage::FenceAnswer { attempt_id, answer };
        self.reply(link, &message);
    }

    /// Ends an attempt that has run or will not run: settles its key and answers its entry node.
    pub(super) fn end_local(&mut self, cx: CX![], attempt_id: AttemptId, end: AttemptEnd) {
        let Ok(index) = self.local.position(attempt_id) else {
            return;
        };
        let attempt = self.local.attempts.remove(index);
        if attempt.has_key {
            self.settle_key(cx, attempt_id, &end);
        }
        self.send_end(cx, attempt.origin, attempt_id, end);
    }

    fn settle_key(&mut self, cx: CX![], attempt_id: AttemptId, end: &AttemptEnd) {
        let now = now_of(cx);
        let actions = match end {
            AttemptEnd::Answered(answer) => {
                self.keys.finished(attempt_id, keys::record(answer), now)
            }
            AttemptEnd::Refused { reason, .. } if reason.outcome() == Outcome::NotRun => {
                self.keys.released(attempt_id)
            }
            AttemptEnd::Refused { .. } => {
                self.keys.lost(attempt_id);
                Vec::new()
            }
        };
        self.perform_keys(cx, actions);
    }

    fn send_end(&mut self, cx: CX![], origin: Origin, attempt_id: AttemptId, end: AttemptEnd) {
        let frame = AnswerFrame { attempt_id, end };
        match origin {
            Origin::Own => self.handle_answer(cx, frame),
            Origin::Link(link) => self.reply(link, &LinkMessage::Answer(Box::new(frame))),
        }
    }

    fn reply(&self, link: LinkId, message: &LinkMessage) {
        match message.encode() {
            Ok(content) => stakker::call!([self.links], reply(link, content)),
            Err(error) => {
                spdlog::error!("answer not sent", kv: { error = error.to_string() });
            }
        }
    }
}
