//! Groups of nodes over a faulty network: order, convergence, restarts and cut regions.

mod common;
mod network;

use common::one_data_centre;
use network::Network;
use network::Node;
use network::two_regions;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

const GENERATOR_SEED: u64 = 0x4845_4d4c;

fn check<A: Testable>(tests: u64, property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, GENERATOR_SEED))
        .tests(tests)
        .quickcheck(property);
}

/// Applies one scripted step: a change, an outage, a recovery, a restart or only time.
fn step(network: &mut Network, code: u8) {
    match code % 5 {
        0 if network.store_up => network.store_revision += 1,
        1 => network.store_up = false,
        2 => network.store_up = true,
        3 => network.restart(usize::from(code / 5) % network.nodes.len()),
        _ => {}
    }
    network.run(1 + usize::from(code % 11));
}

fn never_decreases(network: &Network) -> bool {
    network.nodes.iter().all(|n| n.reports.is_sorted())
}

fn all_in_force(network: &Network, revision: u64) -> bool {
    let holds = |n: &Node| {
        n.state
            .in_force()
            .is_some_and(|snapshot| snapshot.revision() == revision)
    };
    network.nodes.iter().all(holds)
}

/// Guards against an older revision in force after lost, doubled, late or reordered messages
/// and after restarts, also with the store down, and against nodes that stay behind.
#[test]
fn order_holds_and_all_converge() {
    fn property(seed: u64, script: Vec<u8>) -> bool {
        let mut network = Network::new(seed, one_data_centre(7));
        network.run(30);
        network.loss_permille = 200;

        for code in script {
            step(&mut network, code);
        }
        network.loss_permille = 0;
        network.store_up = true;
        network.run(70);

        never_decreases(&network) && all_in_force(&network, network.store_revision)
    }
    check(60, property as fn(u64, Vec<u8>) -> bool);
}

/// Guards against a restarted node that serves an old revision, or none at all, while only its
/// peers can tell it the floor.
#[test]
fn restart_with_the_store_down_reaches_the_floor() {
    fn property(seed: u64, choice: usize) -> bool {
        let mut network = Network::new(seed, one_data_centre(6));
        network.store_revision = 5;
        network.run(40);
        network.store_up = false;

        let index = choice % 6;
        network.restart(index);
        network.run(70);

        never_decreases(&network) && all_in_force(&network, 5)
    }
    check(40, property as fn(u64, usize) -> bool);
}

/// Guards against a data centre that starts as a whole without the store and serves a revision
/// that nobody can vouch for.
#[test]
fn nothing_is_served_without_a_floor() {
    let mut network = Network::new(7, one_data_centre(5));
    network.store_up = false;

    network.run(200);

    assert!(network.nodes.iter().all(|n| n.state.in_force().is_none()));
    assert!(network.nodes.iter().all(|n| n.state.floor().is_none()));
}

/// Guards against a region that stays behind after a cut, and against one that does not use
/// the store, or uses it too often, while it hears nothing.
#[test]
fn cut_region_reads_the_store_and_both_rejoin() {
    let mut network = Network::new(11, two_regions());
    network.run(50);
    let reads_before: usize = network.nodes.iter().map(|n| n.reads).sum();

    network.cut_at = Some(4);
    network.store_revision = 2;
    network.run(100);
    let reads_during: usize = network.nodes.iter().map(|n| n.reads).sum();
    let converged_during_cut = all_in_force(&network, 2);
    network.cut_at = None;
    network.store_revision = 3;
    network.run(70);

    assert!(converged_during_cut);
    let reads = reads_during - reads_before;
    assert!((1..=10).contains(&reads), "{reads} reads in 10 s");
    assert!(all_in_force(&network, 3));
    assert!(never_decreases(&network));
}

/// Guards against a region cut off from the store that loses or changes its revision, and one
/// that takes more than 7 s to follow after rejoining.
#[test]
fn region_without_store_keeps_its_revision() {
    let mut network = Network::new(13, two_regions());
    network.run(50);

    network.cut_at = Some(4);
    network.store_up = false;
    network.run(100);
    let kept = all_in_force(&network, 1);
    network.cut_at = None;
    network.store_up = true;
    network.store_revision = 2;
    network.run(70);

    assert!(kept);
    assert!(all_in_force(&network, 2));
}
