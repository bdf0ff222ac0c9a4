//! Groups of nodes in a simulated network with faults: joins, failures, departures, gossip items
//! and contacts.

mod common;
mod network;

use std::time::Duration;

use common::address;
use common::record;
use common::target;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_membership::items::GossipItem;
use hemlockfall_membership::message::Message;
use hemlockfall_membership::message::Updates;
use network::Network;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

fn check<A: Testable>(tests: u64, property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 0x4d45))
        .tests(tests)
        .quickcheck(property);
}

/// Twelve nodes: two data centres in one region, one in another.
fn records() -> Vec<EndpointRecord> {
    let places = [("west", "west-1"), ("west", "west-2"), ("east", "east-1")];
    (0..12)
        .map(|index| {
            let (region, data_centre) = places[index % places.len()];
            record(index, region, data_centre)
        })
        .collect()
}

fn ready_group(seed: u64) -> Network {
    let mut network = Network::new(seed, records());
    network.run(150);
    for node in &mut network.nodes {
        node.state.announce(target());
    }
    network.run(150);
    network
}

/// Guards against nodes that do not find each other, or whose tables stay different, when messages
/// are lost, duplicated, delayed and reordered while the nodes join and announce their targets.
#[test]
fn all_tables_become_equal() {
    fn property(seed: u64) -> bool {
        let mut network = Network::new(seed, records());
        network.loss_permille = 200;
        network.run(200);
        for node in &mut network.nodes {
            node.state.announce(target());
        }
        network.run(50);
        network.loss_permille = 0;
        network.run(300);

        network.is_complete()
    }
    check(15, property as fn(u64) -> bool);
}

/// Guards against contacts that start at the same time and refuse each other for ever, and against
/// nodes that have not joined yet and take roles because their tables are incomplete.
#[test]
fn nodes_that_start_together_all_join() {
    fn property(seed: u64) -> bool {
        let mut network = Network::new(seed, records());
        network.run(1);
        let relays_before_join = network.nodes.iter().filter(|n| n.state.roles().is_relay);
        let count_before_join = relays_before_join.count();

        network.run(120);

        let all_joined = network.nodes.iter().all(|n| n.state.is_joined());
        count_before_join == 0 && all_joined && network.is_complete()
    }
    check(15, property as fn(u64) -> bool);
}

/// Guards against a draining target that gets new requests, also from other data centres and
/// regions, because the record of its state takes more than 3 s to reach every node.
#[test]
fn draining_is_seen_everywhere_within_3_s() {
    fn property(seed: u64, index: usize) -> bool {
        let mut network = ready_group(seed);
        let index = index % network.nodes.len();
        let was_seen = network.all_see(index, EndpointRecord::accepts_requests);
        network.loss_permille = 50;

        network.nodes[index].state.start_draining();
        network.run(30);

        was_seen && network.all_see(index, |r| r.state == EndpointState::Leaving)
    }
    check(15, property as fn(u64, usize) -> bool);
}

/// Guards against a failed node that stays live in the tables, and against one that is not found
/// again after a restart without the store and without contacts.
#[test]
fn dead_node_fails_and_its_next_incarnation_is_found() {
    let mut network = ready_group(3);

    network.store_up = false;
    network.nodes[4].is_up = false;
    network.run(200);
    let is_failed = network.all_see(4, |r| r.state == EndpointState::Failed);
    let mut restarted = record(4, "west", "west-2");
    restarted.incarnation = 2_000;
    network.restart(4, restarted);
    network.run(200);

    assert!(is_failed);
    assert!(network.nodes[4].state.is_joined());
    assert!(network.all_see(4, |r| r.incarnation >= 2_000
        && r.state < EndpointState::Left));
}

/// Guards against the nodes of a data centre that keep their roles in the region when all of them
/// fail, or that are not found again after their return.
#[test]
fn failed_data_centre_hands_over_its_roles_and_returns() {
    let mut network = ready_group(19);
    let set_up = |network: &mut Network, is_up: bool| {
        for index in (1..12).step_by(3) {
            network.nodes[index].is_up = is_up;
        }
    };

    set_up(&mut network, false);
    network.run(600);
    let are_failed = (1..12)
        .step_by(3)
        .all(|index| network.all_see(index, |r| r.state == EndpointState::Failed));
    set_up(&mut network, true);
    network.run(600);

    assert!(are_failed);
    assert!(network.is_complete());
    assert!((0..12).all(|index| network.all_see(index, EndpointRecord::accepts_requests)));
}

/// Guards against other data centres that detect only a few failures at a time when all nodes of a
/// large data centre fail: the relay role passes from one failed node to the next, and relays probe
/// only the relays of other data centres.
#[test]
fn large_failed_data_centre_is_detected_within_20_s() {
    let places = [("west", "west-1"), ("west", "west-2"), ("east", "east-1")];
    let large = (0..120).map(|index| {
        let (region, data_centre) = places[index % places.len()];
        record(index, region, data_centre)
    });
    let mut network = Network::new(29, large.collect());
    network.run(300);
    let was_complete = network.is_complete();

    for index in (1..120).step_by(3) {
        network.nodes[index].is_up = false;
    }
    network.run(200);

    let missed: Vec<usize> = (1..120)
        .step_by(3)
        .filter(|index| !network.all_see(*index, |r| r.state == EndpointState::Failed))
        .collect();
    assert!(was_complete);
    assert!(missed.is_empty(), "{} nodes: {missed:?}", missed.len());
}

