//! Connections to the target beside this node.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_http::http::Header;
use hemlockfall_http::http1::HttpError;
use hemlockfall_http::http1::HttpLimits;
use hemlockfall_http::http1::response;
use hemlockfall_http::http1::response::ReadResponse;
use hemlockfall_http::http1::response::ResponseReader;
use serde_json::json;
use stakker_mio::Ready;

use crate::admission::WorkId;
use crate::clock::Time;
use crate::edge::frame::Failure;
use crate::edge::frame::Refusal;
use crate::edge::stream;
use crate::edge::stream::Reading;
use crate::edge::stream::Stream;
use crate::log::LogCategory;
use crate::node::Node;
use crate::node::Socket;
use crate::node::calls::AttemptEnd;
use crate::node::targets::WorkOrigin;
use crate::node::targets::WorkState;

/// Longest time to connect to the target, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection that is reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// The same for a non-idempotent request: a target may have closed an idle connection unnoticed,
/// and the request could then not be retried.
const MAX_NON_IDEMPOTENT_IDLE_TIME: Duration = Duration::from_millis(250);
/// Margin by which a connection is closed before the idle timeout that the target announced.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Largest head of an answer of the target.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;
/// Answers to other requests that are skipped on a connection before the expected one.
const MAX_STRAY_ANSWERS: u8 = 4;

/// Connection to the target; it carries one request at a time.
pub(crate) struct TargetConnection {
    stream: Stream,
    address: SocketAddr,
    input: Vec<u8>,
    reader: Option<ResponseReader>,
    work: Option<WorkId>,
    opened: Time,
    idle_since: Time,
    idle_limit: Duration,
    /// Whether the target has closed the connection; input that has arrived may still be unread.
    has_ended: bool,
    /// Whether the connection has carried an answer before the request in progress.
    is_reused: bool,
    stray_answers: u8,
}

/// Request that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attribution {
    /// The request in progress.
    Current,
    /// Another request, since the answer bears its id.
    Other,
    /// Not known: the answer has no id, and may be a late copy of an earlier one.
    Unknown,
}

/// Returns the request that an answer belongs to by its id, if any. A request without an id cannot
/// be distinguished from others.
fn attribution(expected: &str, found: Option<&str>, is_reused: bool) -> Attribution {
    match found {
        Some(found) if found != expected => Attribution::Other,
        None if is_reused && !expected.is_empty() => Attribution::Unknown,
        Some(_) | None => Attribution::Current,
    }
}

impl TargetConnection {
    /// Returns the size of the buffers for input.
    pub(super) fn held_bytes(&self) -> usize {
        let reader_bytes = self.reader.as_ref().map_or(0, ResponseReader::held_bytes);
        self.input.capacity() + reader_bytes
    }

    /// Returns the memory of the output.
    pub(super) fn output_bytes(&self) -> usize {
        self.stream.output_bytes()
    }

    /// Returns the request in progress on the connection.
    pub(super) fn work(&self) -> Option<WorkId> {
        self.work
    }
}

impl Node {
    fn answer_limits(&self) -> HttpLimits {
        HttpLimits {
            max_head_bytes: MAX_ANSWER_HEAD_BYTES,
            max_body_bytes: self.buffer_limits().answer_bytes,
        }
    }

