//! Member lists and roles that membership derives and distribution works with.

use std::net::SocketAddr;

/// `Peers` are the other nodes as seen by one node; it never lists the node itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Members of the own data centre.
    pub members: Vec<SocketAddr>,
    /// Members in descending rank as witnesses of this node.
    pub witnesses: Vec<SocketAddr>,
    /// Whether this node keeps a watch on the store.
    pub is_watcher: bool,
    /// Relays of the other data centres of the region; empty unless this node is a relay.
    pub data_centre_relays: Vec<SocketAddr>,
    /// Relays of the other regions; empty unless this node is a relay of its region.
    pub region_relays: Vec<SocketAddr>,
    /// Of `region_relays`, one per region: the one with the same rank as this node. Content is
    /// pushed only to them, which bounds the copies on the link between regions.
    pub region_partners: Vec<SocketAddr>,
    /// Relays of the store's region; empty in that region.
    pub store_region_relays: Vec<SocketAddr>,
    /// Whether the own region is the store's region.
    pub in_store_region: bool,
    /// Rank among the relays of the region, 0 for the first; `None` for other nodes.
    pub region_relay_rank: Option<u32>,
    /// Number of relays of the region.
    pub region_relay_count: u32,
}
