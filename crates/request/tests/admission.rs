//! Admission at the target's node.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::Class;
use hemlockfall_request::admission::Admission;
use hemlockfall_request::admission::AdmissionAction;
use hemlockfall_request::admission::AdmissionDecision;
use hemlockfall_request::admission::AdmissionRequest;
use hemlockfall_request::admission::Cancelled;
use hemlockfall_request::admission::FenceAnswer;
use hemlockfall_request::clock::Now;
use hemlockfall_request::options::Options;
use hemlockfall_request::outcome::Outcome;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::seen::AttemptId;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 20_261_205;
const START_UNIX_MS: u64 = 1_800_000_000_000;
const INCARNATION: u64 = 1;

fn start() -> Now {
    Now {
        at: Instant::now(),
        unix_ms: START_UNIX_MS,
    }
}

fn id(number: u64) -> AttemptId {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    uuid::Builder::from_unix_timestamp_millis(START_UNIX_MS + number, &random).into_uuid()
}

fn request(number: u64, class: Class, deadline_ms: u64, now: Now) -> AdmissionRequest {
    AdmissionRequest {
        attempt_id: id(number),
        incarnation: INCARNATION,
        class,
        deadline: now.at + Duration::from_millis(deadline_ms),
    }
}

fn admission(slots: u16) -> Admission {
    Admission::new(INCARNATION, slots, &Options::default())
}

/// Model of a target that checks slots and collects the attempts that started and those that were
/// reported as not run.
#[derive(Default)]
struct Model {
    running: BTreeSet<AttemptId>,
    started: BTreeSet<AttemptId>,
    not_run: BTreeSet<AttemptId>,
}

impl Model {
    fn start(&mut self, attempt_id: AttemptId) {
        assert!(self.started.insert(attempt_id), "started twice");
        self.running.insert(attempt_id);
    }

    fn perform(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(attempt_id) => self.start(attempt_id),
                AdmissionAction::Refuse { attempt_id, .. } => {
                    self.not_run.insert(attempt_id);
                }
            }
        }
    }

    fn apply(&mut self, admission: &mut Admission, operation: u8, number: u64, now: Now) {
        let attempt_id = id(number);
        match operation % 8 {
            0..=3 => {
                let class = [Class::Urgent, Class::Normal, Class::Bulk][usize::from(operation) % 3];
                match admission.admit(&request(number, class, 20 + number % 50, now), now) {
                    AdmissionDecision::Start => self.start(attempt_id),
                    AdmissionDecision::Queued { displaced } => self.not_run.extend(displaced),
                    AdmissionDecision::Refused { reason, .. } => {
                        assert_eq!(reason.outcome(), Outcome::NotRun);
                        self.not_run.insert(attempt_id);
                    }
                    AdmissionDecision::Duplicate => {}
                }
            }
            4 => {
                if admission.fence(attempt_id, INCARNATION, now) == FenceAnswer::NotStarted {
                    self.not_run.insert(attempt_id);
                }
            }
            5 => {
                if admission.cancel(attempt_id, now) == Cancelled::NotStarted {
                    self.not_run.insert(attempt_id);
                }
            }
            _ => {
                if let Some(attempt_id) = self.running.pop_first() {
                    let actions = admission.finished(attempt_id, now);
                    self.perform(actions);
                }
            }
        }
    }
}

