//! Calls between nodes: requests of callers for the target of another node, and their answers.

use std::rc::Rc;
use std::time::Duration;

use hemlockfall_http::http::Header;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http::HttpRequest;

use crate::clock::Time;
use crate::edge::frame;
use crate::edge::frame::AnswerFrame;
use crate::edge::frame::CallFrame;
use crate::edge::frame::Failure;
use crate::edge::frame::Frame;
use crate::edge::frame::Refusal;
use crate::edge::transit;
use crate::fingerprint;
use crate::model::Idempotency;
use crate::model::LoadReport;
use crate::model::RequestId;
use crate::node::Node;
use crate::node::calls::AttemptEnd;
use crate::node::calls::AttemptLocation;
use crate::node::mesh::VersionRule;
use crate::node::peers::Peer;
use crate::node::targets::WorkItem;
use crate::node::targets::WorkOrigin;
use crate::node::targets::WorkState;
use crate::rate_limit;

impl Node {
    /// Sends a caller's request to another node.
    pub(super) fn attempt_at_peer(&mut self, id: u64, peer: u64) {
        let now = self.now;
        let names = self.header_names;
        let caller_service = self.settings.service.clone();
        let Some(link_id) = self.peers.get(peer).and_then(|peer| peer.link) else {
            return;
        };
        let (Some(call), Some(link)) = (self.calls.get_mut(id), self.links.get_mut(link_id)) else {
            return;
        };
        call.location = AttemptLocation::Peer {
            peer,
            link: link_id,
        };
        link.calls.push(id);
        link.used_at = now;
        let writer = &mut link.writer;
        let request = &call.request;
        let dropped = [
            names.deadline_ms,
            names.expected_instance,
            names.caller_service,
        ];
        let headers: Vec<Header> = request
            .headers
            .iter()
            .filter(|header| {
                !dropped
                    .iter()
                    .any(|name| header.name.eq_ignore_ascii_case(name))
            })
            .cloned()
            .collect();
        let rate_limit_milli_per_s = self.peers.get(peer).and_then(Peer::known_rate_limit);
        let frame = CallFrame {
            call: id,
            service: writer.encode(&call.service),
            version: match &call.version {
                VersionRule::Only(version) => Some(writer.encode(version)),
                VersionRule::Any | VersionRule::Avoid(_) => None,
            },
            route: writer.encode(&call.route.name),
            caller_service: writer.encode(&caller_service),
            is_idempotent: call.route.idempotency == Idempotency::Idempotent,
            is_retry: call.target_attempts > 0,
            priority: call.priority,
            sent_ms: transit::clock_ms(now),
            deadline_ms: whole_ms(call.deadline.saturating_sub(now)),
            due_ms: signed_ms_until(call.due, now),
            target_latency_ms: whole_ms(call.route.target_latency),
            rate_limit_milli_per_s,
            method: writer.encode(&request.method),
            path: request.target.clone(),
            headers: writer.headers(&headers),
            body: request.body.clone(),
        };
        if let Some(found) = self.peers.get_mut(peer) {
            found.outstanding = found.outstanding.saturating_add(1);
        }
        self.send_frame(link_id, &Frame::Call(Box::new(frame)));
    }

    /// Cancels a call at another node whose outcome is no longer needed.
    pub(super) fn cancel_at_peer(&mut self, id: u64, peer: u64, link: u64) {
        if self.remove_link_call(link, id) {
            self.send_frame(link, &Frame::Cancel { call: id });
        }
        self.decrement_outstanding(peer);
    }

    fn decrement_outstanding(&mut self, peer: u64) {
        if let Some(found) = self.peers.get_mut(peer) {
            found.outstanding = found.outstanding.saturating_sub(1);
        }
    }

