//! Selection of routes and services, configuration deltas, and the step after an attempt.

mod common;

use std::time::Duration;

use common::config;
use common::route;
use hemlockfall_sidecar::attempts::AttemptContext;
use hemlockfall_sidecar::attempts::FinalOutcome;
use hemlockfall_sidecar::attempts::NextStep;
use hemlockfall_sidecar::attempts::Outcome;
use hemlockfall_sidecar::attempts::next_step;
use hemlockfall_sidecar::edge::frame::Failure;
use hemlockfall_sidecar::edge::frame::Refusal;
use hemlockfall_sidecar::model::Idempotency;
use hemlockfall_sidecar::router::Router;
use quickcheck::quickcheck;

fn router() -> Router {
    let mut router = Router::default();
    router.load(&config(
        1,
        vec![
            route("short", "/a/", &[("desk", 1)]),
            route("long", "/a/b/", &[("feed", 1)]),
            route("split", "/s/", &[("desk", 90), ("feed", 10)]),
        ],
    ));
    router
}

/// Guards against a request that is routed by a shorter prefix although a longer one matches.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let router = router();
    let name = |host: &str, path: &str| router.select(host, path).map(|route| route.name.clone());

    assert_eq!(name("shop.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("shop.example:80", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("shop.example", "/a"), None);
    assert_eq!(name("other.example", "/a/b/c"), None);
}

/// Guards against services of a route that get more or fewer requests than their weight.
#[test]
fn a_split_route_follows_its_weights() {
    let mut router = router();
    let route = router
        .select("shop.example", "/s/x")
        .expect("the route exists");

    let feed = (0..1000)
        .filter(|_| router.choose_service(&route).as_deref() == Some("feed"))
        .count();

    assert_eq!(feed, 100);
}

quickcheck! {
    /// Guards against deltas that do not lead to the configuration that they were made from.
    fn a_delta_leads_to_the_same_configuration(before: Vec<u8>, after: Vec<u8>) -> bool {
        let routes = |names: &[u8]| {
            let mut names = names.to_vec();
            names.sort_unstable();
            names.dedup();
            names
                .iter()
                .map(|name| route(&format!("r{}", name % 32 + name / 32 * 32), "/x/", &[("s", u32::from(*name))]))
                .collect::<Vec<_>>()
        };
        let old = config(1, routes(&before));
        let new = config(5, routes(&after));
        old.apply(new.delta_from(&old)) == Some(new)
    }
}

/// Guards against a delta that is applied to a configuration other than its base.
#[test]
fn a_delta_of_another_base_is_refused() {
    let old = config(1, vec![route("a", "/a/", &[("desk", 1)])]);
    let new = config(4, vec![route("b", "/b/", &[("desk", 1)])]);
    let other = config(2, Vec::new());

    assert_eq!(other.apply(new.delta_from(&old)), None);
}

fn context(idempotency: Idempotency) -> AttemptContext {
    AttemptContext {
        idempotency,
        target_attempts: 1,
        max_attempts: 2,
        refusals: 0,
        may_have_run: false,
        time_left: Duration::from_millis(300),
    }
}

/// Guards against a non-idempotent request that is retried after it may have run.
#[test]
fn a_request_that_may_have_run_is_retried_only_if_it_is_idempotent() {
    let failed = Outcome::Failed(Failure::ConnectionLost);
    let otherwise = FinalOutcome::Unknown;

    assert_eq!(
        next_step(failed, context(Idempotency::Idempotent)),
        NextStep::Retry { otherwise }
    );
    assert_eq!(
        next_step(failed, context(Idempotency::NonIdempotent)),
        NextStep::Finish(FinalOutcome::Unknown)
    );
}

/// Guards against an answer that reports a request as not run although an earlier attempt may
/// have run it.
#[test]
fn a_refusal_after_an_unknown_attempt_is_unknown() {
    let context = AttemptContext {
        may_have_run: true,
        refusals: 9,
        ..context(Idempotency::Idempotent)
    };

    let step = next_step(Outcome::NotRun(Refusal::TooLate), context);

    assert_eq!(step, NextStep::Finish(FinalOutcome::Unknown));
}

/// Guards against a request that is sent to more targets than its route allows.
#[test]
fn no_attempt_follows_the_last_allowed_one() {
    let context = AttemptContext {
        target_attempts: 2,
        ..context(Idempotency::Idempotent)
    };

    let failed = next_step(Outcome::Failed(Failure::BadAnswer), context);
    let shed = next_step(Outcome::NotRun(Refusal::ByTarget), context);

    assert_eq!(failed, NextStep::Finish(FinalOutcome::Unknown));
    assert_eq!(shed, NextStep::Finish(FinalOutcome::NotRun));
}

/// Guards against a target's answer, success or failure, that the node replaces by its own.
#[test]
fn answers_are_delivered() {
    let success = next_step(
        Outcome::Answered { status: 200 },
        context(Idempotency::Idempotent),
    );
    let failure = next_step(
        Outcome::Answered { status: 500 },
        context(Idempotency::NonIdempotent),
    );

    assert_eq!([success, failure], [NextStep::Deliver, NextStep::Deliver]);
}
