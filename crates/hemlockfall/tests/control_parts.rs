//! Parts of the control actor that need no sockets: store outages and emulated network distance.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall::edge::emulation::Emulation;
use hemlockfall::edge::emulation::EmulationOptions;
use hemlockfall::node::store_outage::NOTICE_LIFETIME;
use hemlockfall::node::store_outage::StoreOutage;

const LIFETIME: Duration = Duration::from_secs(10);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn emulation() -> EmulationOptions {
    EmulationOptions {
        enabled: true,
        data_centre_delay_us: 1_500,
        region_delay_us: 12_000,
        region_kbit_per_s: 30_000,
        data_centre_peers: vec![address(2), address(1)],
        region_peers: vec![address(3)],
        baseline: false,
    }
}

/// Guards against a node that holds the share of a move forever after a store outage. A node that
/// never reads the store learns of the end only because the notices are no longer renewed.
#[test]
fn outage_ends_when_notices_are_not_renewed() {
    let now = Instant::now();
    let mut outage = StoreOutage::default();
    outage.record_notice(700, LIFETIME, now);

    outage.expire(now + LIFETIME / 2);
    let during = outage.since_unix_ms();
    outage.record_notice(900, LIFETIME, now + LIFETIME / 2);
    outage.expire(now + LIFETIME);
    let renewed = outage.since_unix_ms();
    outage.expire(now + LIFETIME * 2);

    assert_eq!((during, renewed), (Some(700), Some(700)));
    assert_eq!(outage.since_unix_ms(), None);
}

/// Guards against nodes that hold the share of a move at different steps because they assume
/// different start times of the same store outage.
#[test]
fn earliest_begin_of_an_outage_counts() {
    let now = Instant::now();
    let mut outage = StoreOutage::default();

    outage.record_failure(1_000, now);
    outage.record_notice(800, LIFETIME, now);

    assert_eq!(outage.since_unix_ms(), Some(800));
}

/// Guards against a notice for every failed read, and against notices that are renewed too late, so
/// that other nodes end a lasting outage.
#[test]
fn notices_are_renewed_before_they_end() {
    let begin = Instant::now();
    let mut outage = StoreOutage::default();
    let mut notices = Vec::new();

    for tenths in 0..300 {
        let now = begin + Duration::from_millis(100 * tenths);
        outage.record_failure(1_000, now);
        if outage.take_due_notice(now).is_some() {
            notices.push(now);
        }
    }
    outage.record_answer();

    let gaps = notices.windows(2).map(|pair| pair[1] - pair[0]);
    assert_eq!(notices.len(), 5);
    assert!(gaps.max().is_some_and(|gap| gap < NOTICE_LIFETIME));
    assert_eq!(outage.take_due_notice(begin + LIFETIME * 9), None);
}

/// Guards against benchmarks in which the emulated distance is not applied, or is applied to the
/// wrong peers.
#[test]
fn emulated_delay_depends_on_the_distance() {
    let now = Instant::now();
    let mut emulated = Emulation::new(&emulation()).expect("emulation is enabled");

    let near = emulated.delay(address(1), 1_000, now);
    let region = emulated.delay(address(3), 1_000, now);
    let first = emulated.delay(address(9), 3_750, now);
    let second = emulated.delay(address(9), 3_750, now);

    assert_eq!(near, Duration::ZERO);
    assert_eq!(region, Duration::from_micros(1_500));
    assert_eq!(first, Duration::from_millis(13));
    assert_eq!(second, Duration::from_millis(14));
    assert!(Emulation::new(&EmulationOptions::default()).is_none());
}