    fn remove_link_call(&mut self, link: u64, call: u64) -> bool {
        let Some(found) = self.links.get_mut(link) else {
            return false;
        };
        let before = found.calls.len();
        found.calls.retain(|open| *open != call);
        found.incoming.retain(|incoming| incoming.call != call);
        found.calls.len() < before
    }

    pub(super) fn link_call_ended(&mut self, link: u64, call: u64, end: AttemptEnd) {
        if !self.remove_link_call(link, call) {
            return;
        }
        if let Some(peer) = self.links.get(link).and_then(|link| link.peer) {
            self.decrement_outstanding(peer);
        }
        self.attempt_ended(call, end);
    }

    pub(super) fn record_link_load(&mut self, link: u64, call: u64, load: LoadReport) {
        let route = self.calls.get(call).map(|call| call.route.name.clone());
        if let Some(peer) = self.links.get(link).and_then(|link| link.peer) {
            self.record_load(peer, route, load);
        }
    }

    pub(super) fn handle_answer(&mut self, id: u64, answer: AnswerFrame) -> frame::Result<()> {
        let Some(link) = self.links.get_mut(id) else {
            return Ok(());
        };
        // The headers are decoded even for an unknown call, since later frames of the link refer
        // to their texts.
        let mut headers = link.reader.headers(answer.headers)?;
        self.record_link_load(id, answer.call, answer.load);
        let Some(call) = self.calls.get(answer.call) else {
            self.remove_link_call(id, answer.call);
            return Ok(());
        };
        if answer.has_request_id {
            headers.push(Header::new(
                self.header_names.request_id,
                call.request_id.clone(),
            ));
        }
        let http = HttpAnswer::new(answer.status, headers, answer.body);
        if !http.is_valid() {
            let end = AttemptEnd::Failed(Failure::BadAnswer);
            self.link_call_ended(id, answer.call, end);
            return Ok(());
        }
        if answer.chunked_bytes > 0 {
            self.expect_chunks(id, answer.call, http, answer.chunked_bytes);
            return Ok(());
        }
        self.link_call_ended(id, answer.call, AttemptEnd::Answered(Box::new(http)));
        Ok(())
    }

    /// Handles a call of another node for this node's target. `is_abandoned` is set when its
    /// cancellation, or the end of the link, arrived together with it.
    pub(super) fn handle_call(
        &mut self,
        id: u64,
        frame: CallFrame,
        is_abandoned: bool,
    ) -> frame::Result<()> {
        let Some(link) = self.links.get_mut(id) else {
            return Ok(());
        };
        let now = self.now;
        let transit_delay = link.transit.delay(frame.sent_ms, now);
        let reader = &mut link.reader;
        let service = reader.decode(frame.service)?;
        let version = frame.version.map(|text| reader.decode(text)).transpose()?;
        let route = reader.decode(frame.route)?;
        let caller_service = reader.decode(frame.caller_service)?;
        let method = reader.decode(frame.method)?;
        let headers = reader.headers(frame.headers)?;
        if is_abandoned {
            return Ok(());
        }
        let request = HttpRequest {
            method,
            target: frame.path,
            headers,
            body: frame.body,
        };
        let request_id: RequestId = request
            .header(self.header_names.request_id)
            .unwrap_or_default()
            .into();
        // The process may end before a run that starts late in a graceful shutdown.
        let can_serve = self.accepts_peer_calls()
            && self.target.own.current().is_some_and(|target| {
                target.service == service && version.is_none_or(|version| version == target.version)
            });
        // The frame's deadline and due time are relative to the moment of sending.
        let sent = now.saturating_sub(transit_delay);
        let due = add_signed_ms(sent, frame.due_ms);
        let deadline = sent + Duration::from_millis(frame.deadline_ms.into());
        let fingerprint = fingerprint::fingerprint(&service, &caller_service, &request);
        let origin = WorkOrigin::Link {
            link: id,
            call: frame.call,
        };
        let work = WorkItem {
            origin,
            request: Rc::new(request),
            request_id,
            caller_service,
            route,
            is_idempotent: frame.is_idempotent,
            is_retry: frame.is_retry,
            priority: frame.priority,
            due,
            deadline,
            target_latency: Duration::from_millis(frame.target_latency_ms.into()),
            fingerprint,
            submitted_at: now,
            answer_bytes: 0,
            state: WorkState::Waiting,
        };
        let refusal = if !can_serve {
            Some(Refusal::NoTarget)
        } else if deadline <= now {
            Some(Refusal::TooLate)
        } else if !self.has_memory_for(&work.route, work.request.body.len()) {
            Some(Refusal::QueueFull)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            let end = AttemptEnd::NotRun {
                refusal,
                retry_after: Duration::ZERO,
            };
            self.answer_link(id, frame.call, &work, end);
            return Ok(());
        }
        if let Some(milli_per_s) = frame.rate_limit_milli_per_s {
            let per_s = rate_limit::from_milli(milli_per_s);
            self.target.admission.restore_rate_limit(per_s, now);
        }
        let answer_bytes = self.large_answer_bytes(&work.route);
        let work = self.target.work_items.insert(WorkItem {
            answer_bytes,
            ..work
        });
        self.submit_work(work);
        Ok(())
    }

