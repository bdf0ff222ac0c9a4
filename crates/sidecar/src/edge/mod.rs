//! Connections, and the frames of the links between nodes.

pub mod frame;
pub mod input;
pub mod stream;
pub mod transit;
