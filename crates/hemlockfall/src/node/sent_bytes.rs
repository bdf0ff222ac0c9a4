//! Counts the bytes of control messages by the distance of the receiver.

use std::net::SocketAddr;

use hemlockfall_core::endpoint::EndpointRecord;
use metrics::Counter;

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Bytes of the IPv4 and TCP headers, with time stamps, of a segment.
const SEGMENT_HEADER_BYTES: usize = 52;
/// Content of a full segment on a link with the usual Ethernet MTU.
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

/// `SentBytes` counts what this node sends.
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
    /// `set_distance` notes where a peer is.
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

    /// `rebuild` drops the peers that are no longer listed.
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

    /// `datagram` counts a datagram.
    pub fn count_datagram(&self, to: SocketAddr, length_bytes: usize) {
        self.add(to, length_bytes + DATAGRAM_HEADER_BYTES);
    }

    /// `link` counts a message on a link.
    pub fn count_link_message(&self, to: SocketAddr, length_bytes: usize) {
        let segments = length_bytes.div_ceil(SEGMENT_BYTES);
        self.add(to, length_bytes + segments * SEGMENT_HEADER_BYTES);
    }

    /// A peer that is not known yet is counted as near: it is only met while joining.
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
