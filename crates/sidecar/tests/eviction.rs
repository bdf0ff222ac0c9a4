//! Tests of the choice of a connection that makes room for another one.

use std::time::Duration;

use hemlockfall_sidecar::eviction::Use;
use hemlockfall_sidecar::eviction::connection_to_evict;
use quickcheck::quickcheck;

const NOW: Duration = Duration::from_secs(100);

fn ago(ms: u64) -> Duration {
    NOW.saturating_sub(Duration::from_millis(ms))
}

fn idle(ms: u64) -> Use {
    Use::Idle { since: ago(ms) }
}

fn transfer(ms: u64, bytes_per_s: usize) -> Use {
    Use::Transfer {
        since: ago(ms),
        bytes_per_s,
    }
}

/// Load: callers fill all connections with heads that they send byte by byte, beside an upload, a
/// request in progress and a head that has just begun. Guards against a new caller that finds no
/// room, and against closing one of the others.
#[test]
fn the_slowest_unfinished_request_makes_room() {
    let connections = [
        ("upload", transfer(4_000, 200_000)),
        ("in progress", Use::Request),
        ("just begun", transfer(20, 0)),
        ("slow", transfer(2_000, 40)),
        ("slower", transfer(900, 10)),
        ("used just now", idle(300)),
    ];

    let evicted = connection_to_evict(connections.into_iter(), NOW);

    assert_eq!(evicted, Some("slower"));
}

/// Load: a full set of connections with idle ones among slow transfers. Guards against a transfer
/// that is broken off although an idle connection could be closed.
#[test]
fn an_idle_connection_is_closed_before_a_transfer() {
    let connections = [
        ("stalled", transfer(60_000, 0)),
        ("idle", idle(1_500)),
        ("idle for longest", idle(2_500)),
    ];

    let evicted = connection_to_evict(connections.into_iter(), NOW);

    assert_eq!(evicted, Some("idle for longest"));
}

/// Load: all connections are in use by callers inside the limits. Guards against closing any of them.
#[test]
fn connections_in_use_are_kept() {
    let connections = [
        ("upload", transfer(60_000, 100_000)),
        ("in progress", Use::Request),
        ("just begun", transfer(100, 10)),
        ("between requests", idle(900)),
    ];

    let evicted = connection_to_evict(connections.into_iter(), NOW);

    assert_eq!(evicted, None);
}

quickcheck! {
    /// Guards against a choice that depends on the order of the connections, or that closes a
    /// transfer while another one has a lower rate.
    fn a_transfer_with_the_lowest_rate_is_chosen(rates: Vec<u16>) -> bool {
        let connections = rates.iter().map(|rate| (*rate, transfer(1_000, usize::from(*rate))));

        let evicted = connection_to_evict(connections, NOW);

        let lowest = rates.iter().copied().filter(|rate| *rate < 16 * 1024).min();
        evicted == lowest
    }
}
