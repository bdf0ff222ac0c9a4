//! Node and command line of hemlockfall.

pub mod cli;
pub mod edge;
pub mod log;
pub mod node;
pub mod operator;
pub mod wire;

// These crates register plugins at link time. The linker would drop a crate without a reference,
// and its registrations with it.
use hemlockfall_distribution as _;
use hemlockfall_membership as _;
use hemlockfall_moves as _;
use hemlockfall_request as _;
use hemlockfall_store as _;
