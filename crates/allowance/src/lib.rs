//! Shared allowances: rates and bursts that all nodes of a mesh use together.
//!
//! A [`spender::Spender`] at each node spends an allowance, and a [`holder::Holder`] at one of the
//! nodes grants it. Nothing here opens sockets or reads clocks. See
//! docs/design/shared-allowances.md.

pub mod bucket;
pub mod holder;
pub mod limits;
pub mod messages;
pub mod rate;
pub mod slots;
pub mod spender;

mod authority;
mod shares;
mod support;

use std::time::Duration;

use smol_str::SmolStr;

/// Time on a monotonic clock that counts process pauses. Only times of one process are compared.
pub type Time = Duration;
/// Name of an allowance.
pub type AllowanceKey = SmolStr;
/// Name of a node.
pub type NodeName = SmolStr;
/// Start of a process; later processes of a node have a higher one.
pub type Incarnation = u64;
