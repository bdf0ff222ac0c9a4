//! Node: the process beside each target.
//!
//! One thread runs all actors: [`control`] (membership and distribution), [`calls`] (request
//! path), [`moves`] (rollouts) and the edges. [`dispatch`] decodes messages of peers and routes
//! them to the actors.

pub mod calls;
pub mod control;
pub mod decisions;
pub mod dispatch;
pub mod health;
pub mod moves;
pub mod options;
pub mod sent_bytes;
pub mod signals;
pub mod status;
pub mod stopping;
pub mod store_io;
pub mod store_outage;

mod run;

pub use run::run;
