//! Peer lists and roles of a node, derived by membership and used by distribution.

use std::net::SocketAddr;

/// The other nodes and their roles as seen by a node; the node itself is never listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Members of the same data centre.
    pub members: Vec<SocketAddr>,
    /// Members that are witnesses of this node, highest rank first.
    pub witnesses: Vec<SocketAddr>,
    /// Whether this node is a store watcher.
    pub is_watcher: bool,
    /// Relays of the other data centres of the region; empty unless this node is a relay.
    pub data_centre_relays: Vec<SocketAddr>,
    /// Relays of the other regions; empty unless this node is a relay of its region.
    pub region_relays: Vec<SocketAddr>,
    /// For each other region, the relay of `region_relays` with the same rank as this node. Content
    /// is pushed only to these, which bounds the number of copies sent between regions.
    pub region_partners: Vec<SocketAddr>,
    /// Relays of the store's region; empty in that region.
    pub store_region_relays: Vec<SocketAddr>,
    /// Whether this node is in the store's region.
    pub in_store_region: bool,
    /// Rank among the relays of the region, starting at 0; `None` unless this node is a relay.
    pub region_relay_rank: Option<u32>,
    /// Number of relays of the region.
    pub region_relay_count: u32,
}
