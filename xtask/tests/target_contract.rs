//! Contract of the target stand-in, called directly and by the caller stand-in.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use xtask::audit::Audit;
use xtask::caller::KeyMode;
use xtask::caller::Outcome;
use xtask::caller::RequestKind;
use xtask::caller::is_uuid_v7;
use xtask::harness::Cluster;
use xtask::harness::calls;
use xtask::harness::process::Signal;
use xtask::harness::programs::Programs;
use xtask::harness::target::TargetSpec;
use xtask::harness::wait;
use xtask::http;
use xtask::http::Reply;
use xtask::target::Echo;
use xtask::target::fault::FaultChange;
use xtask::target::request_digest;

const TIMEOUT: Duration = Duration::from_secs(10);

fn target(change: impl FnOnce(&mut TargetSpec)) -> (Cluster, SocketAddr) {
    let programs = Programs::beside_running_executable().expect("the test has a directory");
    let mut cluster = Cluster::new(programs, "").expect("the directory can be made");
    let mut spec = TargetSpec::new("t1", None, "order-desk", "v1");
    change(&mut spec);
    cluster.start_target(spec).expect("the target starts");
    let address = cluster.targets()[0]
        .address
        .expect("a started target has an address");
    (cluster, address)
}

fn send(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> xtask::errors::Result<Reply> {
    let url = format!("http://{address}{path}");
    http::exchange(
        &http::agent(TIMEOUT),
        "POST",
        &url,
        headers,
        body.as_bytes(),
    )
}

fn kind(path: &str, key: KeyMode) -> RequestKind {
    RequestKind {
        service: "order-desk".to_owned(),
        path: path.to_owned(),
        key,
    }
}

fn wait_running(cluster: &Cluster, count: usize) {
    wait::until("running requests", TIMEOUT, || {
        let state = cluster
            .target_state("t1")
            .map_err(|error| error.to_string())?;
        (state.running == count)
            .then_some(())
            .ok_or(format!("{state:?}"))
    })
    .expect("the requests run");
}

/// Guards against answers that cannot be matched to their request, and against unrecorded runs.
#[test]
fn answers_echo_the_request_and_runs_are_recorded() {
    let (cluster, address) = target(|_| {});
    let headers = [
        ("x-request-id", "r-1"),
        ("idempotency-key", "k-1"),
        ("hemlockfall-attempt", "a-1"),
    ];

    let reply = send(address, "/orders?x=1", &headers, "two hammocks").expect("an answer");

    let echo: Echo = serde_json::from_slice(&reply.body).expect("an echo");
    assert_eq!(echo.digest, request_digest("r-1", b"two hammocks"));
    let from_memory: Vec<xtask::target::state::Run> =
        http::get_json(address, "/control/runs").expect("an answer");
    let from_file = cluster.runs().expect("a readable record");
    assert_eq!(from_memory, from_file);
    assert_eq!(from_file.len(), 1);
    assert_eq!(from_file[0].request_id, "r-1");
    assert_eq!(from_file[0].idempotency_key.as_deref(), Some("k-1"));
    assert_eq!(from_file[0].attempt.as_deref(), Some("a-1"));
    assert_eq!(from_file[0].path, "/orders");
}

/// Guards against faults that affect the wrong requests: each row is a fault, a path, the expected
/// status and the shortest expected time in milliseconds.
#[test]
fn faults_take_effect_where_they_are_switched_on() {
    let (_cluster, address) = target(|_| {});
    let rows = [
        (json!({}), "/orders", 200, 0),
        (json!({"fail_permille": 1000}), "/orders", 500, 0),
        (
            json!({"fail_permille": 1000, "path_prefix": "/film"}),
            "/orders",
            200,
            0,
        ),
        (
            json!({"fail_permille": 1000, "path_prefix": "/film"}),
            "/film/x",
            500,
            0,
        ),
        (
            json!({"fail_permille": 1000, "above_running": 1}),
            "/orders",
            200,
            0,
        ),
        (
            json!({"fail_permille": 1000, "after_ms": 60_000}),
            "/orders",
            200,
            0,
        ),
        (json!({"slow_ms": 150}), "/orders", 200, 150),
    ];

    for (fault, path, status, least_ms) in rows {
        http::post_json(address, "/control/fault", &fault).expect("an answer");
        let started_at = Instant::now();

        let reply = send(address, path, &[], "").expect("an answer");

        assert_eq!(reply.status, status, "{fault} on {path}");
        assert!(
            started_at.elapsed() >= Duration::from_millis(least_ms),
            "{fault} on {path}"
        );
    }
}

/// Guards against requests beyond the slots that run, or that are shed without the header.
#[test]
fn load_above_the_slots_is_shed_as_not_run() {
    let (cluster, address) = target(|spec| {
        spec.slots = 1;
        spec.service_time_ms = 1_000;
    });

    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| send(address, "/orders", &[("x-request-id", "first")], ""));
        wait_running(&cluster, 1);
        let second = send(address, "/orders", &[("x-request-id", "second")], "");
        (first.join().expect("no panic"), second)
    });

    assert_eq!(first.expect("an answer").status, 200);
    let second = second.expect("an answer");
    assert_eq!(
        (second.status, second.header("hemlockfall-not-run")),
        (503, Some("true"))
    );
    assert_eq!(cluster.runs().expect("a readable record").len(), 1);
}

