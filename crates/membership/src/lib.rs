//! Gossip membership: the table of endpoint records, failure detection, dissemination of
//! changes, joins, contacts and roles.
//!
//! [`node::Membership`] is the state machine of one node. It uses neither sockets nor a clock: the
//! caller passes in messages, store results and times, and performs the returned
//! [`action::Action`] values.

pub mod action;
pub mod errors;
pub mod gossip;
pub mod items;
pub mod join;
pub mod message;
pub mod node;
pub mod options;
pub mod probe;
pub mod roles;
pub mod table;

mod dissemination;
mod plugin;

mod probe_queue;
