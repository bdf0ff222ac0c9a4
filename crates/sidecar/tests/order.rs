//! Tests of the decisions of the order by cost.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::admission::AdmissionDecision;
use hemlockfall_sidecar::admission::AdmissionQueue;
use hemlockfall_sidecar::admission::AdmissionRequest;
use hemlockfall_sidecar::admission::RejectReason;
use hemlockfall_sidecar::admission::UplinkDemand;
use hemlockfall_sidecar::cold_rate::ColdLimit;
use hemlockfall_sidecar::order::Claim;
use hemlockfall_sidecar::order::Order;
use hemlockfall_sidecar::order::Rank;
use hemlockfall_sidecar::order::RequestTimes;
use hemlockfall_sidecar::order::Standing;
use hemlockfall_sidecar::order::plan;
use hemlockfall_sidecar::order::plan::Horizon;
use hemlockfall_sidecar::order::plan::Job;
use hemlockfall_sidecar::order::reservation::Reservation;
use hemlockfall_sidecar::order::reservation::SlotUse;
use hemlockfall_sidecar::order::returns::Returns;
use hemlockfall_sidecar::order::returns::Room;
use hemlockfall_sidecar::order::shares::AccountShares;

const RUN: Duration = Duration::from_millis(100);

fn job(priority: u8, claim: Claim, run_ms: u64, latest_ms: u64) -> Job {
    Job {
        rank: Rank::new(priority, claim),
        latest: at(latest_ms),
        run: Duration::from_millis(run_ms),
        uplink: UplinkDemand::default(),
        waited: Duration::ZERO,
    }
}

fn one_slot() -> Horizon {
    Horizon {
        slots_free_at: vec![at(0)],
        ..Horizon::default()
    }
}

/// Load: a long request is due before several short ones. Guards against serving the long one in
/// place of two others.
#[test]
fn the_request_with_the_most_work_is_given_up() {
    let jobs = [
        job(1, Claim::Usual, 90, 100),
        job(1, Claim::Usual, 40, 110),
        job(1, Claim::Usual, 40, 120),
    ];

    let plan = plan::plan(&jobs, &one_slot());

    assert_eq!((plan.kept, plan.given_up), (vec![1, 2], vec![0]));
}

/// Guards against a request that is given up although its absence helps no other one.
#[test]
fn a_request_that_is_late_in_any_plan_displaces_nothing() {
    let jobs = [job(1, Claim::Usual, 50, 60), job(1, Claim::Usual, 40, 30)];

    let plan = plan::plan(&jobs, &one_slot());

    assert_eq!((plan.kept, plan.given_up), (vec![0], vec![1]));
}

/// Guards against ranks that are mixed: a more urgent priority goes first, then protected and spent
/// requests, and those in excess are given up before others that have more work.
#[test]
fn ranks_are_planned_one_after_the_other() {
    let jobs = [
        job(1, Claim::Excess, 10, 150),
        job(2, Claim::Usual, 10, 100),
        job(1, Claim::Usual, 60, 150),
        job(1, Claim::Spent, 40, 150),
        job(2, Claim::Protected, 40, 150),
        job(0, Claim::Usual, 10, 150),
    ];

    let plan = plan::plan(&jobs, &one_slot());

    assert_eq!((plan.kept, plan.given_up), (vec![4, 5, 3, 2], vec![0, 1]));
}

/// Guards against less urgent requests that are planned in slots which are left free.
#[test]
fn reserved_slots_are_not_planned_for_less_urgent_requests() {
    let horizon = Horizon {
        slots_free_at: vec![at(0), at(0), at(80)],
        left_free: vec![(2, 2)],
        ..Horizon::default()
    };
    let jobs = [job(2, Claim::Usual, 50, 100), job(0, Claim::Usual, 50, 60)];

    let both = plan::plan(&jobs, &horizon);
    let alone = plan::plan(&jobs[..1], &horizon);

    assert_eq!((both.kept, both.given_up), (vec![1, 0], vec![]));
    assert_eq!(alone.given_up, vec![0]);
}

/// Load: urgent requests are turned away, then none comes any more. Guards against slots that are not
/// reserved or stay so, and against less urgent requests that get no slot at all.
#[test]
fn slots_are_reserved_while_more_urgent_requests_are_turned_away() {
    let mut reservation = Reservation::default();
    let slot_use = SlotUse {
        slots: 8,
        more_urgent: 0,
        others: 4,
    };
    for ms in (0..4_000).step_by(25) {
        reservation.arrived(0, RUN, at(ms));
    }
    let before = reservation.left_free(2, slot_use, at(4_000));
    for _ in 0..10 {
        reservation.turned_away(0, at(4_000));
    }

    let left_free = reservation.left_free(2, slot_use, at(4_000));
    let to_urgent = reservation.left_free(0, slot_use, at(4_000));
    let in_use = SlotUse {
        more_urgent: 2,
        ..slot_use
    };
    let beside_urgent = reservation.left_free(2, in_use, at(4_000));
    let idle = SlotUse {
        others: 1,
        ..slot_use
    };
    let beside_none = reservation.left_free(2, idle, at(4_000));
    let later = reservation.left_free(2, slot_use, at(12_000));

    // 40 requests per second of 100 ms need 4 slots; the average has not quite reached that.
    assert!((3..=4).contains(&left_free), "{left_free}");
    assert_eq!(beside_urgent, left_free - 2);
    assert_eq!((before, to_urgent, beside_none, later), (0, 0, 0, 0));
}

