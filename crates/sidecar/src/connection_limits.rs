//! Limits on the connections that are accepted at each port, by the process's limit of descriptors.

/// Part of the descriptors that callers leave free for the other ports, links, the store and the
/// target, and the least number of them.
const RESERVED_PART: usize = 4;
const MIN_RESERVED: usize = 48;
/// Least number of connections that callers may open.
const MIN_CALLERS: usize = 8;
/// Largest numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
}

impl ConnectionLimits {
    /// Returns the limits for a process with some limit of descriptors.
    #[must_use]
    pub fn for_descriptors(descriptors: usize) -> Self {
        let reserved = MIN_RESERVED.max(descriptors / RESERVED_PART);
        Self {
            callers: descriptors.saturating_sub(reserved).max(MIN_CALLERS),
        }
    }
}
