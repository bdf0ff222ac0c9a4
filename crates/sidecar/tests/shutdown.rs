//! Tests of the schedule of a graceful shutdown.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::shutdown::Shutdown;

const GRACE: Duration = Duration::from_secs(6);

/// Load: the nodes of a busy service restart in turn, several at the same time. Guards against slots
/// that are idle for all of the shutdown, and against runs that begin too late to end in it.
#[test]
fn the_target_is_used_in_the_first_part_of_a_shutdown_only() {
    let shutdown = Shutdown::new(at(1_000), GRACE);

    assert!(shutdown.accepts_peer_calls(at(1_000)));
    assert!(shutdown.accepts_peer_calls(at(2_900)));
    assert!(!shutdown.accepts_peer_calls(at(3_000)));
}

/// Guards against callers that are cut off: the steps must follow each other in this order, also
/// when the grace time is short.
#[test]
fn the_steps_of_a_shutdown_keep_their_order() {
    for grace_ms in [500, 1_000, 3_000, 6_000, 30_000] {
        let shutdown = Shutdown::new(at(0), Duration::from_millis(grace_ms));
        let first = |is_reached: &dyn Fn(Duration) -> bool| {
            (0..=grace_ms).map(at).find(|now| is_reached(*now))
        };

        let last_peer_call = first(&|now| !shutdown.accepts_peer_calls(now));
        let last_start = first(&|now| shutdown.is_closing(now));
        let interruption = first(&|now| shutdown.interrupts_calls(now));
        let exit = first(&|now| shutdown.is_exit_forced(now));

        assert!(last_peer_call < last_start, "{grace_ms}");
        assert!(last_start < interruption, "{grace_ms}");
        assert!(interruption < exit, "{grace_ms}");
        assert!(exit < Some(at(grace_ms)), "{grace_ms}");
    }
}

/// Guards against requests that are interrupted although their targets could still answer in time:
/// only the last sixth of the grace time is left to the end of the process.
#[test]
fn requests_are_interrupted_in_the_last_sixth_of_the_grace_time_only() {
    let shutdown = Shutdown::new(at(0), GRACE);

    assert!(!shutdown.interrupts_calls(GRACE * 5 / 6));
    assert!(shutdown.interrupts_calls(GRACE * 10 / 11));
}
