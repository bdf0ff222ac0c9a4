//! Tests of the limit on the memory of messages that are being read.

use hemlockfall_sidecar::buffers::BufferLimits;
use hemlockfall_sidecar::buffers::connections_to_close;
use quickcheck::quickcheck;

/// Load: one peer sends without end while others send messages of usual size. Guards against closing
/// the connections of the others.
#[test]
fn the_largest_holders_are_closed() {
    let holders = vec![
        ("caller", 200),
        ("endless", 900),
        ("link", 300),
        ("second", 700),
    ];

    let closed = connections_to_close(holders.clone(), 1_000);
    let within = connections_to_close(holders, 2_100);

    assert_eq!(closed, [("endless", 900), ("second", 700)]);
    assert!(within.is_empty());
}

/// Guards against a budget above the memory of a small VM, and against an answer limit that lets one
/// answer use all of it.
#[test]
fn limits_follow_the_memory_of_the_process() {
    let small = BufferLimits::for_memory(160 * 1024 * 1024);
    let unknown = BufferLimits::for_memory(0);

    assert!(small.budget_bytes < 160 * 1024 * 1024 / 4);
    assert!(small.answer_bytes <= small.budget_bytes / 2);
    assert_eq!(unknown.answer_bytes, 64 * 1024 * 1024);
}

quickcheck! {
    /// Guards against connections that are kept although the budget is exceeded, and against closing
    /// more of them than that needs.
    fn what_is_kept_fits_the_budget(held: Vec<u16>, budget: u16) -> bool {
        let holders: Vec<(usize, usize)> =
            held.iter().map(|bytes| usize::from(*bytes)).enumerate().collect();
        let total: usize = holders.iter().map(|(_, bytes)| bytes).sum();

        let closed = connections_to_close(holders, budget.into());
        let freed: usize = closed.iter().map(|(_, bytes)| bytes).sum();
        let last = closed.last().map_or(0, |(_, bytes)| *bytes);

        let kept = total - freed;
        kept <= usize::from(budget) && (closed.is_empty() || kept + last > usize::from(budget))
    }
}
