//! Operator interface: JSON-RPC methods, their typed requests, and the worker that executes them
//! against the store.
//!
//! [`server`] passes each call as an [`Envelope`] over a bounded channel to [`worker::run`], which
//! replies over the envelope's own channel. [`client`] is the client of the command line.

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

/// A request on its way to the worker, with the channel for its reply.
#[derive(Debug)]
pub struct Envelope {
    /// Request of the operator.
    pub request: OperatorRequest,
    /// Channel for the reply; its receiver is dropped once the operator has been answered.
    pub reply: SyncSender<Result<OperatorReply>>,
    /// Time by which the operator is answered; the request must not be started afterwards.
    pub deadline: Instant,
}

/// Creates the bounded channel between the server and the worker.
#[must_use]
pub fn channel(options: &Options) -> (SyncSender<Envelope>, Receiver<Envelope>) {
    mpsc::sync_channel(options.queue_length)
}
