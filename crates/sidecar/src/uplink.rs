//! Scheduling of large answers on the VM's uplink.
//!
//! Everything that a VM sends shares one uplink. Large answers are sent in chunks at the rate of
//! the uplink, earliest due time first, so that requests, heartbeats and configurations wait for
//! one chunk at most. The bytes still to be sent are counted, so that requests whose answers the
//! uplink cannot send in time are refused before they run.

use std::time::Duration;

use crate::clock::Time;

/// Largest answer that is sent in one piece, without waiting for the uplink.
pub const MAX_UNCHUNKED_BYTES: usize = 8 * 1024;
/// The same when the rate of the uplink is unknown. Chunks then only limit what waits on a link.
const MAX_UNCHUNKED_UNKNOWN_BYTES: usize = 1024 * 1024;
/// Share of the uplink's rate that large answers may use, in percent. The rest is for small
/// messages and for the headers of packets.
const LARGE_ANSWER_PERCENT: u64 = 92;
/// Time that one chunk may occupy the uplink, which bounds how long a small message waits for it.
const CHUNK_TIME: Duration = Duration::from_millis(8);
/// Largest idle time of the uplink that later chunks may catch up on. Timers fire late, and the
/// uplink is idle meanwhile.
const MAX_BURST: Duration = CHUNK_TIME;
/// Smallest chunk; smaller ones cost more in wake-ups than they save in waiting.
const MIN_CHUNK_BYTES: usize = 4 * 1024;
/// Largest chunk.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Id of an answer that is sent in chunks.
pub type TransferId = u64;

/// Next piece of an answer to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Answer that the chunk belongs to.
    pub transfer: TransferId,
    /// Number of bytes of the body to send.
    pub bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    id: TransferId,
    due: Time,
    remaining_bytes: usize,
}

/// Scheduler that decides when the next chunk is sent, and of which answer.
#[derive(Debug, Default)]
pub struct Uplink {
    /// Rate for large answers; 0 when the rate of the uplink is unknown.
    bytes_per_s: u64,
    /// Time at which the uplink will have sent everything handed to it.
    free_at: Time,
    /// Sorted by due time.
    transfers: Vec<Transfer>,
    /// Expected size of the large answers of requests in progress.
    expected_bytes: usize,
}

impl Uplink {
    /// Creates the scheduler of an idle uplink; a rate of 0 means that it is unknown.
    #[must_use]
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s * LARGE_ANSWER_PERCENT / 100,
            ..Self::default()
        }
    }

    /// Returns whether an answer of this size is sent in chunks.
    #[must_use]
    pub fn is_large(&self, bytes: usize) -> bool {
        let limit_bytes = if self.bytes_per_s > 0 {
            MAX_UNCHUNKED_BYTES
        } else {
            MAX_UNCHUNKED_UNKNOWN_BYTES
        };
        bytes > limit_bytes
    }

    /// Counts bytes that were handed to the uplink.
    pub fn record_sent(&mut self, bytes: usize, now: Time) {
        self.free_at = self.free_at.max(now.saturating_sub(MAX_BURST)) + self.time_for(bytes);
    }

    /// Adds an answer that is to be sent in chunks.
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

    /// Removes an answer that is no longer wanted.
    pub fn cancel(&mut self, id: TransferId) {
        self.transfers.retain(|transfer| transfer.id != id);
    }

    /// Returns the next chunk if the uplink is free for it, and counts it off its answer.
    pub fn next_chunk(&mut self, now: Time) -> Option<Chunk> {
        self.next_chunk_of(now, |_| true)
    }

    /// Does the same for the answers that can be sent at present.
    pub fn next_chunk_of(
        &mut self,
        now: Time,
        can_send: impl Fn(TransferId) -> bool,
    ) -> Option<Chunk> {
        if self.free_at > now {
            return None;
        }
        let chunk_bytes = self.chunk_bytes();
        let index = self
            .transfers
            .iter()
            .position(|transfer| can_send(transfer.id))?;
        let first = &mut self.transfers[index];
        let bytes = first.remaining_bytes.min(chunk_bytes);
        first.remaining_bytes -= bytes;
        let chunk = Chunk {
            transfer: first.id,
            bytes,
        };
        if first.remaining_bytes == 0 {
            self.transfers.remove(index);
        }
        Some(chunk)
    }

    /// Returns the time at which the next chunk may be sent, if there is one.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        self.next_at_of(|_| true)
    }

    /// Does the same for the answers that can be sent at present.
    #[must_use]
    pub fn next_at_of(&self, can_send: impl Fn(TransferId) -> bool) -> Option<Time> {
        self.transfers
            .iter()
            .any(|transfer| can_send(transfer.id))
            .then_some(self.free_at)
    }

    /// Adds the expected size of the answer of an admitted request.
    pub fn add_expected(&mut self, bytes: usize) {
        self.expected_bytes += bytes;
    }

    /// Subtracts the expected size that was added for a request.
    pub fn remove_expected(&mut self, bytes: usize) {
        self.expected_bytes = self.expected_bytes.saturating_sub(bytes);
    }

    /// Returns the time until the uplink has sent all answers of the requests in progress.
    #[must_use]
    pub fn busy_for(&self, now: Time) -> Duration {
        let waiting: usize = self
            .transfers
            .iter()
            .map(|transfer| transfer.remaining_bytes)
            .sum();
        self.free_at.saturating_sub(now) + self.time_for(waiting + self.expected_bytes)
    }

    /// Returns the time that the uplink needs for a number of bytes; zero when its rate is unknown.
    #[must_use]
    pub fn time_for(&self, bytes: usize) -> Duration {
        if self.bytes_per_s == 0 {
            return Duration::ZERO;
        }
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        Duration::from_micros(bytes.saturating_mul(1_000_000) / self.bytes_per_s)
    }

    fn chunk_bytes(&self) -> usize {
        if self.bytes_per_s == 0 {
            return MAX_CHUNK_BYTES;
        }
        let micros = u64::try_from(CHUNK_TIME.as_micros()).unwrap_or(u64::MAX);
        let bytes = self.bytes_per_s.saturating_mul(micros) / 1_000_000;
        usize::try_from(bytes)
            .unwrap_or(usize::MAX)
            .clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES)
    }
}
