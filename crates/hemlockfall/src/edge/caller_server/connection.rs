//! One caller's connection.

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

const READ_BYTES: usize = 64 * 1024;
/// Input that may wait behind a request in progress.
const MAX_PIPELINED_BYTES: usize = 256 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// `Progress` is what reading a connection led to.
pub(super) enum Progress {
    /// More input is needed.
    Nothing,
    /// A whole request arrived.
    Request(Box<HttpRequest>),
    /// The connection must be closed.
    Closed,
}

struct Waiting {
    caller: CallerId,
    is_head: bool,
    keep_alive: bool,
}

/// `Connection` is one caller's connection.
pub(super) struct Connection {
    pub(super) id: u64,
    buffer: TcpStreamBuf,
    reader: RequestReader,
    waiting: Option<Waiting>,
    /// The connection ends once the output is written.
    closing: bool,
    /// The next answer is the last one.
    is_last: bool,
    last_progress: Instant,
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
            waiting: None,
            closing: false,
            is_last: false,
            last_progress: now,
        }
    }

    pub(super) fn waiting_caller(&self) -> Option<CallerId> {
        self.waiting.as_ref().map(|waiting| waiting.caller)
    }

    /// Tells whether no request has been begun and none is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_none()
            && self.reader.is_idle()
            && self.buffer.rd == self.buffer.wr
            && self.buffer.out.is_empty()
    }

    /// Makes the answer to the request in progress the last one.
    pub(super) fn end_after_answer(&mut self) {
        self.is_last = true;
    }

    /// Writes pending output; false when the connection must be closed.
    pub(super) fn flush(&mut self, now: Instant) -> bool {
        let before = self.buffer.out.len();
        if self.buffer.flush().is_err() {
            return false;
        }
        if self.buffer.out.len() < before {
            self.last_progress = now;
        }
        !(self.closing && self.buffer.out.is_empty())
    }

    pub(super) fn advance(&mut self, caller: CallerId, now: Instant) -> Progress {
        loop {
            let status = self.buffer.read(READ_BYTES);
            let ended = match status {
                ReadStatus::NewData | ReadStatus::WouldBlock => false,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => true,
            };
            if matches!(status, ReadStatus::NewData) && self.reader.is_idle() {
                self.last_progress = now;
            }
            if self.waiting.is_none()
                && !self.closing
                && let Some(progress) = self.parse(caller, now)
            {
                return progress;
            }
            let pending_bytes = self.buffer.wr - self.buffer.rd;
            if ended || (self.waiting.is_some() && pending_bytes > MAX_PIPELINED_BYTES) {
                return Progress::Closed;
            }
            if matches!(status, ReadStatus::WouldBlock) {
                return Progress::Nothing;
            }
        }
    }

    fn parse(&mut self, caller: CallerId, now: Instant) -> Option<Progress> {
        let input = &self.buffer.inp[self.buffer.rd..self.buffer.wr];
        if input.is_empty() {
            return None;
        }
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
                let is_head = read.request.method == "HEAD";
                self.waiting = Some(Waiting {
                    caller,
                    is_head,
                    keep_alive: read.keep_alive,
                });
                Some(Progress::Request(Box::new(read.request)))
            }
            Err(error) => (!self.refuse(error, now)).then_some(Progress::Closed),
        }
    }

    /// Tells the caller about a protocol error and ends the connection; false when it can be
    /// closed at once.
    fn refuse(&mut self, error: HttpError, now: Instant) -> bool {
        let headers = vec![
            Header::new(http::OUTCOME_HEADER, "not-run"),
            Header::new(http::CODE_HEADER, error.code().to_string()),
        ];
        let body = format!("{error}\n").into_bytes();
        let answer = HttpAnswer::new(error.status(), headers, body);
        response::write_response(&mut self.buffer.out, &answer, false, false);
        self.closing = true;
        self.flush(now)
    }

    /// Writes an answer; false when the connection must be closed.
    pub(super) fn answer(&mut self, answer: &HttpAnswer, now: Instant) -> bool {
        let Some(waiting) = self.waiting.take() else {
            return true;
        };
        let keep_alive = waiting.keep_alive && !self.is_last;
        let out = &mut self.buffer.out;
        response::write_response(out, answer, waiting.is_head, keep_alive);
        self.closing = !keep_alive;
        self.last_progress = now;
        self.flush(now)
    }

    /// Tells whether the connection has run out of time; a request that arrives too slowly is
    /// answered first.
    pub(super) fn is_overdue(&mut self, now: Instant, options: &CallerOptions) -> bool {
        if self.waiting.is_some() {
            return false;
        }
        let quiet = now.duration_since(self.last_progress);
        if !self.reader.is_idle() && !self.closing && quiet >= options.read_timeout {
            return !self.refuse(HttpError::Timeout, now);
        }
        let partial_head = self.buffer.wr > self.buffer.rd;
        quiet >= options.idle_timeout || (partial_head && quiet >= options.read_timeout)
    }
}
