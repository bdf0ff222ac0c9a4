//! Decision logic of the request path: routing, load balancing, ejection, retries, admission,
//! idempotency keys, suspected crash requests and stalled links. See docs/design.md, section 9.
//!
//! Nothing here opens sockets, starts threads or reads clocks. A node passes in events with the
//! current time ([`clock::Now`]) and performs the returned actions.

pub mod admission;
pub mod balance;
pub mod budget;
pub mod call;
pub mod clock;
pub mod ejection;
pub mod fingerprint;
pub mod idempotency;
pub mod key_records;
pub mod options;
pub mod outcome;
pub mod placement;
pub mod route;
pub mod router;
pub mod seen;
pub mod suspicion;

mod plugin;
