//! Tests of the choice of a target under load and between data centres.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::admission::AdmissionQueue;
use hemlockfall_sidecar::admission::AdmissionRequest;
use hemlockfall_sidecar::admission::UplinkDemand;
use hemlockfall_sidecar::balance;
use hemlockfall_sidecar::balance::Candidate;
use hemlockfall_sidecar::balance::Demand;
use hemlockfall_sidecar::balance::Distance;
use hemlockfall_sidecar::model::LoadReport;
use hemlockfall_sidecar::model::RateLimitReport;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LOCAL: u64 = 1;
const OTHER: u64 = 2;

fn candidate(node: u64, distance: Distance, busy: u16) -> Candidate {
    Candidate {
        node,
        distance,
        load: LoadReport {
            running: busy.min(12),
            queued: busy.saturating_sub(12),
            slots: 12,
            run_ms: 100,
            route_run_ms: 100,
            failed_permille: 0,
            uplink_busy_ms: 0,
            route_send_ms: 0,
            rate_limit_wait_ms: 0,
            rate_limit: RateLimitReport::Unknown,
        },
        load_at: at(1_000),
        outstanding: 0,
        slots: 12,
    }
}

fn request(id: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        route: "lookup".into(),
        priority: 1,
        due: at(300),
        deadline: at(800),
        target_latency: Duration::from_millis(300),
        uplink: UplinkDemand::default(),
    }
}

fn demand(answer_kib: f64) -> Demand {
    Demand {
        time_left: Duration::from_millis(300),
        answer_kib: Some(answer_kib),
        mean_kib: Some(2.0),
    }
}

fn choose(candidates: &[Candidate], demand: &Demand) -> Option<u64> {
    balance::choose(
        candidates,
        demand,
        at(1_010),
        &mut SmallRng::seed_from_u64(1),
    )
}

/// Load: a data centre that is busy but can answer in time. Guards against sending large answers
/// between data centres without need.
#[test]
fn large_answers_stay_in_their_data_centre_while_it_is_in_time() {
    let candidates = [
        candidate(LOCAL, Distance::DataCentre, 11),
        candidate(OTHER, Distance::Region, 0),
    ];

    assert_eq!(choose(&candidates, &demand(5.0)), Some(LOCAL));
}

/// Load: a data centre that is full. Guards against late answers of local targets while others
/// elsewhere are free. Requests with small answers are sent elsewhere first.
#[test]
fn small_answers_move_first_when_the_data_centre_is_full() {
    let candidates = [
        candidate(LOCAL, Distance::DataCentre, 32),
        candidate(OTHER, Distance::Region, 0),
    ];

    assert_eq!(choose(&candidates, &demand(0.4)), Some(OTHER));
    assert_eq!(choose(&candidates, &demand(8.0)), Some(LOCAL));
}

/// Load: one target is several times slower than the others. Guards against giving it an equal
/// share of the requests.
#[test]
fn a_slow_target_is_not_chosen() {
    let mut slow = candidate(LOCAL, Distance::DataCentre, 0);
    slow.load.route_run_ms = 500;
    let candidates = [slow, candidate(OTHER, Distance::DataCentre, 6)];

    assert_eq!(choose(&candidates, &demand(1.0)), Some(OTHER));
}

/// Load: a target fails part of its requests. Guards against preferring it for its short run times.
#[test]
fn a_failing_target_is_not_chosen() {
    let mut failing = candidate(LOCAL, Distance::DataCentre, 0);
    failing.load.failed_permille = 450;
    failing.load.route_run_ms = 5;
    let candidates = [failing, candidate(OTHER, Distance::DataCentre, 6)];

    assert_eq!(choose(&candidates, &demand(1.0)), Some(OTHER));
}

/// Load: all targets are full. Guards against sending a request to a node that can only refuse it.
#[test]
fn no_target_is_chosen_when_all_report_full() {
    let candidates = [
        candidate(LOCAL, Distance::DataCentre, 60),
        candidate(OTHER, Distance::Region, 60),
    ];

    assert_eq!(choose(&candidates, &demand(1.0)), None);
}

/// Guards against excluding a target permanently because of an old report.
#[test]
fn old_reports_exclude_no_target() {
    let mut full = candidate(LOCAL, Distance::DataCentre, 60);
    full.load_at = at(0);

    assert_eq!(choose(&[full], &demand(1.0)), Some(LOCAL));
}

/// Load: many nodes with the same reports. Guards against all of them choosing the same target.
#[test]
fn equal_targets_share_the_requests() {
    let candidates = [
        candidate(LOCAL, Distance::DataCentre, 3),
        candidate(OTHER, Distance::DataCentre, 3),
    ];
    let mut random = SmallRng::seed_from_u64(7);

    let local = (0..200)
        .filter(|_| {
            balance::choose(&candidates, &demand(1.0), at(1_010), &mut random) == Some(LOCAL)
        })
        .count();

    assert!((60..140).contains(&local), "{local} of 200");
}

/// Load: a target rejects half of its requests at once while its queue is empty. Guards against
/// treating it as idle, which draws requests away from the targets that would run them.
#[test]
fn a_target_that_sheds_is_not_chosen() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(12);
    for id in 0..60 {
        queue.admit(request(id), at(0));
        if id % 2 == 0 {
            queue.rejected();
        } else {
            queue.finished(&"lookup".into(), Duration::from_millis(100), true);
        }
    }
    let shedding = Candidate {
        load: queue.load_for("lookup"),
        ..candidate(LOCAL, Distance::DataCentre, 0)
    };
    let busy = candidate(OTHER, Distance::DataCentre, 16);

    assert_eq!(choose(&[shedding, busy], &demand(1.0)), Some(OTHER));
}

/// Load: the nodes of a data centre have the same reports, some tenths of a second old. Guards
/// against all of them choosing the best target of these reports, which is then full while others
/// are idle.
#[test]
fn nodes_with_the_same_reports_do_not_choose_the_same_target() {
    const TARGETS: u64 = 14;
    let candidates: Vec<Candidate> = (1..=TARGETS)
        .map(|node| {
            let mut candidate = candidate(node, Distance::DataCentre, 3);
            // One target is faster than the others.
            candidate.load.route_run_ms = if node == 1 { 60 } else { 100 };
            candidate
        })
        .collect();
    let mut random = SmallRng::seed_from_u64(1);

    let fastest = (0..1000)
        .filter(|_| balance::choose(&candidates, &demand(0.4), at(1_010), &mut random) == Some(1))
        .count();

    // Three of 14 are compared, so the fastest gets at most three times an equal share.
    assert!((100..280).contains(&fastest), "{fastest}");
}

/// Guards against keeping a request in a full data centre while a target elsewhere is free, because
/// only a sample of local targets was compared.
#[test]
fn targets_in_other_data_centres_are_always_compared() {
    let mut candidates: Vec<Candidate> = (1..=14)
        .map(|node| candidate(node, Distance::DataCentre, 32))
        .collect();
    candidates.push(candidate(20, Distance::Region, 0));
    let mut random = SmallRng::seed_from_u64(1);

    let elsewhere = (0..100)
        .filter(|_| balance::choose(&candidates, &demand(0.4), at(1_010), &mut random) == Some(20))
        .count();

    assert_eq!(elsewhere, 100);
}
