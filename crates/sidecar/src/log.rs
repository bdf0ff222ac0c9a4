//! Structured log on standard output, one JSON object per line.
//!
//! Lines are buffered and written only when standard output is ready, so that a slow reader
//! never blocks a request. The rate of lines about requests is limited. Lines that exceed the
//! limit or do not fit into the buffer are dropped and counted.

use std::time::Duration;
use std::time::SystemTime;

use hemlockfall_core::units;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use serde_json::Value;

use crate::clock::Time;

/// Buffered bytes from which on new lines are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Largest single write. A pipe that is ready for writing accepts this many bytes without
/// blocking (POSIX `PIPE_BUF`).
const ATOMIC_WRITE_BYTES: usize = 4096;
/// Buffered bytes that are flushed at once instead of at the next tick.
const FLUSH_THRESHOLD_BYTES: usize = 32 * 1024;

/// Category of a line, which determines its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogCategory {
    /// Starts, stops, lost dependencies and decisions on the mesh; limited only by the buffer.
    State,
    /// Refused and failed requests; may use the whole limit.
    Failure,
    /// Served requests; may use half of the limit.
    Success,
}

/// Buffered log with a rate limit.
#[derive(Debug)]
pub struct Log {
    node: String,
    buffer: Vec<u8>,
    lines_per_s: u32,
    window_start: Time,
    window_lines: u32,
    dropped: u64,
}

impl Log {
    /// Creates the log of a node.
    #[must_use]
    pub fn new(node: &str, lines_per_s: u32) -> Self {
        Self {
            node: node.to_owned(),
            buffer: Vec::new(),
            lines_per_s,
            window_start: Duration::ZERO,
            window_lines: 0,
            dropped: 0,
        }
    }

    /// Returns whether a line may be written now, and counts the line as written or dropped.
    pub fn admits(&mut self, category: LogCategory, now: Time) -> bool {
        if now.saturating_sub(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.window_lines = 0;
        }
        let limit = match category {
            LogCategory::State => u32::MAX,
            LogCategory::Failure => self.lines_per_s,
            LogCategory::Success => self.lines_per_s / 2,
        };
        let has_room = self.buffer.len() < MAX_BUFFERED_BYTES;
        if self.window_lines >= limit || !has_room {
            self.dropped += 1;
            metrics::counter!("hemlockfall_sidecar_log_lines_dropped_total").increment(1);
            return false;
        }
        self.window_lines += 1;
        true
    }

    /// Appends a line to the buffer, and flushes if the buffer is large.
    pub fn write(&mut self, event: &str, mut fields: Value) {
        if let Some(object) = fields.as_object_mut() {
            object.insert("event".to_owned(), event.into());
            object.insert("node".to_owned(), self.node.as_str().into());
            let now_unix_ms = units::unix_ms(SystemTime::now());
            object.insert("time_unix_ms".to_owned(), now_unix_ms.into());
            if self.dropped > 0 {
                object.insert("dropped_lines".to_owned(), self.dropped.into());
            }
        }
        // Writing to a vector cannot fail.
        if serde_json::to_writer(&mut self.buffer, &fields).is_ok() {
            self.dropped = 0;
        }
        self.buffer.push(b'\n');
        if self.buffer.len() >= FLUSH_THRESHOLD_BYTES {
            self.flush();
        }
    }

    /// Writes as much of the buffer as standard output accepts without blocking.
    pub fn flush(&mut self) {
        let output = std::io::stdout();
        while !self.buffer.is_empty() {
            let mut descriptors = [PollFd::new(&output, PollFlags::OUT)];
            let no_wait = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            if !matches!(
                rustix::event::poll(&mut descriptors, Some(&no_wait)),
                Ok(1..)
            ) {
                return;
            }
            let chunk = self.buffer.len().min(ATOMIC_WRITE_BYTES);
            let Ok(written) = rustix::io::write(&output, &self.buffer[..chunk]) else {
                // The reader has closed the output. The buffer is discarded and counted as one
                // dropped line.
                metrics::counter!("hemlockfall_sidecar_log_lines_dropped_total").increment(1);
                self.buffer.clear();
                return;
            };
            self.buffer.drain(..written);
        }
    }
}
