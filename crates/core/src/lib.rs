//! Core types of hemlockfall: identifiers, units, result codes, the catalogue model, the wire
//! codec, the plug-in registry and the checked settings.
//!
//! [`catalogue`] is the entry point for configuration changes, [`kernel`] for new plug-in families.

pub mod catalogue;
pub mod codec;
pub mod endpoint;
pub mod errors;
pub mod ids;
pub mod kernel;
pub mod level;
pub mod peers;
pub mod rendezvous;
pub mod settings;
pub mod units;

mod plugin;
