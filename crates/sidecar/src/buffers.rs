//! Limits on the memory of messages that are being read, in progress or not sent yet.
//!
//! A peer in trouble may send bytes without end. Each message has a limit of its own, but a VM has
//! little memory, and several large messages at once could exceed it. So all connections share one
//! budget; when it is exceeded, the connections that hold the most are closed.
//!
//! A larger budget bounds all that the process holds, also unsent answers. Over it, the callers that
//! would take longest to read what is unsent are disconnected. Callers that have stopped reading are
//! also disconnected when another one's request finds no memory.

use std::cmp::Reverse;
use std::time::Duration;

/// Share of the process's memory that messages being read may use, in percent. Vectors that grow
/// hold up to twice their content for a moment, and complete messages are copied when forwarded.
const BUDGET_PERCENT: usize = 12;
/// Memory from which the largest answer is accepted: the budget then holds two of them.
const LARGE_MEMORY_BYTES: usize = 512 * MEGABYTE;
/// Share of the process's memory that all messages may use, in percent. The rest is for the node's
/// own state, for copies of messages that are being forwarded, and for freed memory that the
/// allocator keeps.
const HELD_PERCENT: usize = 40;
/// Share of that budget beyond which no further long work is begun, in percent.
const LONG_WORK_PERCENT: usize = 75;
/// Budget when the memory of the process is unknown.
const DEFAULT_BUDGET_BYTES: usize = 256 * MEGABYTE;
const DEFAULT_HELD_BYTES: usize = 1024 * MEGABYTE;
/// Largest body of an answer, however large the budget is.
const MAX_ANSWER_BYTES: usize = 64 * MEGABYTE;
/// Share of the budget that one answer may use, in percent.
const ANSWER_PERCENT: usize = 50;
const MEGABYTE: usize = 1024 * 1024;
/// Time after which, and rate below which, a caller hardly reads its unsent output.
const STALLED_AFTER: Duration = Duration::from_secs(1);
const STALLED_BYTES_PER_S: usize = 16 * 1024;

/// Budget of all connections, and the limit for one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Largest memory of all messages that are being read, in bytes.
    pub budget_bytes: usize,
    /// Largest body of one answer, in bytes.
    pub answer_bytes: usize,
    /// Largest memory of all messages, in bytes.
    pub held_bytes: usize,
}

/// Unsent output of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsentOutput<K> {
    /// The connection.
    pub connection: K,
    /// Unsent bytes.
    pub bytes: usize,
    /// Bytes that the caller has recently taken in one second.
    pub bytes_per_s: usize,
    /// Time since which there is unsent output.
    pub age: Duration,
}

impl<K> UnsentOutput<K> {
    /// Returns whether the caller hardly reads.
    fn is_stalled(&self) -> bool {
        self.bytes > 0 && self.bytes_per_s < STALLED_BYTES_PER_S && self.age >= STALLED_AFTER
    }

    /// Returns the time until the caller will have taken all.
    fn drain_time(&self) -> Duration {
        let ms = self.bytes.saturating_mul(1000) / self.bytes_per_s.max(1);
        Duration::from_millis(u64::try_from(ms).unwrap_or(u64::MAX))
    }
}

impl BufferLimits {
    /// Returns the limits for a process with some memory; 0 when it is unknown.
    #[must_use]
    pub fn for_memory(memory_bytes: usize) -> Self {
        let budget_bytes = match memory_bytes {
            0 => DEFAULT_BUDGET_BYTES,
            LARGE_MEMORY_BYTES.. => (2 * MAX_ANSWER_BYTES).max(memory_bytes / 100 * BUDGET_PERCENT),
            bytes => bytes / 100 * BUDGET_PERCENT,
        };
        let held_bytes = match memory_bytes {
            0 => DEFAULT_HELD_BYTES,
            bytes => bytes / 100 * HELD_PERCENT,
        };
        Self {
            budget_bytes,
            answer_bytes: MAX_ANSWER_BYTES.min(budget_bytes * ANSWER_PERCENT / 100),
            held_bytes,
        }
    }

    /// Returns the memory beyond which no further long work is begun.
    #[must_use]
    pub fn long_work_bytes(&self) -> usize {
        self.held_bytes / 100 * LONG_WORK_PERCENT
    }

    /// Returns whether long work may begin that needs `more_bytes` beyond what is held or expected.
    #[must_use]
    pub fn allows_long_work(&self, held_bytes: usize, more_bytes: usize) -> bool {
        // A single message within the limits is served however large it is.
        let budget_bytes = self.long_work_bytes();
        held_bytes <= budget_bytes / 2 || held_bytes + more_bytes <= budget_bytes
    }

    /// Returns the same for a request whose caller has further ones, or unread answers, on its
    /// connection. Such callers leave half of the memory to requests of others.
    #[must_use]
    pub fn allows_pipelined_work(&self, held_bytes: usize, more_bytes: usize) -> bool {
        let budget_bytes = self.long_work_bytes() / 2;
        held_bytes <= budget_bytes / 2 || held_bytes + more_bytes <= budget_bytes
    }
}

/// Returns the connections to close, largest first, so that the others keep to the budget. A holder
/// is a connection and the bytes that it holds.
#[must_use]
pub fn connections_to_close<K: Copy>(
    mut holders: Vec<(K, usize)>,
    budget_bytes: usize,
) -> Vec<(K, usize)> {
    let mut held_bytes: usize = holders.iter().map(|(_, bytes)| bytes).sum();
    if held_bytes <= budget_bytes {
        return Vec::new();
    }
    holders.sort_by_key(|(_, bytes)| Reverse(*bytes));
    holders
        .into_iter()
        .take_while(|(_, bytes)| {
            let is_exceeded = held_bytes > budget_bytes;
            held_bytes -= bytes;
            is_exceeded
        })
        .collect()
}

/// Returns the callers' connections to close that hardly read, so that `more_bytes` fit into
/// the budget beside what is held.
#[must_use]
pub fn stalled_readers_to_close<K: Copy>(
    mut outputs: Vec<UnsentOutput<K>>,
    held_bytes: usize,
    more_bytes: usize,
    budget_bytes: usize,
) -> Vec<UnsentOutput<K>> {
    outputs.retain(UnsentOutput::is_stalled);
    slow_readers_to_close(outputs, held_bytes + more_bytes, budget_bytes)
}

/// Returns the callers' connections to close, the slowest first, so that what is held keeps to the
/// budget. Nothing is freed by closing connections without unsent output.
#[must_use]
pub fn slow_readers_to_close<K: Copy>(
    mut outputs: Vec<UnsentOutput<K>>,
    mut held_bytes: usize,
    budget_bytes: usize,
) -> Vec<UnsentOutput<K>> {
    if held_bytes <= budget_bytes {
        return Vec::new();
    }
    outputs.retain(|output| output.bytes > 0);
    outputs.sort_by_key(|output| Reverse((output.drain_time(), output.bytes)));
    outputs
        .into_iter()
        .take_while(|output| {
            let is_exceeded = held_bytes > budget_bytes;
            held_bytes = held_bytes.saturating_sub(output.bytes);
            is_exceeded
        })
        .collect()
}
