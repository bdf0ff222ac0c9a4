//! Placement and records of idempotency keys.

mod common;

use std::time::Duration;

use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::ids::NodeName;
use hemlockfall_request::clock::Now;
use hemlockfall_request::idempotency::ClaimRequest;
use hemlockfall_request::idempotency::KeyAction;
use hemlockfall_request::idempotency::KeyDecision;
use hemlockfall_request::idempotency::KeyMessage;
use hemlockfall_request::idempotency::KeyStore;
use hemlockfall_request::key_records::ClaimVerdict;
use hemlockfall_request::key_records::KeyRecords;
use hemlockfall_request::key_records::RecordedAnswer;
use hemlockfall_request::options::Options;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::placement::Key;
use hemlockfall_request::seen::AttemptId;
use uuid::Uuid;

fn uuid_at(time_unix_ms: u64, number: u8) -> Uuid {
    uuid::Builder::from_unix_timestamp_millis(time_unix_ms, &[number; 10]).into_uuid()
}

fn key_at(time_unix_ms: u64) -> Key {
    Key::new("desk", uuid_at(time_unix_ms, 1).to_string())
}

fn attempt(number: u8) -> AttemptId {
    uuid_at(common::START_UNIX_MS, number)
}

fn answer(content: &[u8]) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content: Some(content.to_vec()),
    }
}

fn request(key: &Key, claimant: AttemptId, keepers: Vec<NodeName>, now: Now) -> ClaimRequest {
    ClaimRequest {
        key: key.clone(),
        claimant,
        keepers,
        voided: Vec::new(),
        is_generated: false,
        deadline: now.at + Duration::from_secs(2),
    }
}

fn granted(claimant: AttemptId) -> KeyMessage {
    KeyMessage::ClaimAnswer {
        claimant,
        verdict: ClaimVerdict::Granted,
    }
}

fn decision(actions: &[KeyAction]) -> Option<&KeyDecision> {
    actions.iter().find_map(|action| match action {
        KeyAction::Decide { decision, .. } => Some(decision),
        KeyAction::Send { .. } => None,
    })
}

/// Guards against keys that no majority of keepers can confirm while nodes join: a node that joined
/// too late to confirm a key takes no keeper's place, unless the calling node may have missed an
/// earlier incarnation of it.
#[test]
fn joined_node_keeps_only_keys_that_it_can_confirm() {
    let started = common::start();
    let joined_at = started.plus(Duration::from_mins(1));
    let lag_ms = u64::from(Options::default().key_view_lag_ms);
    let mut router = common::router_with("n9", 1, 3, started);
    let early_key = key_at(joined_at.unix_ms + lag_ms - 2_000);
    let late_key = key_at(joined_at.unix_ms + lag_ms);
    let before = router.keepers(&early_key, false, true, joined_at);
    for index in 10..40 {
        let mut joined = common::record(&format!("n{index}"), "desk", "east", "east-1");
        joined.incarnation = joined_at.unix_ms;
        router.set_endpoint(&joined, joined_at);
    }
    let later = joined_at.plus(Duration::from_millis(lag_ms));

    let of_early = router.keepers(&early_key, false, true, later);
    let of_early_without_history = router.keepers(&early_key, false, false, later);
    let of_late = router.keepers(&late_key, false, true, later);

    assert_eq!(of_early, before);
    assert_ne!(of_early_without_history, before);
    assert_ne!(of_late, before);
}

/// Guards against a restarted node that is treated as a new one: claims that its earlier
/// incarnation granted still count, so it stays a keeper of earlier keys.
#[test]
fn restarted_node_stays_a_keeper_of_earlier_keys() {
    let started = common::start();
    let restarted_at = started.plus(Duration::from_mins(1));
    let mut router = common::router_with("n9", 1, 5, started);
    let key = key_at(restarted_at.unix_ms - 1);
    let before = router.keepers(&key, false, true, restarted_at);
    let mut restarted = common::record(&before[0], "desk", "east", "east-1");
    restarted.incarnation = restarted_at.unix_ms;
    router.set_endpoint(&restarted, restarted_at);

    let after = router.keepers(&key, false, true, restarted_at);

    assert_eq!(after, before);
}

