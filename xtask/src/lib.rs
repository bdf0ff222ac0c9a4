//! Development tasks: stand-ins for the systems around a node, a harness that runs real processes
//! on loopback, the demo, the scenario runner, the soak and the benches.

pub mod audit;
pub mod bench;
pub mod caller;
pub mod crowd;
pub mod demo;
pub mod errors;
pub mod harness;
pub mod http;
pub mod scenario;
pub mod soak;
pub mod store;
pub mod target;
