//! Nodes to which no link could be opened lately.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::NodeName;

/// By then membership has noticed a dead node; a live one is tried again.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// `SuspectedNodes` remembers until when a node is passed over while others can take its calls.
#[derive(Debug, Default)]
pub struct SuspectedNodes {
    nodes: Vec<(NodeName, Instant)>,
}

impl SuspectedNodes {
    /// `add` begins or prolongs the suspicion of a node.
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

    /// `remove_expired` removes and returns the nodes whose suspicion is over.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<NodeName> {
        let ended = self.nodes.extract_if(.., |(_, until)| *until <= now);
        ended.map(|(node, _)| node).collect()
    }
}
