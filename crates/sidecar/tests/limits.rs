//! Tests of the limits on retries, canary requests and suspected crash requests.

mod common;

use std::time::Duration;

use common::at;
use common::request;
use hemlockfall_sidecar::budget::BudgetLimits;
use hemlockfall_sidecar::budget::RetryBudget;
use hemlockfall_sidecar::exposure::CanaryUse;
use hemlockfall_sidecar::exposure::Exposure;
use hemlockfall_sidecar::exposure::RolloutRequest;
use hemlockfall_sidecar::fingerprint::Suspects;
use hemlockfall_sidecar::fingerprint::fingerprint;
use quickcheck::quickcheck;

const NODES: usize = 4;
const URGENT: u8 = 1;
const OTHER: u8 = 2;
const LIMITS: BudgetLimits = BudgetLimits {
    ratio_permille: 200,
    allowance: 64,
    window: Duration::from_secs(10),
};

/// Returns a request after a part of the rollout's time, in percent.
fn rollout_request(after_percent: u32, is_idempotent: bool) -> RolloutRequest {
    let finish_in = Duration::from_secs(16);
    RolloutRequest {
        age: finish_in * after_percent / 100,
        finish_in,
        is_idempotent,
    }
}

fn retries_granted(budget: &mut RetryBudget, tries: usize, at_ms: u64) -> usize {
    (0..tries)
        .filter(|_| budget.try_retry("desk", URGENT, at(at_ms), NODES))
        .count()
}

/// Load: all requests fail and could be retried. Guards against more retries, summed over all
/// nodes, than the budget allows.
#[test]
fn retries_keep_to_the_budget_and_urgent_ones_get_more() {
    let mut budget = RetryBudget::new(LIMITS);
    for request in 0..1000 {
        budget.count_request("desk", at(request));
    }
    let total_budget = 1000 * 200 / 1000 + 64 / 4;

    let other = (0..1000)
        .filter(|_| budget.try_retry("desk", OTHER, at(1_000), NODES))
        .count();
    let urgent = retries_granted(&mut budget, 1000, 1_000);

    assert!(other * 2 < total_budget, "{other} of {total_budget}");
    assert!(urgent > 0);
    assert!(
        other + urgent < total_budget,
        "{other} and {urgent} of {total_budget}"
    );
}

/// Load: a called service sheds load while requests of its callers are retried as well. Guards
/// against calls of retried runs that no budget counts (haengematt-grown scale-1: 3,584 retries
/// with a bound of 3,215).
#[test]
fn calls_of_retried_runs_use_the_budget() {
    let mut budget = RetryBudget::new(LIMITS);
    for request in 0..1000 {
        budget.count_request("desk", at(request));
    }
    for call in 0..400 {
        budget.count_nested_call("desk", 0.5, at(call));
    }

    assert_eq!(retries_granted(&mut budget, 10, 1_000), 0);
}

/// Guards against a budget that is not restored after its window.
#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::new(LIMITS);
    budget.count_request("desk", at(0));
    let first = retries_granted(&mut budget, 100, 10);

    let later = retries_granted(&mut budget, 100, 12_000);

    assert!(first > 0);
    assert_eq!(first, later);
}

/// Guards against one service using the budget of another.
#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(LIMITS);
    retries_granted(&mut budget, 100, 0);

    assert!(budget.try_retry("feed", URGENT, at(0), NODES));
}

quickcheck! {
    /// Guards against nodes that together send more canary requests than the bound of the mesh.
    fn canary_requests_keep_to_their_share_on_every_node(requests: u16) -> bool {
        let mut exposure = Exposure::default();
        let total = u64::from(requests);
        for _ in 0..total {
            exposure.next(rollout_request(100, true), 50, NODES);
        }
        exposure.canary_requests() * 10 <= total + 10 * 50 / 4
    }
}

/// Guards against spending the share of a load test evenly over time: it must be saved up and
/// released as a burst.
#[test]
fn most_of_the_share_is_saved_for_load_tests() {
    let mut exposure = Exposure::default();
    let early = (0..400)
        .filter(|_| exposure.next(rollout_request(20, true), 0, NODES) != CanaryUse::None)
        .count();

    let burst = (0..20)
        .take_while(|_| {
            exposure.next(rollout_request(36, true), 0, NODES) == CanaryUse::LoadTest(1)
        })
        .count();

    assert!((6..=8).contains(&early), "{early}");
    assert!(burst >= 9, "{burst}");
}

/// Guards against load tests that use non-idempotent requests, since the tested version may fail
/// them. At the last step there may be no other requests, so they are used.
#[test]
fn load_tests_use_idempotent_requests() {
    let mut exposure = Exposure::default();
    for _ in 0..1000 {
        exposure.next(rollout_request(20, true), 0, NODES);
    }

    assert_eq!(
        exposure.next(rollout_request(40, false), 0, NODES),
        CanaryUse::None
    );
    assert!(matches!(
        exposure.next(rollout_request(70, false), 0, NODES),
        CanaryUse::LoadTest(_)
    ));
}

/// Guards against a request that crashes one target after another.
#[test]
fn a_request_that_crashed_two_targets_is_refused() {
    let mut suspects = Suspects::default();
    let crashing = fingerprint("desk", "shop", &request("/a", b"x"));

    suspects.add(crashing, at(0));
    assert!(!suspects.is_refused(crashing, at(1)));
    suspects.add(crashing, at(2));

    assert!(suspects.is_refused(crashing, at(3)));
    assert!(!suspects.is_refused(crashing, at(61_000)));
}

/// Guards against refusing a request that only ran at the same time as one that crashes targets.
#[test]
fn a_complete_answer_clears_a_suspicion() {
    let mut suspects = Suspects::default();
    let innocent = fingerprint("desk", "shop", &request("/a", b""));
    suspects.add(innocent, at(0));

    suspects.clear(innocent);
    suspects.add(innocent, at(1));

    assert!(!suspects.is_refused(innocent, at(2)));
}

/// Guards against equal fingerprints of different requests.
#[test]
fn fingerprints_differ_by_service_caller_path_and_body() {
    let prints = [
        fingerprint("desk", "shop", &request("/a", b"x")),
        fingerprint("feed", "shop", &request("/a", b"x")),
        fingerprint("desk", "till", &request("/a", b"x")),
        fingerprint("desk", "shop", &request("/b", b"x")),
        fingerprint("desk", "shop", &request("/a", b"y")),
    ];

    let mut distinct = prints.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), prints.len());
}
