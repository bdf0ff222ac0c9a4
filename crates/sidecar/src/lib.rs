//! Node that runs beside a target, on a platform whose store holds the configuration.
//!
//! Most modules decide without access to sockets or clocks. [`node`] connects them with the
//! sockets of [`edge`], and [`platform`] is the interface to the platform's adapter.

pub mod accounts;
pub mod admission;
pub mod attempts;
pub mod balance;
pub mod budget;
pub mod buffers;
pub mod caller_retries;
pub mod clock;
pub mod cold_doubt;
pub mod cold_rate;
pub mod connection_limits;
pub mod edge;
pub mod evacuations;
pub mod eviction;
pub mod explain;
pub mod exposure;
pub mod fair_queue;
pub mod fingerprint;
pub mod judge;
pub mod log;
pub mod model;
pub mod node;
pub mod order;
pub mod overlay;
pub mod platform;
pub mod rate_limit;
pub mod regions;
pub mod router;
pub mod settings;
pub mod shutdown;
pub mod sizes;
pub mod store_watch;
pub mod table;
pub mod target;
pub mod traffic;
pub mod turns;
pub mod uplink;

mod plugin;