/// Guards against a data centre that sends no more requests to its own live members after a network
/// partition: each side marked the other as failed, and it accepts these reports about its members
/// once the partition ends.
#[test]
fn reports_across_a_partition_do_not_fail_own_members() {
    let mut network = ready_group(31);
    network.cut = Some("west-2");
    network.run(900);
    network.cut = None;

    let mut wrongly_failed = 0;
    for _ in 0..300 {
        network.run(1);
        for (observer, subject) in [(1, 4), (4, 7), (7, 10), (10, 1)] {
            let subject = network.nodes[subject].state.own().node.clone();
            let current = network.nodes[observer].state.table().get(&subject);
            wrongly_failed +=
                usize::from(current.is_some_and(|r| r.state == EndpointState::Failed));
        }
    }

    assert_eq!(wrongly_failed, 0);
    assert!(network.is_complete());
}

/// Guards against the two sides of a network partition that mark each other as failed and do not
/// merge again after it ends.
#[test]
fn partitioned_data_centre_rejoins() {
    let mut network = ready_group(23);

    network.cut = Some("west-2");
    network.run(900);
    let was_cut = !network.is_complete();
    network.cut = None;
    network.run(600);

    assert!(was_cut);
    assert!(network.is_complete());
    assert!((0..12).all(|index| network.all_see(index, EndpointRecord::accepts_requests)));
}

/// Guards against a live node that stays marked as failed after a false report.
#[test]
fn false_report_is_refuted() {
    let mut network = ready_group(5);
    let mut failed = network.nodes[2].state.own().clone();
    failed.state = EndpointState::Failed;
    let updates = Updates {
        records: vec![failed.clone()],
        items: Vec::new(),
    };
    let now = network.now;

    network.nodes[5]
        .state
        .handle(address(8), Message::Records { updates }, now);
    network.run(150);

    assert!(network.all_see(2, |r| r.accepts_requests()
        && r.incarnation > failed.incarnation));
}

/// Guards against live nodes that are marked failed while a fifth of the datagrams is lost, and
/// stay so afterwards.
#[test]
fn lost_datagrams_leave_all_nodes_live_in_the_end() {
    let mut network = ready_group(17);
    network.loss_permille = 200;

    network.run(300);
    network.loss_permille = 0;
    network.run(300);

    assert!(network.is_complete());
    assert!((0..12).all(|index| network.all_see(index, EndpointRecord::accepts_requests)));
}

/// Guards against a gossip item, such as a stop of a move or a fingerprint, that does not reach
/// every data centre or is delivered a second time after it expired.
#[test]
fn items_reach_all_nodes_once() {
    let mut network = ready_group(7);
    let item = GossipItem::Fingerprint {
        service: "order-desk".into(),
        fingerprint: [7; 16],
        node: "n1".into(),
        ready_unix_ms: 1,
    };
    let now = network.now;

    network.nodes[1]
        .state
        .disseminate_item(item.clone(), 5_000, now);
    network.run(300);

    let others = network.nodes.iter().enumerate().filter(|(i, _)| *i != 1);
    for (index, node) in others {
        assert_eq!(node.items, std::slice::from_ref(&item), "node {index}");
    }
}

/// Guards against a notice of a store outage that does not reach every node, and against renewals
/// that are each stored as a further outage.
#[test]
fn notice_of_a_store_outage_is_renewed_as_one_item() {
    let mut network = ready_group(37);
    let notice = |since_unix_ms| GossipItem::StoreDown { since_unix_ms };

    for since_unix_ms in [500, 600, 700] {
        let now = network.now;
        network.nodes[2]
            .state
            .disseminate_item(notice(since_unix_ms), 15_000, now);
        network.run(80);
    }

    let others = network.nodes.iter().enumerate().filter(|(i, _)| *i != 2);
    for (index, node) in others {
        assert_eq!(node.items.first(), Some(&notice(500)), "node {index}");
        assert_eq!(node.items.last(), Some(&notice(700)), "node {index}");
        assert_eq!(node.items.len(), 3, "node {index}: {:?}", node.items);
    }
}

/// Guards against nodes other than relays that compare tables or send updates over the links
/// between data centres, whose traffic is billed.
#[test]
fn only_relays_exchange_tables_with_other_data_centres() {
    let mut network = ready_group(9);

    network.nodes[3].state.start_draining();
    network.run(100);

    assert_eq!(network.exchanges_by_non_relays, 0);
}

/// Guards against tables that all differ after a catalogue change and are transferred as a whole,
/// because each new revision changes the record of every node.
#[test]
fn new_revision_does_not_make_tables_differ() {
    let mut network = ready_group(13);
    network.run(300);
    let before = network.bucket_requests;

    for node in &mut network.nodes {
        node.state.set_revision(7);
    }
    network.run(100);

    assert_eq!(network.bucket_requests, before);
}

/// Guards against several nodes that write the same contact object, and against a node that writes
/// it more often than its interval of 30 s allows.
#[test]
fn contacts_are_written_by_one_node_at_a_bounded_rate() {
    let mut network = ready_group(11);
    let counts = |network: &Network| -> Vec<usize> {
        network
            .nodes
            .iter()
            .map(|n| n.contact_writes.len())
            .collect()
    };
    network.run(400);
    let before = counts(&network);

    network.nodes[0].state.announce_shutdown();
    network.run(10);
    network.nodes[0].is_up = false;
    network.run(400);

    let after = counts(&network);
    let writers = before.iter().zip(&after).enumerate();
    let west_1 = writers.filter(|(index, (old, new))| index % 3 == 0 && new > old);
    assert_eq!(west_1.count(), 1, "{before:?} {after:?}");
    for node in &network.nodes {
        let gaps = node.contact_writes.windows(2).map(|w| w[1] - w[0]);
        assert!(gaps.min().is_none_or(|gap| gap >= Duration::from_secs(30)));
    }
}
