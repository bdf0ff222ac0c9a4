//! Makes room for connections at the ports of the node.

use std::time::Duration;

use crate::connection_limits::ConnectionLimits;
use crate::connection_limits::PortLimits;
use crate::eviction;
use crate::eviction::Use;
use crate::node::Node;
use crate::node::Port;

/// File that names the limit of descriptors, and the start of its line.
const LIMITS_FILE: &str = "/proc/self/limits";
const DESCRIPTORS_LINE: &str = "Max open files";
/// Limit of descriptors that is assumed when it cannot be read.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Time after which an accepted link without a hello is closed to make room for another one. A node
/// sends its hello as soon as it is connected.
const HELLO_EXPECTED_AFTER: Duration = Duration::from_millis(250);

/// Returns the limits on connections of this process.
pub(super) fn connection_limits(memory_bytes: usize) -> ConnectionLimits {
    let text = std::fs::read_to_string(LIMITS_FILE).unwrap_or_default();
    let descriptors = text
        .lines()
        .find_map(|line| line.strip_prefix(DESCRIPTORS_LINE))
        .and_then(|values| values.split_whitespace().next()?.parse().ok())
        .unwrap_or(DEFAULT_DESCRIPTORS);
    ConnectionLimits::for_process(descriptors, memory_bytes)
}

impl Node {
    /// Returns whether a connection can be accepted at a port. Among too many, one that is hardly
    /// used is closed.
    pub(super) fn has_room_at(&mut self, port: Port) -> bool {
        let limit = self.port_limits(port).connections;
        match port {
            Port::Callers | Port::Control | Port::Ready | Port::Metrics => {
                self.has_room_for_caller(port, limit)
            }
            Port::Peers => self.has_room_for_link(limit),
        }
    }

    /// Returns the limits on connections at a port.
    pub(super) fn port_limits(&self, port: Port) -> PortLimits {
        let limits = &self.connection_limits;
        match port {
            Port::Callers => limits.callers,
            Port::Control | Port::Ready | Port::Metrics => limits.checks,
            Port::Peers => limits.links,
        }
    }

    fn has_room_for_caller(&mut self, port: Port, limit: usize) -> bool {
        let open = self.callers.iter().filter(|(_, caller)| caller.is_at(port));
        if open.count() < limit {
            return true;
        }
        let Some((id, _)) = self.caller_to_evict(port) else {
            return false;
        };
        // More may have arrived that has not been read yet, for example during a process pause.
        self.resume_caller(id);
        let Some(caller) = self.callers.get(id) else {
            return true;
        };
        let now = self.now;
        let used = caller.current_use(now);
        if eviction::connection_to_evict(std::iter::once((id, used)), now).is_none() {
            return false;
        }
        let kind = match used {
            Use::Idle { .. } => "idle",
            Use::Transfer { .. } | Use::Request => "slow",
        };
        metrics::counter!("hemlockfall_sidecar_idle_callers_closed_total", "kind" => kind)
            .increment(1);
        self.evict_caller(id);
        true
    }

    fn caller_to_evict(&self, port: Port) -> Option<(u64, Use)> {
        let now = self.now;
        let at_port = self.callers.iter().filter(|(_, caller)| caller.is_at(port));
        let uses = at_port.map(|(id, caller)| {
            let used = caller.current_use(now);
            ((id, used), used)
        });
        eviction::connection_to_evict(uses, now)
    }

    fn has_room_for_link(&mut self, limit: usize) -> bool {
        let unnamed = self.links.iter().filter(|(_, link)| link.is_unnamed());
        if unnamed.count() < limit {
            return true;
        }
        let now = self.now;
        // Ids ascend with the time at which links were accepted.
        let oldest = self.links.iter().find(|(_, link)| link.is_unnamed());
        let Some((id, link)) = oldest else {
            return true;
        };
        if link.age(now) < HELLO_EXPECTED_AFTER {
            return false;
        }
        self.link_lost(id, "no hello");
        true
    }
}
