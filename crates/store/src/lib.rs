//! Client of the platform's store: conditional updates of versioned objects, the catalogue
//! object on top of them, and leases.
//!
//! All calls block and belong on worker threads. [`client::Client`] has the single operations,
//! [`catalogue`] reads and changes the catalogue, [`lease`] keeps exclusive ownership.

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
