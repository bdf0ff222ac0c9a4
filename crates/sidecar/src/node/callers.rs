//! HTTP connections of callers, of the target's control calls and of the platform's checks.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use hemlockfall_http::http::Header;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http::HttpRequest;
use hemlockfall_http::http1::HttpError;
use hemlockfall_http::http1::HttpLimits;
use hemlockfall_http::http1::request::RequestReader;
use hemlockfall_http::http1::response;
use serde_json::json;
use stakker_mio::Ready;

use crate::clock::Time;
use crate::edge::input::InputBuffer;
use crate::edge::stream::Reading;
use crate::edge::stream::Stream;
use crate::eviction::Use;
use crate::explain::EXPLAIN_PATH;
use crate::node::Node;
use crate::node::Port;
use crate::node::Socket;
use crate::node::held_memory::DrainRate;
use crate::turns::EventShare;

/// Requests of one connection that may be in progress at once.
const MAX_PIPELINED: usize = 16;
/// Buffered input of a connection above which no more is read; the rest stays in the socket.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// The same while no request of the connection can begin.
const MAX_WAITING_BYTES: usize = 16 * 1024;
/// Unsent output of a connection above which no further request of it is begun.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// Size up to which a body is sent in one piece with its head.
const MAX_COPIED_BYTES: usize = 16 * 1024;
/// Time that a caller has to close its side of the connection after the last answer.
const LINGER: Duration = Duration::from_secs(1);
/// Limits and timeouts that apply until a configuration is in force.
const INITIAL_LIMITS: HttpLimits = HttpLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 1024 * 1024,
};
const INITIAL_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Code of a request that was being read when its connection had to make room for another one.
const CODE_NO_CONNECTION: &str = "HF-3716";
/// Code of a request whose body found no memory.
pub(super) const CODE_NO_MEMORY: &str = "HF-3709";
/// `Retry-After` of such a request.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Connection of a caller, of the target or of a check.
pub(crate) struct Caller {
    port: Port,
    stream: Stream,
    input: InputBuffer,
    /// Whether input was left in the socket, since `input` was full. No further event announces it.
    has_unread_input: bool,
    reader: RequestReader,
    /// Requests whose answers have not been written yet, in order of arrival.
    pending: VecDeque<Pending>,
    /// Set once the last answer is queued; the connection ends when the caller closes its side.
    closing_since: Option<Time>,
    /// Whether no further request is read from the connection.
    is_last: bool,
    last_activity: Time,
    /// Request of which only a part has been read, if any.
    unfinished: Option<UnfinishedRequest>,
    /// When the output that is still unsent was queued behind none, if there is any.
    output_since: Option<Time>,
    pub(super) drain_rate: DrainRate,
    pub(super) share: EventShare,
}

/// Start of a request that is being read.
#[derive(Clone, Copy, Debug)]
struct UnfinishedRequest {
    started: Time,
    /// Bytes that had been read from the connection before.
    read_before: u64,
}

struct Pending {
    token: u64,
    is_head: bool,
    keep_alive: bool,
    is_idempotent: bool,
    answer: Option<HttpAnswer>,
}

impl Caller {
    /// Returns the size of the buffers for input.
    pub(super) fn held_bytes(&self) -> usize {
        self.input.held_bytes() + self.reader.held_bytes()
    }

    /// Returns the memory of answers that have not been sent.
    pub(super) fn output_bytes(&self) -> usize {
        let waiting = self.pending.iter().filter_map(|open| open.answer.as_ref());
        let waiting_bytes: usize = waiting.map(|answer| answer.body.capacity()).sum();
        self.stream.output_bytes() + waiting_bytes
    }

    /// Returns the number of bytes written since the connection was opened.
    pub(super) fn total_written_bytes(&self) -> u64 {
        self.stream.total_written_bytes()
    }

    pub(super) fn is_at(&self, port: Port) -> bool {
        self.port == port
    }

    /// Returns what the connection is used for.
    pub(super) fn current_use(&self, now: Time) -> Use {
        if self.is_idle() {
            return Use::Idle {
                since: self.last_activity,
            };
        }
        if let Some(since) = self.output_since {
            let bytes_per_s = self.drain_rate.bytes_per_s(self.total_written_bytes());
            return Use::Transfer { since, bytes_per_s };
        }
        match self.unfinished {
            Some(unfinished) if self.pending.is_empty() => Use::Transfer {
                since: unfinished.started,
                bytes_per_s: self.receive_rate(unfinished, now),
            },
            Some(_) | None => Use::Request,
        }
    }

