//! Overlay network: the links that a node keeps, and the paths of updates on them.
//!
//! A node is linked with all nodes of its data centre, where bytes are free and most requests stay.
//! Between data centres, a few relays of each are linked in pairs. Updates leave a data centre on
//! these links, and the relays at the other end broadcast them in theirs, so an update crosses
//! between two data centres a fixed number of times, whatever the number of nodes. In addition,
//! each node is linked with some targets of each service elsewhere, in case its own data centre is
//! full, and with more targets of a service whose requests may be served in some regions only.

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::ServiceName;

use crate::balance::Distance;
use crate::store_watch::Rank;

/// Largest number of nodes of a mesh in which all nodes are linked with each other. There the links
/// cost less than requests that find no free target.
const MAX_FULL_MESH_NODES: usize = 32;
/// Number of relays of each data centre. Two of them may be unresponsive at the same time.
const RELAYS_PER_DATA_CENTRE: usize = 3;
/// Minimum number of targets of a service that a node is linked with, if there are as many.
const MIN_SERVICE_LINKS: usize = 12;
/// Minimum number of linked targets of a service in other data centres of the region.
const MIN_REGION_LINKS: usize = 3;
/// Minimum number of linked targets of a service in other regions.
const MIN_FAR_LINKS: usize = 2;
/// Additional links to other data centres of the region, and as many to other regions, while the
/// linked targets of a service are too full.
const OVERLOAD_LINKS: usize = 4;

/// Another node of the mesh.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identifier of the node.
    pub id: u64,
    /// Rank in the order that all nodes share.
    pub rank: Rank,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Region of the node.
    pub region: RegionName,
    /// Distance of the node.
    pub distance: Distance,
    /// Service of its target; `None` if the target does not admit requests.
    pub service: Option<ServiceName>,
    /// Whether this node is connected with that node.
    pub is_linked: bool,
    /// Whether the latest attempts to connect with it failed.
    pub has_failed: bool,
    /// Whether it is in a graceful shutdown.
    pub is_stopping: bool,
}

impl Member {
    /// Returns whether the node is taken to be running. Nodes of other data centres need not be
    /// linked, so they count as running unless attempts to connect failed.
    fn is_live(&self) -> bool {
        let is_reachable = match self.distance {
            Distance::Own | Distance::DataCentre => self.is_linked,
            Distance::Region | Distance::Far => !self.has_failed,
        };
        is_reachable && !self.is_stopping
    }
}

/// Service whose requests on some route may be served in some regions only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HomeRegions {
    /// Service.
    pub service: ServiceName,
    /// Regions that the route allows.
    pub regions: Vec<RegionName>,
}

/// State of a node that determines additional links.
#[derive(Clone, Debug, Default)]
pub struct LinkNeeds {
    /// Nodes that this node sends evidence to.
    pub evidence_recipients: Vec<u64>,
    /// Nodes that hold shared allowances.
    pub allowance_holders: Vec<u64>,
    /// Services whose linked targets are too full.
    pub full_services: Vec<ServiceName>,
    /// Services with routes that may be served in some regions only.
    pub home_regions: Vec<HomeRegions>,
    /// Whether the node has just started and its list of members may be incomplete.
    pub is_starting: bool,
}

/// Planned links of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overlay {
    /// Identifiers of the nodes to be linked with, sorted.
    wanted: Vec<u64>,
    /// Identifiers of the relays of other data centres that get the updates of this one, sorted.
    remote_relays: Vec<u64>,
}

impl Overlay {
    /// Plans the links of the node with the rank `own`.
    #[must_use]
    pub fn plan(own: Rank, members: &[Member], needs: &LinkNeeds) -> Self {
        let remote_relays = remote_relays(own, members);
        let is_small = members.len() < MAX_FULL_MESH_NODES && !needs.is_starting;
        let mut wanted: Vec<u64> = members
            .iter()
            .filter(|member| member.distance <= Distance::DataCentre || is_small)
            .map(|member| member.id)
            .collect();
        wanted.extend(&remote_relays);
        wanted.extend(&needs.evidence_recipients);
        wanted.extend(&needs.allowance_holders);
        wanted.extend(service_links(own, members, &needs.full_services));
        for home in &needs.home_regions {
            wanted.extend(home_links(own, members, home, &needs.full_services));
        }
        wanted.sort_unstable();
        wanted.dedup();
        Self {
            wanted,
            remote_relays,
        }
    }

