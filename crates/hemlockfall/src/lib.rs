//! The hemlockfall node and command line.

pub mod cli;
pub mod edge;
pub mod log;
pub mod node;
pub mod operator;
pub mod wire;

// The families register themselves; without a reference the linker drops their registrations.
use hemlockfall_distribution as _;
use hemlockfall_membership as _;
use hemlockfall_moves as _;
use hemlockfall_request as _;
use hemlockfall_store as _;
