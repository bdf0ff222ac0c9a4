//! Merging of records, admission, roles, gossip items, decoders and settings.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::address;
use common::record;
use common::target;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::kernel;
use hemlockfall_core::settings::Settings;
use hemlockfall_membership::action::Action;
use hemlockfall_membership::items::CarriedItem;
use hemlockfall_membership::items::GossipItem;
use hemlockfall_membership::items::Items;
use hemlockfall_membership::items::MAX_REASON_BYTES;
use hemlockfall_membership::message::Message;
use hemlockfall_membership::message::Updates;
use hemlockfall_membership::node::Membership;
use hemlockfall_membership::options::Options;
use hemlockfall_membership::roles;
use hemlockfall_membership::roles::Roles;
use hemlockfall_membership::table::Table;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

const STATES: [EndpointState; 5] = [
    EndpointState::Starting,
    EndpointState::Ready,
    EndpointState::Leaving,
    EndpointState::Left,
    EndpointState::Failed,
];

type Seed = (usize, u8, u8, usize);

fn check<A: Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x5442))
        .tests(400)
        .quickcheck(property);
}

fn seeded_record((index, incarnation, sequence, state): Seed) -> EndpointRecord {
    let mut record = record(index % 4, "west", "west-1");
    record.incarnation = u64::from(incarnation % 3);
    record.sequence = u32::from(sequence % 3);
    record.state = STATES[state % STATES.len()];
    record.revision = u64::from(sequence / 3);
    record
}

fn merged(seeds: &[Seed], now: Instant) -> Vec<EndpointRecord> {
    let mut table = Table::new(Duration::from_mins(10));
    for seed in seeds {
        table.merge(&seeded_record(*seed), now);
    }
    table.records().cloned().collect()
}

/// A joined node that started alone.
fn lone_node(now: Instant) -> Membership {
    let own = record(0, "west", "west-1");
    let mut node = Membership::new(Options::default(), own, 1, now);
    node.tick(now);
    node.handle_contacts(&[]);
    node.tick(now);
    assert!(node.is_joined());
    node
}

fn roles_of(records: &[EndpointRecord]) -> Vec<Roles> {
    let of_node = |own: &EndpointRecord| {
        let others = records.iter().filter(|r| r.node != own.node);
        roles::compute(own, others, "west")
    };
    records.iter().map(of_node).collect()
}

/// Guards against tables that differ because merging depends on the order of records or on how
/// often they arrive.
#[test]
fn merges_converge_in_any_order() {
    fn property(seeds: Vec<Seed>, turn: usize) -> bool {
        let now = Instant::now();
        let mut other = seeds.clone();
        other.reverse();
        other.rotate_left(turn % seeds.len().max(1));
        let in_order = merged(&seeds, now);
        other.extend(seeds);

        merged(&other, now) == in_order
    }
    check(property as fn(Vec<Seed>, usize) -> bool);
}

/// Guards against a draining target that gets new requests because a delayed announcement makes it
/// ready again.
#[test]
fn draining_target_is_never_ready_again_in_the_same_incarnation() {
    fn property(seeds: Vec<Seed>) -> bool {
        let now = Instant::now();
        let mut table = Table::new(Duration::from_mins(10));
        let mut draining: Vec<(String, u64)> = Vec::new();
        for seed in seeds {
            table.merge(&seeded_record(seed), now);
            for current in table.records() {
                let incarnation = (current.node.to_string(), current.incarnation);
                if current.state >= EndpointState::Leaving {
                    draining.push(incarnation);
                } else if draining.contains(&incarnation) {
                    return false;
                }
            }
        }
        true
    }
    check(property as fn(Vec<Seed>) -> bool);
}

/// Guards against peers that ignore the announcement of a new target because it has the incarnation
/// in which the previous one drained.
#[test]
fn announcing_after_draining_begins_the_next_incarnation() {
    let now = Instant::now();
    let mut node = lone_node(now);
    node.announce(target());
    node.start_draining();
    let draining = node.own().clone();

    node.announce(target());

    assert!(node.own().accepts_requests());
    assert!(node.own().incarnation > draining.incarnation);
}

/// Guards against a target that crashes while it drains and is announced with the state `Starting`
/// again.
#[test]
fn withdrawing_while_draining_keeps_draining() {
    let now = Instant::now();
    let mut node = lone_node(now);
    node.announce(target());
    node.start_draining();

    node.withdraw();

    assert_eq!(node.own().state, EndpointState::Leaving);
}

