//! Handling of content from peers and the store: deltas, refusals, fallbacks, witnesses and the
//! restart floor.

mod common;

use std::time::Instant;

use common::TICK;
use common::address;
use common::configuration;
use common::entry;
use common::stored;
use hemlockfall_core::kernel;
use hemlockfall_core::settings::Settings;
use hemlockfall_distribution::action::Action;
use hemlockfall_distribution::delta::Delta;
use hemlockfall_distribution::history::MAX_DELTAS;
use hemlockfall_distribution::message::Message;
use hemlockfall_distribution::node::Distribution;
use hemlockfall_distribution::node::REFUSED;
use hemlockfall_distribution::node::WITNESS_MISSING;
use hemlockfall_distribution::options::Options;
use hemlockfall_distribution::reader::StoreResult;
use hemlockfall_distribution::snapshot::Snapshot;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

fn check<A: Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 0x4846))
        .tests(400)
        .quickcheck(property);
}

fn snapshot(revision: u64) -> Snapshot {
    Snapshot::new(configuration(revision)).expect("the fixture is valid")
}

/// Returns a node with a revision from the store in force.
fn serving_node(revision: u64, now: Instant) -> Distribution {
    let mut node = Distribution::new(Options::default(), address(0), 1, now);
    let mut peers = common::one_data_centre(4).remove(0);
    peers.is_watcher = false;
    node.set_peers(peers);
    node.handle_store(stored(revision), now);
    for index in 1..3 {
        acknowledge(&mut node, index, revision, now);
    }
    assert!(node.in_force().is_some(), "two witnesses acknowledged");
    node
}

fn acknowledge(node: &mut Distribution, index: usize, revision: u64, now: Instant) -> Vec<Action> {
    let message = Message::WitnessAck {
        address: address(0),
        revision,
    };
    node.handle(address(index), message, now)
}

fn counts(actions: &[Action], wanted: &str) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Count { metric } if *metric == wanted))
}

/// Guards against a delta that misses a change or a removal, so that applying it gives another
/// snapshot.
#[test]
fn delta_leads_exactly_to_the_next_snapshot() {
    fn property(from: u16, step: u16) -> bool {
        let base = snapshot(u64::from(from) + 1);
        let next = snapshot(u64::from(from) + 2 + u64::from(step));

        let result = Delta::between(&base, &next).apply(&base);

        result == Ok(next)
    }
    check(property as fn(u16, u16) -> bool);
}

/// Guards against a delta that was corrupted in transit and is applied in part.
#[test]
fn corrupted_delta_changes_nothing() {
    fn property(position: usize, flip: u8) -> bool {
        let now = Instant::now();
        let mut node = serving_node(1, now);
        let next = snapshot(2);
        let push = Message::Push {
            deltas: vec![Delta::between(&snapshot(1), &next)],
        };
        let mut bytes = push.encode().expect("the fixture encodes");
        let position = position % bytes.len();
        bytes[position] ^= flip;

        if let Ok(message) = Message::decode(&bytes) {
            node.handle(address(1), message, now);
        }

        **node.newest() == snapshot(1) || **node.newest() == next
    }
    check(property as fn(usize, u8) -> bool);
}

/// Guards against an invalid catalogue that is put in force when it arrives in a delta or in a
/// whole snapshot.
#[test]
fn invalid_content_is_refused_whole() {
    let now = Instant::now();
    let mut bad = configuration(2);
    bad.entries[0].active_version = "v9".into();
    bad.entries.push(entry("zz", "team"));
    let digest = bad.digest().expect("the fixture encodes");
    let base = snapshot(1);
    let delta = Delta {
        base_revision: 1,
        base_digest: base.digest(),
        revision: 2,
        digest,
        changed: bad.entries.clone(),
        removed: Vec::new(),
    };
    let reply = Message::SnapshotReply {
        configuration: bad,
        digest,
    };
    let push = Message::Push {
        deltas: vec![delta],
    };

    for message in [push, reply] {
        let mut node = serving_node(1, now);

        let actions = node.handle(address(1), message, now);

        assert!(counts(&actions, REFUSED), "{actions:?}");
        assert_eq!(**node.newest(), base);
    }
}

/// Guards against an older catalogue, from a store replica that lags behind or a delayed reply,
/// that replaces a newer one.
#[test]
fn older_content_is_ignored() {
    let now = Instant::now();
    let mut node = serving_node(5, now);
    let old = snapshot(4);
    let reply = Message::SnapshotReply {
        configuration: old.configuration().clone(),
        digest: old.digest(),
    };

    node.handle(address(1), reply, now);
    node.handle_store(stored(3), now);

    assert_eq!(node.newest().revision(), 5);
}

/// Guards against a delta that is applied to another base than it was made for, instead of
/// requesting the changes in between.
#[test]
fn delta_of_another_base_leads_to_a_request() {
    let now = Instant::now();
    let mut node = serving_node(1, now);
    let push = Message::Push {
        deltas: vec![Delta::between(&snapshot(2), &snapshot(3))],
    };

    let actions = node.handle(address(1), push, now);

    let requested = actions.iter().any(|action| {
        matches!(
            action,
            Action::Send {
                message: Message::SnapshotRequest {
                    revision: 1,
                    full: false,
                    ..
                },
                ..
            }
        )
    });
    assert!(requested, "{actions:?}");
    assert_eq!(node.newest().revision(), 1);
}

