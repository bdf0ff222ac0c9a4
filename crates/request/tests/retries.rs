//! Retries, budgets and deadlines of calls.

mod common;

use std::time::Duration;

use hemlockfall_request::admission::FenceAnswer;
use hemlockfall_request::budget::RetryBudget;
use hemlockfall_request::call::Answer;
use hemlockfall_request::call::Attempt;
use hemlockfall_request::call::Call;
use hemlockfall_request::call::CallAction;
use hemlockfall_request::call::CallRequest;
use hemlockfall_request::call::LinkFailure;
use hemlockfall_request::clock::Now;
use hemlockfall_request::outcome::AttemptResult;
use hemlockfall_request::outcome::Outcome;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::router::Router;
use uuid::Uuid;

const LEVELS: usize = 15;
const FRESH_REQUESTS: usize = 2_000;
const SEED: u64 = 20_261_207;

fn request(path: &str, number: u128, is_retry: bool) -> CallRequest<'_> {
    CallRequest {
        request_id: Uuid::from_u128(number),
        host: "desk",
        path,
        timeout_ms: None,
        is_retry,
        key: None,
        fingerprint: None,
    }
}

fn start(router: &mut Router, path: &str, is_retry: bool, now: Now) -> (Call, Attempt) {
    let (call, actions) = Call::start(&request(path, 1, is_retry), router, |_, _, _| 1_000, now)
        .expect("the route exists");
    let attempt = sent(&actions).expect("an attempt is sent");
    (call, attempt)
}

fn sent(actions: &[CallAction]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        CallAction::SendAttempt(attempt) => Some((**attempt).clone()),
        _ => None,
    })
}

fn answered(actions: &[CallAction]) -> Option<Answer> {
    actions.iter().find_map(|action| match action {
        CallAction::AnswerCaller(answer) => Some(*answer),
        _ => None,
    })
}

fn unknown(reason: Reason) -> AttemptResult {
    AttemptResult::Unknown { reason }
}

/// A chain of services; `attempts[k]` counts the attempts sent to level `k + 1`.
struct Chain {
    routers: Vec<Router>,
    attempts: Vec<usize>,
    leaf: AttemptResult,
    now: Now,
}

impl Chain {
    fn new(leaf: AttemptResult) -> Self {
        let now = common::start();
        let seeds = (0..LEVELS).map(|level| SEED + level as u64);
        Self {
            routers: seeds
                .map(|seed| common::router_with("e0", seed, 10, now))
                .collect(),
            attempts: vec![0; LEVELS],
            leaf,
            now,
        }
    }

    /// Sends a request to a level. The target there answers 500 when the level below it fails,
    /// whatever answer its node generated.
    fn call(&mut self, level: usize, is_retry: bool) {
        let (mut call, mut attempt) = start(&mut self.routers[level], "/stock", is_retry, self.now);
        loop {
            self.attempts[level] += 1;
            let result = self.run(level, attempt.is_retry);
            let router = &mut self.routers[level];
            call.attempt_ended(attempt.attempt_id, result, router, self.now);
            let Some(wake_at) = call.wake_at() else {
                return;
            };
            let pause = wake_at.saturating_duration_since(self.now.at);
            self.now = self.now.plus(pause + Duration::from_millis(1));
            match sent(&call.tick(router, self.now)) {
                Some(next) => attempt = next,
                None => return,
            }
        }
    }

    fn run(&mut self, level: usize, is_retry: bool) -> AttemptResult {
        self.now = self.now.plus(Duration::from_micros(100));
        if level + 1 == LEVELS {
            return self.leaf;
        }
        self.call(level + 1, is_retry);
        AttemptResult::Answered { is_failure: true }
    }
}

/// Guards against retries that multiply over the levels of a call chain. For each of 15 levels, the
/// attempts sent to it per fresh request at the first level are counted. The largest count, and the
/// sum divided by 15, must stay under 1.2.
#[test]
fn failing_leaf_costs_under_1_2_attempts_per_fresh_request_at_15_levels() {
    let shed = AttemptResult::refused(Reason::TargetShed, None);
    let failed = AttemptResult::Answered { is_failure: true };
    for leaf in [failed, shed, unknown(Reason::LinkLost)] {
        let mut chain = Chain::new(leaf);

        for _ in 0..FRESH_REQUESTS {
            chain.call(0, false);
        }

        let largest = chain.attempts.iter().copied().max().unwrap_or(0);
        let sum: usize = chain.attempts.iter().sum();
        println!(
            "leaf {leaf:?}: {} attempts at the leaf, {sum} in all, for {FRESH_REQUESTS} requests",
            chain.attempts[LEVELS - 1]
        );
        assert!(
            largest * 10 < FRESH_REQUESTS * 12,
            "{leaf:?}: {:?}",
            chain.attempts
        );
        assert!(sum * 10 < FRESH_REQUESTS * LEVELS * 12, "{leaf:?}: {sum}");
    }
}

