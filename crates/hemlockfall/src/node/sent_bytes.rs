//! Metrics of sent control bytes by the network distance of the receiver.

use std::net::SocketAddr;

use hemlockfall_core::endpoint::EndpointRecord;
use metrics::Counter;

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Bytes of the IPv4 and TCP headers of a segment, with TCP timestamps.
const SEGMENT_HEADER_BYTES: usize = 52;
/// Payload of a full segment with the standard Ethernet MTU.
const SEGMENT_BYTES: usize = 1_448;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    DataCentre,
    Region,
    OtherRegion,
}

struct Peer {
    address: SocketAddr,
    distance: Distance,
}

/// Counters of the control bytes that this node sends.
pub struct SentBytes {
    /// Sorted by address.
    peers: Vec<Peer>,
    total: Counter,
    region: Counter,
    other_region: Counter,
}

impl Default for SentBytes {
    fn default() -> Self {
        Self {
            peers: Vec::new(),
            total: metrics::counter!("hemlockfall_control_sent_bytes_total"),
            region: metrics::counter!("hemlockfall_control_sent_to_data_centres_bytes_total"),
            other_region: metrics::counter!("hemlockfall_control_sent_to_regions_bytes_total"),
        }
    }
}

impl SentBytes {
    /// Records the network distance of a peer.
    pub fn set_distance(&mut self, own: &EndpointRecord, record: &EndpointRecord) {
        let address = record.peer_address;
        let distance = if record.region != own.region {
            Distance::OtherRegion
        } else if record.data_centre != own.data_centre {
            Distance::Region
        } else {
            Distance::DataCentre
        };
        match self.position(address) {
            Ok(index) => self.peers[index].distance = distance,
            Err(index) => self.peers.insert(index, Peer { address, distance }),
        }
    }

    /// Replaces all peers by the listed ones.
    pub fn rebuild<'a>(
        &mut self,
        own: &EndpointRecord,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) {
        self.peers.clear();
        for record in records {
            self.set_distance(own, record);
        }
    }

    /// Counts a datagram with its headers.
    pub fn count_datagram(&self, to: SocketAddr, length_bytes: usize) {
        self.add(to, length_bytes + DATAGRAM_HEADER_BYTES);
    }

    /// Counts a message on a link with the headers of its segments.
    pub fn count_link_message(&self, to: SocketAddr, length_bytes: usize) {
        let segments = length_bytes.div_ceil(SEGMENT_BYTES);
        self.add(to, length_bytes + segments * SEGMENT_HEADER_BYTES);
    }

    /// Adds to the counters. A peer without a record counts as local to the data centre; the node
    /// only sends to such peers while it joins.
    fn add(&self, to: SocketAddr, length_bytes: usize) {
        let bytes = u64::try_from(length_bytes).unwrap_or(u64::MAX);
        self.total.increment(bytes);
        let Ok(index) = self.position(to) else {
            return;
        };
        match self.peers[index].distance {
            Distance::DataCentre => {}
            Distance::Region => self.region.increment(bytes),
            Distance::OtherRegion => self.other_region.increment(bytes),
        }
    }

    fn position(&self, address: SocketAddr) -> Result<usize, usize> {
        self.peers
            .binary_search_by_key(&address, |peer| peer.address)
    }
}
