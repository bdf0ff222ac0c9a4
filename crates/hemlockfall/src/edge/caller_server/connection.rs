//! Connection of a caller.

use std::time::Duration;
use std::time::Instant;

use stakker_mio::MioSource;
use stakker_mio::ReadStatus;
use stakker_mio::TcpStreamBuf;
use stakker_mio::mio::net::TcpStream;

use crate::edge::caller_server::CallerOptions;
use crate::edge::http;
use crate::edge::http::Header;
use crate::edge::http::HttpAnswer;
use crate::edge::http::HttpRequest;
use crate::edge::http1::HttpError;
use crate::edge::http1::HttpLimits;
use crate::edge::http1::request::RequestReader;
use crate::edge::http1::response;
use crate::edge::message::CallerId;

/// Size of one read. The buffer of each connection is twice as large and is kept while the caller
/// is idle.
const READ_BYTES: usize = 16 * 1024;
/// Largest amount of input buffered behind a request in progress.
const MAX_PIPELINED_BYTES: usize = 256 * 1024;
/// Largest amount of input discarded after the last answer.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Time to wait for the caller to close its side after the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Result of reading from a connection.
pub(super) enum Progress {
    /// More input is needed.
    Nothing,
    /// A complete request arrived.
    Request(Box<HttpRequest>),
    /// The connection must be closed.
    Closed,
}

/// Request that has not been answered yet.
struct PendingRequest {
    caller: CallerId,
    is_head: bool,
    keep_alive: bool,
}

/// Connection of a caller.
pub(super) struct Connection {
    pub(super) id: u64,
    buffer: TcpStreamBuf,
    reader: RequestReader,
    pending: Option<PendingRequest>,
    /// Whether the connection ends once the output is written and the caller has closed its side.
    closing: bool,
    discarded_bytes: usize,
    /// Whether the next answer is the last one.
    is_last: bool,
    last_progress: Instant,
    /// Time at which the request being read began to arrive.
    request_started: Option<Instant>,
}

impl Connection {
    pub(super) fn new(
        id: u64,
        stream: MioSource<TcpStream>,
        limits: HttpLimits,
        now: Instant,
    ) -> Self {
        let mut buffer = TcpStreamBuf::new();
        buffer.init(stream);
        buffer.set_nodelay(true);
        let reader = RequestReader::new(limits);
        Self {
            id,
            buffer,
            reader,
            pending: None,
            closing: false,
            discarded_bytes: 0,
            is_last: false,
            last_progress: now,
            request_started: None,
        }
    }

    pub(super) fn pending_caller(&self) -> Option<CallerId> {
        self.pending.as_ref().map(|pending| pending.caller)
    }