    /// Sends a request on an idle connection or on a new one.
    pub(super) fn send_to_target(&mut self, id: WorkId) -> io::Result<u64> {
        let Some(target) = self.target.own.current() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let address = target.address;
        let instance = target.instance.clone();
        let Some(work) = self.target.work_items.get(id) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let (is_idempotent, method) = (work.is_idempotent, work.request.method.clone());
        let is_check = work.origin == WorkOrigin::HealthCheck;
        let names = self.header_names;
        let replaced = [
            names.deadline_ms,
            names.expected_instance,
            names.caller_service,
        ];
        // The node of the caller may not hold the first configuration with accounts yet.
        let removed = self.mesh.accounts().map(|_| names.account_key);
        let time_left = work.deadline.saturating_sub(self.now);
        let mut request = (*work.request).clone();
        request.headers.retain(|header| {
            !replaced
                .iter()
                .chain(&removed)
                .any(|name| header.name.eq_ignore_ascii_case(name))
        });
        let extra = [
            Header::new(names.deadline_ms, time_left.as_millis().to_string()),
            Header::new(names.expected_instance, instance),
            Header::new(names.caller_service, work.caller_service.clone()),
        ];
        let mut output = Vec::with_capacity(512 + request.body.len());
        response::write_request(&mut output, &request, &extra);
        // On a new connection no late copy of an earlier answer can be taken for that to a health
        // check, which has no id.
        let reused = if is_check {
            None
        } else {
            self.idle_connection(address, is_idempotent)
        };
        let connection = match reused {
            Some(connection) => connection,
            None => self.open_connection(address)?,
        };
        let limits = self.answer_limits();
        let Some(open) = self.connections.get_mut(connection) else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        open.work = Some(id);
        open.stray_answers = 0;
        open.reader = Some(ResponseReader::new(&method, limits).allow_unframed());
        if let Err(error) = open.stream.send_vec(output) {
            // The target may have received part of the request. The end of the connection, which
            // follows as an event, ends the run.
            let reason = error.to_string();
            self.log_event("target_send_failed", json!({ "reason": reason }));
        }
        Ok(connection)
    }

    /// Returns the idle connection that was used last, so that the others can reach their idle
    /// timeout.
    fn idle_connection(&self, address: SocketAddr, is_idempotent: bool) -> Option<u64> {
        let now = self.now;
        let limit = if is_idempotent {
            MAX_IDLE_TIME
        } else {
            MAX_NON_IDEMPOTENT_IDLE_TIME
        };
        self.connections
            .iter()
            .filter(|(_, open)| {
                let idle = now.saturating_sub(open.idle_since);
                open.work.is_none()
                    && open.address == address
                    && open.stream.is_connected()
                    && !open.stream.is_paused()
                    && !open.has_ended
                    && idle < limit.min(open.idle_limit)
            })
            .max_by_key(|(_, open)| open.idle_since)
            .map(|(id, _)| id)
    }

    fn open_connection(&mut self, address: SocketAddr) -> io::Result<u64> {
        let ready = self.ready_fwd(Socket::Target(self.connections.next_id()));
        let stream = Stream::connect(
            &self.poll,
            address,
            self.connection_limits.links.receive_bytes,
            ready,
        )?;
        Ok(self.connections.insert(TargetConnection {
            stream,
            address,
            input: Vec::new(),
            reader: None,
            work: None,
            opened: self.now,
            idle_since: self.now,
            idle_limit: MAX_IDLE_TIME,
            has_ended: false,
            is_reused: false,
            stray_answers: 0,
        }))
    }

    pub(super) fn target_ready(&mut self, id: u64, ready: &Ready) {
        let Some(open) = self.connections.get_mut(id) else {
            return;
        };
        if ready.is_writable() {
            let was_connected = open.stream.is_connected();
            if let Err(error) = open.stream.writable() {
                if was_connected {
                    self.connection_lost(id);
                } else {
                    self.connect_failed(id, &error.to_string());
                }
                return;
            }
        }
        self.read_target(id);
    }

    pub(super) fn resume_target(&mut self, id: u64) {
        if let Some(open) = self.connections.get_mut(id) {
            open.stream.resume();
            self.read_target(id);
        }
    }

