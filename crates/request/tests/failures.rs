//! Ejection, fingerprints of suspected crash requests, and detection of stalled links.

mod common;

use std::time::Duration;

use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_request::ejection::Health;
use hemlockfall_request::fingerprint;
use hemlockfall_request::fingerprint::Fingerprints;
use hemlockfall_request::options::Options;
use hemlockfall_request::outcome::AttemptResult;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::suspicion::StallAction;
use hemlockfall_request::suspicion::StallDetector;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 20_261_206;
const LATENCY: Duration = Duration::from_millis(2);

fn check(property: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(200)
        .quickcheck(property);
}

/// Guards against a service that loses more than half of its targets to ejection, also while
/// targets leave.
#[test]
fn ejection_never_takes_more_than_half_of_a_service() {
    fn property(seed: u64) -> bool {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut now = common::start();
        let targets = random.random_range(1..13);
        let mut router = common::router_with("e0", seed, targets, now);
        let mut ready = targets;
        for step in 0..2_000 {
            now = now.plus(Duration::from_millis(random.random_range(0..20)));
            if step % 400 == 399 && ready > 1 {
                ready -= 1;
                let mut record = common::record(&format!("n{ready}"), "desk", "east", "east-1");
                record.state = EndpointState::Left;
                router.set_endpoint(&record, now);
            }
            let target = router
                .pick("desk", "v1", &[], now)
                .expect("a target is left");
            let is_failure = random.random_range(0..10) < 8;
            let result = AttemptResult::Answered { is_failure };
            router.attempt_started(&target);
            router.attempt_finished(&target, result, LATENCY, now);
            assert!(router.ejected("desk", now) * 2 <= ready);
        }
        true
    }
    check(property);
}

/// Guards against ejections that happen too early or never, at both thresholds.
#[test]
fn ejection_follows_both_thresholds() {
    let cases: [(&str, Vec<bool>, bool); 6] = [
        ("4 in a row", vec![true; 4], false),
        ("5 in a row", vec![true; 5], true),
        (
            "interrupted",
            [vec![true; 4], vec![false], vec![true; 4]].concat(),
            false,
        ),
        ("half of 20", [true, false].repeat(10), false),
        (
            "over half of 20",
            [vec![false; 5], [true, true, false].repeat(5)].concat(),
            false,
        ),
        ("two thirds of 21", [true, true, false].repeat(7), true),
    ];
    for (name, failures, expected) in cases {
        let now = common::start().at;
        let options = Options::default();
        let mut health = Health::new(now);

        let is_due = failures.iter().fold(false, |due, failure| {
            health.record(*failure, now, &options) | due
        });

        assert_eq!(is_due, expected, "{name}");
    }
}

/// Guards against ejection times that do not grow for a target that keeps failing, or never reset.
#[test]
fn ejection_doubles_up_to_a_minute_and_is_reset() {
    let options = Options::default();
    let mut now = common::start().at;
    let mut health = Health::new(now);
    let mut seconds = Vec::new();
    for _ in 0..6 {
        let duration = health.eject(now, &options);
        seconds.push(duration.as_secs());
        now += duration + Duration::from_secs(1);
    }

    let after_quiet = health.eject(now + Duration::from_mins(1), &options);

    assert_eq!(seconds, [5, 10, 20, 40, 60, 60]);
    assert_eq!(after_quiet.as_secs(), 5);
}

/// Guards against ejection of targets for the crashes that one request causes.
#[test]
fn lost_targets_do_not_count_towards_ejection() {
    let now = common::start();
    let mut router = common::router_with("e0", 1, 1, now);
    router.set_endpoint(&common::record("n1", "desk", "east", "east-1"), now);
    let reason = Reason::TargetLost;
    for _ in 0..40 {
        let target = router.pick("desk", "v1", &[], now).expect("a target");
        router.attempt_finished(&target, AttemptResult::Unknown { reason }, LATENCY, now);
    }

    let ejected = router.ejected("desk", now);

    assert_eq!(ejected, 0);
}

