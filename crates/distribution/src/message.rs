//! Messages between the distribution parts of nodes.

use std::net::SocketAddr;

use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::codec;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::units::MIB;
use serde::Deserialize;
use serde::Serialize;

use crate::delta::Delta;
use crate::errors::Error;
use crate::errors::Result;

/// `MAX_DATAGRAM_PAYLOAD_BYTES` is the largest encoded message that is sent as a datagram:
/// 1,200 bytes less 16 for the envelope of the node.
pub const MAX_DATAGRAM_PAYLOAD_BYTES: usize = 1_184;
/// `MAX_MESSAGE_BYTES` is the largest decoded message. The store holds a compressed catalogue
/// of up to 1 MB, so a decompressed one stays below this limit in practice.
pub const MAX_MESSAGE_BYTES: usize = 16 * MIB;

/// `Message` is what distribution parts send to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The newest revision that the sender holds.
    Advertise {
        /// Revision.
        revision: Revision,
        /// Its digest.
        digest: Digest,
    },
    /// Deltas in ascending order, each based on the one before.
    Push {
        /// The deltas.
        deltas: Vec<Delta>,
    },
    /// Asks for everything after a revision.
    SnapshotRequest {
        /// Revision that the sender holds.
        revision: Revision,
        /// Its digest.
        digest: Digest,
        /// Whether deltas are of no use to the sender.
        full: bool,
    },
    /// A whole configuration.
    SnapshotReply {
        /// The configuration.
        configuration: Configuration,
        /// Its digest.
        digest: Digest,
    },
    /// Reports that a node is about to put a revision in force.
    WitnessReport {
        /// Peer address of the node.
        address: SocketAddr,
        /// Revision.
        revision: Revision,
    },
    /// Confirms that a witness remembers a revision.
    WitnessAck {
        /// Peer address of the reporting node.
        address: SocketAddr,
        /// Highest revision that the witness remembers for it.
        revision: Revision,
    },
    /// Asks for the restart floor of an address.
    FloorQuery {
        /// Peer address of the starting node.
        address: SocketAddr,
    },
    /// Answers a floor query.
    FloorAnswer {
        /// Peer address of the starting node.
        address: SocketAddr,
        /// Higher of the revision remembered for the address and the one held.
        revision: Revision,
        /// Whether the memory of the sender covers the address.
        attests: bool,
    },
}

impl Message {
    /// `encode` encodes the message.
    ///
    /// # Errors
    /// [`Error::Invalid`] when the message cannot be represented.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self).map_err(Error::invalid)
    }

    /// `decode` decodes a message.
    ///
    /// # Errors
    /// [`Error::Invalid`] for bytes that are no message or exceed [`MAX_MESSAGE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MAX_MESSAGE_BYTES).map_err(Error::invalid)
    }

    /// `fits_datagram` tells whether the encoded message may be sent as one datagram.
    #[must_use]
    pub fn fits_datagram(&self) -> bool {
        self.encode()
            .is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_PAYLOAD_BYTES)
    }
}