/// Guards against departed records that stay in the table for ever and fill it.
#[test]
fn departed_records_are_dropped_after_their_time() {
    let now = Instant::now();
    let mut table = Table::new(Duration::from_mins(10));
    let mut departed = record(1, "west", "west-1");
    departed.state = EndpointState::Left;
    table.merge(&departed, now);
    table.merge(&record(2, "west", "west-1"), now);

    let early = table.expire(now + Duration::from_secs(599));
    let late = table.expire(now + Duration::from_mins(10));

    assert_eq!(early.len(), 0);
    assert_eq!(late, ["node-1"]);
    assert_eq!(table.len(), 1);
}

/// Guards against a reconnect storm that overloads a contact because it admits more than 50 joins
/// per second.
#[test]
fn joins_are_admitted_at_50_per_second() {
    let now = Instant::now();
    let mut node = lone_node(now);
    let mut admitted_at = |at: Instant, from: usize| {
        (from..from + 60)
            .filter(|index| {
                let record = record(*index, "west", "west-1");
                let actions = node.handle(address(*index), Message::Join { record }, at);
                actions.iter().any(|action| {
                    matches!(
                        action,
                        Action::SendBulk {
                            message: Message::Joined { .. },
                            ..
                        }
                    )
                })
            })
            .count()
    };

    let first = admitted_at(now, 1);
    let second = admitted_at(now + Duration::from_secs(1), 100);

    assert_eq!([first, second], [50, 50]);
}

/// Guards against a data centre or region that has too few or too many watchers, relays or
/// aggregators.
#[test]
fn roles_are_held_by_the_stated_number_of_nodes() {
    let places = [
        ("west", "w1"),
        ("west", "w2"),
        ("east", "e1"),
        ("east", "e2"),
    ];
    let records: Vec<EndpointRecord> = (0..40)
        .map(|index| record(index, places[index % 4].0, places[index % 4].1))
        .collect();

    let roles = roles_of(&records);

    for (place, (region, _)) in places.iter().enumerate() {
        let group: Vec<&Roles> = roles.iter().skip(place).step_by(4).collect();
        let watchers = if *region == "west" { 2 } else { 0 };
        assert_eq!(
            group.iter().filter(|r| r.peers.is_watcher).count(),
            watchers
        );
        assert_eq!(group.iter().filter(|r| r.is_relay).count(), 2);
        assert_eq!(group.iter().filter(|r| r.contacts.is_some()).count(), 1);
        assert!(group.iter().all(|r| r.aggregator == group[0].aggregator));
        assert!(
            group
                .iter()
                .all(|r| r.peers.members.len() == 9 && r.peers.witnesses.len() == 9)
        );
    }
    for region in 0..2 {
        let first = region * 2;
        let group = roles
            .iter()
            .enumerate()
            .filter(|(i, _)| (i % 4) / 2 * 2 == first);
        let relays: Vec<&Roles> = group
            .map(|(_, r)| r)
            .filter(|r| r.peers.region_relay_rank.is_some())
            .collect();
        assert_eq!(relays.len(), 2);
        assert!(relays.iter().all(|r| r.peers.region_relays.len() == 2));
        assert_ne!(
            relays[0].peers.region_partners,
            relays[1].peers.region_partners
        );
    }
}

/// Guards against a role that stays with a node that drains or has failed.
#[test]
fn roles_are_reassigned_when_a_holder_drains() {
    let mut records: Vec<EndpointRecord> = (0..8).map(|i| record(i, "west", "w1")).collect();
    let before = roles_of(&records);
    let holder = before.iter().position(|r| r.is_relay).expect("a relay");

    records[holder].state = EndpointState::Leaving;
    let after = roles_of(&records);

    assert!(!after[holder].is_relay);
    assert_eq!(after.iter().filter(|r| r.is_relay).count(), 2);
}