/// Guards against a second run after the first runner failed: it stays a keeper, so the next runner
/// and a node without a record of the key are no majority.
#[test]
fn failed_runner_stays_a_keeper_and_the_others_decide() {
    let started = common::start();
    let now = started.plus(Duration::from_mins(1));
    let mut router = common::router_with("n9", 1, 5, started);
    let key = key_at(now.unix_ms);
    let before = router.keepers(&key, false, true, now);
    let mut failed = common::record(&before[0], "desk", "east", "east-1");
    failed.state = EndpointState::Failed;
    router.set_endpoint(&failed, now);
    let tried = Vec::new();

    let after = router.keepers(&key, false, true, now);
    let runner = router.runner(&key, "v1", &tried, now);
    let mut store = KeyStore::new(before[1].clone(), Options::default(), started);
    let own = store.begin(request(&key, attempt(1), after.clone(), now), now);
    let timeout = store.tick(now.plus(Duration::from_secs(1)));

    assert_eq!(after, before);
    assert_eq!(runner.map(|target| target.node), Some(before[1].clone()));
    assert_eq!(decision(&own), None);
    let cannot_know = KeyDecision::Refused(Reason::KeyCannotKnow);
    assert_eq!(decision(&timeout), Some(&cannot_know));
}

/// Guards against keys that lack a keeper for a quarter of an hour (the lifetime of a key record)
/// after a graceful shutdown: the stopped node is a keeper of earlier keys only.
#[test]
fn stopped_node_keeps_only_earlier_keys() {
    let started = common::start();
    let left_at = started.plus(Duration::from_mins(1));
    let mut router = common::router_with("n9", 1, 5, started);
    let old_key = key_at(left_at.unix_ms - 1);
    let later = left_at.plus(Duration::from_mins(1));
    let new_key = key_at(later.unix_ms);
    let keeper_of_both = router
        .keepers(&old_key, false, true, left_at)
        .into_iter()
        .find(|node| router.keepers(&new_key, false, true, later).contains(node))
        .expect("3 of 5 and 3 of 5 intersect");
    let mut left = common::record(&keeper_of_both, "desk", "east", "east-1");
    left.state = EndpointState::Left;
    router.set_endpoint(&left, left_at);

    let of_old = router.keepers(&old_key, false, true, later);
    let of_new = router.keepers(&new_key, false, true, later);

    assert!(of_old.contains(&keeper_of_both));
    assert!(!of_new.contains(&keeper_of_both));
    assert_eq!(of_new.len(), 3);
}

/// Guards against a keeper that grants keys which it cannot have recorded: keys from before its
/// start, without a usable time, or older than the lifetime of a record.
#[test]
fn records_confirm_only_keys_that_they_cover() {
    let options = Options::default();
    let start = common::start();
    let minute = Duration::from_mins(1);
    let cases = [
        (
            "before the start",
            start.plus(minute),
            key_at(start.unix_ms - 1),
            false,
        ),
        (
            "in the view lag",
            start.plus(minute),
            key_at(start.unix_ms + 9_999),
            false,
        ),
        (
            "after the view lag",
            start.plus(minute),
            key_at(start.unix_ms + 10_000),
            true,
        ),
        (
            "no time, young memory",
            start.plus(minute * 14),
            Key::new("desk", "a"),
            false,
        ),
        (
            "no time, old memory",
            start.plus(minute * 16),
            Key::new("desk", "a"),
            true,
        ),
        (
            "in the future",
            start.plus(minute),
            key_at(start.unix_ms + 120_000),
            false,
        ),
        (
            "too old",
            start.plus(minute * 30),
            key_at(start.unix_ms + 600_000),
            false,
        ),
    ];
    for (name, now, key, expected) in cases {
        let mut records = KeyRecords::new(start, &options);

        let verdict = records.claim(&key, attempt(1), &[], now, &options);

        assert_eq!(verdict == ClaimVerdict::Granted, expected, "{name}");
    }
}