/// Guards against a resent request that crashes target after target: at most two are lost, plus
/// those that already run it when the second one is lost.
#[test]
fn crashing_request_takes_down_at_most_two_targets_plus_those_running_it() {
    fn property(seed: u64) -> bool {
        let mut random = SmallRng::seed_from_u64(seed);
        let options = Options::default();
        let crash = fingerprint::fingerprint("desk", "POST", "/orders", b"crash");
        let mut now = common::start().at;
        let mut nodes: Vec<Fingerprints> = (0..4).map(|_| Fingerprints::new(&options)).collect();
        let mut running: Vec<u64> = Vec::new();
        let mut next_incarnation = 0;
        let mut lost = 0;
        let mut allowed = usize::MAX;
        let end = now + Duration::from_mins(1);
        while now < end {
            now += Duration::from_millis(random.random_range(1..200));
            let entry = random.random_range(0..nodes.len());
            let is_refused = nodes[entry].refused_for(&crash, now).is_some();
            if running.len() < 5 && !is_refused {
                running.push(next_incarnation);
                next_incarnation += 1;
            }
            if running.is_empty() || random.random_range(0..3) > 0 {
                continue;
            }
            let incarnation = running.swap_remove(random.random_range(0..running.len()));
            lost += 1;
            let node = format!("n{incarnation}").into();
            let report = nodes[entry].record_crash(crash, &node, incarnation, now);
            for node in &mut nodes {
                if let Some(report) = &report {
                    node.merge(report, now);
                }
            }
            if lost == 2 {
                allowed = 2 + running.len();
            }
        }
        lost >= 2 && lost <= allowed
    }
    check(property);
}

/// Guards against a refusal that never ends, that counts one crash twice, or that ends when the
/// first crash expires.
#[test]
fn fingerprint_is_refused_for_a_minute_after_the_second_crash() {
    let options = Options::default();
    let crash = fingerprint::fingerprint("desk", "GET", "/", b"");
    let start = common::start().at;
    let second = start + Duration::from_secs(50);
    let mut here = Fingerprints::new(&options);
    let mut there = Fingerprints::new(&options);
    here.record_crash(crash, &"n0".into(), 1, start);
    let repeated = here.record_crash(crash, &"n0".into(), 1, start);
    let refused_after_one = here.refused_for(&crash, start);

    let report = here.record_crash(crash, &"n1".into(), 1, second);
    let relayed = report.and_then(|report| there.merge(&report, second + Duration::from_secs(1)));

    assert_eq!(repeated, None);
    assert_eq!(refused_after_one, None);
    assert!(relayed.is_some());
    for table in [&here, &there] {
        let late = second + Duration::from_secs(59);
        assert!(table.refused_for(&crash, late).is_some());
        let over = second + Duration::from_secs(62);
        assert!(table.refused_for(&crash, over).is_none());
    }
}

/// Guards against a stalled link that is not detected, an idle link that is suspected, and a link
/// that is suspected before its ping had time to be answered.
#[test]
fn stalled_link_is_pinged_then_suspected() {
    let start = common::start().at;
    let at = |time_ms: u64| start + Duration::from_millis(time_ms);
    let mut link = StallDetector::new(&Options::default());
    let idle = link.tick(at(5_000));
    link.call_sent(at(5_000));

    let steps = [
        (idle, None),
        (link.tick(at(5_299)), None),
        (link.tick(at(5_300)), Some(StallAction::Ping)),
        (link.tick(at(5_599)), None),
        (link.tick(at(5_600)), Some(StallAction::Suspect)),
    ];

    for (index, (actual, expected)) in steps.into_iter().enumerate() {
        assert_eq!(actual, expected, "step {index}");
    }
}

/// Guards against suspicion of a link whose peer answers pings while a call takes long, and of a
/// link on which no answer is expected any more.
#[test]
fn answered_ping_keeps_the_link() {
    let start = common::start().at;
    let at = |time_ms: u64| start + Duration::from_millis(time_ms);
    let mut link = StallDetector::new(&Options::default());
    link.call_sent(start);
    link.tick(at(300));
    link.received(true, at(310));

    let after_pong = link.tick(at(605));
    let next_ping = link.tick(at(610));
    link.received(false, at(620));
    let after_answer = link.tick(at(60_000));

    assert_eq!(after_pong, None);
    assert_eq!(next_ping, Some(StallAction::Ping));
    assert_eq!(after_answer, None);
}

/// Guards against a stalled link that is never detected because every call on it is abandoned, and
/// followed by another one, before the stall timeout.
#[test]
fn calls_with_short_deadlines_do_not_hide_a_stalled_link() {
    let start = common::start().at;
    let mut link = StallDetector::new(&Options::default());

    let actions: Vec<StallAction> = (0..=6)
        .filter_map(|step| {
            let now = start + Duration::from_millis(step * 100);
            link.call_sent(now);
            link.tick(now)
        })
        .collect();

    assert_eq!(actions, [StallAction::Ping, StallAction::Suspect]);
}
