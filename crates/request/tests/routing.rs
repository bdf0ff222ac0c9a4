//! Routing and the choice of targets.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfall_core::catalogue::MoveState;
use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::OnOutage;
use hemlockfall_core::catalogue::PlanStep;
use hemlockfall_core::catalogue::Route;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_request::clock::Now;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::route;
use hemlockfall_request::route::RouteTable;
use hemlockfall_request::route::ShareContext;
use hemlockfall_request::router::Router;
use uuid::Uuid;

const SEED: u64 = 11;

fn share(request: u128) -> ShareContext {
    ShareContext {
        request_id: Uuid::from_u128(request * 0x9E37_79B9_7F4A_7C15_F39C),
        now_unix_ms: common::START_UNIX_MS + 1,
        store_down_since_unix_ms: None,
    }
}

fn running_move(share_permille: u16) -> MoveState {
    MoveState {
        move_id: Uuid::from_u128(7),
        from: "v1".into(),
        to: "v2".into(),
        status: MoveStatus::Running,
        share_permille: 0,
        plan: vec![PlanStep {
            at_unix_ms: common::START_UNIX_MS,
            share_permille,
        }],
        started_unix_ms: common::START_UNIX_MS,
        deadline_unix_ms: common::START_UNIX_MS + 600_000,
        on_outage: OnOutage::Advance,
        reason: "test".into(),
        lease_term: 0,
    }
}

fn entry_with_move(share_permille: u16) -> ServiceEntry {
    let mut entry = common::entry("desk");
    entry.move_state = Some(running_move(share_permille));
    entry
}

fn new_version_count(entry: &ServiceEntry, cap_permille: u16) -> usize {
    (0..10_000)
        .filter(|request| {
            let route = &entry.routes[1];
            let version =
                route::choose_version(entry, route, share(*request), |_, _, _| cap_permille);
            version == "v2"
        })
        .count()
}

fn picks(router: &mut Router, count: usize, now: Now) -> BTreeMap<String, usize> {
    let mut picks = BTreeMap::new();
    for _ in 0..count {
        let target = router
            .pick("desk", "v1", &[], now)
            .expect("a target is usable");
        *picks.entry(target.node.to_string()).or_insert(0) += 1;
    }
    picks
}

/// Guards against requests that are routed to the wrong service or route, or to none.
#[test]
fn host_and_path_select_entry_and_longest_route() {
    let table = RouteTable::new(common::configuration(vec![common::entry("desk")]));
    let cases = [
        ("desk", "/orders", Ok("orders")),
        ("desk.example:80", "/orders/7?x=1", Ok("orders")),
        ("desk:8080", "/orders?x=1", Ok("orders")),
        ("desk", "/orderly", Ok("root")),
        ("desk", "/stock/", Ok("stock")),
        ("desk", "stock", Err(Reason::NoRoute)),
        ("des", "/", Err(Reason::NoService)),
        ("", "/", Err(Reason::NoService)),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path);

        let name = found.map(|found| table.route(found).name.to_string());
        assert_eq!(name, expected.map(str::to_owned), "{host} {path}");
    }
}

/// Guards against a share of a rollout that differs from the planned share or the guard's cap.
#[test]
fn new_version_gets_the_planned_share_up_to_the_cap() {
    let cases = [
        (0, 1_000, 0..=0),
        (20, 1_000, 150..=250),
        (250, 1_000, 2_350..=2_650),
        (250, 20, 150..=250),
        (250, 0, 0..=0),
        (1_000, 1_000, 10_000..=10_000),
    ];
    for (planned_permille, cap_permille, expected) in cases {
        let entry = entry_with_move(planned_permille);

        let count = new_version_count(&entry, cap_permille);

        assert!(expected.contains(&count), "{planned_permille}: {count}");
    }
}

/// Guards against retries that change the version, and against requests that go back to the old
/// version while the share grows.
#[test]
fn version_of_a_request_only_moves_forward_with_the_share() {
    let small = entry_with_move(100);
    let large = entry_with_move(400);
    for request in 0..2_000 {
        let choose = |entry: &ServiceEntry| {
            let route = &entry.routes[1];
            route::choose_version(entry, route, share(request), |_, _, _| 1_000).to_string()
        };

        let before = choose(&small);
        let again = choose(&small);
        let after = choose(&large);

        assert_eq!(before, again);
        assert!(before == "v1" || after == "v2");
    }
}

/// Guards against a rollout that changes the version of a route with a pinned version.
#[test]
fn pinned_route_keeps_its_version() {
    let mut entry = entry_with_move(1_000);
    entry.routes[1].version = Some("v1".into());

    let version =
        route::choose_version(&entry, &entry.routes[1], share(1), |_, _, _| 1_000).to_string();

    assert_eq!(version, "v1");
}

