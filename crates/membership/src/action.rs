//! Effects that the state machine asks its caller to perform.

use std::net::SocketAddr;
use std::sync::Arc;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::level::Level;

use crate::items::GossipItem;
use crate::message::Message;
use crate::roles::Roles;

/// `Action` is one effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message as a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Message.
        message: Message,
    },
    /// Send a message over a TCP link.
    SendBulk {
        /// Receiver.
        to: SocketAddr,
        /// Message.
        message: Message,
    },
    /// A record is new or changed.
    RecordChanged(EndpointRecord),
    /// A departed record was dropped from the table.
    RecordRemoved(NodeName),
    /// A gossip item is new or renewed.
    Item {
        /// The item.
        item: GossipItem,
        /// Time left to live, in milliseconds.
        lifetime_ms: u32,
    },
    /// Member lists and roles changed.
    RolesChanged(Arc<Roles>),
    /// Read all contact objects and report them.
    ReadContacts,
    /// Write the contact object of the own data centre.
    WriteContacts {
        /// Addresses.
        addresses: Vec<SocketAddr>,
    },
    /// Add one to a counter.
    Count {
        /// Name of the metric.
        metric: &'static str,
    },
    /// Write a log line.
    Log {
        /// Severity.
        level: Level,
        /// Text.
        text: String,
    },
}