/// Guards against runs that ignore a cancellation or their deadline.
#[test]
fn cancellation_and_deadline_end_a_run() {
    let (cluster, address) = target(|spec| spec.service_time_ms = 8_000);

    let deadline = send(address, "/orders", &[("hemlockfall-deadline-ms", "50")], "");
    // A run counts until its answer has been sent, and the answer is read before that.
    wait_running(&cluster, 0);
    let (cancelled, cancel) = std::thread::scope(|scope| {
        let headers = [("hemlockfall-attempt", "a-7")];
        let run = scope.spawn(move || send(address, "/orders", &headers, ""));
        wait_running(&cluster, 1);
        let cancel = send(address, "/hemlockfall/cancel/a-7", &[], "");
        (run.join().expect("no panic"), cancel)
    });
    let unknown = send(address, "/hemlockfall/cancel/a-8", &[], "");

    assert_eq!(deadline.expect("an answer").status, 504);
    assert_eq!(cancel.expect("an answer").status, 200);
    assert_eq!(cancelled.expect("an answer").status, 499);
    assert_eq!(unknown.expect("an answer").status, 404);
}

/// Guards against a crash without a record of the run that caused it.
#[test]
fn crash_marker_ends_the_process_after_the_record() {
    let (mut cluster, address) = target(|spec| spec.crash_marker = Some("poison".to_owned()));

    let harmless = send(address, "/orders", &[], "fine");
    let crash = send(
        address,
        "/orders",
        &[("x-request-id", "bad")],
        "some poison here",
    );

    assert_eq!(harmless.expect("an answer").status, 200);
    assert!(crash.is_err());
    wait::until("end of the target", TIMEOUT, || {
        let running = cluster
            .is_running("t1")
            .map_err(|error| error.to_string())?;
        (!running).then_some(()).ok_or("running".to_owned())
    })
    .expect("the target ends");
    let runs = cluster.runs().expect("a readable record");
    assert_eq!(runs.last().map(|run| run.request_id.as_str()), Some("bad"));
}

/// Guards against a target that exits before or after its answer instead of halfway through.
#[test]
fn dying_target_sends_half_an_answer() {
    let (mut cluster, address) = target(|_| ());
    let dies = FaultChange {
        dies_in_answer: true,
        path_prefix: Some("/orders".to_owned()),
        ..FaultChange::default()
    };
    cluster.target_fault("t1", &dies).expect("the target runs");

    let elsewhere = send(address, "/stock", &[], "fine");
    let cut = send(address, "/orders", &[("x-request-id", "cut")], "fine");

    assert_eq!(elsewhere.expect("an answer").status, 200);
    assert!(cut.is_err(), "{cut:?}");
    wait::until("end of the target", TIMEOUT, || {
        let running = cluster
            .is_running("t1")
            .map_err(|error| error.to_string())?;
        (!running).then_some(()).ok_or("running".to_owned())
    })
    .expect("the target ends");
    let runs = cluster.runs().expect("a readable record");
    assert_eq!(runs.last().map(|run| run.request_id.as_str()), Some("cut"));
}

