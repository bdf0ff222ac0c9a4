//! Limit on the memory of messages that are being read.
//!
//! A peer in trouble may send bytes without end. Each message has a limit of its own, but a VM has
//! little memory, and several large messages at once could exceed it. So all connections share one
//! budget; when it is exceeded, the connections that hold the most are closed.

use std::cmp::Reverse;

/// Share of the process's memory that messages being read may use, in percent. Vectors that grow
/// hold up to twice their content for a moment, and complete messages are copied when forwarded.
const BUDGET_PERCENT: usize = 12;
/// Budget when the memory of the process is unknown.
const DEFAULT_BUDGET_BYTES: usize = 256 * MEGABYTE;
/// Largest body of an answer, however large the budget is.
const MAX_ANSWER_BYTES: usize = 64 * MEGABYTE;
/// Share of the budget that one answer may use, in percent.
const ANSWER_PERCENT: usize = 50;
const MEGABYTE: usize = 1024 * 1024;

/// Budget of all connections, and the limit for one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Largest memory of all messages that are being read, in bytes.
    pub budget_bytes: usize,
    /// Largest body of one answer, in bytes.
    pub answer_bytes: usize,
}

impl BufferLimits {
    /// Returns the limits for a process with some memory; 0 when it is unknown.
    #[must_use]
    pub fn for_memory(memory_bytes: usize) -> Self {
        let budget_bytes = match memory_bytes {
            0 => DEFAULT_BUDGET_BYTES,
            bytes => bytes / 100 * BUDGET_PERCENT,
        };
        Self {
            budget_bytes,
            answer_bytes: MAX_ANSWER_BYTES.min(budget_bytes / 100 * ANSWER_PERCENT),
        }
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
