//! The node: the process beside each target.

pub mod health;
