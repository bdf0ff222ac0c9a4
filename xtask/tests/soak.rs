//! Short run of the fault soak with fixed seeds; `cargo xtask soak --seeds N` runs fresh ones.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;

use xtask::soak;

/// Number of nodes.
const NODES: usize = 6;
/// Serializes the tests, each of which loads several processors.
static TURN: Mutex<()> = Mutex::new(());

fn logs() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak")
}

/// Guards against guarantees that real nodes violate under overlapping faults.
#[test]
fn guarantees_hold_under_faults() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    for seed in [1, 37_214] {
        let violations = soak::run_seed(seed, NODES, &logs()).expect("the soak can be run");

        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Guards against the same beside callers outside the limits, and against nodes that use more than their
/// memory because of them.
#[test]
fn guarantees_hold_under_faults_and_crowds() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);

    let violations = soak::run_seed_with_crowds(2, NODES, &logs()).expect("the soak can be run");

    assert!(violations.is_empty(), "{violations:#?}");
}
