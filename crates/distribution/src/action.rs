//! Effects that the state machine asks its caller to perform.

use std::net::SocketAddr;
use std::sync::Arc;

use hemlockfall_core::ids::Revision;
use hemlockfall_core::level::Level;

use crate::message::Message;
use crate::snapshot::Snapshot;

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
    /// Put a snapshot in force.
    InForce(Arc<Snapshot>),
    /// Watch the stored catalogue until [`Action::StopWatch`] and report each result.
    WatchStore {
        /// Newest revision that the node holds.
        after_revision: Revision,
    },
    /// Stop watching the stored catalogue.
    StopWatch,
    /// Read the stored catalogue once and report the result.
    ReadStore,
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
