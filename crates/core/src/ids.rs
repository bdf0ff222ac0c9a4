//! Identifiers that several crates share.

use smol_str::SmolStr;
use uuid::Uuid;

/// `ServiceName` is the name of a service in the catalogue.
pub type ServiceName = SmolStr;
/// `VersionName` is the name of a target version of a service.
pub type VersionName = SmolStr;
/// `RouteName` is the name of a route of a service.
pub type RouteName = SmolStr;
/// `NodeName` is the unique name of a node.
pub type NodeName = SmolStr;
/// `DataCentreName` is the name of a data centre.
pub type DataCentreName = SmolStr;
/// `RegionName` is the name of a region.
pub type RegionName = SmolStr;
/// `Revision` counts the accepted changes of the catalogue, starting at 1; 0 means none.
pub type Revision = u64;
/// `Incarnation` orders the lives of one node; it is the start time in unix milliseconds.
pub type Incarnation = u64;
/// `OperationId` identifies one write to the store, so that a lost answer can be resolved.
pub type OperationId = Uuid;
/// `MoveId` identifies one move of a service to a new version.
pub type MoveId = Uuid;
/// `Digest` is the first 16 bytes of a BLAKE3 hash.
pub type Digest = [u8; 16];
