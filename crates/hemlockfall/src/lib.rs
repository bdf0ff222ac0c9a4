//! The hemlockfall node and command line.

pub mod edge;
pub mod log;
pub mod node;
