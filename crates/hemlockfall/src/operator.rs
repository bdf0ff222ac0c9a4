//! Operator interface: JSON-RPC methods, their typed requests, and the worker that carries
//! them out against the store.
//!
//! A call goes from [`server`] as an [`Envelope`] over a bounded channel to [`worker::run`],
//! which answers over the envelope's own channel. [`client`] is the caller's side.

pub mod client;
pub mod errors;
pub mod options;
pub mod request;
pub mod server;
pub mod worker;

mod methods;
mod plugin;

use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Instant;

pub use errors::OperatorError;
pub use errors::Outcome;
pub use errors::Result;
pub use options::Options;
pub use request::OperatorReply;
pub use request::OperatorRequest;

/// `Envelope` is a request on its way to the worker.
#[derive(Debug)]
pub struct Envelope {
    /// What the operator asks for.
    pub request: OperatorRequest,
    /// Takes the answer; the receiver is gone when the operator was answered already.
    pub reply: SyncSender<Result<OperatorReply>>,
    /// When the operator is answered at the latest; later the request must not be started.
    pub deadline: Instant,
}

/// `channel` makes the bounded channel between the server and the worker.
#[must_use]
pub fn channel(options: &Options) -> (SyncSender<Envelope>, Receiver<Envelope>) {
    mpsc::sync_channel(options.queue_length)
}