/// Guards against gossip items that grow without bound or never expire.
#[test]
fn items_are_bounded_in_size_and_time() {
    let now = Instant::now();
    let mut items = Items::default();
    let stop = |length: usize, lifetime_ms: u32| CarriedItem {
        item: GossipItem::StopMove {
            service: "order-desk".into(),
            move_id: uuid_of(1),
            reason: "x".repeat(length).into(),
        },
        lifetime_ms,
    };

    let outcomes = [
        items.merge(&stop(MAX_REASON_BYTES + 1, 1_000), now),
        items.merge(&stop(3, 0), now),
        items.merge(&stop(3, u32::MAX), now),
        items.merge(&stop(4, u32::MAX), now),
    ];
    items.expire(now + Duration::from_secs(131));

    assert_eq!(outcomes, [false, false, true, false]);
    assert!(items.is_empty());
}

fn uuid_of(number: u128) -> hemlockfall_core::ids::MoveId {
    hemlockfall_core::ids::MoveId::from_u128(number)
}

/// Guards against an expired item that is taken for a new one when a delayed copy arrives.
#[test]
fn late_copy_of_an_expired_item_is_not_new() {
    let now = Instant::now();
    let mut items = Items::default();
    let copy = |lifetime_ms| CarriedItem {
        item: GossipItem::Fingerprint {
            service: "order-desk".into(),
            fingerprint: [1; 16],
            node: "n1".into(),
            ready_unix_ms: 1,
        },
        lifetime_ms,
    };
    items.merge(&copy(1_000), now);

    let later = now + Duration::from_millis(1_500);
    items.expire(later);
    let is_new = items.merge(&copy(100), later);

    assert!(!is_new);
}

/// Guards against a peer that keeps a departed node as ready for ever, because table comparison
/// leaves out departed records.
#[test]
fn outdated_peer_is_corrected_about_a_departed_node() {
    let now = Instant::now();
    let mut node = lone_node(now);
    let mut ready = record(3, "west", "west-1");
    ready.state = EndpointState::Ready;
    let mut departed = ready.clone();
    departed.state = EndpointState::Left;
    let updates = Updates {
        records: vec![departed.clone()],
        items: Vec::new(),
    };
    node.handle(address(1), Message::Records { updates }, now);

    let reply = Message::BucketsReply {
        buckets: 0,
        records: vec![ready],
    };
    let actions = node.handle(address(2), reply, now);

    let correction = Message::BucketsReply {
        buckets: 0,
        records: vec![departed],
    };
    let expected = Action::Send {
        to: address(2),
        message: correction,
    };
    assert_eq!(actions, [expected]);
}

/// Guards against arbitrary bytes that make the decoder or a handler panic.
#[test]
fn arbitrary_bytes_never_panic() {
    fn property(mut bytes: Vec<u8>, tag: u8) -> bool {
        bytes.insert(0, tag % 3);
        decode_and_handle(&bytes)
    }
    check(property as fn(Vec<u8>, u8) -> bool);
}

/// Guards against a message damaged in transit that makes a handler panic.
#[test]
fn damaged_messages_never_panic() {
    fn property(seeds: Vec<Seed>, position: usize, flip: u8) -> bool {
        let updates = Updates {
            records: seeds.into_iter().map(seeded_record).collect(),
            items: Vec::new(),
        };
        let mut bytes = Message::Probe { id: 1, updates }.encode().expect("encodes");
        let position = position % bytes.len();
        bytes[position] ^= flip;
        decode_and_handle(&bytes)
    }
    check(property as fn(Vec<Seed>, usize, u8) -> bool);
}

fn decode_and_handle(bytes: &[u8]) -> bool {
    let now = Instant::now();
    let mut node = lone_node(now);
    if let Ok(message) = Message::decode(bytes) {
        node.handle(address(1), message, now);
        node.tick(now + Duration::from_secs(1));
    }
    node.own().state == EndpointState::Starting
}

/// Guards against defaults in the settings registry that differ from those in `Options`.
#[test]
fn registered_defaults_equal_the_options() {
    let required = "[node]\nname = \"n\"\nregion = \"r\"\ndata_centre = \"d\"\n\
         caller_address = \"127.0.0.1:1\"\npeer_address = \"127.0.0.1:2\"\n\
         operator_address = \"127.0.0.1:3\"\nlocal_address = \"127.0.0.1:4\"\n";

    let settings = Settings::parse("test.toml", required).expect("defaults are valid");
    let options: Options = settings.section("membership").expect("keys match");

    assert!(kernel::plugins().iter().any(|p| p.family == "membership"));
    assert_eq!(options, Options::default());
}
