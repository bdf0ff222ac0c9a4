//! One connection to the local target.

use std::net::SocketAddr;
use std::time::Instant;

use stakker_mio::MioSource;
use stakker_mio::ReadStatus;
use stakker_mio::TcpStreamBuf;
use stakker_mio::mio::net::TcpStream;

use crate::edge::http::Header;
use crate::edge::http1::HttpLimits;
use crate::edge::http1::response;
use crate::edge::http1::response::ResponseReader;
use crate::edge::message::TargetResult;
use crate::edge::message::TargetRun;

const READ_BYTES: usize = 64 * 1024;
const VIA: &str = "1.1 hemlockfall";

/// Result of an event on a connection.
pub(super) enum Step {
    /// More input or output is needed.
    Pending,
    /// A run ended.
    Done {
        /// Identifier of the run.
        run_id: u64,
        /// Its result.
        result: TargetResult,
        /// Whether the connection can carry another run.
        reusable: bool,
    },
    /// The connection is idle and must be closed.
    Closed,
}

struct Running {
    run_id: u64,
    reader: ResponseReader,
    request_bytes: usize,
    awaits_late_answer: bool,
}

/// One connection to the local target.
pub(super) struct Connection {
    pub(super) id: u64,
    pub(super) address: SocketAddr,
    pub(super) opened: Instant,
    buffer: TcpStreamBuf,
    running: Option<Running>,
    last_used: Instant,
}

impl Connection {
    pub(super) fn new(
        id: u64,
        stream: MioSource<TcpStream>,
        address: SocketAddr,
        now: Instant,
    ) -> Self {
        let mut buffer = TcpStreamBuf::new();
        buffer.init(stream);
        buffer.set_nodelay(true);
        Self {
            id,
            address,
            opened: now,
            buffer,
            running: None,
            last_used: now,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_none()
    }

    pub(super) fn is_idle_for(&self, address: SocketAddr) -> bool {
        self.is_idle() && self.address == address
    }

    pub(super) fn last_used(&self) -> Instant {
        self.last_used
    }

    pub(super) fn run_id(&self) -> Option<u64> {
        self.running.as_ref().map(|running| running.run_id)
    }

    /// Writes a request to the output buffer.
    pub(super) fn start(&mut self, run: &TargetRun, limits: HttpLimits, now: Instant) {
        // RFC 9110, section 7.6.3, requires a gateway to add `via`.
        let via = Header::new("via", VIA);
        response::write_request(&mut self.buffer.out, &run.request, &[via]);
        let reader = ResponseReader::new(&run.request.method, limits);
        let request_bytes = self.buffer.out.len();
        self.running = Some(Running {
            run_id: run.id,
            reader,
            request_bytes,
            awaits_late_answer: run.awaits_late_answer,
        });
        self.last_used = now;
    }

    pub(super) fn write(&mut self) -> Step {
        match self.buffer.flush() {
            Ok(()) => Step::Pending,
            Err(error) => self.fail(&error.to_string()),
        }
    }

    pub(super) fn read(&mut self, now: Instant) -> Step {
        loop {
            let status = self.buffer.read(READ_BYTES);
            if let Some(step) = self.parse(now) {
                return self.keep_if_open(step);
            }
            match status {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => return Step::Pending,
                ReadStatus::EndOfStream => return self.fail("the target closed the connection"),
                ReadStatus::Error(error) => return self.fail(&error.to_string()),
            }
        }
    }

    /// Marks the connection as not reusable if the target closed it together with its answer. The
    /// socket reports both in one event, so the close would go unnoticed until the next request is
    /// lost on the connection.
    fn keep_if_open(&mut self, step: Step) -> Step {
        match step {
            Step::Done {
                run_id,
                result,
                reusable: true,
            } => Step::Done {
                run_id,
                result,
                reusable: self.is_open(),
            },
            other => other,
        }
    }

    /// Returns whether an idle connection is still open. Bytes that belong to no request count as a
    /// close.
    pub(super) fn is_open(&mut self) -> bool {
        matches!(self.buffer.read(READ_BYTES), ReadStatus::WouldBlock)
    }

    fn parse(&mut self, now: Instant) -> Option<Step> {
        let input = &self.buffer.inp[self.buffer.rd..self.buffer.wr];
        if input.is_empty() {
            return None;
        }
        let Some(running) = self.running.as_mut() else {
            // Bytes that answer no request are a protocol error.
            return Some(Step::Closed);
        };
        let run_id = running.run_id;
        match running.reader.push(input) {
            Ok((used_bytes, None)) => {
                self.buffer.rd += used_bytes;
                None
            }
            Ok((used_bytes, Some(read))) => {
                self.buffer.rd += used_bytes;
                self.running = None;
                self.last_used = now;
                let clean = self.buffer.rd == self.buffer.wr && self.buffer.out.is_empty();
                let result = TargetResult::Answer(Box::new(read.answer));
                Some(Step::Done {
                    run_id,
                    result,
                    reusable: read.keep_alive && clean,
                })
            }
            Err(error) => {
                let result = TargetResult::Broken {
                    reason: error.to_string(),
                };
                Some(Step::Done {
                    run_id,
                    result,
                    reusable: false,
                })
            }
        }
    }

    /// Ends the run in progress after a failure of the connection.
    fn fail(&mut self, reason: &str) -> Step {
        let Some(running) = self.running.take() else {
            return Step::Closed;
        };
        let unsent = self.buffer.out.len() == running.request_bytes;
        let reason = reason.to_owned();
        let result = if unsent {
            TargetResult::NotSent { reason }
        } else {
            TargetResult::Broken { reason }
        };
        Step::Done {
            run_id: running.run_id,
            result,
            reusable: false,
        }
    }

    /// Returns whether the connection stays open after the time of its run has passed.
    pub(super) fn awaits_late_answer(&self) -> bool {
        self.running
            .as_ref()
            .is_some_and(|running| running.awaits_late_answer)
    }

    /// Returns the result of a run whose time has passed.
    pub(super) fn result_at_timeout(&self) -> TargetResult {
        let request_bytes = self
            .running
            .as_ref()
            .map_or(0, |running| running.request_bytes);
        if request_bytes > 0 && self.buffer.out.len() == request_bytes {
            let reason = "the target did not accept the connection in time".to_owned();
            return TargetResult::NotSent { reason };
        }
        TargetResult::TimedOut
    }
}
