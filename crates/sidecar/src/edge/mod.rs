//! Sockets and what is spoken on them.

pub mod frame;
pub mod stream;
pub mod transit;
