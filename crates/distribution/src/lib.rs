//! Distribution of configuration revisions: immutable snapshots, deltas between revisions,
//! dissemination by gossip, anti-entropy by comparing digests, the witness step and the restart
//! floor.
//!
//! [`node::Distribution`] is the state machine of one node. It uses neither sockets nor a clock:
//! the caller passes in messages, store results and times, and performs the returned
//! [`action::Action`] values.

pub mod action;
pub mod delta;
pub mod errors;
pub mod floor;
pub mod history;
pub mod message;
pub mod node;
pub mod options;
pub mod reader;
pub mod snapshot;
pub mod witness;

mod exchange;
mod plugin;