/// Guards against retries of non-idempotent requests that may have run, of requests whose target
/// was lost, and of requests that arrived marked as a retry.
#[test]
fn retries_follow_the_outcome_and_the_retry_mark() {
    let shed = AttemptResult::refused(Reason::TargetShed, None);
    let lost = unknown(Reason::IncompleteAnswer);
    let target_lost = unknown(Reason::TargetLost);
    let cases = [
        (
            "repeatable, target vanished",
            "/stock",
            false,
            target_lost,
            false,
        ),
        ("repeatable, unknown", "/stock", false, lost, true),
        ("repeatable, not run", "/stock", false, shed, true),
        ("marked as a retry", "/stock", true, shed, false),
        ("order, unknown", "/orders", false, lost, false),
        ("order, surely not run", "/orders", false, shed, true),
        ("order, marked as a retry", "/orders", true, shed, false),
    ];
    for (name, path, is_retry, result, expects_retry) in cases {
        let now = common::start();
        let mut router = common::router_with("e0", SEED, 4, now);
        let (mut call, attempt) = start(&mut router, path, is_retry, now);

        let ended = call.attempt_ended(attempt.attempt_id, result, &mut router, now);
        let later = now.plus(Duration::from_millis(10));
        let next = sent(&call.tick(&mut router, later));

        assert_eq!(next.is_some(), expects_retry, "{name}");
        assert_eq!(answered(&ended).is_none(), expects_retry, "{name}");
        if let Some(next) = next {
            assert!(next.is_retry, "{name}");
            assert_ne!(next.to.node, attempt.to.node, "{name}");
        }
    }
}

/// Guards against "not run" for a request of which an earlier attempt may have run.
#[test]
fn refusal_after_an_unknown_attempt_is_reported_as_unknown() {
    let now = common::start();
    let mut router = common::router_with("e0", SEED, 4, now);
    let (mut call, first) = start(&mut router, "/stock", false, now);
    let lost = unknown(Reason::IncompleteAnswer);
    call.attempt_ended(first.attempt_id, lost, &mut router, now);
    let later = now.plus(Duration::from_millis(10));
    let second = sent(&call.tick(&mut router, later)).expect("a retry is sent");
    let shed = AttemptResult::refused(Reason::TargetShed, None);

    let actions = call.attempt_ended(second.attempt_id, shed, &mut router, later);

    let answer = answered(&actions);
    assert!(
        matches!(
            answer,
            Some(Answer::Generated {
                outcome: Outcome::Unknown,
                ..
            })
        ),
        "{answer:?}"
    );
}

/// Guards against "not run" for a request that ran under the same key before: a refusal that
/// arrives before the keepers were asked says nothing about earlier requests, while one that
/// arrives after they confirmed the key does.
#[test]
fn refusal_without_a_check_of_the_key_is_reported_as_unknown() {
    let rows = [
        (None, Reason::NotSent, Outcome::NotRun),
        (Some("order-1"), Reason::NotSent, Outcome::Unknown),
        (Some("order-1"), Reason::EarlierLife, Outcome::Unknown),
        (Some("order-1"), Reason::QueueFull, Outcome::NotRun),
        (Some("order-1"), Reason::TargetShed, Outcome::NotRun),
    ];

    for (key, reason, expected) in rows {
        let now = common::start();
        let mut router = common::router_with("e0", SEED, 4, now);
        // A retry is not retried again, so the first refusal is final.
        let keyed = CallRequest {
            key,
            ..request("/orders", 1, true)
        };
        let (mut call, actions) =
            Call::start(&keyed, &mut router, |_, _, _| 1_000, now).expect("the route exists");
        let attempt = sent(&actions).expect("an attempt is sent");
        let refused = AttemptResult::refused(reason, None);

        let actions = call.attempt_ended(attempt.attempt_id, refused, &mut router, now);

        let Some(Answer::Generated { outcome, .. }) = answered(&actions) else {
            panic!("{key:?} {reason:?}: {actions:?}");
        };
        assert_eq!(outcome, expected, "{key:?} {reason:?}");
    }
}

/// Guards against a timed-out request that is not answered and cancelled at once.
#[test]
fn timeout_answers_at_once_and_cancels() {
    let now = common::start();
    let mut router = common::router_with("e0", SEED, 4, now);
    let (mut call, _) = start(&mut router, "/orders", false, now);
    let late = now.plus(Duration::from_secs(2));

    let early = call.tick(&mut router, now.plus(Duration::from_millis(1_999)));
    let actions = call.tick(&mut router, late);

    assert!(early.is_empty());
    assert!(matches!(actions[0], CallAction::Cancel { .. }));
    assert_eq!(
        answered(&actions),
        Some(Answer::Generated {
            outcome: Outcome::Unknown,
            reason: Reason::TimedOut,
            retry_after_ms: None,
        })
    );
    assert!(call.is_done());
}

