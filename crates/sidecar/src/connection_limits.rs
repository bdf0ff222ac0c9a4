//! Limits on the connections that are accepted at each port, by the process's limit of descriptors.

/// Part of the descriptors that callers leave free for the other ports, links, the store and the
/// target, and the least number of them.
const RESERVED_PART: usize = 4;
const MIN_RESERVED: usize = 48;
/// Least number of connections that callers may open.
const MIN_CALLERS: usize = 8;
/// Part of the reserved descriptors for each port of checks and heartbeats, and the most of them.
/// Each of these ports has a single user that opens one connection at a time.
const CHECKS_PART: usize = 12;
const MAX_CHECKS: usize = 64;
/// Part of the reserved descriptors for accepted links whose node has not sent its hello yet, and the
/// most of them.
const UNNAMED_LINKS_PART: usize = 8;
const MAX_UNNAMED_LINKS: usize = 128;
/// Least number of connections at a port.
const MIN_CONNECTIONS: usize = 2;

/// Largest numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to each of the ports for heartbeats, for readiness checks and for metrics.
    pub checks: usize,
    /// Accepted links whose node is not known yet.
    pub unnamed_links: usize,
}

impl ConnectionLimits {
    /// Returns the limits for a process with some limit of descriptors.
    #[must_use]
    pub fn for_descriptors(descriptors: usize) -> Self {
        let reserved = MIN_RESERVED.max(descriptors / RESERVED_PART);
        Self {
            callers: descriptors.saturating_sub(reserved).max(MIN_CALLERS),
            checks: (reserved / CHECKS_PART).clamp(MIN_CONNECTIONS, MAX_CHECKS),
            unnamed_links: (reserved / UNNAMED_LINKS_PART)
                .clamp(MIN_CONNECTIONS, MAX_UNNAMED_LINKS),
        }
    }
}
