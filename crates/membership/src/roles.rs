//! Roles: which nodes watch the store, relay between data centres and regions, aggregate evidence
//! and serve as witnesses. All are chosen by rendezvous hashing over the table, so that nodes with
//! equal tables agree without an election.

use std::net::SocketAddr;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::peers::Peers;
use hemlockfall_core::rendezvous;

/// Number of store watchers per data centre of the store's region.
pub const WATCHERS: usize = 2;
/// Number of relays per data centre, and of region relays per region.
pub const RELAYS: usize = 2;
/// Maximum number of addresses in a contact object.
pub const MAX_CONTACTS: usize = 16;

/// Member lists and roles as seen by one node; the member lists do not contain the node itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// Member lists, and the roles that distribution uses.
    pub peers: Peers,
    /// Whether this node is a relay of its data centre.
    pub is_relay: bool,
    /// Address of the node that aggregates the evidence of the data centre; may be this node.
    pub aggregator: Option<SocketAddr>,
    /// Addresses for the contact object; `None` unless this node has to write it.
    pub contacts: Option<Vec<SocketAddr>>,
}

struct Group<'a> {
    region: &'a RegionName,
    data_centre: &'a DataCentreName,
    records: Vec<&'a EndpointRecord>,
}

impl Group<'_> {
    fn ranked(&self, purpose: &str, count: usize) -> Vec<&EndpointRecord> {
        let purpose = format!("{purpose}/{}", self.data_centre);
        let records = self.records.iter().copied();
        rendezvous::rank(purpose.as_bytes(), records, |r| r.node.as_str(), count)
    }
}

/// Computes the roles of a node from its record and the records of the others.
#[must_use]
pub fn compute<'a>(
    own: &'a EndpointRecord,
    others: impl Iterator<Item = &'a EndpointRecord>,
    store_region: &str,
) -> Roles {
    let groups = group(own, others);
    let Some(own_group) = groups
        .iter()
        .find(|g| g.region == &own.region && g.data_centre == &own.data_centre)
    else {
        return Roles::default();
    };
    let mut roles = Roles::default();
    roles.peers.in_store_region = own.region == store_region;
    fill_own(&mut roles, own, own_group);
    fill_relays(&mut roles, own, &groups, store_region);
    roles
}

/// Groups the nodes that can have roles by data centre. A draining node has none, so that its roles
/// move to others before it stops.
fn group<'a>(
    own: &'a EndpointRecord,
    others: impl Iterator<Item = &'a EndpointRecord>,
) -> Vec<Group<'a>> {
    let mut groups: Vec<Group<'a>> = Vec::new();
    let eligible = others.filter(|r| r.state < EndpointState::Leaving);
    for record in eligible.chain([own]) {
        let key = (&record.region, &record.data_centre);
        match groups.binary_search_by(|g| (g.region, g.data_centre).cmp(&key)) {
            Ok(index) => groups[index].records.push(record),
            Err(index) => groups.insert(
                index,
                Group {
                    region: key.0,
                    data_centre: key.1,
                    records: vec![record],
                },
            ),
        }
    }
    groups
}

fn fill_own(roles: &mut Roles, own: &EndpointRecord, group: &Group<'_>) {
    let is_other = |record: &&&EndpointRecord| record.node != own.node;
    let others: Vec<&EndpointRecord> = group.records.iter().filter(is_other).copied().collect();
    let is_eligible = own.state < EndpointState::Leaving;
    let is_holder =
        |ranked: &[&EndpointRecord]| is_eligible && ranked.iter().any(|r| r.node == own.node);
    let purpose = format!("witness/{}", own.peer_address);
    let witnesses = rendezvous::rank(
        purpose.as_bytes(),
        others.iter().copied(),
        |r| r.node.as_str(),
        others.len(),
    );
    roles.peers.members = addresses(&others);
    roles.peers.witnesses = addresses(&witnesses);
    roles.peers.is_watcher =
        roles.peers.in_store_region && is_holder(&group.ranked("watch", WATCHERS));
    roles.is_relay = is_holder(&group.ranked("relay", RELAYS));
    roles.aggregator = group.ranked("aggregate", 1).first().map(|r| r.peer_address);
    let contacts = group.ranked("contacts", MAX_CONTACTS);
    let is_first = is_eligible && contacts.first().is_some_and(|r| r.node == own.node);
    roles.contacts = is_first.then(|| addresses(&contacts));
}

fn fill_relays(roles: &mut Roles, own: &EndpointRecord, groups: &[Group<'_>], store_region: &str) {
    let mut regions: Vec<&RegionName> = groups.iter().map(|g| g.region).collect();
    regions.dedup();
    if roles.is_relay {
        for group in groups {
            if group.region == &own.region && group.data_centre != &own.data_centre {
                let relays = group.ranked("relay", RELAYS);
                roles.peers.data_centre_relays.extend(addresses(&relays));
            }
        }
    }
    let own_relays = region_relays(&own.region, groups);
    let rank = own_relays.iter().position(|r| r.node == own.node);
    roles.peers.region_relay_rank = rank
        .filter(|_| roles.is_relay)
        .and_then(|rank| u32::try_from(rank).ok());
    roles.peers.region_relay_count = u32::try_from(own_relays.len()).unwrap_or(u32::MAX);
    for region in regions.into_iter().filter(|region| **region != own.region) {
        let relays = addresses(&region_relays(region, groups));
        if region == store_region {
            roles.peers.store_region_relays.clone_from(&relays);
        }
        if let Some(rank) = rank.filter(|_| roles.peers.region_relay_rank.is_some()) {
            let partner = relays.get(rank).or(relays.first());
            roles.peers.region_partners.extend(partner);
            roles.peers.region_relays.extend(relays);
        }
    }
}

/// Returns the region relays, which are chosen among the relays of the region's data centres.
fn region_relays<'a>(region: &RegionName, groups: &'a [Group<'a>]) -> Vec<&'a EndpointRecord> {
    let relays = groups
        .iter()
        .filter(|group| group.region == region)
        .flat_map(|group| group.ranked("relay", RELAYS));
    let purpose = format!("region-relay/{region}");
    rendezvous::rank(purpose.as_bytes(), relays, |r| r.node.as_str(), RELAYS)
}

fn addresses(records: &[&EndpointRecord]) -> Vec<SocketAddr> {
    records.iter().map(|record| record.peer_address).collect()
}
