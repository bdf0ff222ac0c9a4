//! Non-idempotent requests over a network that loses, duplicates and reorders frames.

mod common;
#[path = "common/network.rs"]
mod network;

use network::Faults;
use network::Network;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 20_261_204;
const CASES: u64 = 400;

fn check(property: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .quickcheck(property);
}

/// Guards against a second run of a non-idempotent request that its caller resends through another
/// entry node, and against "not run" for an attempt that ran or runs later.
#[test]
fn resent_request_runs_at_most_once_on_a_lossy_network() {
    fn property(seed: u64) -> bool {
        let mut network = Network::new(seed, Faults::LOSSY);

        network.run();

        network.assert_all_answered();
        network.runs() <= 1
    }
    check(property);
}

/// Guards against a second run after one of the key's three keepers failed, at any step.
#[test]
fn resent_request_runs_at_most_once_when_a_keeper_fails() {
    fn property(seed: u64) -> bool {
        let mut network = Network::new(seed, Faults::DEATH);

        network.run();

        network.assert_all_answered();
        network.runs() <= 1
    }
    check(property);
}

/// Guards against a second run when a keeper restarts without its records, or when a node that
/// joins meanwhile ranks among the key's keepers.
#[test]
fn resent_request_runs_at_most_once_when_keepers_change() {
    fn property(seed: u64) -> bool {
        let mut network = Network::new(seed, Faults::CHANGE);

        network.run();

        network.assert_all_answered();
        network.runs() <= 1
    }
    check(property);
}

/// Guards against simulations that pass because nothing runs: without faults the request runs
/// exactly once, and at least one complete answer is forwarded.
#[test]
fn every_request_gets_the_recorded_answer_without_faults() {
    for seed in 0..50 {
        let mut network = Network::new(seed, Faults::NONE);

        network.run();

        network.assert_all_answered();
        assert_eq!(network.runs(), 1, "seed {seed}");
        assert!(network.complete_answers() >= 1, "seed {seed}");
    }
}

/// Guards against simulations whose faults prevent the protocol from running: with node failures,
/// most requests must still run, and some must lead to a fence, some to an unknown outcome.
#[test]
fn fault_simulations_exercise_the_protocol() {
    let mut ran = 0;
    let mut fenced = 0;
    let mut unknown = 0;
    for seed in 0..200 {
        let mut network = Network::new(seed, Faults::DEATH);
        network.run();
        ran += network.runs();
        fenced += network.fences();
        unknown += network.unknown_answers();
    }

    assert!(ran > 100, "{ran} runs");
    assert!(fenced > 20, "{fenced} fences");
    assert!(unknown > 20, "{unknown} unknown outcomes");
}
