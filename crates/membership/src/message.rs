//! Membership messages between nodes.

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

/// Maximum size of an encoded message that is sent as a datagram: 1,200 bytes less 16 for the
/// envelope of the node.
pub const MAX_DATAGRAM_PAYLOAD_BYTES: usize = 1_184;
/// Maximum size of a message to decode: a table of 32,768 records of up to 512 bytes each.
pub const MAX_MESSAGE_BYTES: usize = 16 * MIB;

/// Changed records and gossip items, sent with a probe or its answer, or on their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Updates {
    /// Changed endpoint records.
    pub records: Vec<EndpointRecord>,
    /// Gossip items.
    pub items: Vec<CarriedItem>,
}

impl Updates {
    /// Returns whether there is nothing to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.items.is_empty()
    }
}

/// Membership message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver to answer, which shows that it is live.
    Probe {
        /// Number that the answer repeats.
        id: u32,
        /// Updates for the receiver.
        updates: Updates,
    },
    /// Answers a probe.
    ProbeAck {
        /// Number of the probe.
        id: u32,
        /// Name of the probed node.
        node: NodeName,
        /// Updates for the receiver.
        updates: Updates,
    },
    /// Asks the receiver to probe another node and to return its answer.
    IndirectProbe {
        /// Number that the answer repeats.
        id: u32,
        /// Address to probe.
        target: SocketAddr,
    },
    /// Updates that are sent without a probe.
    Records {
        /// Updates for the receiver.
        updates: Updates,
    },
    /// Asks a contact for admission and for its table.
    Join {
        /// Record of the joining node.
        record: EndpointRecord,
    },
    /// Admits a joining node.
    Joined {
        /// Live records of the contact's table, with its own.
        records: Vec<EndpointRecord>,
    },
    /// Tells a joining node to retry later.
    JoinRefused {
        /// Minimum wait before the next try, in milliseconds.
        retry_ms: u32,
        /// Whether the sender has not joined yet itself.
        is_joining: bool,
    },
    /// Digests of the buckets of the sender's table.
    Buckets {
        /// One digest per bucket.
        digests: Vec<u64>,
    },
    /// Asks for the live records of some buckets.
    BucketsRequest {
        /// Bit mask with one bit per bucket.
        buckets: u64,
    },
    /// Records that the receiver asked for, or that it lacks.
    BucketsReply {
        /// Bit mask of the buckets whose live records are all included; 0 when the message holds
        /// only records that the receiver lacks or has in an older form.
        buckets: u64,
        /// The records.
        records: Vec<EndpointRecord>,
    },
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    /// [`Error::Message`] when the message cannot be represented.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self).map_err(Error::message)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// [`Error::Message`] for bytes that are not a valid message or exceed [`MAX_MESSAGE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MAX_MESSAGE_BYTES).map_err(Error::message)
    }

    /// Returns whether the encoded message fits into one datagram.
    #[must_use]
    pub fn fits_datagram(&self) -> bool {
        self.encode()
            .is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_PAYLOAD_BYTES)
    }

    /// Removes records from the end until the message fits into a datagram.
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
