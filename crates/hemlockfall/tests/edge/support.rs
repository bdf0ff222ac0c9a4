//! Fixtures of the edge tests.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

const TESTS: u64 = 300;

/// Checks a property with a fixed seed, so that a failure can be repeated.
pub fn check<T: Testable>(seed: u64, property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(TESTS)
        .quickcheck(property);
}