    pub(super) fn handle_cancel(&mut self, id: u64, call: u64) {
        if self.cancel_transfer(id, call) {
            return;
        }
        let origin = WorkOrigin::Link { link: id, call };
        let found = self
            .target
            .work_items
            .iter()
            .find(|(_, work)| work.origin == origin)
            .map(|(work, _)| work);
        if let Some(work) = found {
            self.cancel_work(work);
        }
    }

    /// Sends the result of a call back on its link.
    pub(super) fn answer_link(&mut self, id: u64, call: u64, work: &WorkItem, end: AttemptEnd) {
        let load = self.load_for(&work.route);
        let name = self.header_names.request_id;
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let mut large_body = None;
        let frame = match end {
            AttemptEnd::Answered(answer) => {
                let has_request_id = answer.header(name) == Some(work.request_id.as_str());
                let mut body = answer.body;
                let mut chunked_bytes = 0;
                if self.uplink.is_large(body.len()) {
                    chunked_bytes = u32::try_from(body.len()).unwrap_or(u32::MAX);
                    large_body = Some(std::mem::take(&mut body));
                }
                let mut headers = answer.headers;
                headers.retain(|header| {
                    let is_id = header.name.eq_ignore_ascii_case(name);
                    let is_length = header.name.eq_ignore_ascii_case("content-length");
                    !(is_length || has_request_id && is_id)
                });
                Frame::Answer(Box::new(AnswerFrame {
                    call,
                    status: answer.status,
                    headers: link.writer.headers(&headers),
                    body,
                    chunked_bytes,
                    has_request_id,
                    load,
                }))
            }
            AttemptEnd::NotRun {
                refusal,
                retry_after,
            } => Frame::NotRun {
                call,
                refusal,
                retry_after_ms: whole_ms(retry_after),
                load,
            },
            AttemptEnd::Failed(failure) => Frame::Failed {
                call,
                failure,
                load,
            },
        };
        self.send_frame(id, &frame);
        if let Some(body) = large_body {
            self.begin_transfer(id, call, body, work.due);
        }
    }
}

fn whole_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn signed_ms_until(time: Time, now: Time) -> i32 {
    let left = i32::try_from(time.saturating_sub(now).as_millis()).unwrap_or(i32::MAX);
    let over = i32::try_from(now.saturating_sub(time).as_millis()).unwrap_or(i32::MAX);
    left - over
}

fn add_signed_ms(now: Time, offset_ms: i32) -> Time {
    let offset = Duration::from_millis(offset_ms.unsigned_abs().into());
    if offset_ms >= 0 {
        now + offset
    } else {
        now.saturating_sub(offset)
    }
}