/// Guards against a cold start that is not slow, or that never ends.
#[test]
fn cold_start_is_slow_until_it_ends() {
    let cold = Duration::from_millis(1_500);
    let (_cluster, address) = target(|spec| {
        spec.service_time_ms = 50;
        spec.cold_ms = 1_500;
    });
    let timed = || {
        let started_at = Instant::now();
        let reply = send(address, "/orders", &[], "fine").expect("an answer");
        (reply.status, started_at.elapsed())
    };

    let first = timed();
    std::thread::sleep(cold);
    // The shortest of several times, because the machine may be busy.
    let warm = (0..5).map(|_| timed()).min_by_key(|(_, time)| *time);

    let (status, warm) = warm.expect("five answers");
    assert_eq!((first.0, status), (200, 200));
    assert!(first.1 >= Duration::from_millis(200), "{:?}", first.1);
    assert!(warm < Duration::from_millis(200), "{warm:?}");
}

/// Guards against a graceful shutdown that aborts a request in flight or accepts a new one.
#[test]
fn draining_finishes_running_requests_and_refuses_new_ones() {
    let (mut cluster, address) = target(|spec| spec.service_time_ms = 1_500);

    let (running, late) = std::thread::scope(|scope| {
        let running = scope.spawn(move || send(address, "/orders", &[], ""));
        wait_running(&cluster, 1);
        cluster.signal("t1", Signal::Term).expect("the target runs");
        wait::until("draining", TIMEOUT, || {
            let state = cluster
                .target_state("t1")
                .map_err(|error| error.to_string())?;
            state
                .draining
                .then_some(())
                .ok_or("not draining".to_owned())
        })
        .expect("the target drains");
        let late = send(address, "/orders", &[], "");
        (running.join().expect("no panic"), late)
    });
    cluster.stop("t1").expect("the target ends by itself");

    assert_eq!(running.expect("an answer").status, 200);
    assert_eq!(
        late.expect("an answer").header("hemlockfall-not-run"),
        Some("true")
    );
}

/// Guards against a caller or an audit that miscounts when there are no faults.
#[test]
fn caller_records_complete_answers_and_unique_keys() {
    let (mut cluster, address) = target(|_| {});
    let kinds = vec![
        kind("/orders", KeyMode::Unique),
        kind("/stock", KeyMode::None),
    ];
    let options = calls::options(vec![address], kinds, 50);

    cluster
        .start_caller("caller", &options)
        .expect("the caller starts");
    let report = cluster.finish_caller("caller", TIMEOUT).expect("a report");

    let audit = Audit::of(
        std::slice::from_ref(&report),
        &cluster.runs().expect("a record"),
    );
    assert_eq!((audit.requests, audit.answered_whole), (50, 50));
    assert!(audit.is_clean(), "{audit:?}");
    let mut keys: Vec<&str> = report
        .sends
        .iter()
        .filter_map(|send| send.key.as_deref())
        .collect();
    assert!(keys.iter().all(|key| is_uuid_v7(key)));
    keys.sort_unstable();
    keys.dedup();
    assert_eq!(keys.len(), 25);
}

/// Guards against a paused target that answers, or that stays paused.
#[test]
fn frozen_target_answers_after_the_freeze() {
    let (mut cluster, address) = target(|_| {});
    let freeze = Duration::from_millis(500);
    let started_at = Instant::now();

    cluster.freeze_for("t1", freeze).expect("the target runs");
    let reply = send(address, "/orders", &[], "").expect("an answer");

    assert_eq!(reply.status, 200);
    assert!(started_at.elapsed() >= freeze, "{:?}", started_at.elapsed());
}

/// Guards against an audit that misses a double run: a target without deduplication runs a request
/// again when the caller resends it after a timeout.
#[test]
fn audit_finds_a_double_run_after_a_resend() {
    let (mut cluster, address) = target(|_| {});
    let slow = FaultChange {
        slow_ms: 400,
        ..FaultChange::default()
    };
    cluster.target_fault("t1", &slow).expect("an answer");
    let mut options = calls::options(vec![address], vec![kind("/orders", KeyMode::Unique)], 1);
    options.timeout_ms = 100;
    options.resends = 1;

    cluster
        .start_caller("caller", &options)
        .expect("the caller starts");
    let report = cluster.finish_caller("caller", TIMEOUT).expect("a report");

    assert!(
        report
            .sends
            .iter()
            .all(|send| send.outcome == Outcome::Unknown)
    );
    let audit = Audit::of(&[report], &cluster.runs().expect("a readable record"));
    assert_eq!(
        (audit.requests, audit.double_runs, audit.unknown),
        (1, 1, 1)
    );
}
