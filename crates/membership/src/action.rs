//! Effects that the state machine asks its caller to perform.

use std::net::SocketAddr;
use std::sync::Arc;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::level::Level;

use crate::items::GossipItem;
use crate::message::Message;
use crate::roles::Roles;

/// Effect that the caller performs.
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
    /// A record was added or changed; also this node's own.
    RecordChanged(EndpointRecord),
    /// A departed record was removed from the table.
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
    /// Read the contact objects and pass them to `handle_contacts`.
    ReadContacts,
    /// Write the contact object of this node's data centre.
    WriteContacts {
        /// Addresses to write.
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
