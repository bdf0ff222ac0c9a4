//! Tests of the links between data centres and of the broadcast of updates on them.

use std::collections::VecDeque;

use hemlockfall_sidecar::balance::Distance;
use hemlockfall_sidecar::overlay::LinkNeeds;
use hemlockfall_sidecar::overlay::Member;
use hemlockfall_sidecar::overlay::Overlay;
use hemlockfall_sidecar::store_watch::Rank;
use hemlockfall_sidecar::store_watch::rank_of;
use quickcheck::quickcheck;

const SERVICES: [&str; 2] = ["desk", "feed"];

/// Mesh of nodes that are assigned to data centres in turn; each region has half of these.
struct Mesh {
    data_centres: usize,
    ranks: Vec<Rank>,
    /// Nodes that forward nothing while the other nodes still take them to be running.
    unresponsive: Vec<usize>,
}

fn mesh(nodes: usize, data_centres: usize) -> Mesh {
    Mesh {
        data_centres,
        ranks: (0..nodes)
            .map(|node| rank_of(&format!("node-{node}")))
            .collect(),
        unresponsive: Vec::new(),
    }
}

impl Mesh {
    fn data_centre(&self, node: usize) -> usize {
        node % self.data_centres
    }

    fn distance(&self, a: usize, b: usize) -> Distance {
        let (a, b) = (self.data_centre(a), self.data_centre(b));
        if a == b {
            Distance::DataCentre
        } else if a % 2 == b % 2 {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    fn id(node: usize) -> u64 {
        u64::try_from(node).expect("few nodes")
    }

    /// Returns the other nodes as known to a node.
    fn members(&self, own: usize) -> Vec<Member> {
        (0..self.ranks.len())
            .filter(|node| *node != own)
            .map(|node| Member {
                id: Self::id(node),
                rank: self.ranks[node],
                data_centre: format!("dc-{}", self.data_centre(node)).into(),
                distance: self.distance(own, node),
                service: Some(SERVICES[node / self.data_centres % SERVICES.len()].into()),
                is_linked: true,
                has_failed: false,
                is_stopping: false,
            })
            .collect()
    }

    fn overlay(&self, node: usize) -> Overlay {
        Overlay::plan(self.ranks[node], &self.members(node), &LinkNeeds::default())
    }

    /// Returns which nodes an update of one node reaches, and how often the update crosses between
    /// data centres.
    fn broadcast(&self, origin: usize) -> (Vec<bool>, usize) {
        let mut reached = vec![false; self.ranks.len()];
        reached[origin] = true;
        let mut crossings = 0;
        // Nodes that still have to forward the update, with the node they received it from.
        let mut pending = VecDeque::from([(origin, None)]);
        while let Some((node, from)) = pending.pop_front() {
            if self.unresponsive.contains(&node) && node != origin {
                continue;
            }
            let is_from_own_data_centre =
                from.is_none_or(|from| self.data_centre(from) == self.data_centre(node));
            let mut recipients: Vec<usize> = Vec::new();
            if from.is_none() || !is_from_own_data_centre {
                recipients.extend((0..reached.len()).filter(|other| {
                    *other != node && self.data_centre(*other) == self.data_centre(node)
                }));
            }
            if is_from_own_data_centre {
                let overlay = self.overlay(node);
                let remote_relays = overlay.remote_relays();
                crossings += remote_relays.len();
                recipients.extend(
                    remote_relays
                        .iter()
                        .map(|id| usize::try_from(*id).expect("few")),
                );
            }
            for other in recipients {
                if !reached[other] {
                    reached[other] = true;
                    pending.push_back((other, Some(node)));
                }
            }
        }
        (reached, crossings)
    }
}

/// Load: the start of the whole mesh. Guards against a number of links, and of greetings on them,
/// that grows with the square of the number of nodes.
#[test]
fn links_outside_the_data_centre_stay_few() {
    for (nodes, data_centres) in [(12, 4), (73, 4), (195, 8), (300, 8), (1000, 8)] {
        let mesh = mesh(nodes, data_centres);

        let most = (0..nodes)
            .map(|node| {
                let is_outside = |id: &&u64| {
                    let other = usize::try_from(**id).expect("few nodes");
                    mesh.data_centre(other) != mesh.data_centre(node)
                };
                mesh.overlay(node)
                    .wanted()
                    .iter()
                    .filter(is_outside)
                    .count()
            })
            .max()
            .expect("there are nodes");

        println!("{nodes} nodes: {most} links outside the data centre at most");
        assert!(most <= 24, "{nodes} nodes: {most}");
    }
}

/// Guards against a small mesh that refuses requests because links are missing.
#[test]
fn a_small_mesh_is_linked_in_full() {
    let mesh = mesh(12, 4);

    assert_eq!(mesh.overlay(5).wanted().len(), 11);
}

/// Load: the start of a large mesh, when a node has records of only a few others. Guards against
/// treating the mesh as small and linking with all of them, wherever they are.
#[test]
fn a_starting_node_does_not_treat_the_mesh_as_small() {
    let mesh = mesh(195, 8);
    let unknown_targets = |member| Member {
        service: None,
        ..member
    };
    let first = mesh.members(0).into_iter().take(20);
    let members: Vec<Member> = first.map(unknown_targets).collect();
    let needs = LinkNeeds {
        is_starting: true,
        ..LinkNeeds::default()
    };

    let starting = Overlay::plan(mesh.ranks[0], &members, &needs);
    let settled = Overlay::plan(mesh.ranks[0], &members, &LinkNeeds::default());

    assert!(starting.wanted().len() < 10);
    assert_eq!(settled.wanted().len(), 20);
}

/// Guards against nodes that never receive a configuration or the stop of a canary.
#[test]
fn updates_reach_every_node_with_bounded_crossings() {
    for (nodes, data_centres) in [(3, 1), (12, 4), (73, 4), (195, 8), (1000, 8)] {
        let mesh = mesh(nodes, data_centres);

        let (reached, crossings) = mesh.broadcast(nodes / 2);

        assert!(reached.iter().all(|reached| *reached), "{nodes} nodes");
        assert!(
            crossings <= 3 * (data_centres - 1),
            "{nodes} nodes: {crossings}"
        );
    }
}

/// Guards against a data centre that receives no updates because two of its relays are
/// unresponsive.
#[test]
fn two_unresponsive_relays_per_data_centre_are_tolerated() {
    let mut mesh = mesh(195, 8);
    let relays: Vec<usize> = (0..195)
        .filter(|node| !mesh.overlay(*node).remote_relays().is_empty())
        .collect();
    assert_eq!(relays.len(), 3 * 8);
    for data_centre in 0..8 {
        let mut here: Vec<usize> = relays
            .iter()
            .copied()
            .filter(|node| mesh.data_centre(*node) == data_centre)
            .collect();
        here.sort_by_key(|node| mesh.ranks[*node]);
        mesh.unresponsive.extend(&here[..2]);
    }
    let origin = (0..195)
        .find(|node| !relays.contains(node))
        .expect("most are no relays");

    let (reached, _) = mesh.broadcast(origin);

    assert!(reached.iter().all(|reached| *reached));
}

/// Load: a data centre whose targets are full. Guards against refusing requests while targets
/// elsewhere are free.
#[test]
fn a_full_service_gets_more_links() {
    let mesh = mesh(195, 8);
    let members = mesh.members(0);
    let normal = Overlay::plan(mesh.ranks[0], &members, &LinkNeeds::default());
    let needs = LinkNeeds {
        allowance_holders: Vec::new(),
        evidence_recipients: Vec::new(),
        full_services: vec!["desk".into()],
        is_starting: false,
    };

    let overloaded = Overlay::plan(mesh.ranks[0], &members, &needs);

    assert!(overloaded.wanted().len() >= normal.wanted().len() + 8);
    assert!(normal.wanted().iter().all(|id| overloaded.wants(*id)));
}

/// Guards against a service with few targets, none of them in the local data centre, that only some
/// nodes can reach.
#[test]
fn a_service_without_local_targets_is_linked_everywhere() {
    let mesh = mesh(200, 8);
    let members: Vec<Member> = mesh
        .members(0)
        .into_iter()
        .map(|member| {
            let is_archive = member.distance > Distance::DataCentre && member.id < 8;
            let service = if is_archive { "archive" } else { "desk" };
            Member {
                service: Some(service.into()),
                ..member
            }
        })
        .collect();

    let overlay = Overlay::plan(mesh.ranks[0], &members, &LinkNeeds::default());

    let archives = members
        .iter()
        .filter(|member| member.service.as_deref() == Some("archive"));
    assert!(
        archives.clone().count() == 7
            && archives.into_iter().all(|member| overlay.wants(member.id))
    );
}

quickcheck! {
    /// Guards against running nodes that an update does not reach, whatever the sizes of the data
    /// centres.
    fn updates_reach_every_node_of_any_mesh(nodes: u8, data_centres: u8, origin: u8) -> bool {
        let nodes = usize::from(nodes % 60) + 1;
        let data_centres = usize::from(data_centres % 9) + 1;
        let (reached, _) = mesh(nodes, data_centres).broadcast(usize::from(origin) % nodes);
        reached.into_iter().all(|reached| reached)
    }
}