/// Guards against records that grow without bound, and against a full keeper that grants keys whose
/// records it evicted.
#[test]
fn records_are_bounded_and_evicted_keys_are_not_confirmed() {
    let options = Options {
        key_max_records: 10,
        key_max_bytes: 4_000,
        ..Options::default()
    };
    let start = common::start();
    let mut now = start.plus(Duration::from_mins(1));
    let mut records = KeyRecords::new(start, &options);
    let first = key_at(now.unix_ms);
    for _ in 0..40 {
        let key = key_at(now.unix_ms);
        records.claim(&key, attempt(1), &[], now, &options);
        records.finish(&key, attempt(1), answer(&[0; 100]), now, &options);
        assert!(records.len() <= 10 && records.bytes() <= 4_000);
        now = now.plus(Duration::from_secs(1));
    }

    let verdict = records.claim(&first, attempt(2), &[], now, &options);

    assert_eq!(verdict, ClaimVerdict::CannotKnow);
}

/// Guards against a resend that is refused although the first attempt is known not to have run, and
/// against a release that removes the record of another attempt.
#[test]
fn released_and_voided_claims_free_the_key() {
    let options = Options::default();
    let start = common::start();
    let now = start.plus(Duration::from_mins(1));
    let key = key_at(now.unix_ms);
    let mut records = KeyRecords::new(start, &options);
    records.claim(&key, attempt(1), &[], now, &options);

    let voiding = records.claim(&key, attempt(2), &[attempt(1)], now, &options);
    records.release(&key, attempt(1));
    let third = records.claim(&key, attempt(3), &[], now, &options);
    records.release(&key, attempt(2));
    let fourth = records.claim(&key, attempt(4), &[], now, &options);

    assert_eq!(voiding, ClaimVerdict::Granted);
    assert!(matches!(third, ClaimVerdict::AlreadyClaimed(_)));
    assert_eq!(fourth, ClaimVerdict::Granted);
}

/// Guards against a duplicate call frame or verdict that leads to a second dispatch.
#[test]
fn duplicate_frames_decide_once() {
    let start = common::start();
    let now = start.plus(Duration::from_mins(1));
    let key = key_at(now.unix_ms);
    let keepers: Vec<NodeName> = ["a", "b", "c"].map(NodeName::from).to_vec();
    let mut store = KeyStore::new("a".into(), Options::default(), start);
    let claim = request(&key, attempt(1), keepers, now);
    store.begin(claim.clone(), now);

    let first = store.receive(&"b".into(), granted(attempt(1)), now);
    let repeated = [
        store.receive(&"b".into(), granted(attempt(1)), now),
        store.receive(&"c".into(), granted(attempt(1)), now),
        store.begin(claim.clone(), now),
    ];
    store.released(attempt(1));
    let after_release = store.begin(claim, now);

    assert_eq!(decision(&first), Some(&KeyDecision::Run));
    assert!(repeated.iter().all(Vec::is_empty));
    assert!(after_release.is_empty());
}

/// Guards against an answer that is lost with its runner: a witness that becomes the runner of the
/// resend finds the recorded answer, or that the key was started.
#[test]
fn resend_after_the_runner_died_gets_the_recorded_answer_or_unknown() {
    let start = common::start();
    let now = start.plus(Duration::from_mins(1));
    let key = key_at(now.unix_ms);
    let keepers: Vec<NodeName> = ["a", "b", "c"].map(NodeName::from).to_vec();
    for (is_finished, expected) in [
        (true, KeyDecision::Recorded(answer(b"done"))),
        (false, KeyDecision::Refused(Reason::KeyPending)),
    ] {
        let mut runner = KeyStore::new("a".into(), Options::default(), start);
        let mut witness = KeyStore::new("b".into(), Options::default(), start);
        let mut sent = runner.begin(request(&key, attempt(1), keepers.clone(), now), now);
        runner.receive(&"b".into(), granted(attempt(1)), now);
        if is_finished {
            sent.extend(runner.finished(attempt(1), answer(b"done"), now));
        }
        for action in sent {
            if let KeyAction::Send { to, message } = action
                && to == "b"
            {
                witness.receive(&"a".into(), message, now);
            }
        }

        let mut resent = witness.begin(request(&key, attempt(2), keepers.clone(), now), now);
        resent.extend(witness.tick(now.plus(Duration::from_secs(1))));

        assert_eq!(decision(&resent), Some(&expected));
    }
}
