//! Explanations: their query and their text, and that they tell what the decisions do without changing
//! them.

mod common;

use std::time::Duration;

use common::at;
use common::config;
use common::route;
use hemlockfall_core::errors::ResultCode;
use hemlockfall_sidecar::admission::AdmissionDecision;
use hemlockfall_sidecar::admission::AdmissionQueue;
use hemlockfall_sidecar::admission::AdmissionRequest;
use hemlockfall_sidecar::admission::UplinkDemand;
use hemlockfall_sidecar::balance;
use hemlockfall_sidecar::balance::Candidate;
use hemlockfall_sidecar::balance::Demand;
use hemlockfall_sidecar::balance::Distance;
use hemlockfall_sidecar::budget::BudgetLimits;
use hemlockfall_sidecar::budget::RetryBudget;
use hemlockfall_sidecar::explain::Decision;
use hemlockfall_sidecar::explain::Exclusion;
use hemlockfall_sidecar::explain::Exclusions;
use hemlockfall_sidecar::explain::Explanation;
use hemlockfall_sidecar::explain::Query;
use hemlockfall_sidecar::model::LoadReport;
use hemlockfall_sidecar::order::Order;
use hemlockfall_sidecar::order::Standing;
use hemlockfall_sidecar::router::Router;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

fn query(path: &str, account: Option<&str>) -> Query {
    Query {
        method: "POST".to_owned(),
        host: "shop.example:80".to_owned(),
        path: path.to_owned(),
        account: account.map(Into::into),
        timeout_ms: Some(700),
    }
}

fn explanation() -> Explanation {
    serde_json::from_value(json!({
        "node": "n1",
        "request": query("/s/1", Some("large")),
        "config": { "version": 7, "age_ms": 1200, "is_behind": true },
        "route": {
            "name": "stock", "priority": 1, "allowed_regions": ["east"], "timeout_ms": 800,
            "target_latency_ms": 300, "max_attempts": 2, "is_idempotent": true, "is_public": false,
            "services": [{ "service": "desk", "weight": 9 }, { "service": "feed", "weight": 1 }],
        },
        "account": {
            "state": "known", "name": "large", "priority": 2, "allowed_regions": [],
            "quota": { "milli_per_s": 1500, "burst": 4 },
        },
        "priority": 2,
        "allowed_regions": ["east"],
        "service": "desk",
        "version_rule": { "rule": "avoid", "version": "v2" },
        "candidates": [{
            "node": "n2", "data_centre": "east-a", "distance": "region", "running": 12, "queued": 3,
            "outstanding": 1, "slots": 12, "report_age_ms": 40, "route_run_ms": 90,
            "expected_wait_ms": 33.0, "rate_limit_wait_ms": 5.0, "round_trip_ms": 4.0,
            "expected_loss": 0.25, "is_reported_full": true,
        }],
        "excluded": Exclusions::count(&[Exclusion::Evacuated, Exclusion::NoLink, Exclusion::NoLink]),
        "own_admission": { "outcome": "reject", "reason": "queue_full", "retry_after_ms": 80 },
        "retries_left": 6,
        "decision": { "outcome": "sent", "node": "n2" },
    }))
    .expect("the fixture is an explanation")
}

fn request(id: u64, now_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        id,
        route: "stock".into(),
        priority: 1,
        due: at(now_ms + 300),
        deadline: at(now_ms + 800),
        target_latency: Duration::from_millis(300),
        uplink: UplinkDemand::default(),
    }
}

/// Guards against figures that operators need and the text lacks, and against a JSON form that
/// programs cannot read back.
#[test]
fn the_text_names_what_led_to_the_decision() {
    let explanation = explanation();

    let text = explanation.to_string();
    let json = serde_json::to_string(&explanation).expect("it is JSON");

    for expected in [
        "is sent by n1 to n2",
        "POST /s/1 at shop.example:80",
        "version 7, in force for 1200 ms, a newer one is announced",
        "timeout 800 ms",
        "desk (weight 9), feed (weight 1)",
        "large: priority 2, regions all, quota 1.500 per s, burst 4",
        "any but v2",
        "1 evacuated, 2 no link",
        "would refuse it (queue_full), a slot is expected in 80 ms",
        "n2 (region, east-a): expected loss 0.250, running 12 + queued 3 of 12 slots",
        "wait 33 ms (rate limit 5 ms), round trip 4 ms, reported full",
    ] {
        assert!(text.contains(expected), "{expected} is not in\n{text}");
    }
    let read: Explanation = serde_json::from_str(&json).expect("it can be read back");
    assert_eq!(read, explanation);
}

/// Guards against control characters of a name that reach the operator's terminal, and against lines
/// about steps that the request does not reach.
#[test]
fn a_refusal_names_its_code_and_ends_where_the_request_does() {
    let mut explanation = explanation();
    explanation.node = "n\u{1b}[2J".into();
    explanation.route = None;
    explanation.decision = Decision::refused(404, "HF-3702");

    let text = explanation.to_string();

    assert!(text.contains("is refused with 404, HF-3702"), "{text}");
    assert!(text.contains("none matches"), "{text}");
    assert!(!text.contains("candidates"), "{text}");
    explanation.decision = Decision::Own;
    assert!(!explanation.to_string().contains('\u{1b}'));
}

