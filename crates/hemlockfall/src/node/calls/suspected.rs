//! Nodes to which no link could be opened lately.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::NodeName;

/// By then membership has noticed a dead node; a live one is tried again.
const SUSPICION: Duration = Duration::from_secs(2);

/// `Suspected` remembers until when a node is passed over while others can take its calls.
#[derive(Debug, Default)]
pub struct Suspected {
    nodes: Vec<(NodeName, Instant)>,
}

impl Suspected {
    /// `add` begins or prolongs the suspicion of a node.
    pub fn add(&mut self, node: &NodeName, now: Instant) {
        let until = now + SUSPICION;
        match self.nodes.iter_mut().find(|(known, _)| known == node) {
            Some((_, known_until)) => *known_until = until,
            None => self.nodes.push((node.clone(), until)),
        }
    }

    /// `take_ended` removes and returns the nodes whose suspicion is over.
    pub fn take_ended(&mut self, now: Instant) -> Vec<NodeName> {
        let ended = self.nodes.extract_if(.., |(_, until)| *until <= now);
        ended.map(|(node, _)| node).collect()
    }
}
