//! Tests of the sliding window, the local guard and the request path's state of moves (rollouts).

mod common;

use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_moves::guard::AttemptResult;
use hemlockfall_moves::guard::Choice;
use hemlockfall_moves::guard::Outcome;
use hemlockfall_moves::guard::Side;
use hemlockfall_moves::node_moves::Input;
use hemlockfall_moves::node_moves::NodeMoves;
use hemlockfall_moves::window::Counts;
use hemlockfall_moves::window::Window;
use quickcheck::QuickCheck;

use common::START_UNIX_MS;
use common::catalogue_with_move;
use common::entry_of;
use common::options;

fn entry_with_move(duration_ms: u64) -> (ServiceEntry, u64) {
    (entry_of(&catalogue_with_move(duration_ms)), START_UNIX_MS)
}

fn node_moves_with(entry: &ServiceEntry) -> NodeMoves {
    let mut node_moves = NodeMoves::new("node-1".into(), "east".into(), options());
    node_moves.handle(Input::Entries(vec![entry.clone()]), START_UNIX_MS);
    node_moves
}

fn attempt(route: &str, side: Side, outcome: Outcome, latency_ms: u32) -> AttemptResult {
    AttemptResult {
        service: "order-desk".into(),
        route: route.into(),
        side,
        outcome,
        latency_ms,
        cold: false,
    }
}

/// Sends one request every 10 ms; `answer` gives the outcomes of the new version. Returns the time
/// of the last request to the new version, probes left out.
fn drive(
    node_moves: &mut NodeMoves,
    from_ms: u64,
    to_ms: u64,
    answer: impl Fn(u64) -> Outcome,
) -> u64 {
    let mut last_new_version_ms = 0;
    for now_ms in (from_ms..to_ms).step_by(10) {
        let hash_permille = u16::try_from(now_ms / 10 * 37 % 1000).expect("below 1000");
        let choice = node_moves.choose("order-desk", "orders", hash_permille, now_ms);
        if choice == Choice::New {
            last_new_version_ms = now_ms;
        }
        let (side, outcome) = match choice {
            Choice::Old => (Side::Old, Outcome::Succeeded),
            Choice::New | Choice::Probe => (Side::New, answer(now_ms)),
        };
        node_moves.handle(Input::Attempt(attempt("orders", side, outcome, 20)), now_ms);
    }
    last_new_version_ms
}

/// Guards against a failing route that keeps its share while no judge is reachable.
#[test]
fn failing_route_is_cut_within_three_seconds() {
    let (entry, start_ms) = entry_with_move(120_000);
    let mut node_moves = node_moves_with(&entry);
    let fault_ms = start_ms + 60_000;

    let last_new_version_ms = drive(
        &mut node_moves,
        fault_ms - 10_000,
        fault_ms + 60_000,
        |now_ms| {
            if now_ms < fault_ms {
                Outcome::Succeeded
            } else {
                Outcome::Failed
            }
        },
    );

    assert!(last_new_version_ms >= fault_ms, "the fault was met");
    assert!(
        last_new_version_ms < fault_ms + 3_000,
        "cut {} ms after the fault",
        last_new_version_ms - fault_ms
    );
    assert_eq!(node_moves.cap_permille("order-desk", "orders"), 0);
    assert_eq!(node_moves.cap_permille("order-desk", "lookup"), 1000);
}

/// Guards against a cut that is never lifted: after a short burst of failures the version answers
/// correctly again.
#[test]
fn cut_is_lifted_after_a_false_alarm() {
    let (entry, start_ms) = entry_with_move(120_000);
    let mut node_moves = node_moves_with(&entry);
    let burst_ms = start_ms + 70_000;

    drive(
        &mut node_moves,
        burst_ms - 5_000,
        burst_ms + 1_500,
        |now_ms| {
            if now_ms < burst_ms {
                Outcome::Succeeded
            } else {
                Outcome::Failed
            }
        },
    );
    let cut_permille = node_moves.cap_permille("order-desk", "orders");
    drive(&mut node_moves, burst_ms + 1_500, burst_ms + 31_500, |_| {
        Outcome::Succeeded
    });

    assert_eq!(cut_permille, 0);
    assert_eq!(node_moves.cap_permille("order-desk", "orders"), 1000);
}

