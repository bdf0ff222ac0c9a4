//! Tests of the schedule of a graceful shutdown.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::shutdown::Shutdown;
use quickcheck::quickcheck;

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
        let last_start = first(&|now| !shutdown.may_start(now, Duration::MAX));
        let interruption = first(&|now| shutdown.interrupts_calls(now));
        let exit = first(&|now| shutdown.is_exit_forced(now));

        assert!(last_peer_call < last_start, "{grace_ms}");
        assert!(last_start < interruption, "{grace_ms}");
        assert!(interruption < exit, "{grace_ms}");
        assert!(exit < Some(at(grace_ms)), "{grace_ms}");
    }
}

quickcheck! {
    /// Guards against a request that is started in the second half of the grace time and whose
    /// target is still at work when requests in progress are interrupted.
    fn a_late_start_has_its_deadline_before_the_interruption(begun_ms: u16, late_ms: u16, time_left_ms: u16) -> bool {
        let begun = at(begun_ms.into());
        let shutdown = Shutdown::new(begun, GRACE);
        let now = begun + GRACE / 2 + at(late_ms.into());
        let deadline = now + at(time_left_ms.into());
        !shutdown.may_start(now, deadline) || !shutdown.interrupts_calls(deadline.saturating_sub(at(1)))
    }
}

/// Guards against requests that are refused during a stop although their deadline is near enough.
#[test]
fn a_request_with_a_near_deadline_is_started_late_in_a_shutdown() {
    let shutdown = Shutdown::new(at(0), GRACE);

    assert!(shutdown.may_start(at(4_000), at(5_000)));
    assert!(!shutdown.may_start(at(4_000), at(7_000)));
}

/// Guards against a schedule that differs from the table in section 16 of docs/design.md: each row
/// holds from its time on until that of the next one.
#[test]
fn the_schedule_is_that_of_the_design() {
    let shutdown = Shutdown::new(at(0), GRACE);
    let rows = [
        (0, [true, true, false, false]),
        (2_000, [false, true, false, false]),
        (2_700, [false, false, false, false]),
        (5_400, [false, false, true, false]),
        (5_700, [false, false, true, true]),
    ];

    for now_ms in 0..6_000 {
        let now = at(now_ms);
        let state = [
            shutdown.accepts_peer_calls(now),
            shutdown.may_start(now, Duration::MAX),
            shutdown.interrupts_calls(now),
            shutdown.is_exit_forced(now),
        ];
        let row = rows.iter().rev().find(|(from_ms, _)| now_ms >= *from_ms);
        assert_eq!(row.map(|(_, state)| *state), Some(state), "{now_ms}");
        assert_eq!(
            shutdown.refuses_connections(now),
            now_ms >= 2_600,
            "{now_ms}"
        );
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
