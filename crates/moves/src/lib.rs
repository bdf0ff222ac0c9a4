//! Decision code of moves: the shift of a service's traffic to a new target version.
//!
//! A request's result enters at [`proxy`], which asks the local [`guard`] and sums
//! [`evidence`]; the [`owner`] holds the lease of a move, lets the [`judge`] decide and commits;
//! [`report`] renders what was stored. All parts are state machines that take time and messages
//! as values and return [`action::Action`] values.

pub mod action;
pub mod errors;
pub mod evidence;
pub mod guard;
pub mod judge;
pub mod lease;
pub mod options;
pub mod owner;
pub mod proxy;
pub mod record;
pub mod report;
pub mod stats;
pub mod window;

mod page;
mod plot;
mod plugin;
mod tracked;
