//! Comparison of the known members of the mesh with another node.
//!
//! An update about a node may be lost with a link, and two nodes that start together may both miss
//! the other in the store's list. So each node periodically compares its members with a node of its
//! data centre, and relays do so with relays of other data centres.

use hemlockfall_core::ids::DataCentreName;
use rand::RngExt;

use crate::balance::Distance;
use crate::edge::frame::Frame;
use crate::edge::frame::MembersDigest;
use crate::model::NodeRecord;
use crate::node::Node;

/// Ticks after the start at which a node compares members: when its first links are established,
/// and when the other nodes have received the records of the nodes that started together with it.
const FIRST_COMPARISON_TICKS: [u64; 3] = [4, 10, 25];
/// Ticks between two later comparisons inside the data centre, and between relays.
const COMPARISON_TICKS: u64 = 50;
const RELAY_COMPARISON_TICKS: u64 = 150;

impl Node {
    pub(super) fn check_members(&mut self) {
        if FIRST_COMPARISON_TICKS.contains(&self.ticks)
            || self.ticks.is_multiple_of(COMPARISON_TICKS)
        {
            self.compare_with(|distance| distance <= Distance::DataCentre);
        }
        if self.ticks.is_multiple_of(RELAY_COMPARISON_TICKS) {
            self.compare_with(|distance| distance > Distance::DataCentre);
        }
    }

    /// Compares members with a random linked node at a selected distance.
    fn compare_with(&mut self, is_selected: impl Fn(Distance) -> bool) {
        let links: Vec<u64> = self
            .peers
            .iter()
            .filter(|(id, peer)| {
                let is_in_data_centre = peer.distance <= Distance::DataCentre;
                peer.is_linked
                    && is_selected(peer.distance)
                    && (is_in_data_centre || self.overlay.remote_relays().contains(id))
            })
            .filter_map(|(_, peer)| peer.link)
            .collect();
        let choice = self.random.random_range(0..links.len().max(1));
        if let Some(link) = links.get(choice) {
            self.compare_members(*link);
        }
    }

    /// Sends the digests of the known members on a link.
    pub(super) fn compare_members(&mut self, link: u64) {
        let digests = self.members_digests();
        self.send_frame(link, &Frame::Members(digests));
    }

    /// Sends the records of all data centres for which the other node's digest differs.
    pub(super) fn handle_members(&mut self, link: u64, digests: &[MembersDigest]) {
        let own = self.members_digests();
        let differs = |data_centre: &DataCentreName| {
            let sum_in = |digests: &[MembersDigest]| {
                let found = digests
                    .iter()
                    .find(|digest| digest.data_centre == *data_centre);
                found.map(|digest| digest.sum)
            };
            sum_in(&own) != sum_in(digests)
        };
        let records: Vec<NodeRecord> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_shared(&peer.record) && differs(&peer.record.data_centre))
            .map(|(_, peer)| peer.record.clone())
            .collect();
        if !records.is_empty() {
            self.send_frame(link, &Frame::Peers(records));
        }
    }

    pub(super) fn handle_peers(&mut self, link: u64, records: Vec<NodeRecord>) {
        for record in records {
            if record.node != self.settings.name {
                self.handle_record(link, record);
            }
        }
    }

    /// Returns the digests of the known members, sorted by data centre.
    fn members_digests(&self) -> Vec<MembersDigest> {
        let mut digests: Vec<MembersDigest> = Vec::new();
        let own = self.own_record();
        let others = self.peers.iter().map(|(_, peer)| &peer.record);
        for record in others.chain([&own]).filter(|record| is_shared(record)) {
            let number = record_hash(record);
            match digests.binary_search_by(|digest| digest.data_centre.cmp(&record.data_centre)) {
                Ok(index) => digests[index].sum = digests[index].sum.wrapping_add(number),
                Err(index) => {
                    let digest = MembersDigest {
                        data_centre: record.data_centre.clone(),
                        sum: number,
                    };
                    digests.insert(index, digest);
                }
            }
        }
        digests
    }
}

/// Returns whether a record is sent to other nodes: not if it stands for a seed without a name, nor
/// if it is only known from the store, where it may be out of date.
fn is_shared(record: &NodeRecord) -> bool {
    record.sequence > 0
}

/// Returns a hash of a node's name and the state of its record.
fn record_hash(record: &NodeRecord) -> u64 {
    let state = record.incarnation.wrapping_mul(31) ^ record.sequence;
    u64::from_le_bytes(crate::store_watch::rank_of(&record.node))
        .wrapping_mul(state.wrapping_mul(2) | 1)
}
