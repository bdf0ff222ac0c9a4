//! Tests of the limit on the memory of messages that are being read.

use std::time::Duration;

use hemlockfall_sidecar::buffers::BufferLimits;
use hemlockfall_sidecar::buffers::UnsentOutput;
use hemlockfall_sidecar::buffers::connections_to_close;
use hemlockfall_sidecar::buffers::slow_readers_to_close;
use hemlockfall_sidecar::buffers::stalled_readers_to_close;
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

fn unsent(connection: &str, bytes: usize, bytes_per_s: usize) -> UnsentOutput<&str> {
    UnsentOutput {
        connection,
        bytes,
        bytes_per_s,
        age: Duration::from_secs(3),
    }
}

/// Load: callers that don't read beside one that reads a larger answer steadily. Guards against
/// disconnecting the one that reads, and more callers than the budget needs.
#[test]
fn callers_that_do_not_read_are_closed_first() {
    let outputs = vec![
        unsent("steady", 900, 600),
        unsent("stalled", 300, 0),
        unsent("idle", 0, 0),
        unsent("slow", 400, 10),
    ];

    let closed = slow_readers_to_close(outputs.clone(), 2_000, 1_800);
    let more_closed = slow_readers_to_close(outputs.clone(), 2_000, 1_500);
    let within = slow_readers_to_close(outputs, 1_800, 1_800);

    assert_eq!(closed, [unsent("stalled", 300, 0)]);
    assert_eq!(
        more_closed,
        [unsent("stalled", 300, 0), unsent("slow", 400, 10)]
    );
    assert!(within.is_empty());
}

/// Guards against refusing a single request with the largest body or answer on a VM of 512 MB, and
/// against beginning long work while the memory is used up.
#[test]
fn long_work_is_begun_while_there_is_memory() {
    let limits = BufferLimits::for_memory(512 * 1024 * 1024);
    let largest = 64 * 1024 * 1024;

    assert_eq!(limits.answer_bytes, largest);
    assert!(limits.allows_long_work(0, largest));
    assert!(limits.allows_long_work(largest, largest));
    assert!(!limits.allows_long_work(2 * largest, largest));
    assert!(!limits.allows_long_work(limits.held_bytes, 1));
}

/// Load: callers that hardly read hold the memory, beside a steady reader and an answer that has
/// just been queued, and another caller's request needs some. Guards against refusing that request for
/// as long as they stay, and against disconnecting a caller that reads.
#[test]
fn callers_that_hardly_read_make_room_for_a_request() {
    let just_queued = UnsentOutput {
        age: Duration::from_millis(200),
        ..unsent("just queued", 900, 0)
    };
    let outputs = vec![
        unsent("steady", 800, 40_000),
        unsent("stalled", 300, 10),
        just_queued,
        unsent("stalled with more", 500, 0),
    ];

    let closed = stalled_readers_to_close(outputs.clone(), 2_500, 300, 2_500);
    let all_closed = stalled_readers_to_close(outputs.clone(), 2_500, 2_500, 2_500);
    let within = stalled_readers_to_close(outputs, 2_000, 500, 2_500);

    assert_eq!(closed, [unsent("stalled with more", 500, 0)]);
    assert_eq!(
        all_closed,
        [
            unsent("stalled with more", 500, 0),
            unsent("stalled", 300, 10)
        ]
    );
    assert!(within.is_empty());
}

/// Load: callers with many requests behind each other on their connections want long answers, and then
/// a caller with a single one. Guards against memory that the first take whole, and against a single
/// pipelined request that is refused in calm.
#[test]
fn callers_that_pipeline_leave_memory_to_single_requests() {
    let limits = BufferLimits::for_memory(64 * 1024 * 1024);
    let answer_bytes = 3_000_000;

    let mut held_bytes = 0;
    while limits.allows_pipelined_work(held_bytes, answer_bytes) {
        held_bytes += answer_bytes;
    }

    assert!(held_bytes >= answer_bytes);
    assert!(limits.allows_long_work(held_bytes, answer_bytes));
    assert!(limits.allows_pipelined_work(0, limits.answer_bytes));
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
