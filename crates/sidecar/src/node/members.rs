//! Comparing the members of the mesh with another node.
//!
//! A node reads the list of nodes from the store once, when it starts. Two nodes that start
//! together may both miss the other in it, and the news of a node may be lost with a link, so each
//! node compares notes from time to time.

use rand::RngExt;

use crate::edge::frame::Frame;
use crate::following::rank_of;
use crate::model::NodeRecord;
use crate::node::Node;

/// Rounds after the start at which a node compares notes: when its first links stand, and when
/// the nodes that started with it are known to others.
const FIRST_ROUNDS: [u64; 2] = [8, 25];
/// Rounds between two later comparisons.
const ROUNDS: u64 = 50;

impl Node {
    /// Compares notes with one of the nearest nodes, as bytes between data centres are charged.
    pub(super) fn check_members(&mut self) {
        let is_due = FIRST_ROUNDS.contains(&self.rounds) || self.rounds.is_multiple_of(ROUNDS);
        if !is_due {
            return;
        }
        let linked = || self.peers.iter().filter(|(_, peer)| peer.is_linked);
        let Some(nearest) = linked().map(|(_, peer)| peer.distance).min() else {
            return;
        };
        let links: Vec<u64> = linked()
            .filter(|(_, peer)| peer.distance == nearest)
            .filter_map(|(_, peer)| peer.link)
            .collect();
        let digest = self.members_digest();
        let choice = self.random.random_range(0..links.len().max(1));
        if let Some(link) = links.get(choice) {
            self.tell(*link, &Frame::Members { digest });
        }
    }

    pub(super) fn take_members(&mut self, link: u64, digest: u64) {
        if digest == self.members_digest() {
            return;
        }
        let records: Vec<NodeRecord> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_linked)
            .map(|(_, peer)| peer.record.clone())
            .collect();
        self.tell(link, &Frame::Peers(records));
    }

    pub(super) fn take_peers(&mut self, records: Vec<NodeRecord>) {
        for record in records {
            if record.node != self.settings.name {
                self.take_record(record);
            }
        }
    }

    /// Sums up the members and the state of their records, in any order.
    fn members_digest(&self) -> u64 {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_linked)
            .map(|(_, peer)| number_of(&peer.record))
            .fold(number_of(&self.own_record()), u64::wrapping_add)
    }
}

fn number_of(record: &NodeRecord) -> u64 {
    let state = record.incarnation.wrapping_mul(31) ^ record.sequence;
    u64::from_le_bytes(rank_of(&record.node)).wrapping_mul(state.wrapping_mul(2) | 1)
}
