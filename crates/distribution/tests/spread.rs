//! Groups of nodes in a simulated network with faults: order of revisions, convergence, restarts
//! and partitioned regions.

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

/// Performs one scripted step (a change, an outage, a recovery, a restart or nothing) and lets time
/// pass.
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
    network
        .nodes
        .iter()
        .all(|n| n.revisions_in_force.is_sorted())
}

fn all_in_force(network: &Network, revision: u64) -> bool {
    let holds = |n: &Node| {
        n.state
            .in_force()
            .is_some_and(|snapshot| snapshot.revision() == revision)
    };
    network.nodes.iter().all(holds)
}

/// Guards against an older revision that is put in force after a newer one, and against nodes that
/// stay on an old revision, because of lost, duplicated, delayed or reordered messages, restarts
/// and store outages.
#[test]
fn revisions_never_decrease_and_all_converge() {
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

/// Guards against a node that serves an old revision or none at all after it restarted during a
/// store outage, when only its peers can give it the floor.
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

/// Guards against a node that serves although no node can attest a floor, because its whole data
/// centre started during a store outage.
#[test]
fn nothing_is_served_without_a_floor() {
    let mut network = Network::new(7, one_data_centre(5));
    network.store_up = false;

    network.run(200);

    assert!(network.nodes.iter().all(|n| n.state.in_force().is_none()));
    assert!(network.nodes.iter().all(|n| n.state.floor().is_none()));
}

/// Guards against a region that is partitioned from the store's region and does not read the store
/// itself, reads it more than 10 times in 10 s, or stays on an old revision after the partition
/// ends.
#[test]
fn partitioned_region_reads_the_store_and_both_rejoin() {
    let mut network = Network::new(11, two_regions());
    network.run(50);
    let reads_before: usize = network.nodes.iter().map(|n| n.reads).sum();

    network.partitioned_from = Some(4);
    network.store_revision = 2;
    network.run(100);
    let reads_during: usize = network.nodes.iter().map(|n| n.reads).sum();
    let converged_during_cut = all_in_force(&network, 2);
    network.partitioned_from = None;
    network.store_revision = 3;
    network.run(70);

    assert!(converged_during_cut);
    let reads = reads_during - reads_before;
    assert!((1..=10).contains(&reads), "{reads} reads in 10 s");
    assert!(all_in_force(&network, 3));
    assert!(never_decreases(&network));
}

/// Guards against a region that loses or changes its revision while it reaches neither the store
/// nor the other region, or that takes more than 7 s to reach the newest one after the partition
/// ends.
#[test]
fn region_without_store_keeps_its_revision() {
    let mut network = Network::new(13, two_regions());
    network.run(50);

    network.partitioned_from = Some(4);
    network.store_up = false;
    network.run(100);
    let kept = all_in_force(&network, 1);
    network.partitioned_from = None;
    network.store_up = true;
    network.store_revision = 2;
    network.run(70);

    assert!(kept);
    assert!(all_in_force(&network, 2));
}
