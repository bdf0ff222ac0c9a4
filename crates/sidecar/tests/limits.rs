//! Limits that all nodes keep together: repeats, versions under trial, crashing requests.

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

/// A request sent after a part of a roll-out's time, in percent.
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

/// Load: every request fails and could be repeated. Guards against repeats beyond the share,
/// summed over all nodes.
#[test]
fn repeats_keep_to_the_budget_and_urgent_ones_go_further() {
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

/// Load: a called service sheds while the callers' requests are repeated as well. Guards against
/// calls of repeated runs that nobody counts (haengematt-grown scale-1: 3,584 of 3,215).
#[test]
fn calls_of_repeated_runs_use_the_budget() {
    let mut budget = RetryBudget::new(LIMITS);
    for request in 0..1000 {
        budget.count_request("desk", at(request));
    }
    for call in 0..400 {
        budget.count_nested_call("desk", 0.5, at(call));
    }

    assert_eq!(retries_granted(&mut budget, 10, 1_000), 0);
}

/// Guards against a budget that is not renewed.
#[test]
fn repeats_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::new(LIMITS);
    budget.count_request("desk", at(0));
    let first = retries_granted(&mut budget, 100, 10);

    let later = retries_granted(&mut budget, 100, 12_000);

    assert!(first > 0);
    assert_eq!(first, later);
}

/// Guards against one service that uses the budget of another.
#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(LIMITS);
    retries_granted(&mut budget, 100, 0);

    assert!(budget.try_retry("feed", URGENT, at(0), NODES));
}

quickcheck! {
    /// Guards against a share of requests for a bad version that the nodes exceed together.
    fn exposure_keeps_to_its_share_on_every_node(requests: u16) -> bool {
        let mut exposure = Exposure::default();
        let total = u64::from(requests);
        for _ in 0..total {
            exposure.next(rollout_request(100, true), 50, NODES);
        }
        exposure.canary_requests() * 10 <= total + 10 * 50 / 4
    }
}

/// Guards against a load test whose requests are spent one by one as they come: saved up, they
/// are released together.
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

/// Guards against orders that are spent on a test that often fails; at the last step nothing else
/// may be left to test with.
#[test]
fn load_tests_use_requests_that_may_be_repeated() {
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

/// Guards against a request that crashes target after target.
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

/// Guards against refusing a request that merely ran beside one that crashes targets.
#[test]
fn a_whole_answer_clears_a_suspicion() {
    let mut suspects = Suspects::default();
    let innocent = fingerprint("desk", "shop", &request("/a", b""));
    suspects.add(innocent, at(0));

    suspects.clear(innocent);
    suspects.add(innocent, at(1));

    assert!(!suspects.is_refused(innocent, at(2)));
}

/// Guards against fingerprints that mix up different requests.
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
