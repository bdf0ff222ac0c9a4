//! Tests of the admission to a target under load.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::admission::AdmissionDecision;
use hemlockfall_sidecar::admission::AdmissionQueue;
use hemlockfall_sidecar::admission::AdmissionRequest;
use hemlockfall_sidecar::admission::RejectReason;
use hemlockfall_sidecar::admission::UplinkDemand;

const SLOTS: usize = 2;

fn request(id: u64, priority: u8, due_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        route: "lookup".into(),
        priority,
        due: at(due_ms),
        deadline: at(due_ms + 500),
        target_latency: Duration::from_millis(300),
        uplink: UplinkDemand::default(),
    }
}

/// Returns a queue with both slots in use and runs of 100 ms.
fn full_queue() -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(SLOTS);
    for id in 0..20 {
        assert_eq!(
            queue.admit(request(id, 1, 300), at(0)),
            AdmissionDecision::Run
        );
        queue.finished(&"lookup".into(), Duration::from_millis(100), true);
    }
    queue.admit(request(100, 1, 300), at(0));
    queue.admit(request(101, 1, 300), at(0));
    queue
}

/// Guards against running more requests at the target than it has slots.
#[test]
fn requests_beyond_the_slots_wait() {
    let mut queue = full_queue();

    let admission = queue.admit(request(1, 1, 300), at(0));

    let displaced = Vec::new();
    assert_eq!(admission, AdmissionDecision::Wait { displaced });
    assert_eq!(queue.load().running, 2);
    assert_eq!(queue.load().queued, 1);
}

/// Load: a burst at a full target. Guards against queueing requests whose answers would be late;
/// they must be rejected at once, with the time after which a retry makes sense.
#[test]
fn a_burst_is_rejected_as_soon_as_the_queue_is_too_long_to_be_in_time() {
    let mut queue = full_queue();

    let admissions: Vec<AdmissionDecision> = (0..20)
        .map(|id| queue.admit(request(id, 1, 300), at(0)))
        .collect();

    let waiting = admissions
        .iter()
        .filter(|admission| matches!(admission, AdmissionDecision::Wait { .. }))
        .count();
    // A slot is free each 50 ms and a run takes 100 ms; a fifth of the 300 ms must be left.
    assert_eq!(waiting, 2);
    let Some(AdmissionDecision::Reject {
        reason,
        retry_after,
        ..
    }) = admissions.last()
    else {
        panic!("the last request of the burst was admitted");
    };
    assert_eq!(*reason, RejectReason::TooLate);
    assert!(*retry_after >= Duration::from_millis(100));
}

/// Load: urgent requests arrive while others wait. Guards against rejecting an urgent request while
/// a less urgent one waits.
#[test]
fn urgent_requests_go_first_and_displace_others_that_would_be_late() {
    let mut queue = full_queue();
    for id in 0..2 {
        queue.admit(request(id, 2, 300), at(0));
    }

    let admission = queue.admit(request(50, 0, 300), at(0));

    assert_eq!(admission, AdmissionDecision::Wait { displaced: vec![1] });
    queue.finished(&"lookup".into(), Duration::from_millis(100), true);
    assert_eq!(queue.dispatch(at(50)).run, vec![50]);
}

/// Load: slots become free later than expected. Guards against running a request whose answer would
/// be late.
#[test]
fn waiting_requests_that_became_too_late_are_not_run() {
    let mut queue = full_queue();
    queue.admit(request(1, 1, 300), at(0));

    queue.finished(&"lookup".into(), Duration::from_millis(100), true);
    let dispatch = queue.dispatch(at(290));

    assert_eq!(dispatch.expired, vec![1]);
    assert!(dispatch.run.is_empty());
}

/// Guards against losing the slot of a request that ends without a run.
#[test]
fn a_released_slot_is_given_to_the_next_request() {
    let mut queue = full_queue();
    queue.admit(request(1, 1, 300), at(0));

    queue.release();

    assert_eq!(queue.dispatch(at(10)).run, vec![1]);
}

/// Guards against running a cancelled request.
#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut queue = full_queue();
    queue.admit(request(1, 1, 300), at(0));

    assert!(queue.cancel(1));

    queue.release();
    assert!(queue.dispatch(at(10)).run.is_empty());
}

/// Load: all targets have just started and are slow. Guards against queueing requests behind the
/// slow runs of a cold target, with late answers. Once the target is warm, the normal run times
/// apply again at once.
#[test]
fn a_cold_target_admits_fewer_requests() {
    let mut queue = full_queue();
    queue.set_cold(true);

    let cold = queue.admit(request(1, 1, 300), at(0));
    let cold_report = queue.load_for("lookup").route_run_ms;
    queue.set_cold(false);
    let warm = queue.admit(request(2, 1, 300), at(0));

    assert!(matches!(cold, AdmissionDecision::Reject { .. }), "{cold:?}");
    assert!(matches!(warm, AdmissionDecision::Wait { .. }), "{warm:?}");
    assert_eq!(
        (cold_report, queue.load_for("lookup").route_run_ms),
        (200, 100)
    );
}
