//! Identifiers shared by several crates.

use smol_str::SmolStr;
use uuid::Uuid;

/// Name of a service in the catalogue.
pub type ServiceName = SmolStr;
/// Name of a version of a service.
pub type VersionName = SmolStr;
/// Name of a route of a service.
pub type RouteName = SmolStr;
/// Unique name of a node.
pub type NodeName = SmolStr;
/// Name of a data centre.
pub type DataCentreName = SmolStr;
/// Name of a region.
pub type RegionName = SmolStr;
/// Number of accepted changes of the catalogue, starting at 1; 0 means none.
pub type Revision = u64;
/// Incarnation of a node: the start time of its process, in unix milliseconds. A restarted node has
/// a higher incarnation.
pub type Incarnation = u64;
/// Id of a write to the store. After the store's answer was lost, it shows whether the write took
/// effect.
pub type OperationId = Uuid;
/// Id of a move of a service to a new version.
pub type MoveId = Uuid;
/// First 16 bytes of a BLAKE3 hash.
pub type Digest = [u8; 16];