/// Guards against exceeded slots, a second start, and "not run" for an attempt that ran or runs
/// later, under any order of calls, duplicate calls, fences, cancellations and ends.
#[test]
fn slots_hold_and_not_run_is_never_false() {
    fn property(slots: u8, operations: Vec<(u8, u8)>) -> bool {
        let slots = u16::from(slots % 12) + 1;
        let mut now = start();
        let mut admission = admission(slots);
        let mut model = Model::default();
        for (operation, number) in operations {
            now = now.plus(Duration::from_millis(u64::from(number % 7)));
            model.apply(&mut admission, operation, u64::from(number % 64), now);
            let due = admission.advance(now);
            model.perform(due);
            assert!(model.running.len() <= usize::from(slots));
            assert_eq!(model.running.len(), admission.running());
            assert!(admission.queued() <= usize::from(slots));
        }
        model.started.is_disjoint(&model.not_run)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(2_000)
        .quickcheck(property as fn(u8, Vec<(u8, u8)>) -> bool);
}

/// Guards against a start after a fence whose call frame arrives later.
#[test]
fn fence_before_the_call_bars_the_attempt() {
    let now = start();
    let mut admission = admission(2);

    let fenced = admission.fence(id(1), INCARNATION, now);
    let offered = admission.admit(&request(1, Class::Urgent, 1_000, now), now);

    assert_eq!(fenced, FenceAnswer::NotStarted);
    assert!(matches!(
        offered,
        AdmissionDecision::Refused {
            reason: Reason::Fenced,
            ..
        }
    ));
}

/// Guards against a restarted node that reports attempts of its earlier incarnation as not started,
/// or runs them.
#[test]
fn attempts_of_an_earlier_incarnation_are_refused_and_not_attested() {
    let now = start();
    let mut admission = Admission::new(2, 2, &Options::default());

    let fenced = admission.fence(id(1), INCARNATION, now);
    let offered = admission.admit(&request(2, Class::Urgent, 1_000, now), now);

    assert_eq!(fenced, FenceAnswer::CannotKnow);
    assert!(matches!(
        offered,
        AdmissionDecision::Refused {
            reason: Reason::EarlierLife,
            ..
        }
    ));
}

/// Guards against a late duplicate of an attempt whose id the node has evicted: it must neither run
/// again nor be reported as not run.
#[test]
fn evicted_attempt_is_neither_run_again_nor_reported_as_not_run() {
    let now = start().plus(Duration::from_mins(1));
    let options = Options {
        seen_max_attempts: 16,
        ..Options::default()
    };
    let mut admission = Admission::new(INCARNATION, 2, &options);
    for number in 0..40 {
        admission.admit(&request(number, Class::Normal, 1_000, now), now);
        admission.finished(id(number), now);
    }

    let offered = admission.admit(&request(3, Class::Normal, 1_000, now), now);
    let fenced = admission.fence(id(4), INCARNATION, now);

    let AdmissionDecision::Refused { reason, .. } = offered else {
        panic!("{offered:?}");
    };
    assert_eq!(reason.outcome(), Outcome::Unknown);
    assert_eq!(fenced, FenceAnswer::CannotKnow);
}

/// Guards against a queue that is not ordered by class and then deadline.
#[test]
fn queue_is_ordered_by_class_then_deadline() {
    let now = start();
    let mut admission = admission(4);
    for number in 0..4 {
        admission.admit(&request(number, Class::Bulk, 1_000, now), now);
    }
    admission.admit(&request(10, Class::Bulk, 100, now), now);
    admission.admit(&request(11, Class::Normal, 900, now), now);
    admission.admit(&request(12, Class::Urgent, 800, now), now);
    admission.admit(&request(13, Class::Urgent, 700, now), now);

    let displacing = admission.admit(&request(14, Class::Urgent, 600, now), now);
    let order: Vec<AdmissionAction> = (0..4)
        .flat_map(|number| admission.finished(id(number), now))
        .collect();

    let displaced = Some(id(10));
    assert_eq!(displacing, AdmissionDecision::Queued { displaced });
    let expected = [14, 13, 12, 11].map(|number| AdmissionAction::Start(id(number)));
    assert_eq!(order, expected);
}

/// Guards against requests that wait in the queue although they cannot start before their deadline.
#[test]
fn request_that_cannot_start_in_time_is_refused_at_once_with_retry_after() {
    let mut now = start();
    let mut admission = admission(2);
    admission.admit(&request(1, Class::Normal, 9_000, now), now);
    now = now.plus(Duration::from_secs(1));
    admission.finished(id(1), now);
    admission.admit(&request(2, Class::Normal, 9_000, now), now);
    admission.admit(&request(3, Class::Normal, 9_000, now), now);

    let offered = admission.admit(&request(4, Class::Normal, 300, now), now);

    assert_eq!(
        offered,
        AdmissionDecision::Refused {
            reason: Reason::DeadlinePassed,
            retry_after_ms: Some(500),
        }
    );
}

/// Guards against new requests on a draining target, and against accepted requests that draining
/// cancels.
#[test]
fn draining_refuses_new_attempts_and_finishes_the_others() {
    let now = start();
    let mut admission = admission(1);
    admission.admit(&request(1, Class::Normal, 1_000, now), now);
    admission.admit(&request(2, Class::Normal, 1_000, now), now);
    admission.drain();

    let offered = admission.admit(&request(3, Class::Urgent, 1_000, now), now);
    let next = admission.finished(id(1), now);
    admission.finished(id(2), now);

    assert!(matches!(
        offered,
        AdmissionDecision::Refused {
            reason: Reason::Draining,
            ..
        }
    ));
    assert_eq!(next, [AdmissionAction::Start(id(2))]);
    assert!(admission.is_drained());
}