/// Load: many callers are refused at once. Guards against callers that come back together, and
/// against less urgent ones that come back before the others.
#[test]
fn refused_callers_come_back_one_by_one_and_less_urgent_ones_later() {
    let mut returns = Returns::default();
    let mut refuse = |priority| {
        let room = Room {
            priority,
            wait: Duration::from_millis(60),
            slot_interval: Duration::from_millis(20),
            left: Duration::from_millis(900),
        };
        returns.retry_after(room, at(1_000)).as_millis()
    };

    let urgent: Vec<u128> = (0..40).map(|_| refuse(0)).collect();
    let other: Vec<u128> = (0..40).map(|_| refuse(2)).collect();

    assert_eq!(urgent[..3], [60, 80, 100]);
    let mut distinct: Vec<u128> = urgent.iter().map(|ms| ms / 10).collect();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() >= 25, "{urgent:?}");
    assert!(
        urgent
            .iter()
            .chain(&other)
            .all(|ms| (40..=400).contains(ms))
    );
    assert!(other.iter().sum::<u128>() > urgent.iter().sum::<u128>());
}

/// Guards against an account that is held back while all accounts grow alike, or for chance at a
/// small demand, and against one that stays held back after its usual demand has grown.
#[test]
fn only_growth_beyond_that_of_the_others_is_excess() {
    let (large, small, other) = ("large".into(), "small".into(), "other".into());
    let mut shares = AccountShares::default();
    let mut send = |from_s: u64, to_s: u64, factors: [u64; 2]| {
        for ms in from_s * 1_000..to_s * 1_000 {
            for (account, factor) in [(&large, factors[0]), (&other, factors[1])] {
                if ms % (100 / factor) == 0 {
                    shares.arrived(account, at(ms));
                }
            }
        }
        if to_s == 60 {
            shares.arrived(&small, at(60_000));
        }
        let now = at(to_s * 1_000);
        [&large, &other, &small].map(|account| shares.is_excess(account, now))
    };

    let usual = send(0, 60, [1, 1]);
    let alike = send(60, 65, [5, 5]);
    let surge = send(65, 70, [10, 1]);
    let grown = send(70, 300, [10, 1]);

    assert_eq!((usual, alike), ([false; 3], [false; 3]));
    assert_eq!((surge, grown), ([true, false, false], [false; 3]));
}

/// Guards against nested calls, and requests that come back, that are not recognized, and against
/// ordinary ones that are.
#[test]
fn spent_work_is_recognized_by_the_times_of_a_request() {
    let times = |due_ms, deadline_ms| RequestTimes {
        submitted_at: at(1_000),
        due: at(due_ms),
        deadline: at(deadline_ms),
        target_latency: Duration::from_millis(300),
    };

    let [first, returned, nested] = [
        times(1_290, 1_800),
        times(1_250, 1_800),
        times(1_300, 1_350),
    ];

    assert!(!first.has_come_back() && !first.is_nested());
    assert!(returned.has_come_back() && !returned.is_nested());
    assert!(nested.is_nested() && !nested.has_come_back());
}

/// Guards against a queue that loses track of its slots when the setting changes during runs, or
/// refuses what it could run.
#[test]
fn the_order_may_change_while_requests_run() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(2);
    let request = |id| AdmissionRequest {
        id,
        route: "lookup".into(),
        priority: 1,
        due: at(300),
        deadline: at(800),
        target_latency: Duration::from_millis(300),
        uplink: UplinkDemand::default(),
    };
    queue.admit(request(1), at(0));
    queue.admit(request(2), at(0));
    queue.set_order(Order::Cost);

    let waits = queue.admit_with(request(3), Standing::default(), at(0));
    queue.ended(1);
    queue.finished(&"lookup".into(), RUN, true);
    let dispatched = queue.dispatch(at(100)).run;
    queue.set_order(Order::Arrival);

    let displaced = Vec::new();
    assert_eq!(waits, AdmissionDecision::Wait { displaced });
    assert_eq!(dispatched, [3]);
    assert_eq!(queue.load().running, 2);
}

fn lookup(id: u64, due_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        route: "lookup".into(),
        priority: 1,
        due: at(due_ms),
        deadline: at(800),
        target_latency: Duration::from_millis(300),
        uplink: UplinkDemand::default(),
    }
}

fn queue_by_cost(slots: usize) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(slots);
    queue.set_order(Order::Cost);
    queue
}

/// Guards against waiting requests that leave the queue without an answer when a new one is refused
/// together with them: they would be held until their deadline.
#[test]
fn requests_given_up_beside_a_refused_one_are_reported() {
    let mut queue = queue_by_cost(1);
    queue.admit(lookup(1, 300), at(0));
    queue.admit(lookup(2, 300), at(0));

    let decision = queue.admit(lookup(3, 310), at(290));

    let AdmissionDecision::Reject { displaced, .. } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(displaced, [2]);
    assert_eq!(queue.load().queued, 0);
}

/// Guards against requests that wait for a cold target although its rate does not allow an answer in
/// time: they would be refused when it is too late to come back.
#[test]
fn requests_beyond_the_cold_rate_are_refused_at_once() {
    let mut queue = queue_by_cost(12);
    let limit = ColdLimit {
        per_s: 13.0,
        max_per_window: 27,
    };
    queue.set_cold_limit(Some(limit), true, at(0));

    let decisions: Vec<AdmissionDecision> = (0..40)
        .map(|id| queue.admit(lookup(id, 300), at(0)))
        .collect();

    let refused = |decision: &&AdmissionDecision| {
        matches!(
            decision,
            AdmissionDecision::Reject {
                reason: RejectReason::RateLimited,
                ..
            }
        )
    };
    // A run takes 105 ms and a fifth of the 300 ms must be left: one permit falls into 135 ms.
    assert_eq!(queue.load().queued, 1);
    assert_eq!(decisions.iter().filter(refused).count(), 39);
}
