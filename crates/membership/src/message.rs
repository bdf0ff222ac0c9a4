//! Messages between the membership parts of nodes.

use std::net::SocketAddr;

use hemlockfall_core::codec;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::units::MIB;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;
use crate::items::CarriedItem;

/// `MAX_DATAGRAM_PAYLOAD_BYTES` is the largest encoded message that is sent as a datagram:
/// 1,200 bytes less 16 for the envelope of the node.
pub const MAX_DATAGRAM_PAYLOAD_BYTES: usize = 1_184;
/// `MAX_MESSAGE_BYTES` is the largest decoded message: a table of 32,768 records of up to 512
/// bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * MIB;

/// `Updates` are changes that travel with other messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Updates {
    /// Endpoint records.
    pub records: Vec<EndpointRecord>,
    /// Gossip items.
    pub items: Vec<CarriedItem>,
}

impl Updates {
    /// `is_empty` tells whether there is nothing to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.items.is_empty()
    }
}

/// `Message` is what membership parts send to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a sign of life.
    Probe {
        /// Number that the answer repeats.
        id: u32,
        /// Changes.
        updates: Updates,
    },
    /// Answers a probe.
    ProbeAck {
        /// Number of the probe.
        id: u32,
        /// Name of the node that answered.
        node: NodeName,
        /// Changes.
        updates: Updates,
    },
    /// Asks the receiver to probe another node.
    IndirectProbe {
        /// Number that the answer repeats.
        id: u32,
        /// Address to probe.
        target: SocketAddr,
    },
    /// Changes on their own.
    Records {
        /// Changes.
        updates: Updates,
    },
    /// Asks for admission and for the table.
    Join {
        /// Record of the joining node.
        record: EndpointRecord,
    },
    /// Admits a node.
    Joined {
        /// The whole table.
        records: Vec<EndpointRecord>,
    },
    /// Puts a joining node off.
    JoinRefused {
        /// Shortest wait, in milliseconds.
        retry_ms: u32,
        /// Whether the sender is joining itself.
        is_joining: bool,
    },
    /// Digests of the buckets of the sender's table.
    Buckets {
        /// One digest per bucket.
        digests: Vec<u64>,
    },
    /// Asks for the records of buckets.
    BucketsRequest {
        /// One bit per bucket.
        buckets: u64,
    },
    /// Records of buckets.
    BucketsReply {
        /// Buckets that are answered in full; 0 when the records only complete the receiver.
        buckets: u64,
        /// The records.
        records: Vec<EndpointRecord>,
    },
}

impl Message {
    /// `encode` encodes the message.
    ///
    /// # Errors
    /// [`Error::Message`] when the message cannot be represented.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self).map_err(Error::message)
    }

    /// `decode` decodes a message.
    ///
    /// # Errors
    /// [`Error::Message`] for bytes that are no message or exceed [`MAX_MESSAGE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MAX_MESSAGE_BYTES).map_err(Error::message)
    }

    /// `fits_datagram` tells whether the encoded message may be sent as one datagram.
    #[must_use]
    pub fn fits_datagram(&self) -> bool {
        self.encode()
            .is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_PAYLOAD_BYTES)
    }

    /// `trimmed` drops records from the end until the message fits a datagram.
    #[must_use]
    pub fn trimmed(mut self) -> Self {
        while !self.fits_datagram() {
            let (Self::Probe { updates, .. }
            | Self::ProbeAck { updates, .. }
            | Self::Records { updates }) = &mut self
            else {
                break;
            };
            if updates.records.pop().is_none() {
                break;
            }
        }
        self
    }
}
