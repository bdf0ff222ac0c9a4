//! The room on the link of this VM.
//!
//! All that a VM sends shares one link. Large answers are sent in parts, as fast as the link takes
//! them and earliest due time first, so that calls, beats and configurations never wait behind
//! more than one part. What waits here is known, so requests that the link cannot answer in time
//! are refused before they run.

use std::time::Duration;

use crate::clock::Time;

/// Answers up to this size are sent in one piece and do not wait.
pub const MAX_UNCHUNKED_BYTES: usize = 8 * 1024;
/// Part of the link that large answers may take, in percent. The rest is for what is small, and
/// for the headers of packets.
const LARGE_ANSWER_PERCENT: u64 = 92;
/// Time on the link that one part takes at most: what is small waits no longer behind it.
const CHUNK_TIME: Duration = Duration::from_millis(8);
/// Time that an idle link may be taken to have stored up: timers fire late, and what the link did
/// not carry meanwhile is made up for.
const MAX_BURST: Duration = CHUNK_TIME;
/// Smallest part; a smaller one costs more in wake-ups than it saves in waiting.
const MIN_CHUNK_BYTES: usize = 4 * 1024;
/// Largest part.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// `TransferId` identifies an answer that is sent in parts.
pub type TransferId = u64;

/// `Chunk` is the next piece of an answer to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The answer.
    pub transfer: TransferId,
    /// Bytes of its body.
    pub bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    id: TransferId,
    due: Time,
    remaining_bytes: usize,
}

/// `Uplink` decides when which part of a large answer is sent.
#[derive(Debug, Default)]
pub struct Uplink {
    /// 0 when the rate of the link is not known; parts are then sent at once.
    bytes_per_s: u64,
    /// Time at which the link has taken all that was sent.
    free_at: Time,
    /// Sorted by due time.
    transfers: Vec<Transfer>,
    /// Bytes of answers that are expected of requests in progress.
    expected_bytes: usize,
}

impl Uplink {
    /// `new` makes an idle link; a rate of 0 means that it is not known.
    #[must_use]
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s * LARGE_ANSWER_PERCENT / 100,
            ..Self::default()
        }
    }

    /// `is_large` tells whether an answer is sent in parts.
    #[must_use]
    pub fn is_large(&self, bytes: usize) -> bool {
        self.bytes_per_s > 0 && bytes > MAX_UNCHUNKED_BYTES
    }

    /// `record_sent` takes in bytes that were sent at once.
    pub fn record_sent(&mut self, bytes: usize, now: Time) {
        self.free_at = self.free_at.max(now.saturating_sub(MAX_BURST)) + self.time_for(bytes);
    }

    /// `begin` adds an answer.
    pub fn begin(&mut self, id: TransferId, bytes: usize, due: Time) {
        let index = self
            .transfers
            .partition_point(|transfer| transfer.due <= due);
        let transfer = Transfer {
            id,
            due,
            remaining_bytes: bytes,
        };
        self.transfers.insert(index, transfer);
    }

    /// `cancel` forgets an answer that nobody waits for.
    pub fn cancel(&mut self, id: TransferId) {
        self.transfers.retain(|transfer| transfer.id != id);
    }

    /// `next_chunk` takes the next part off its answer if the link is free for it.
    pub fn next_chunk(&mut self, now: Time) -> Option<Chunk> {
        if self.free_at > now {
            return None;
        }
        let chunk_bytes = self.chunk_bytes();
        let first = self.transfers.first_mut()?;
        let bytes = first.remaining_bytes.min(chunk_bytes);
        first.remaining_bytes -= bytes;
        let chunk = Chunk {
            transfer: first.id,
            bytes,
        };
        if first.remaining_bytes == 0 {
            self.transfers.remove(0);
        }
        Some(chunk)
    }

    /// `next_at` is when the next part may be sent, if there is one.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        (!self.transfers.is_empty()).then_some(self.free_at)
    }

    /// `add_expected` counts the answer of a request that was taken on.
    pub fn add_expected(&mut self, bytes: usize) {
        self.expected_bytes += bytes;
    }

    /// `remove_expected` takes back what was counted for a request.
    pub fn remove_expected(&mut self, bytes: usize) {
        self.expected_bytes = self.expected_bytes.saturating_sub(bytes);
    }

    /// `busy_for` is the time until the link has taken all answers of the requests in progress.
    #[must_use]
    pub fn busy_for(&self, now: Time) -> Duration {
        let waiting: usize = self
            .transfers
            .iter()
            .map(|transfer| transfer.remaining_bytes)
            .sum();
        self.free_at.saturating_sub(now) + self.time_for(waiting + self.expected_bytes)
    }

    /// `time_for` is the time that the link needs for an answer.
    #[must_use]
    pub fn time_for(&self, bytes: usize) -> Duration {
        if self.bytes_per_s == 0 {
            return Duration::ZERO;
        }
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        Duration::from_micros(bytes.saturating_mul(1_000_000) / self.bytes_per_s)
    }

    fn chunk_bytes(&self) -> usize {
        let micros = u64::try_from(CHUNK_TIME.as_micros()).unwrap_or(u64::MAX);
        let bytes = self.bytes_per_s.saturating_mul(micros) / 1_000_000;
        usize::try_from(bytes)
            .unwrap_or(usize::MAX)
            .clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES)
    }
}
