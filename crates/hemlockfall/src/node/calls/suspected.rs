//! Nodes to which a message could not be sent recently.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::NodeName;

/// Time for which a node is suspected. After it, membership has detected a failed node, and a live
/// one is tried again.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// Suspected nodes and the time at which each suspicion ends. A suspected node gets no calls while
/// other nodes can run them.
#[derive(Debug, Default)]
pub struct SuspectedNodes {
    nodes: Vec<(NodeName, Instant)>,
}

impl SuspectedNodes {
    /// Starts or extends the suspicion of a node.
    pub fn add(&mut self, node: &NodeName, now: Instant) {
        let until = now + SUSPICION_TIME;
        match self
            .nodes
            .iter_mut()
            .find(|(suspected, _)| suspected == node)
        {
            Some((_, suspected_until)) => *suspected_until = until,
            None => self.nodes.push((node.clone(), until)),
        }
    }

    /// Removes and returns the nodes whose suspicion has ended.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<NodeName> {
        let ended = self.nodes.extract_if(.., |(_, until)| *until <= now);
        ended.map(|(node, _)| node).collect()
    }
}
