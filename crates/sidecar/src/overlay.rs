//! Which links a node keeps, and how news spread on them.
//!
//! A node is linked with every node of its data centre, where bytes are free and most requests
//! stay. Between data centres a few relays of each are linked in pairs: news leave a data centre
//! on them and are spread inside by the relays at the other end, so that they cross between two
//! data centres a fixed number of times, however many nodes there are. Besides, each node is
//! linked with some targets of each service elsewhere, in case its own data centre is full.

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::ServiceName;

use crate::balance::Distance;
use crate::store_watch::Rank;

/// Meshes up to this size are linked in full; the links cost less than a request that finds no
/// free target.
const MAX_FULL_MESH_NODES: usize = 32;
/// Relays of a data centre. Two of them may stand still at once.
const RELAYS_PER_DATA_CENTRE: usize = 3;
/// Targets of a service that a node is linked with at least, if there are as many.
const MIN_SERVICE_LINKS: usize = 12;
/// Targets of a service in other data centres of the region, and in other regions, that a node is
/// linked with at least.
const MIN_REGION_LINKS: usize = 3;
const MIN_FAR_LINKS: usize = 2;
/// Further links, both ways, while the targets of a service are too full.
const OVERLOAD_LINKS: usize = 4;

/// `Member` is another node of the mesh.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identifies it.
    pub id: u64,
    /// Its place in the order that all nodes share.
    pub rank: Rank,
    /// Where it is.
    pub data_centre: DataCentreName,
    /// How far away it is.
    pub distance: Distance,
    /// Service of its target, if that takes requests.
    pub service: Option<ServiceName>,
    /// Whether this node is connected with it.
    pub is_linked: bool,
    /// Whether it was dialled in vain of late.
    pub has_failed: bool,
    /// Whether it is being stopped.
    pub is_stopping: bool,
}

impl Member {
    /// Tells whether it is taken to live; only the nodes of its own data centre know for sure.
    fn is_live(&self) -> bool {
        let is_reachable = match self.distance {
            Distance::Own | Distance::DataCentre => self.is_linked,
            Distance::Region | Distance::Far => !self.has_failed,
        };
        is_reachable && !self.is_stopping
    }
}

/// `LinkNeeds` are the links that a node needs besides.
#[derive(Clone, Debug, Default)]
pub struct LinkNeeds {
    /// Nodes that it has something to tell.
    pub evidence_recipients: Vec<u64>,
    /// Services whose linked targets are too full.
    pub full_services: Vec<ServiceName>,
    /// Whether the members are not all known yet, as the node has just started.
    pub is_starting: bool,
}

/// `Overlay` is what a node should be linked with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overlay {
    /// Nodes to be linked with, sorted.
    wanted: Vec<u64>,
    /// Relays of other data centres that get the news of this one, sorted.
    remote_relays: Vec<u64>,
}

impl Overlay {
    /// `plan` decides for a node of a rank.
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
        wanted.extend(service_links(own, members, &needs.full_services));
        wanted.sort_unstable();
        wanted.dedup();
        Self {
            wanted,
            remote_relays,
        }
    }

    /// `wants` tells whether the node should be linked with another.
    #[must_use]
    pub fn wants(&self, id: u64) -> bool {
        self.wanted.binary_search(&id).is_ok()
    }

    /// `wanted` lists the nodes to be linked with.
    #[must_use]
    pub fn wanted(&self) -> &[u64] {
        &self.wanted
    }

    /// `remote_relays` lists the relays of other data centres that this node tells the news of its
    /// own; none if it is no relay.
    #[must_use]
    pub fn remote_relays(&self) -> &[u64] {
        &self.remote_relays
    }
}

/// The relay of each other data centre that has the same place there as this node has here.
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

/// Targets in other data centres, chosen by both names so that all nodes together spread over all
/// targets.
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

/// A number that differs for each pair of nodes.
fn pair_hash(own: Rank, other: Rank) -> u64 {
    let (own, other) = (u64::from_le_bytes(own), u64::from_le_bytes(other));
    // Mixes all bits of both; the constants are those of the SplitMix64 generator.
    let mut mixed = own ^ other.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}