    /// Returns whether the node should be linked with another node.
    #[must_use]
    pub fn wants(&self, id: u64) -> bool {
        self.wanted.binary_search(&id).is_ok()
    }

    /// Returns the nodes to be linked with, sorted.
    #[must_use]
    pub fn wanted(&self) -> &[u64] {
        &self.wanted
    }

    /// Returns the relays of other data centres that this node forwards updates of its own data
    /// centre to; empty if this node is not a relay.
    #[must_use]
    pub fn remote_relays(&self) -> &[u64] {
        &self.remote_relays
    }
}

/// Returns the relay of each other data centre at the same position as this node has among the
/// relays of its own; empty if this node is not a relay.
fn remote_relays(own: Rank, members: &[Member]) -> Vec<u64> {
    let position = members
        .iter()
        .filter(|member| member.distance <= Distance::DataCentre)
        .filter(|member| member.is_live() && member.rank < own)
        .count();
    if position >= RELAYS_PER_DATA_CENTRE {
        return Vec::new();
    }
    let mut others: Vec<&Member> = members
        .iter()
        .filter(|member| member.distance > Distance::DataCentre && member.is_live())
        .collect();
    others.sort_by(|a, b| (&a.data_centre, a.rank).cmp(&(&b.data_centre, b.rank)));
    let mut remote_relays: Vec<u64> = others
        .chunk_by(|a, b| a.data_centre == b.data_centre)
        .map(|members| members[position % members.len().min(RELAYS_PER_DATA_CENTRE)].id)
        .collect();
    remote_relays.sort_unstable();
    remote_relays
}

/// Returns the nodes in other data centres to be linked with for their targets. The choice depends
/// on the names of both nodes, so that the links of all nodes are distributed over all targets.
fn service_links(own: Rank, members: &[Member], full_services: &[ServiceName]) -> Vec<u64> {
    let mut services: Vec<&ServiceName> = members
        .iter()
        .filter_map(|member| member.service.as_ref())
        .collect();
    services.sort();
    services.dedup();
    let mut links = Vec::new();
    for service in services {
        let targets = || {
            members
                .iter()
                .filter(|member| member.service.as_ref() == Some(service) && member.is_live())
        };
        let local_targets = targets()
            .filter(|member| member.distance <= Distance::DataCentre)
            .count();
        let choose = |distance: Distance| {
            let mut chosen: Vec<(u64, u64)> = targets()
                .filter(|member| member.distance == distance)
                .map(|member| (pair_hash(own, member.rank), member.id))
                .collect();
            chosen.sort_unstable();
            chosen.into_iter().map(|(_, id)| id)
        };
        let extra = if full_services.contains(service) {
            OVERLOAD_LINKS
        } else {
            0
        };
        let missing = MIN_SERVICE_LINKS.saturating_sub(local_targets);
        let region: Vec<u64> = choose(Distance::Region)
            .take(MIN_REGION_LINKS.max(missing) + extra)
            .collect();
        let missing = missing.saturating_sub(region.len());
        links.extend(region);
        links.extend(choose(Distance::Far).take(MIN_FAR_LINKS.max(missing) + extra));
    }
    links
}

/// Returns the nodes in other data centres to be linked with so that at least `MIN_SERVICE_LINKS`
/// linked targets of a service are in the regions that a route allows. Near targets come first.
fn home_links(
    own: Rank,
    members: &[Member],
    home: &HomeRegions,
    full_services: &[ServiceName],
) -> Vec<u64> {
    let mut targets: Vec<(Distance, u64, u64)> = members
        .iter()
        .filter(|member| member.service.as_ref() == Some(&home.service) && member.is_live())
        .filter(|member| home.regions.contains(&member.region))
        .map(|member| (member.distance, pair_hash(own, member.rank), member.id))
        .collect();
    targets.sort_unstable();
    let extra = if full_services.contains(&home.service) {
        OVERLOAD_LINKS
    } else {
        0
    };
    targets
        .into_iter()
        .take(MIN_SERVICE_LINKS + extra)
        .map(|(_, _, id)| id)
        .collect()
}

/// Returns a hash of a pair of nodes.
fn pair_hash(own: Rank, other: Rank) -> u64 {
    let (own, other) = (u64::from_le_bytes(own), u64::from_le_bytes(other));
    // Mixes all bits of both; the constants are those of the SplitMix64 generator.
    let mut mixed = own ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}
