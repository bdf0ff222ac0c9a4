//! Distribution of the configuration: immutable snapshots, exact deltas, epidemic spread,
//! digest repair, the witness step and the restart floor.
//!
//! [`node::Distribution`] is the state machine of one node. It uses no sockets and no clock: a
//! caller passes in messages, store results and times, and performs the returned
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
