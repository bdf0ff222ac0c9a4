//! The catalogue: services, versions, routes and limits as operators declare them and every node
//! holds them.
//!
//! [`model`] has the types, [`validate`] the rules, [`file`] the TOML form that operators write,
//! [`edit`] the changes that lead from one revision to the next, and [`plan`] the traffic share of
//! a move over time. A move is the rollout of a new version of a service.

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