    /// Returns the time since which there is unsent output.
    pub(super) fn output_age(&self, now: Time) -> Duration {
        self.output_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns the number of requests whose answers have not been written.
    pub(super) fn requests_in_progress(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether there is more on the connection than one request.
    pub(super) fn is_pipelining(&self) -> bool {
        self.pending.len() > 1 || !self.input.is_empty() || self.stream.has_output()
    }

    /// Returns the mean rate at which a request has been received, in bytes per second.
    fn receive_rate(&self, unfinished: UnfinishedRequest, now: Time) -> usize {
        let bytes = self.stream.total_read_bytes() - unfinished.read_before;
        let took_ms = now.saturating_sub(unfinished.started).as_millis().max(1);
        usize::try_from(u128::from(bytes) * 1000 / took_ms).unwrap_or(usize::MAX)
    }

    /// Returns whether the caller has had the time for a request's head, or none of it has arrived for
    /// that time.
    fn is_request_overdue(&self, header_timeout: Duration, now: Time) -> bool {
        let Some(unfinished) = self.unfinished else {
            return false;
        };
        let is_in_head = self.reader.is_idle() && !self.share.is_waiting() && !self.is_blocked();
        let since_start = now.saturating_sub(unfinished.started);
        now.saturating_sub(self.last_activity) >= header_timeout
            || (is_in_head && since_start >= header_timeout)
    }

    /// Returns whether further requests stay unread. Those behind a non-idempotent one stay unread
    /// until its answer, so that they have not been started if that answer closes the connection.
    fn is_blocked(&self) -> bool {
        self.pending.len() >= MAX_PIPELINED
            || self.stream.unsent_bytes() > MAX_UNSENT_BYTES
            || self.pending.iter().any(|pending| !pending.is_idempotent)
    }

    /// Returns whether no more input is to be read at present.
    fn is_input_full(&self) -> bool {
        let is_waiting = self.share.is_waiting() || self.is_blocked();
        let max_bytes = if is_waiting {
            MAX_WAITING_BYTES
        } else {
            MAX_BUFFERED_BYTES
        };
        self.input.len() >= max_bytes
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty()
            && self.reader.is_idle()
            && self.input.is_empty()
            && !self.stream.has_output()
    }
}

impl Node {
    pub(super) fn add_caller(&mut self, port: Port, stream: Stream) {
        let limits = self.http_limits();
        self.callers.insert(Caller {
            port,
            stream,
            input: InputBuffer::default(),
            has_unread_input: false,
            reader: RequestReader::new(limits),
            pending: VecDeque::new(),
            closing_since: None,
            is_last: false,
            last_activity: self.now,
            unfinished: None,
            output_since: None,
            drain_rate: DrainRate::default(),
            share: EventShare::default(),
        });
    }

    fn http_limits(&self) -> HttpLimits {
        let Some(config) = self.mesh.config() else {
            return INITIAL_LIMITS;
        };
        HttpLimits {
            max_head_bytes: usize::try_from(config.limits.max_header_bytes).unwrap_or(usize::MAX),
            max_body_bytes: usize::try_from(config.limits.max_body_bytes).unwrap_or(usize::MAX),
        }
    }

    pub(super) fn caller_ready(&mut self, id: u64, ready: &Ready) {
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        if ready.is_writable() {
            let unsent_bytes = caller.stream.unsent_bytes();
            if caller.stream.writable().is_err() {
                self.close_caller(id);
                return;
            }
            // A caller that reads slowly is not idle.
            if caller.stream.unsent_bytes() < unsent_bytes {
                caller.last_activity = self.now;
            }
            if !caller.stream.has_output() {
                caller.output_since = None;
            }
        }
        // The end of the connection may stand behind input that is not read at present.
        if caller.has_unread_input && ready.is_read_closed() {
            self.close_caller(id);
            return;
        }
        self.read_caller(id);
    }

    pub(super) fn resume_caller(&mut self, id: u64) {
        if let Some(caller) = self.callers.get_mut(id) {
            caller.stream.resume();
            self.read_caller(id);
        }
    }

    fn read_caller(&mut self, id: u64) {
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        caller.has_unread_input = caller.is_input_full();
        let reading = if caller.has_unread_input {
            Reading::Open
        } else {
            caller.stream.read(caller.input.end_mut())
        };
        match reading {
            Reading::Open => self.read_requests(id),
            Reading::More => {
                self.read_later(Socket::Caller(id));
                self.read_requests(id);
            }
            Reading::Ended | Reading::Failed => self.close_caller(id),
        }
    }

    /// Starts the complete requests of the input, and reads on if input was left in the socket.
    fn read_requests(&mut self, id: u64) {
        self.start_requests(id);
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        if caller.has_unread_input && !caller.is_input_full() {
            caller.has_unread_input = false;
            self.read_later(Socket::Caller(id));
        }
    }

    /// Starts the complete requests of the input, up to the limit on requests in progress.
    fn start_requests(&mut self, id: u64) {
        let limits = self.http_limits();
        loop {
            let now = self.now;
            let Some(caller) = self.callers.get_mut(id) else {
                return;
            };
            if caller.closing_since.is_some() {
                caller.input.clear();
                return;
            }
            if caller.is_last || caller.is_blocked() || caller.input.is_empty() {
                return;
            }
            if !self.may_begin_request(id) {
                return;
            }
            let Some(caller) = self.callers.get_mut(id) else {
                return;
            };
            caller.last_activity = now;
            let read_bytes = caller.stream.total_read_bytes();
            let waiting_bytes = u64::try_from(caller.input.len()).unwrap_or(u64::MAX);
            caller.unfinished.get_or_insert(UnfinishedRequest {
                started: now,
                read_before: read_bytes.saturating_sub(waiting_bytes),
            });
            caller.reader.set_limits(limits);
            let step = match caller.reader.push(caller.input.unused()) {
                Ok(step) => step,
                Err(error) => {
                    self.bad_request(id, error);
                    return;
                }
            };
            caller.input.consume(step.used_bytes);
            if step.send_continue && caller.pending.is_empty() {
                // A failure to send shows in the next event of the connection.
                let _ = caller.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            let Some(read) = step.request else {
                return;
            };
            caller.unfinished = None;
            self.request_read(id, read.request, read.keep_alive);
        }
    }

    fn request_read(&mut self, id: u64, request: HttpRequest, keep_alive: bool) {
        let token = self.allocate_token();
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        let port = caller.port;
        caller.is_last = !keep_alive;
        caller.pending.push_back(Pending {
            token,
            is_head: request.method == "HEAD",
            keep_alive,
            is_idempotent: true,
            answer: None,
        });
        match port {
            Port::Callers => self.begin_call(id, token, request, self.now),
            Port::Control => self.handle_control_call(id, token, &request),
            Port::Metrics if request.path() == EXPLAIN_PATH => {
                self.handle_explain(id, token, &request);
            }
            Port::Ready | Port::Metrics | Port::Peers => self.handle_check(id, token, &request),
        }
    }

    /// Marks a pending request as non-idempotent, so that no request behind it on the connection
    /// is started before its answer.
    pub(super) fn mark_non_idempotent(&mut self, caller: u64, token: u64) {
        let Some(caller) = self.callers.get_mut(caller) else {
            return;
        };
        if let Some(pending) = caller.pending.iter_mut().find(|open| open.token == token) {
            pending.is_idempotent = false;
        }
    }

    fn bad_request(&mut self, id: u64, error: HttpError) {
        self.log_event(
            "request_unreadable",
            json!({ "status": error.status(), "reason": error.to_string() }),
        );
        let answer = own_answer(error.status(), &error.code().to_string(), None);
        self.answer_last(id, answer);
    }

    /// Refuses a request that is being read and would exceed the budget of memory.
    pub(super) fn refuse_input(&mut self, id: u64) {
        if let Some(caller) = self.callers.get_mut(id) {
            caller.input.clear();
            caller.reader = RequestReader::new(INITIAL_LIMITS);
        }
        let answer = own_answer(503, CODE_NO_MEMORY, Some(MEMORY_RETRY_AFTER));
        self.answer_last(id, answer);
    }

    /// Answers the request that is being read; no further one is read from the connection.
    fn answer_last(&mut self, id: u64, answer: HttpAnswer) {
        let token = self.allocate_token();
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        caller.is_last = true;
        caller.pending.push_back(Pending {
            token,
            is_head: false,
            keep_alive: false,
            is_idempotent: true,
            answer: None,
        });
        self.answer_caller(id, token, answer);
    }

    /// Answers a request. Answers are written in the order of the requests of a connection.
    pub(super) fn answer_caller(&mut self, id: u64, token: u64, answer: HttpAnswer) {
        let is_stopping = self.is_stopping();
        let now = self.now;
        let Some(caller) = self.callers.get_mut(id) else {
            return;
        };
        if let Some(pending) = caller.pending.iter_mut().find(|open| open.token == token) {
            pending.answer = Some(answer);
        }
        let mut has_failed = false;
        let mut output_bytes = 0;
        while let Some(answer) = caller
            .pending
            .front_mut()
            .and_then(|open| open.answer.take())
        {
            let Some(pending) = caller.pending.pop_front() else {
                break;
            };
            let ends = !pending.keep_alive || (is_stopping && caller.pending.is_empty());
            output_bytes += answer.body.len();
            has_failed |= write_answer(&mut caller.stream, answer, pending.is_head, !ends).is_err();
            if ends {
                caller.closing_since = Some(now);
            }
        }
        caller.last_activity = now;
        if caller.stream.has_output() {
            caller.output_since.get_or_insert(now);
        } else {
            caller.output_since = None;
        }
        if has_failed {
            self.close_caller(id);
            return;
        }
        if caller.closing_since.is_some() && !caller.stream.has_output() {
            // The caller closes its side next; a failure shows in the connection's next event.
            let _ = caller.stream.finish();
        }
        self.answered_callers.push_back(id);
        if output_bytes > MAX_COPIED_BYTES {
            self.check_held_memory();
        }
    }

    /// Starts the requests that wait behind answered ones on their connections. Many of them may be
    /// answered at once, so they are started in a loop: a call for each would overflow the stack.
    pub(super) fn read_answered_callers(&mut self) {
        while let Some(id) = self.answered_callers.pop_front() {
            self.read_requests(id);
        }
    }

    /// Closes a connection to make room for another one. A request of which a part has been read is
    /// refused, since it has not run.
    pub(super) fn evict_caller(&mut self, id: u64) {
        if let Some(caller) = self.callers.get_mut(id)
            && caller.unfinished.is_some()
            && caller.pending.is_empty()
        {
            let answer = own_answer(503, CODE_NO_CONNECTION, Some(MEMORY_RETRY_AFTER));
            // The caller may not read it, and the connection is closed in any case.
            let _ = write_answer(&mut caller.stream, answer, false, false);
        }
        self.close_caller(id);
    }

    pub(super) fn close_caller(&mut self, id: u64) {
        let Some(caller) = self.callers.remove(id) else {
            return;
        };
        for pending in caller.pending {
            self.caller_disconnected(pending.token);
        }
    }

    pub(super) fn check_callers(&mut self) {
        let (header_timeout, idle_timeout) = self
            .mesh
            .config()
            .map_or((INITIAL_HEADER_TIMEOUT, INITIAL_IDLE_TIMEOUT), |config| {
                (config.limits.header_timeout, config.limits.idle_timeout)
            });
        let now = self.now;
        let mut closed = Vec::new();
        let mut overdue = Vec::new();
        for (id, caller) in self.callers.iter_mut() {
            let idle_time = now.saturating_sub(caller.last_activity);
            if let Some(since) = caller.closing_since {
                if !caller.stream.has_output() {
                    // Shuts down the sending side after the last byte.
                    let _ = caller.stream.finish();
                }
                if now.saturating_sub(since) > LINGER && !caller.stream.has_output() {
                    closed.push(id);
                }
            } else if idle_time >= idle_timeout && (caller.is_idle() || caller.stream.has_output())
            {
                closed.push(id);
            } else if caller.is_request_overdue(header_timeout, now) {
                overdue.push(id);
            }
        }
        for id in overdue {
            // The rest may have arrived and not been read yet, for example during a process pause.
            self.resume_caller(id);
            if let Some(caller) = self.callers.get(id)
                && caller.is_request_overdue(header_timeout, now)
            {
                self.bad_request(id, HttpError::Timeout);
            }
        }
        for id in closed {
            self.close_caller(id);
        }
    }

    /// Closes the idle connections of callers. Requests that have arrived but were not read yet
    /// are read first.
    pub(super) fn close_idle_callers(&mut self) {
        for id in self.idle_callers() {
            self.read_caller(id);
        }
        for id in self.idle_callers() {
            self.close_caller(id);
        }
    }

    fn idle_callers(&self) -> Vec<u64> {
        self.callers
            .iter()
            .filter(|(_, caller)| caller.port == Port::Callers && caller.is_idle())
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns whether a part of a caller's request has been read, but not all of it.
    pub(super) fn has_begun_requests(&self) -> bool {
        self.callers
            .iter()
            .any(|(_, caller)| caller.port == Port::Callers && caller.unfinished.is_some())
    }

    /// Returns whether a part of an answer still waits to be written.
    pub(super) fn has_answers(&self) -> bool {
        self.callers
            .iter()
            .any(|(_, caller)| caller.stream.has_output())
    }
}

/// Writes an answer; a large body is not copied.
fn write_answer(
    stream: &mut Stream,
    answer: HttpAnswer,
    is_head: bool,
    keep_alive: bool,
) -> io::Result<()> {
    let mut head = Vec::new();
    let has_body = response::write_response_head(&mut head, &answer, is_head, keep_alive);
    if !has_body {
        return stream.send(&head);
    }
    if answer.body.len() <= MAX_COPIED_BYTES {
        head.extend_from_slice(&answer.body);
        return stream.send(&head);
    }
    stream.send(&head)?;
    stream.send_vec(answer.body)
}

/// Builds an answer that comes from the node itself, not from a target.
pub(super) fn own_answer(status: u16, code: &str, retry_after: Option<Duration>) -> HttpAnswer {
    let mut headers = Vec::new();
    if !code.is_empty() {
        headers.push(Header::new(hemlockfall_http::http::CODE_HEADER, code));
    }
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        headers.push(Header::new("retry-after", seconds));
    }
    HttpAnswer::new(status, headers, Vec::new())
}
