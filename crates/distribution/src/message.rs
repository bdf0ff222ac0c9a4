//! Distribution messages between nodes.

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

/// Maximum size of an encoded message that is sent as a datagram: 1,200 bytes less 16 for the
/// envelope of the node.
pub const MAX_DATAGRAM_PAYLOAD_BYTES: usize = 1_184;
/// Maximum size of a message to decode. The store holds a compressed catalogue of up to 1 MB, so
/// that the decompressed one stays below this limit in practice.
pub const MAX_MESSAGE_BYTES: usize = 16 * MIB;

/// Distribution message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Advertises the newest revision that the sender holds.
    Advertise {
        /// Revision.
        revision: Revision,
        /// Its digest.
        digest: Digest,
    },
    /// Sends deltas in ascending order, each based on the result of the one before.
    Push {
        /// The deltas.
        deltas: Vec<Delta>,
    },
    /// Asks for the changes after a revision.
    SnapshotRequest {
        /// Revision that the sender holds.
        revision: Revision,
        /// Its digest.
        digest: Digest,
        /// Whether the whole configuration is wanted instead of deltas.
        full: bool,
    },
    /// Sends a whole configuration.
    SnapshotReply {
        /// The configuration.
        configuration: Configuration,
        /// Its digest.
        digest: Digest,
    },
    /// Reports to a witness that the sender is about to put a revision in force.
    WitnessReport {
        /// Peer address of the reporting node.
        address: SocketAddr,
        /// Revision.
        revision: Revision,
    },
    /// Confirms that the witness recorded a report.
    WitnessAck {
        /// Peer address of the reporting node.
        address: SocketAddr,
        /// Highest revision that the witness recorded for the address.
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
        /// The higher of the revision recorded for the address and the newest one of the sender.
        revision: Revision,
        /// Whether the sender attests that it has not lost an unexpired report of the address.
        attests: bool,
    },
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    /// [`Error::Invalid`] when the message cannot be represented.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self).map_err(Error::invalid)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// [`Error::Invalid`] for bytes that are not a valid message or exceed [`MAX_MESSAGE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MAX_MESSAGE_BYTES).map_err(Error::invalid)
    }

    /// Returns whether the encoded message fits into one datagram.
    #[must_use]
    pub fn fits_datagram(&self) -> bool {
        self.encode()
            .is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_PAYLOAD_BYTES)
    }
}