/// Guards against more than one probe request per second to a version that was cut.
#[test]
fn probes_after_a_cut_are_single() {
    let (entry, start_ms) = entry_with_move(120_000);
    let mut node_moves = node_moves_with(&entry);
    for index in 0..30 {
        let failed = attempt("orders", Side::New, Outcome::Failed, 20);
        node_moves.handle(Input::Attempt(failed), start_ms + index);
    }

    let choices: Vec<Choice> = (0..20_000)
        .step_by(100)
        .map(|after_ms| node_moves.choose("order-desk", "orders", 0, start_ms + after_ms))
        .collect();

    let probes = choices
        .iter()
        .filter(|choice| **choice == Choice::Probe)
        .count();
    assert!(choices[..49].iter().all(|choice| *choice == Choice::Old));
    assert!((1..=16).contains(&probes), "{probes} probes in 20 s");
    assert!(!choices.contains(&Choice::New));
}

/// Guards against shares that change, or evidence that is sent, because of what targets report
/// about themselves.
#[test]
fn reports_alone_change_nothing() {
    let check = |reports: Vec<bool>| {
        let (entry, start_ms) = entry_with_move(120_000);
        let mut node_moves = node_moves_with(&entry);
        let mut actions = Vec::new();
        for (index, healthy) in reports.into_iter().enumerate() {
            let report = Input::Report {
                service: "order-desk".into(),
                version: "v2".into(),
                healthy,
            };
            actions.extend(node_moves.handle(report, start_ms + index as u64));
        }
        actions.extend(node_moves.tick(start_ms + 2_000));
        actions.is_empty() && node_moves.cap_permille("order-desk", "orders") == 1000
    };

    QuickCheck::new()
        .rng(common::generator(1))
        .quickcheck(check as fn(Vec<bool>) -> bool);
}

/// Guards against nodes that route to different versions after the deadline because they observed
/// different outages of the store.
#[test]
fn proxies_with_the_same_entry_agree_after_the_deadline() {
    let check = |down_after_ms: Vec<u32>, late_ms: u32| {
        let (entry, start_ms) = entry_with_move(120_000);
        let now_ms = start_ms + 120_000 + u64::from(late_ms);
        let seen: Vec<(Option<MoveStatus>, Choice)> = down_after_ms
            .iter()
            .map(|after_ms| {
                let mut node_moves = node_moves_with(&entry);
                let since = start_ms + u64::from(*after_ms % 200_000);
                node_moves.handle(Input::StoreDownSince(Some(since)), since);
                let status = node_moves.status("order-desk", now_ms);
                (
                    status,
                    node_moves.choose("order-desk", "orders", 999, now_ms),
                )
            })
            .collect();
        seen.iter()
            .all(|one| *one == (Some(MoveStatus::Done), Choice::New))
    };

    QuickCheck::new()
        .rng(common::generator(2))
        .quickcheck(check as fn(Vec<u32>, u32) -> bool);
}

/// Guards against a stopped move that continues on a node when the same entry is delivered again.
#[test]
fn stop_holds_until_the_move_is_final() {
    let (entry, start_ms) = entry_with_move(120_000);
    let mut node_moves = node_moves_with(&entry);
    let move_id = entry.move_state.as_ref().expect("a move runs").move_id;
    let stop = Input::Stop {
        service: "order-desk".into(),
        move_id,
    };

    node_moves.handle(stop, start_ms + 1);
    node_moves.handle(Input::Entries(vec![entry]), start_ms + 2);

    let choice = node_moves.choose("order-desk", "orders", 0, start_ms + 100_000);
    assert_eq!(choice, Choice::Old);
}

