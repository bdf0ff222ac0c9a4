//! Choice of a connection to close when a port has as many as it may have and another one waits.
//!
//! Callers that are not controlled may keep connections without using them: idle, with requests that
//! they never complete, or with answers that they never read. One of these makes room; a connection
//! that transfers at a useful rate, or whose request is in progress, is kept.

use std::cmp::Reverse;
use std::time::Duration;

use crate::clock::Time;

/// Idle time after which a connection is closed to make room for another one.
const EVICTABLE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time after which a transfer that has not ended counts by its rate. Most callers send a request at
/// once.
const MEASURED_AFTER: Duration = Duration::from_millis(500);
/// Rate from which a transfer is kept, in bytes per second.
const USEFUL_BYTES_PER_S: usize = 16 * 1024;

/// What a connection is used for at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// For nothing.
    Idle {
        /// End of the last use.
        since: Time,
    },
    /// A request is being received, or an answer is being sent.
    Transfer {
        /// Start of the transfer, or its last progress when it is an answer.
        since: Time,
        /// Rate of the transfer.
        bytes_per_s: usize,
    },
    /// A request is in progress.
    Request,
}

impl Use {
    /// Returns the rank of a connection that may be closed: the lowest is closed first.
    fn rank(self, now: Time) -> Option<(usize, Reverse<Duration>)> {
        match self {
            Self::Idle { since } => {
                let time = now.saturating_sub(since);
                (time >= EVICTABLE_IDLE_TIME).then_some((0, Reverse(time)))
            }
            Self::Transfer { since, bytes_per_s } => {
                let time = now.saturating_sub(since);
                let is_evictable = time >= MEASURED_AFTER && bytes_per_s < USEFUL_BYTES_PER_S;
                // An idle connection is closed first, since its caller loses nothing.
                is_evictable.then_some((1 + bytes_per_s, Reverse(time)))
            }
            Self::Request => None,
        }
    }
}

/// Returns the connection to close: the one that has been idle for longest, otherwise the one with
/// the lowest rate; `None` if all of them are in use.
pub fn connection_to_evict<K>(connections: impl Iterator<Item = (K, Use)>, now: Time) -> Option<K> {
    connections
        .filter_map(|(connection, used)| Some((used.rank(now)?, connection)))
        .min_by_key(|(rank, _)| *rank)
        .map(|(_, connection)| connection)
}
