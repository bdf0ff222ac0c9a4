//! Measurement of how long frames were queued on the way.

use std::time::Duration;

use hemlockfall_sidecar::edge::transit::Transit;
use hemlockfall_sidecar::edge::transit::clock_ms;
use quickcheck::quickcheck;

const NETWORK_DELAY: Duration = Duration::from_millis(12);

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a node that treats calls as just sent after its process was paused: they have
/// waited in its socket for the length of the pause.
#[test]
fn a_pause_of_the_receiver_counts() {
    let mut transit = Transit::default();
    transit.delay(clock_ms(at_ms(500)), at_ms(9_000) + NETWORK_DELAY);

    let waited = transit.delay(
        clock_ms(at_ms(600)),
        at_ms(9_100) + NETWORK_DELAY + at_ms(950),
    );

    assert_eq!(waited, at_ms(950));
}

/// Guards against frames whose queuing time on a full link is not counted.
#[test]
fn a_queue_on_the_link_counts() {
    let mut transit = Transit::default();

    let waited: Vec<Duration> = (0..5_u64)
        .map(|step| {
            let sent = at_ms(1_000 + step * 10);
            transit.delay(clock_ms(sent), sent + NETWORK_DELAY + at_ms(step * 40))
        })
        .collect();

    assert_eq!(waited, [0, 40, 80, 120, 160].map(at_ms));
}

/// Guards against a measured delay that keeps growing because one clock is faster than the other.
#[test]
fn drift_of_the_clocks_is_compensated() {
    let mut transit = Transit::default();
    let day_s = 24 * 3600_u64;
    let mut longest = Duration::ZERO;

    for second in 0..day_s {
        let sent = at_ms(second * 1000);
        let drift = at_ms(second / 20);
        longest = longest.max(transit.delay(clock_ms(sent), sent + NETWORK_DELAY + drift));
    }

    assert!(longest <= at_ms(5), "{longest:?}");
}

quickcheck! {
    /// Guards against wrong delays when the counter of either clock wraps around.
    fn offsets_do_not_matter(sender_ms: u32, receiver_ms: u32, waited_ms: u16) -> bool {
        let mut transit = Transit::default();
        let receiver = at_ms(u64::from(receiver_ms) + (1 << 33));
        let waited = at_ms(waited_ms.into());
        transit.delay(sender_ms, receiver);
        transit.delay(sender_ms.wrapping_add(7), receiver + at_ms(7) + waited) == waited
    }
}