/// Guards against a running total that differs from the sum of the counts in the window.
#[test]
fn window_total_equals_the_sum_of_recent_counts() {
    let check = |gaps_ms: Vec<u16>| {
        let mut window = Window::default();
        let mut added = Vec::new();
        let mut now_ms = 1_000_000;
        for gap_ms in gaps_ms {
            now_ms += u64::from(gap_ms % 4_000);
            let mut counts = Counts::default();
            counts.success(Some(u32::from(gap_ms)));
            window.add(&counts, now_ms);
            added.push(now_ms / 1000);
        }
        let recent = added
            .iter()
            .filter(|slot| **slot + 10 > now_ms / 1000)
            .count();
        window.total(now_ms).attempts as usize == recent
    };

    QuickCheck::new()
        .rng(common::generator(3))
        .quickcheck(check as fn(Vec<u16>) -> bool);
}

/// Guards against slow answers during a cold start that make a good version look slow, and
/// against a crashing version that yields no evidence because it never gets past its cold start.
#[test]
fn cold_start_counts_only_lost_attempts() {
    let mut slow = attempt("orders", Side::New, Outcome::Succeeded, 900);
    slow.cold = true;
    let mut lost = attempt("orders", Side::New, Outcome::Lost, 5);
    lost.cold = true;
    let mut counts = Counts::default();

    slow.count(&mut counts);

    assert!(!slow.is_evidence());
    assert!(lost.is_evidence());
    assert_eq!((counts.attempts, counts.timed()), (1, 0));
}

/// Guards against a cut that stays because the request path never gets a probe permitted, and
/// against more than one probe per second.
#[test]
fn cut_route_permits_one_probe_a_second() {
    let (entry, start_ms) = entry_with_move(120_000);
    let mut node_moves = node_moves_with(&entry);
    let cut_ms = start_ms + 60_000;
    for _ in 0..20 {
        let failed = attempt("orders", Side::New, Outcome::Failed, 20);
        node_moves.handle(Input::Attempt(failed), cut_ms);
    }
    assert_eq!(node_moves.cap_permille("order-desk", "orders"), 0);

    let permitted: Vec<u64> = (0..8_000)
        .step_by(100)
        .filter(|after_ms| {
            node_moves.permit("order-desk", "orders", true, cut_ms + after_ms) == Choice::Probe
        })
        .collect();

    assert_eq!(permitted, vec![5_000, 6_000, 7_000]);
    assert_eq!(
        node_moves.permit("order-desk", "lookup", true, cut_ms),
        Choice::New
    );
}

/// Guards against evidence from traffic that the move does not shift: other services, versions
/// outside the move, and routes with a pinned version.
#[test]
fn only_traffic_of_the_move_has_a_side() {
    let (mut entry, _) = entry_with_move(120_000);
    let pinned = entry.routes.iter_mut().find(|route| route.name == "lookup");
    pinned.expect("the fixture has the route").version = Some("v2".into());
    let node_moves = node_moves_with(&entry);
    let rows = [
        ("order-desk", "orders", "v1", Some(Side::Old)),
        ("order-desk", "orders", "v2", Some(Side::New)),
        ("order-desk", "orders", "v3", None),
        ("order-desk", "lookup", "v2", None),
        ("filmstore", "orders", "v1", None),
    ];

    for (service, route, version, side) in rows {
        assert_eq!(
            node_moves.side(service, route, version),
            side,
            "{service} {route} {version}"
        );
    }
}

/// Guards against a fault on a route with low traffic that takes the judge minutes to confirm,
/// because the share lets too few requests through. Also guards against more than four
/// confirmation requests beyond the share, and against any on a busy route.
#[test]
fn failure_with_little_traffic_is_confirmed_by_few_requests() {
    for (busy, confirmations) in [(false, 4), (true, 0)] {
        let (entry, start_ms) = entry_with_move(120_000);
        let mut node_moves = node_moves_with(&entry);
        let mut sent = 0;

        for now_ms in (start_ms..start_ms + 60_000).step_by(3_000) {
            for _ in 0..if busy { 20 } else { 1 } {
                let old = attempt("orders", Side::Old, Outcome::Succeeded, 20);
                node_moves.handle(Input::Attempt(old), now_ms);
            }
            let failed = attempt("orders", Side::New, Outcome::Failed, 20);
            node_moves.handle(Input::Attempt(failed), now_ms);
            let choice = node_moves.permit("order-desk", "orders", false, now_ms);
            sent += u32::from(choice == Choice::New);
        }

        assert_eq!(sent, confirmations, "busy: {busy}");
    }
}