    fn read_target(&mut self, id: u64) {
        let Some(open) = self.connections.get_mut(id) else {
            return;
        };
        let reading = open.stream.read(&mut open.input);
        // Set before the answer is handled, since the answer frees a slot and the next request must
        // not be sent on this connection.
        open.has_ended = reading.has_ended();
        self.read_answers(id);
        let Some(open) = self.connections.get_mut(id) else {
            return;
        };
        match reading {
            Reading::Open => {}
            Reading::More => self.read_later(Socket::Target(id)),
            Reading::Ended => {
                let last = open.reader.as_mut().and_then(ResponseReader::finish_at_end);
                match last {
                    Some(read) => self.answer_read(id, read),
                    None => self.connection_lost(id),
                }
            }
            Reading::Failed => self.connection_lost(id),
        }
    }

    /// Handles the complete answers of the input. An answer to another request is skipped, as the
    /// target may send a second answer to an earlier request.
    fn read_answers(&mut self, id: u64) {
        loop {
            let Some(open) = self.connections.get_mut(id) else {
                return;
            };
            if open.input.is_empty() {
                return;
            }
            let Some(reader) = &mut open.reader else {
                // Bytes that belong to no request.
                self.drop_connection(id);
                return;
            };
            match reader.push(&open.input) {
                Ok((used, None)) => {
                    open.input.drain(..used);
                    stream::release_empty(&mut open.input);
                    return;
                }
                Ok((used, Some(read))) => {
                    open.input.drain(..used);
                    stream::release_empty(&mut open.input);
                    self.answer_read(id, read);
                }
                Err(error) => {
                    self.log_bad_answer(id, error);
                    self.end_connection(id, Failure::BadAnswer);
                    return;
                }
            }
        }
    }

    fn log_bad_answer(&mut self, id: u64, error: HttpError) {
        let code = error.code().to_string();
        metrics::counter!("hemlockfall_sidecar_bad_answers_total", "code" => code.clone())
            .increment(1);
        if !self.log.admits(LogCategory::Failure, self.now) {
            return;
        }
        let open = self.connections.get(id);
        let held_bytes = open.map_or(0, TargetConnection::held_bytes);
        let work = open.and_then(TargetConnection::work);
        let work = work.and_then(|work| self.target.work_items.get(work));
        let limits = self.answer_limits();
        self.log.write(
            "answer_unreadable",
            json!({
                "id": work.map(|work| &work.request_id), "code": code,
                "reason": error.to_string(), "held_bytes": held_bytes,
                "max_head_bytes": limits.max_head_bytes, "max_body_bytes": limits.max_body_bytes,
            }),
        );
    }

