//! Queue of changed records that still have to be sent.

use hemlockfall_core::ids::NodeName;

/// `RECORDS_PER_DATAGRAM` is the number of records that travel with a message.
pub const RECORDS_PER_DATAGRAM: usize = 8;
/// `MAX_QUEUED` bounds the queue; what it drops is repaired by comparing tables.
pub const MAX_QUEUED: usize = 2_048;

/// A change is sent this many times the binary logarithm of the number of members.
const SENDS_PER_LOG2: u32 = 3;

struct Queued {
    node: NodeName,
    sends: u32,
}

/// `GossipQueue` names the nodes whose records changed, the least sent first.
#[derive(Default)]
pub struct GossipQueue {
    queued: Vec<Queued>,
}

impl GossipQueue {
    /// `push` queues a changed record, starting its count anew.
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

    /// `next_batch` returns the next names and counts them as sent; a name is dropped after
    /// `limit` sends.
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

    /// `is_empty` tells whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

/// `send_limit` returns how often a change is sent in a group of a size.
#[must_use]
pub fn send_limit(members: usize) -> u32 {
    let log2 = (members + 1).ilog2() + 1;
    SENDS_PER_LOG2 * log2
}
