//! Limits on the connections that are accepted at each port, and on the input that waits in the kernel
//! for each of them.
//!
//! Input that has been received and not read yet belongs to the memory of the VM. A node that stops
//! reading a caller leaves it to the kernel, whose defaults allow megabytes for each connection. So
//! each receive buffer has a fixed size, and the number of connections, accepted ones and those that
//! wait to be accepted, follows from the process's limit of descriptors and from its memory.

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
const MAX_UNNAMED_LINKS: usize = 48;
/// Least number of connections at a port.
const MIN_CONNECTIONS: usize = 2;

/// Share of the memory for the unread input of callers, in percent.
const CALLERS_PERCENT: usize = 16;
/// Share of the memory for the unread input of links whose node is not known yet, in percent.
const LINKS_PERCENT: usize = 4;
/// Memory that is assumed when it is unknown, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 1024 * 1024 * 1024;
/// Smallest and largest receive buffer of a caller's connection, in bytes.
const MIN_CALLER_BYTES: usize = 8 * 1024;
const MAX_CALLER_BYTES: usize = 256 * 1024;
/// Smallest and largest receive buffer of a link, of a connection to the target and of one to the
/// store, in bytes.
const MIN_LINK_BYTES: usize = 8 * 1024;
const MAX_LINK_BYTES: usize = 256 * 1024;
/// Receive buffer of a connection for checks and heartbeats, which are small, in bytes.
const CHECK_BYTES: usize = 4 * 1024;
/// Input that the kernel accepts, relative to the size that is set: it doubles the size.
const KERNEL_FACTOR: usize = 2;
/// Most connections of callers that wait in the kernel, and their part of all connections.
const MAX_CALLER_BACKLOG: usize = 1024;
const CALLER_BACKLOG_PART: usize = 4;
/// Connections at the other ports that wait in the kernel.
const LINK_BACKLOG: usize = 48;
const CHECK_BACKLOG: usize = 32;

/// Limits of the connections at one kind of port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortLimits {
    /// Largest number of accepted connections.
    pub connections: usize,
    /// Largest number of connections that wait to be accepted.
    pub backlog: usize,
    /// Receive buffer of each connection, in bytes.
    pub receive_bytes: usize,
}

impl PortLimits {
    /// Returns the most input that waits in the kernel, in bytes.
    #[must_use]
    pub fn max_unread_bytes(&self) -> usize {
        (self.connections + self.backlog) * self.receive_bytes * KERNEL_FACTOR
    }
}

/// Limits on all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: PortLimits,
    /// Connections to each of the ports for heartbeats, for readiness checks and for metrics.
    pub checks: PortLimits,
    /// Accepted links; only those whose node is not known yet are limited in number.
    pub links: PortLimits,
}

impl ConnectionLimits {
    /// Returns the limits for a process with some limit of descriptors and some memory; 0 when the
    /// memory is unknown.
    #[must_use]
    pub fn for_process(descriptors: usize, memory_bytes: usize) -> Self {
        let memory_bytes = match memory_bytes {
            0 => DEFAULT_MEMORY_BYTES,
            bytes => bytes,
        };
        let reserved = MIN_RESERVED.max(descriptors / RESERVED_PART);
        let callers = descriptors.saturating_sub(reserved).max(MIN_CALLERS);
        Self {
            callers: caller_limits(callers, memory_bytes / 100 * CALLERS_PERCENT),
            checks: PortLimits {
                connections: (reserved / CHECKS_PART).clamp(MIN_CONNECTIONS, MAX_CHECKS),
                backlog: CHECK_BACKLOG,
                receive_bytes: CHECK_BYTES,
            },
            links: link_limits(reserved, memory_bytes / 100 * LINKS_PERCENT),
        }
    }
}

/// Returns the limits of callers for whom there are descriptors and memory for unread input.
fn caller_limits(most: usize, unread_bytes: usize) -> PortLimits {
    let fitting = unread_bytes / (MIN_CALLER_BYTES * KERNEL_FACTOR);
    let backlog = MAX_CALLER_BACKLOG.min(fitting / CALLER_BACKLOG_PART).max(1);
    let connections = most.min(fitting.saturating_sub(backlog)).max(MIN_CALLERS);
    let each = unread_bytes / (connections + backlog) / KERNEL_FACTOR;
    PortLimits {
        connections,
        backlog,
        receive_bytes: each.clamp(MIN_CALLER_BYTES, MAX_CALLER_BYTES),
    }
}

fn link_limits(reserved: usize, unread_bytes: usize) -> PortLimits {
    let connections = (reserved / UNNAMED_LINKS_PART).clamp(MIN_CONNECTIONS, MAX_UNNAMED_LINKS);
    let each = unread_bytes / (connections + LINK_BACKLOG) / KERNEL_FACTOR;
    PortLimits {
        connections,
        backlog: LINK_BACKLOG,
        receive_bytes: each.clamp(MIN_LINK_BYTES, MAX_LINK_BYTES),
    }
}
