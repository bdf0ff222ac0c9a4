//! Edges of the process: everything that touches a socket.
//!
//! [`links`] and [`datagrams`] run on the `stakker` thread. [`callers`], [`local`] and
//! [`targets`] use blocking libraries on their own threads and exchange messages with the
//! actors.

pub mod caller_server;
pub mod callers;
pub mod datagrams;
pub mod emulation;
pub mod frame;
pub mod http;
pub mod http1;
pub mod links;
pub mod local;
pub mod message;
pub mod options;
pub mod target_client;
pub mod targets;

mod plugin;