    /// Returns whether no request is being received, processed or answered.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_none()
            && self.reader.is_idle()
            && self.buffer.rd == self.buffer.wr
            && self.buffer.out.is_empty()
    }

    /// Makes the answer to the request in progress the last one.
    pub(super) fn end_after_answer(&mut self) {
        self.is_last = true;
    }

    /// Writes pending output; returns false if the connection must be closed.
    pub(super) fn flush(&mut self, now: Instant) -> bool {
        let before = self.buffer.out.len();
        if self.buffer.flush().is_err() {
            return false;
        }
        if self.buffer.out.len() < before {
            self.last_progress = now;
        }
        if self.closing && self.buffer.out.is_empty() {
            self.buffer.out_eof = true;
            return self.buffer.flush().is_ok();
        }
        true
    }

    /// Reads the available input. Must be called until it returns [`Progress::Nothing`] or
    /// [`Progress::Closed`], since the socket reports its readiness only once.
    pub(super) fn advance(&mut self, caller: CallerId, now: Instant) -> Progress {
        loop {
            if self.has_enough_input() {
                return Progress::Nothing;
            }
            let status = self.buffer.read(READ_BYTES);
            if self.closing {
                match self.discard(&status) {
                    Some(progress) => return progress,
                    None => continue,
                }
            }
            if matches!(status, ReadStatus::NewData) {
                self.last_progress = now;
            }
            if self.pending.is_none()
                && self.buffer.out.is_empty()
                && let Some(progress) = self.parse(caller, now)
            {
                return progress;
            }
            match status {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => return Progress::Nothing,
                ReadStatus::EndOfStream if self.is_answering() => self.closing = true,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => return Progress::Closed,
            }
        }
    }

    /// Returns whether enough input is buffered behind a request in progress or an unread answer.
    /// The rest stays in the socket, so that TCP flow control slows the caller down.
    fn has_enough_input(&self) -> bool {
        let is_blocked = self.pending.is_some() || !self.buffer.out.is_empty();
        is_blocked && self.buffer.wr - self.buffer.rd > MAX_PIPELINED_BYTES
    }

    /// Returns whether an answer is still being written.
    fn is_answering(&self) -> bool {
        self.pending.is_none() && !self.buffer.out.is_empty()
    }

    /// Discards input of a connection that is closing. Closing with unread input would reset the
    /// connection, and the caller could lose the answer (RFC 9112, section 9.6).
    fn discard(&mut self, status: &ReadStatus) -> Option<Progress> {
        self.discarded_bytes += self.buffer.wr - self.buffer.rd;
        self.buffer.rd = self.buffer.wr;
        match status {
            ReadStatus::NewData if self.discarded_bytes <= MAX_DISCARDED_BYTES => None,
            ReadStatus::WouldBlock => Some(Progress::Nothing),
            ReadStatus::EndOfStream if self.is_answering() => Some(Progress::Nothing),
            ReadStatus::NewData | ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                Some(Progress::Closed)
            }
        }
    }

    fn parse(&mut self, caller: CallerId, now: Instant) -> Option<Progress> {
        let input = &self.buffer.inp[self.buffer.rd..self.buffer.wr];
        if input.is_empty() {
            return None;
        }
        self.request_started = self.request_started.or(Some(now));
        match self.reader.push(input) {
            Ok(step) => {
                self.buffer.rd += step.used_bytes;
                if step.send_continue {
                    self.buffer.out.extend_from_slice(CONTINUE);
                    if !self.flush(now) {
                        return Some(Progress::Closed);
                    }
                }
                let read = step.request?;
                self.request_started = None;
                let is_head = read.request.method == "HEAD";
                self.pending = Some(PendingRequest {
                    caller,
                    is_head,
                    keep_alive: read.keep_alive,
                });
                Some(Progress::Request(Box::new(read.request)))
            }
            Err(error) => (!self.refuse(error, now)).then_some(Progress::Closed),
        }
    }

    /// Answers with a protocol error and ends the connection; returns false if it can be closed at
    /// once.
    fn refuse(&mut self, error: HttpError, now: Instant) -> bool {
        let headers = vec![
            Header::new(http::OUTCOME_HEADER, "not-run"),
            Header::new(http::CODE_HEADER, error.code().to_string()),
        ];
        let body = format!("{error}\n").into_bytes();
        let answer = HttpAnswer::new(error.status(), headers, body);
        response::write_response(&mut self.buffer.out, &answer, false, false);
        self.closing = true;
        self.request_started = None;
        self.last_progress = now;
        self.flush(now)
    }

    /// Writes an answer; returns false if the connection must be closed.
    pub(super) fn answer(&mut self, answer: &HttpAnswer, now: Instant) -> bool {
        let Some(pending) = self.pending.take() else {
            return true;
        };
        let keep_alive = pending.keep_alive && !self.is_last;
        let out = &mut self.buffer.out;
        response::write_response(out, answer, pending.is_head, keep_alive);
        self.closing = !keep_alive;
        self.last_progress = now;
        self.flush(now)
    }

    /// Returns whether the connection has timed out and must be closed. A request that arrives too
    /// slowly is refused with an answer first.
    pub(super) fn check_timeout(&mut self, now: Instant, options: &CallerOptions) -> bool {
        if self.pending.is_some() {
            return false;
        }
        let idle_time = now.duration_since(self.last_progress);
        if self.closing && self.buffer.out.is_empty() {
            return idle_time >= LINGER_TIMEOUT;
        }
        let is_late = self
            .request_started
            .is_some_and(|started| now.duration_since(started) >= options.read_timeout);
        if is_late && !self.closing {
            return !self.refuse(HttpError::Timeout, now);
        }
        idle_time >= options.idle_timeout
    }
}
