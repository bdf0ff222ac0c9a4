//! Short run of the fault soak with fixed seeds; `cargo xtask soak --seeds N` runs fresh ones.

use std::path::PathBuf;

use xtask::soak;

/// Number of nodes.
const NODES: usize = 6;

fn logs() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak")
}

/// Guards against guarantees that real nodes violate under overlapping faults.
#[test]
fn guarantees_hold_under_faults() {
    for seed in [1, 37_214] {
        let violations = soak::run_seed(seed, NODES, &logs()).expect("the soak can be run");

        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
