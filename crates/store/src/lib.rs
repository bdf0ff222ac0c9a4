//! Client of the platform's store: conditional updates of versioned objects and, based on them,
//! the catalogue and leases.
//!
//! All calls block and have to be made on worker threads. [`client::Client`] provides the
//! operations on single objects, [`catalogue`] reads and changes the catalogue, and [`lease`]
//! provides exclusive ownership for a limited time.

pub mod backoff;
pub mod catalogue;
pub mod client;
pub mod errors;
pub mod history;
pub mod lease;
pub mod options;

mod plugin;
mod wire;

pub use client::Client;
pub use errors::Error;
pub use errors::Result;
pub use options::Options;
