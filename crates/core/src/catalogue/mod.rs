//! The catalogue: what operators declare and what every proxy holds.
//!
//! [`model`] has the types, [`validate`] the rules, [`file`] the TOML form that operators write,
//! [`edit`] the changes that lead from one revision to the next, [`plan`] the share of traffic
//! over time of a move.

pub mod edit;
pub mod file;
pub mod model;
pub mod plan;
pub mod validate;

pub use model::ChangeRecord;
pub use model::Class;
pub use model::Configuration;
pub use model::Limits;
pub use model::MoveState;
pub use model::MoveStatus;
pub use model::OnOutage;
pub use model::PlanStep;
pub use model::Route;
pub use model::ServiceEntry;
pub use model::StoredCatalogue;
