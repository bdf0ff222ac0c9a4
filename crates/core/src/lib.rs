//! Core types of hemlockfall: identifiers, units, result codes, the catalogue model, the wire
//! codec, the plug-in registry and the checked settings.
//!
//! A reader who follows a configuration change starts at [`catalogue`]; one who adds a plug-in
//! family starts at [`kernel`].

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
