//! Decision logic of moves. A move is a rollout: a service's traffic shifts to a new version.
//!
//! [`node_moves`] receives the result of each attempt, updates the local [`guard`] and sums
//! [`evidence`]. [`owner`] holds the lease of a move, asks the [`judge`] for verdicts and commits
//! them. [`report`] renders the stored results. All of them are state machines: time and
//! messages are passed in as values, and [`action::Action`] values are returned.

pub mod action;
pub mod errors;
pub mod evidence;
pub mod guard;
pub mod judge;
pub mod lease;
pub mod node_moves;
pub mod options;
pub mod owner;
pub mod record;
pub mod report;
pub mod stats;
pub mod window;

mod page;
mod plot;
mod plugin;
mod tracked;
