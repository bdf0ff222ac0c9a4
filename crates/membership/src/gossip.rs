//! Queue of changed records that have to be sent.

use hemlockfall_core::ids::NodeName;

/// Number of queued records that one message carries at most.
pub const RECORDS_PER_DATAGRAM: usize = 8;
/// Maximum length of the queue; table comparison covers the changes that are dropped.
pub const MAX_QUEUED: usize = 2_048;

/// Sends of a change per unit of the binary logarithm of the number of members.
const SENDS_PER_LOG2: u32 = 3;

struct Queued {
    node: NodeName,
    sends: u32,
}

/// Names of the nodes whose records changed, the least often sent first.
#[derive(Default)]
pub struct GossipQueue {
    queued: Vec<Queued>,
}

impl GossipQueue {
    /// Queues a changed record and resets its number of sends.
    pub fn push(&mut self, node: &NodeName) {
        self.queued.retain(|queued| queued.node != *node);
        self.queued.insert(
            0,
            Queued {
                node: node.clone(),
                sends: 0,
            },
        );
        self.queued.truncate(MAX_QUEUED);
    }

    /// Returns the next names and counts them as sent; a name is removed after `limit` sends.
    pub fn next_batch(&mut self, limit: u32) -> Vec<NodeName> {
        let count = RECORDS_PER_DATAGRAM.min(self.queued.len());
        let mut batch: Vec<Queued> = self.queued.drain(..count).collect();
        let names = batch.iter().map(|queued| queued.node.clone()).collect();
        for queued in &mut batch {
            queued.sends += 1;
        }
        batch.retain(|queued| queued.sends < limit);
        for queued in batch {
            let index = self
                .queued
                .partition_point(|other| other.sends <= queued.sends);
            self.queued.insert(index, queued);
        }
        names
    }

    /// Returns whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

/// Returns how often a change is sent in a data centre of `members` nodes.
#[must_use]
pub fn send_limit(members: usize) -> u32 {
    let log2 = (members + 1).ilog2() + 1;
    SENDS_PER_LOG2 * log2
}