/// Guards against a non-idempotent request that is abandoned although it runs at a node that was
/// paused for a moment and then answers. Once the link has closed, no answer can arrive.
#[test]
fn non_idempotent_request_on_a_stalled_link_is_awaited() {
    let now = common::start();
    let after = |time_ms: u64| now.plus(Duration::from_millis(time_ms));
    for ends in [false, true] {
        let mut router = common::router_with("e0", SEED, 4, now);
        let (mut call, attempt) = start(&mut router, "/orders", false, now);
        let (id, node) = (attempt.attempt_id, attempt.to.node.clone());

        let on_stall = call.link_failed(&node, LinkFailure::Stalled, &mut router, after(600));
        let fenced = call.fence_answered(id, FenceAnswer::Started, &mut router, after(1_100));
        let waiting = call.tick(&mut router, after(1_900));

        assert!(matches!(on_stall[..], [CallAction::Fence { .. }]));
        assert_eq!(answered(&fenced), None);
        assert_eq!(answered(&waiting), None);
        if ends {
            call.link_failed(&node, LinkFailure::Lost, &mut router, after(1_910));
            let end = call.fence_answered(id, FenceAnswer::Started, &mut router, after(1_920));
            assert!(matches!(
                answered(&end),
                Some(Answer::Generated {
                    outcome: Outcome::Unknown,
                    ..
                })
            ));
        } else {
            let is_failure = false;
            let result = AttemptResult::Answered { is_failure };
            let end = call.attempt_ended(id, result, &mut router, after(1_950));
            assert!(matches!(answered(&end), Some(Answer::Forward { .. })));
        }
        assert!(call.is_done());
    }
}

/// Guards against orders that are refused because the node of their target was paused: the attempts
/// that it lost put no load on a target, so more of them than the retry budget holds are retried.
#[test]
fn attempts_that_reached_no_target_are_retried_without_budget() {
    const LOST_AT_ONCE: usize = 30;
    for (reason, is_retried) in [
        (Reason::Fenced, true),
        (Reason::NotSent, true),
        (Reason::EarlierLife, true),
        (Reason::TargetShed, false),
    ] {
        let now = common::start();
        let mut router = common::router_with("e0", SEED, 4, now);
        let mut refused = 0;
        for _ in 0..LOST_AT_ONCE {
            let (mut call, attempt) = start(&mut router, "/orders", false, now);
            let lost = AttemptResult::refused(reason, None);
            let ended = call.attempt_ended(attempt.attempt_id, lost, &mut router, now);
            refused += usize::from(answered(&ended).is_some());
        }

        assert_eq!(refused == 0, is_retried, "{reason:?}: {refused} refused");
    }
}

/// Guards against an order that is refused although a target is free: its attempts reached no target,
/// and every node has been tried once.
#[test]
fn a_node_is_tried_again_when_no_other_is_left() {
    let now = common::start();
    let mut router = common::router_with("e0", SEED, 1, now);
    let (mut call, attempt) = start(&mut router, "/orders", false, now);
    let lost = AttemptResult::refused(Reason::Fenced, None);

    call.attempt_ended(attempt.attempt_id, lost, &mut router, now);
    let later = now.plus(Duration::from_millis(10));
    let next = sent(&call.tick(&mut router, later));

    assert_eq!(next.map(|next| next.to.node), Some(attempt.to.node));
}

/// Guards against deadlines that grow from hop to hop: the time left is the shorter of the caller's
/// and the route's timeout, less the allowance for the hop.
#[test]
fn time_left_is_the_shorter_limit_less_the_hop() {
    for (timeout_ms, expected_ms) in [(None, 1_999), (Some(500), 499), (Some(9_000), 1_999)] {
        let now = common::start();
        let mut router = common::router_with("e0", SEED, 4, now);
        let request = CallRequest {
            timeout_ms,
            ..request("/stock", 1, false)
        };

        let started = Call::start(&request, &mut router, |_, _, _| 1_000, now);

        let (_, actions) = started.expect("the route exists");
        assert_eq!(
            sent(&actions).map(|sent| sent.time_left_ms),
            Some(expected_ms)
        );
    }
}

/// Guards against budgets that allow more than a tenth of fresh traffic, or less than one retry
/// per second on a quiet service.
#[test]
fn budget_is_a_tenth_of_fresh_traffic_and_at_least_one_per_second() {
    for (fresh_per_s, expected) in [
        (0, 10..=12),
        (5, 10..=12),
        (100, 98..=112),
        (1_000, 980..=1_110),
    ] {
        let mut now = common::start().at;
        let mut budget = RetryBudget::new(now);
        let mut taken = 0;
        for _ in 0..10 {
            for _ in 0..fresh_per_s {
                budget.deposit(100, now);
                now += Duration::from_secs(1) / fresh_per_s;
                taken += usize::from(budget.withdraw(now));
            }
            now += Duration::from_secs(u64::from(fresh_per_s == 0));
            taken += usize::from(budget.withdraw(now));
        }

        assert!(expected.contains(&taken), "{fresh_per_s} per s: {taken}");
    }
}