/// Guards against bad input that is accepted, or refused without a number, or whose error repeats a
/// value that may be a key.
#[test]
fn bad_queries_are_refused_with_a_number() {
    let good = "method=GET&host=a&path=/b";
    for bad in [
        "",
        "host=a",
        "path=/b",
        "host=&path=/b",
        "host=a&path=b",
        "host=a&path=%2",
        "host=a&path=/%zz",
        "host=a&path=/%ff",
        "host=a&path=/%0a",
        "host=a&host=a&path=/b",
        "method=G%20T&host=a&path=/b",
        "host=a&path=/b&timeout_ms=0",
        "host=a&path=/b&timeout_ms=-1",
        "host=a&path=/b&timeout_ms=99999999999999999999",
        "host=a&path=/b&account=",
        "host=a&path=/b&key=k-secret",
        "host=a&path=/b&k-secret",
    ] {
        let error = Query::parse(&format!("/explain?{bad}")).expect_err(bad);

        assert_eq!(error.code, ResultCode(3720), "{bad}");
        assert!(!error.message.contains("k-secret"), "{error}");
    }
    assert!(Query::parse(&format!("/explain?{good}")).is_ok());
    assert!(
        query(&format!("/{}", "x".repeat(9000)), None)
            .check()
            .is_err()
    );
}

quickcheck! {
    /// Guards against input that ends the node.
    fn no_query_panics(target: String) -> bool {
        let _ = Query::parse(&target);
        Query::parse(&format!("/explain?host=a&path=/{target}")).is_ok() || !target.is_empty()
    }

    /// Guards against names and values that change on the way to the node.
    fn queries_arrive_as_they_were(path: String, account: String) -> bool {
        let path: String = path.chars().filter(char::is_ascii_graphic).collect();
        let account = Some(account.as_str()).filter(|name| !name.is_empty());
        let query = query(&format!("/{path}"), account);
        query.check().is_err() || Query::parse(&query.to_target()) == Ok(query)
    }
}

/// Guards against an explanation that names another service than the one that the next request goes
/// to, or that takes its turn in the round robin.
#[test]
fn the_next_service_is_told_without_taking_its_turn() {
    let mut router = Router::default();
    let split = route("split", "/s/", &[("desk", 3), ("feed", 2)]);
    router.load(&config(1, vec![split.clone()]));

    for _ in 0..20 {
        let told = [router.next_service(&split), router.next_service(&split)];
        let chosen = router.choose_service(&split);

        assert_eq!(told, [chosen.clone(), chosen]);
    }
}

/// Guards against an explanation of the admission that differs from the decision on a request, or that
/// takes a slot or a place in the queue.
#[test]
fn an_admission_is_told_without_taking_a_slot() {
    for order in [Order::Arrival, Order::Cost] {
        let mut queue = AdmissionQueue::default();
        queue.set_order(order);
        queue.set_slots(2);
        let mut decisions = Vec::new();
        for id in 1..20 {
            let before = queue.load();
            let told = queue.preview(request(u64::MAX, 10), Standing::default(), at(10));
            assert_eq!(queue.load(), before);
            assert!(queue.take_given_up().is_empty());
            let decided = queue.admit_with(request(id, 10), Standing::default(), at(10));
            queue.take_given_up();

            assert_eq!(told, decided, "{order:?}, request {id}");
            decisions.push(decided);
        }
        let is_reject =
            |decision: &AdmissionDecision| matches!(decision, AdmissionDecision::Reject { .. });
        assert_eq!(decisions[0], AdmissionDecision::Run);
        assert!(decisions.iter().any(is_reject), "{order:?}");
    }
}

/// Guards against an order of the candidates that is not the one by which a request's node is chosen.
#[test]
fn the_first_candidate_is_the_one_that_is_chosen() {
    let candidate = |node: u64, running: u16, distance| Candidate {
        node,
        distance,
        load: LoadReport {
            running,
            slots: 12,
            run_ms: 100,
            route_run_ms: 100,
            ..LoadReport::default()
        },
        load_at: at(1000),
        outstanding: 0,
        slots: 12,
    };
    let candidates = [
        candidate(3, 60, Distance::DataCentre),
        candidate(1, 2, Distance::Region),
        candidate(2, 2, Distance::DataCentre),
    ];
    let demand = Demand {
        time_left: Duration::from_millis(300),
        answer_kib: None,
        mean_kib: None,
    };

    let ranked = balance::rank(&candidates, &demand, at(1000));
    let chosen = balance::choose(
        &candidates,
        &demand,
        at(1000),
        &mut SmallRng::seed_from_u64(1),
    );

    let nodes: Vec<u64> = ranked.iter().map(|(_, candidate)| candidate.node).collect();
    assert_eq!(nodes, [2, 1, 3]);
    assert_eq!(chosen, Some(2));
    assert!(ranked.is_sorted_by(|a, b| a.0 <= b.0));
}

/// Guards against a number of retries that is not the number that the budget then allows.
#[test]
fn the_retries_left_are_those_that_can_be_taken() {
    let mut budget = RetryBudget::new(BudgetLimits {
        ratio_permille: 200,
        allowance: 40,
        window: Duration::from_secs(10),
    });
    for _ in 0..50 {
        budget.count_request("desk", at(0));
    }

    for priority in [2, 0] {
        let left = budget.retries_left("desk", priority, at(500), 4);
        let taken = (0..100)
            .take_while(|_| budget.try_retry("desk", priority, at(500), 4))
            .count();

        assert_eq!(u64::try_from(taken), Ok(left), "priority {priority}");
        assert!(taken > 0);
    }
    assert_eq!(budget.retries_left("desk", 0, at(11_000), 4), 7);
    assert_eq!(budget.retries_left("unknown", 0, at(0), 4), 7);
}