/// Guards against a node that cannot catch up because its revision is no longer in the history of
/// its peers.
#[test]
fn full_snapshot_is_sent_beyond_the_history() {
    let now = Instant::now();
    let mut node = serving_node(1, now);
    let newest = u64::try_from(MAX_DELTAS).expect("small") + 2;
    for revision in 2..=newest {
        node.handle_store(stored(revision), now);
    }
    let request = |revision| Message::SnapshotRequest {
        revision,
        digest: snapshot(revision).digest(),
        full: false,
    };

    let old = node.handle(address(1), request(1), now);
    let recent = node.handle(address(1), request(newest - 2), now);

    let is_full = |action: &Action| {
        matches!(
            action,
            Action::SendBulk {
                message: Message::SnapshotReply { .. },
                ..
            }
        )
    };
    assert!(old.iter().any(is_full), "{old:?}");
    let Action::Send { message, .. } = &recent[0] else {
        panic!("expected a datagram, got {recent:?}");
    };
    assert!(matches!(message, Message::Push { deltas } if deltas.len() == 2));
}

/// Guards against a revision that is put in force before two witnesses recorded it, or that waits
/// for ever when witnesses have failed.
#[test]
fn witnesses_record_first_within_a_bound() {
    let start = Instant::now();
    let mut node = serving_node(1, start);

    node.handle_store(stored(2), start);
    let after_one = acknowledge(&mut node, 1, 2, start + TICK);
    let waiting = node.in_force().map(|s| s.revision());
    let late = node.tick(start + TICK * 5);

    assert!(!after_one.iter().any(|a| matches!(a, Action::InForce(_))));
    assert_eq!(waiting, Some(1));
    assert!(counts(&late, WITNESS_MISSING), "{late:?}");
    assert_eq!(node.in_force().map(|s| s.revision()), Some(2));
}

/// Guards against changes that each wait 500 ms, in a data centre with two nodes, for a second
/// witness, which does not exist.
#[test]
fn only_other_member_is_enough_as_witness() {
    let start = Instant::now();
    let mut node = serving_node(1, start);
    node.set_peers(common::one_data_centre(2).remove(0));

    let asked = node.handle_store(stored(2), start);
    let before_ack = node.in_force().map(|s| s.revision());
    let acknowledged = acknowledge(&mut node, 1, 2, start + TICK);

    assert!(!asked.iter().any(|a| matches!(a, Action::InForce(_))));
    assert_eq!(before_ack, Some(1));
    assert!(counts(&acknowledged, WITNESS_MISSING));
    assert_eq!(node.in_force().map(|s| s.revision()), Some(2));
}

/// Guards against a restarted node that serves an older revision than the one that it reported to
/// its witnesses.
#[test]
fn revision_below_the_floor_is_not_served() {
    let start = Instant::now();
    let mut node = Distribution::new(Options::default(), address(0), 1, start);
    node.set_peers(common::one_data_centre(4).remove(1));
    node.handle_store(StoreResult::Unreachable, start);
    node.tick(start);
    let answer = |revision| Message::FloorAnswer {
        address: address(0),
        revision,
        attests: true,
    };
    let reply = |revision| Message::SnapshotReply {
        configuration: configuration(revision),
        digest: snapshot(revision).digest(),
    };

    node.handle(address(2), answer(3), start);
    node.tick(start + TICK);
    let after_one_witness = node.floor();
    node.handle(address(3), answer(9), start + TICK);
    node.handle(address(2), reply(8), start + TICK);
    node.tick(start + TICK * 2);
    node.tick(start + TICK * 10);
    let below = node.in_force().map(|s| s.revision());
    node.handle(address(2), reply(9), start + TICK * 11);
    node.tick(start + TICK * 20);

    assert_eq!(after_one_witness, None);
    assert_eq!(node.floor(), Some(9));
    assert_eq!(below, None);
    assert_eq!(node.in_force().map(|s| s.revision()), Some(9));
}

/// Guards against a restarted witness that attests reports although it lost them with the restart.
#[test]
fn restarted_witness_does_not_attest() {
    let now = Instant::now();
    let mut witness = serving_node(1, now);
    let query = Message::FloorQuery {
        address: address(3),
    };

    let before = witness.handle(address(3), query.clone(), now);
    let report = Message::WitnessReport {
        address: address(3),
        revision: 9,
    };
    witness.handle(address(3), report, now);
    let after = witness.handle(address(3), query, now);

    let answer = |actions: &[Action]| match &actions[0] {
        Action::Send {
            message: Message::FloorAnswer {
                revision, attests, ..
            },
            ..
        } => (*revision, *attests),
        other => panic!("expected a floor answer, got {other:?}"),
    };
    assert_eq!(answer(&before), (1, false));
    assert_eq!(answer(&after), (9, true));
}

/// Guards against arbitrary bytes that make the decoder or a handler panic.
#[test]
fn arbitrary_bytes_never_panic() {
    fn property(mut bytes: Vec<u8>, tag: u8) -> bool {
        bytes.insert(0, tag % 3);
        let now = Instant::now();
        let mut node = serving_node(1, now);

        if let Ok(message) = Message::decode(&bytes) {
            node.handle(address(1), message, now);
        }

        node.in_force().is_some_and(|s| s.revision() == 1)
    }
    check(property as fn(Vec<u8>, u8) -> bool);
}

/// Guards against defaults in the settings registry that differ from those in `Options`.
#[test]
fn registered_defaults_equal_the_options() {
    let required = "[node]\nname = \"n\"\nregion = \"r\"\ndata_centre = \"d\"\n\
         caller_address = \"127.0.0.1:1\"\npeer_address = \"127.0.0.1:2\"\n\
         operator_address = \"127.0.0.1:3\"\nlocal_address = \"127.0.0.1:4\"\n";

    let settings = Settings::parse("test.toml", required).expect("defaults are valid");
    let options: Options = settings.section("distribution").expect("keys match");

    assert!(kernel::plugins().iter().any(|p| p.family == "distribution"));
    assert_eq!(options, Options::default());
}
