//! Edges of the process: everything that uses a socket.
//!
//! [`links`], [`datagrams`], [`caller_server`] and [`target_client`] run on the `stakker` thread.
//! [`local`] uses a blocking library on its own threads and exchanges messages with the actors.

pub mod caller_server;
pub mod datagrams;
pub mod emulation;
pub mod frame;
pub use hemlockfall_http::http;
pub use hemlockfall_http::http1;
pub mod links;
pub mod local;
pub mod message;
pub mod options;
pub mod target_client;

mod plugin;