    fn answer_read(&mut self, id: u64, read: ReadResponse) {
        let now = self.now;
        let request_id_name = self.header_names.request_id;
        let limits = self.answer_limits();
        let Some(open) = self.connections.get_mut(id) else {
            return;
        };
        let Some(work) = open.work else {
            self.drop_connection(id);
            return;
        };
        let Some(expected) = self.target.work_items.get(work) else {
            self.drop_connection(id);
            return;
        };
        let found = read.answer.header(request_id_name);
        let attribution = attribution(&expected.request_id, found, open.is_reused);
        let is_skipped = attribution == Attribution::Other
            && read.keep_alive
            && open.stray_answers < MAX_STRAY_ANSWERS;
        if is_skipped {
            open.stray_answers += 1;
            let method = &expected.request.method;
            open.reader = Some(ResponseReader::new(method, limits).allow_unframed());
            return;
        }
        let has_unsent = open.stream.has_output();
        let has_extra = !open.input.is_empty();
        open.work = None;
        open.reader = None;
        open.idle_since = now;
        if let Some(limit) = read.idle_timeout {
            open.idle_limit = limit.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME);
        }
        open.is_reused = true;
        let is_own = attribution == Attribution::Current;
        if !read.keep_alive || has_unsent || has_extra || !is_own {
            self.connections.remove(id);
        }
        if is_own {
            self.read_notices(work, &read.answer);
            self.target_answered(work, read.answer);
        } else {
            self.log_unattributed_answer(work, read.answer.status, attribution);
            self.work_failed(work, Failure::BadAnswer);
        }
    }

    fn log_unattributed_answer(&mut self, work: WorkId, status: u16, attribution: Attribution) {
        if !self.log.admits(LogCategory::Failure, self.now) {
            return;
        }
        let work = self.target.work_items.get(work);
        self.log.write(
            "answer_unattributed",
            json!({
                "id": work.map(|work| &work.request_id), "status": status,
                "belongs_to": format!("{attribution:?}"),
            }),
        );
    }

    /// Handles a connection that ended without a complete answer.
    fn connection_lost(&mut self, id: u64) {
        self.end_connection(id, Failure::ConnectionLost);
    }

    pub(super) fn end_connection(&mut self, id: u64, failure: Failure) {
        let Some(open) = self.connections.remove(id) else {
            return;
        };
        let Some(work) = open.work else {
            return;
        };
        let has_begun = open.reader.as_ref().is_some_and(ResponseReader::has_begun);
        let fingerprint = self
            .target
            .work_items
            .get(work)
            .map(|work| work.fingerprint);
        if failure == Failure::ConnectionLost && !has_begun {
            if let Some(fingerprint) = fingerprint {
                self.record_lost_request(fingerprint);
            }
            self.probe_target(open.address);
        }
        self.work_failed(work, failure);
    }

    fn work_failed(&mut self, work: WorkId, failure: Failure) {
        let Some(found) = self.target.work_items.get(work) else {
            return;
        };
        if let WorkState::Running { started, .. } = found.state {
            self.run_ended(work, started, AttemptEnd::Failed(failure));
        }
    }

    /// Opens a connection to check whether the target still runs; later requests reuse it if so.
    fn probe_target(&mut self, address: SocketAddr) {
        let is_probing = self
            .connections
            .iter()
            .any(|(_, open)| open.address == address && !open.stream.is_connected());
        if !is_probing && let Err(error) = self.open_connection(address) {
            self.target_lost(&error.to_string());
        }
    }

    /// Handles a connection that could not be made. Nothing was sent, so its request has not run.
    fn connect_failed(&mut self, id: u64, reason: &str) {
        let Some(open) = self.connections.remove(id) else {
            return;
        };
        let is_current = self
            .target
            .own
            .current()
            .is_some_and(|target| target.address == open.address);
        if is_current {
            self.target_lost(reason);
        }
        let Some(work) = open.work else {
            return;
        };
        if let Some(found) = self.target.work_items.get(work)
            && let WorkState::Running { started, .. } = found.state
        {
            let end = AttemptEnd::NotRun {
                refusal: Refusal::NoTarget,
                retry_after: Duration::ZERO,
            };
            self.run_ended(work, started, end);
        }
    }

    /// Closes a connection. The run of a request on it is not ended here.
    pub(super) fn drop_connection(&mut self, id: u64) {
        self.connections.remove(id);
    }

    /// Closes idle connections before the target does, and those that were not established within
    /// `CONNECT_TIMEOUT`.
    pub(super) fn check_connections(&mut self) {
        let now = self.now;
        let mut stale = Vec::new();
        let mut unconnected = Vec::new();
        for (id, open) in self.connections.iter() {
            if !open.stream.is_connected() {
                if now.saturating_sub(open.opened) > CONNECT_TIMEOUT {
                    unconnected.push(id);
                }
            } else if open.work.is_none() && now.saturating_sub(open.idle_since) > open.idle_limit {
                stale.push(id);
            }
        }
        for id in stale {
            self.drop_connection(id);
        }
        for id in unconnected {
            self.connect_failed(id, "no answer to the connection");
        }
    }

    /// Closes the idle connections to a target that was replaced.
    pub(super) fn drop_old_connections(&mut self, address: SocketAddr) {
        let old: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, open)| open.work.is_none() && open.address == address)
            .map(|(id, _)| id)
            .collect();
        for id in old {
            self.drop_connection(id);
        }
    }
}