/// Guards against traffic to other data centres while enough nearer targets are usable, and against
/// overload of the few remaining nearer ones when most have failed.
#[test]
fn farther_targets_are_used_below_30_percent_of_nearer_ones() {
    for (failed_near, expects_far) in [(0, false), (6, false), (8, true), (10, true)] {
        let now = common::start();
        let mut router = common::router("e0", SEED);
        for index in 0..10 {
            let mut near = common::record(&format!("near{index}"), "desk", "east", "east-1");
            if index < failed_near {
                near.state = EndpointState::Failed;
            }
            router.set_endpoint(&near, now);
            let far = common::record(&format!("other{index}"), "desk", "east", "east-2");
            router.set_endpoint(&far, now);
        }

        let picks = picks(&mut router, 2_000, now);

        let uses_far = picks.keys().any(|node| node.starts_with("other"));
        assert_eq!(uses_far, expects_far, "{failed_near} failed: {picks:?}");
    }
}

/// Guards against connections from every node to every target, and against subsets that differ
/// between two incarnations of a node.
#[test]
fn subset_has_8_targets_and_is_deterministic() {
    let now = common::start();
    let mut first = common::router_with("e0", 1, 40, now);
    let mut second = common::router_with("e0", 2, 40, now);

    let first_picks = picks(&mut first, 4_000, now);
    let second_picks = picks(&mut second, 4_000, now);

    assert_eq!(first_picks.len(), 8);
    assert!(first_picks.keys().eq(second_picks.keys()));
}

/// Guards against a cold target that gets its full share at once, or no requests.
#[test]
fn cold_target_ramps_up_over_10_seconds() {
    let now = common::start();
    let mut router = common::router_with("e0", SEED, 3, now);
    let mut cold = common::record("n0", "desk", "east", "east-1");
    cold.incarnation = 2;
    if let Some(target) = &mut cold.target {
        target.ready_unix_ms = now.unix_ms;
    }
    router.set_endpoint(&cold, now);

    let at_start = picks(&mut router, 3_000, now);
    let when_warm = picks(&mut router, 3_000, now.plus(Duration::from_secs(10)));

    let cold_share = at_start.get("n0").copied().unwrap_or(0);
    assert!((1..400).contains(&cold_share), "{at_start:?}");
    assert!(when_warm["n0"] > 800, "{when_warm:?}");
}

/// Guards against a target that raises its own share by its reports, or excludes itself.
#[test]
fn report_only_lowers_the_weight_of_a_target() {
    let now = common::start();
    let cases = [
        (true, 0, 800..1_200),
        (true, 95, 1..800),
        (false, 0, 1..400),
    ];
    for (is_healthy, load_percent, expected) in cases {
        let mut router = common::router_with("e0", SEED, 3, now);
        router.report("n0", is_healthy, load_percent);

        let picks = picks(&mut router, 3_000, now);

        let own = picks.get("n0").copied().unwrap_or(0);
        assert!(
            expected.contains(&own),
            "{is_healthy} {load_percent}: {own}"
        );
    }
}

/// Guards against a non-idempotent request that is sent to a failing version on purpose, to confirm
/// the failure.
#[test]
fn only_idempotent_requests_confirm_a_failure() {
    let entry = entry_with_move(100);
    let confirm = |_: &str, _: &str, _| route::CONFIRM_PERMILLE;
    let outside = |request: &u128| {
        let mut is_planned = true;
        let record = |_: &str, _: &str, planned| {
            is_planned = planned;
            0
        };
        let _ = route::choose_version(&entry, &entry.routes[0], share(*request), record);
        !is_planned
    };
    let requests: Vec<u128> = (0..1_000).filter(outside).collect();

    let confirming = |route: &Route| {
        let versions = requests
            .iter()
            .map(|request| route::choose_version(&entry, route, share(*request), confirm));
        versions.filter(|version| *version == "v2").count()
    };

    assert_eq!(confirming(&entry.routes[0]), 0);
    assert_eq!(confirming(&entry.routes[1]), requests.len());
}

/// Guards against a local guard that counts canary requests for traffic that stays with the old
/// version anyway, and against a confirming request that is not sent to the new version.
#[test]
fn guard_receives_the_planned_share() {
    let entry = entry_with_move(100);
    let route = &entry.routes[1];
    let mut in_share = 0;

    for request in 0..10_000 {
        let mut is_planned = false;
        let refuse = |_: &str, _: &str, planned| {
            is_planned = planned;
            0
        };
        let refused = route::choose_version(&entry, route, share(request), refuse);
        let confirm = |_: &str, _: &str, _| route::CONFIRM_PERMILLE;
        let confirmed = route::choose_version(&entry, route, share(request), confirm);
        let open = |_: &str, _: &str, _| 1_000;
        let planned = route::choose_version(&entry, route, share(request), open);
        assert_eq!((refused.as_str(), confirmed.as_str()), ("v1", "v2"));
        assert_eq!(is_planned, planned == "v2");
        in_share += u32::from(is_planned);
    }

    assert!((800..1_200).contains(&in_share), "{in_share} of 10000");
}
