//! Contract of the store stand-in: protocol, limits, watches and faults.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::units::MIB;
use serde_json::Value;
use serde_json::json;
use xtask::harness::Cluster;
use xtask::harness::StoreLimits;
use xtask::harness::programs::Programs;
use xtask::harness::wait;
use xtask::http;
use xtask::http::Reply;
use xtask::store::state::Counters;

const TIMEOUT: Duration = Duration::from_secs(10);
const GENEROUS: StoreLimits = StoreLimits {
    writes_per_s: 100_000,
    reads_per_s: 100_000,
};

fn store(limits: StoreLimits) -> (Cluster, SocketAddr) {
    let programs = Programs::beside_running_executable().expect("the test has a directory");
    let mut cluster = Cluster::new(programs, "").expect("the directory can be made");
    let address = cluster.start_store(limits).expect("the store starts");
    (cluster, address)
}

fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> xtask::errors::Result<Reply> {
    let url = format!("http://{address}{path}");
    http::exchange(&http::agent(TIMEOUT), method, &url, headers, body)
}

fn put(address: SocketAddr, key: &str, version: &str, body: &[u8]) -> Reply {
    let path = format!("/v1/objects/{key}");
    call(address, "PUT", &path, &[("if-version", version)], body).expect("the store answers")
}

fn fault(address: SocketAddr, change: &Value) {
    let status = http::post_json(address, "/control/fault", change).expect("the store answers");
    assert_eq!(status, 200);
}

fn counters(address: SocketAddr) -> Counters {
    http::get_json(address, "/control/counters").expect("the store answers")
}

/// Call of one row of the protocol table: method, path, condition and body.
struct Call(&'static str, &'static str, Option<&'static str>, Vec<u8>);

/// Expected answer of a row: status, version and body.
struct Answer(u16, Option<&'static str>, &'static [u8]);

fn protocol_table() -> Vec<(Call, Answer)> {
    let small = |text: &str| text.as_bytes().to_vec();
    let large = |bytes: usize| vec![b'x'; bytes];
    let object = "/v1/objects/a/b";
    vec![
        (Call("GET", object, None, vec![]), Answer(404, None, b"")),
        (
            Call("PUT", object, None, small("one")),
            Answer(400, None, b"if-version is missing"),
        ),
        (
            Call("PUT", object, Some("1"), small("one")),
            Answer(412, Some("0"), b""),
        ),
        (
            Call("PUT", object, Some("0"), small("one")),
            Answer(200, Some("1"), b""),
        ),
        (
            Call("PUT", object, Some("0"), small("two")),
            Answer(412, Some("1"), b""),
        ),
        (
            Call("GET", object, None, vec![]),
            Answer(200, Some("1"), b"one"),
        ),
        (
            Call("PUT", object, Some("1"), small("two")),
            Answer(200, Some("2"), b""),
        ),
        (
            Call("GET", "/v1/objects/a/b?after=1&wait_ms=0", None, vec![]),
            Answer(200, Some("2"), b"two"),
        ),
        (
            Call("GET", "/v1/objects/a/b?after=2&wait_ms=50", None, vec![]),
            Answer(304, None, b""),
        ),
        (
            Call("GET", "/v1/objects/a/b?after=x", None, vec![]),
            Answer(400, None, b"after and wait_ms are numbers"),
        ),
        (
            Call("PUT", "/v1/objects/large", Some("0"), large(MIB)),
            Answer(200, Some("1"), b""),
        ),
        (
            Call("PUT", "/v1/objects/larger", Some("0"), large(MIB + 1)),
            Answer(413, None, b""),
        ),
        (
            Call("GET", "/v1/list?prefix=a/", None, vec![]),
            Answer(200, None, br#"[{"key":"a/b","version":2}]"#),
        ),
        (
            Call("GET", "/v1/list?prefix=z", None, vec![]),
            Answer(200, None, b"[]"),
        ),
        (
            Call("DELETE", object, Some("1"), vec![]),
            Answer(412, Some("2"), b""),
        ),
        (
            Call("DELETE", object, Some("2"), vec![]),
            Answer(200, Some("3"), b""),
        ),
        (
            Call("DELETE", object, Some("0"), vec![]),
            Answer(412, Some("0"), b""),
        ),
        (Call("GET", object, None, vec![]), Answer(404, None, b"")),
        (
            Call("PUT", object, Some("0"), small("new")),
            Answer(200, Some("4"), b""),
        ),
        (
            Call("GET", "/v1/other", None, vec![]),
            Answer(404, None, b""),
        ),
    ]
}

/// Guards against a stand-in that deviates from the published protocol; each row of the table
/// builds on the state that the rows before it left.
#[test]
fn calls_follow_the_protocol() {
    let (_cluster, address) = store(GENEROUS);

    for (row, (given, expected)) in protocol_table().into_iter().enumerate() {
        let Call(method, path, version, body) = given;
        let Answer(status, new_version, answer) = expected;
        let headers: Vec<(&str, &str)> = version.map(|v| ("if-version", v)).into_iter().collect();

        let reply = call(address, method, path, &headers, &body).expect("the store answers");

        assert_eq!(reply.status, status, "row {row}: {method} {path}");
        assert_eq!(reply.header("object-version"), new_version, "row {row}");
        assert_eq!(reply.body, answer, "row {row}");
    }
}

/// Guards against lost updates: of many writers that saw the same version, exactly one succeeds.
#[test]
fn one_of_concurrent_conditional_writes_takes_effect() {
    let (_cluster, address) = store(GENEROUS);

    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let writers: Vec<_> = (0..16)
            .map(|_| scope.spawn(move || put(address, "contended", "0", b"x").status))
            .collect();
        writers
            .into_iter()
            .map(|w| w.join().expect("no panic"))
            .collect()
    });

    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 1);
    assert_eq!(statuses.iter().filter(|status| **status == 412).count(), 15);
}

/// Guards against watches that are not woken or not counted when hundreds wait for the same object.
#[test]
fn hundreds_of_watches_wake_on_a_write() {
    let (_cluster, address) = store(GENEROUS);
    put(address, "watched", "0", b"old");

    let replies: Vec<Reply> = std::thread::scope(|scope| {
        let path = "/v1/objects/watched?after=1&wait_ms=9000";
        let watches: Vec<_> = (0..300)
            .map(|_| scope.spawn(move || call(address, "GET", path, &[], b"")))
            .collect();
        wait::until("waiting watches", TIMEOUT, || {
            let waiting = counters(address).waiting_watches;
            (waiting == 300).then_some(()).ok_or(waiting.to_string())
        })
        .expect("all watches wait");
        put(address, "watched", "1", b"new");
        watches
            .into_iter()
            .map(|watch| watch.join().expect("no panic").expect("an answer"))
            .collect()
    });

    assert!(
        replies
            .iter()
            .all(|reply| reply.status == 200 && reply.body == b"new")
    );
    let counted = counters(address);
    assert_eq!((counted.watches, counted.waiting_watches), (300, 0));
    assert_eq!(counted.reads, 300);
    assert_eq!(counted.writes, 2);
}

/// Guards against a stand-in without rate limits, which would hide that a node makes too many
/// calls.
#[test]
fn calls_above_the_rate_are_refused_with_retry_after() {
    let limits = StoreLimits {
        writes_per_s: 5,
        reads_per_s: 10,
    };
    let (_cluster, address) = store(limits);

    let writes: Vec<Reply> = (0..40)
        .map(|n| put(address, &n.to_string(), "0", b""))
        .collect();

    let refused: Vec<&Reply> = writes.iter().filter(|reply| reply.status == 429).collect();
    assert!(refused.len() >= 20, "{} refused", refused.len());
    assert!(
        refused
            .iter()
            .all(|reply| reply.header("retry-after") == Some("1"))
    );
    assert_eq!(counters(address).refused, refused.len() as u64);
}

/// Guards against a lost answer that also loses the write, or that loses too many answers.
#[test]
fn lost_answer_leaves_the_write_in_effect() {
    let (_cluster, address) = store(GENEROUS);
    fault(address, &json!({"lose_write_answers": 1}));

    let lost = call(
        address,
        "PUT",
        "/v1/objects/k",
        &[("if-version", "0")],
        b"one",
    );
    let next = put(address, "k", "1", b"two");

    assert!(lost.is_err(), "{lost:?}");
    assert_eq!(
        (next.status, next.header("object-version")),
        (200, Some("2"))
    );
    assert_eq!(counters(address).lost_answers, 1);
}

/// Guards against a store that stays up after a lost answer although an outage was requested, or
/// that loses the write with the answer.
#[test]
fn lost_answer_can_begin_an_outage() {
    let (_cluster, address) = store(GENEROUS);
    let change = json!({"lose_write_answers": 1, "close_after_lost_ms": 300});
    fault(address, &change);
    let write = [("if-version", "0")];

    let lost = call(address, "PUT", "/v1/objects/k", &write, b"one");
    let down = call(address, "GET", "/v1/objects/k", &[], b"");
    let back = wait::until("end of the outage", TIMEOUT, || {
        call(address, "GET", "/v1/objects/k", &[], b"").map_err(|error| error.to_string())
    });

    assert!(lost.is_err(), "{lost:?}");
    assert!(down.is_err(), "{down:?}");
    let back = back.expect("the store comes back");
    assert_eq!((back.status, back.body.as_slice()), (200, &b"one"[..]));
}

/// Guards against an outage that answers, never ends, or leaves watches waiting.
#[test]
fn outages_fail_calls_and_end_by_themselves() {
    let (_cluster, address) = store(GENEROUS);
    put(address, "k", "0", b"one");
    let read = || call(address, "GET", "/v1/objects/k", &[], b"");

    fault(address, &json!({"down": "refuse", "for_ms": 60_000}));
    let refused = read();
    fault(address, &json!({"down": "close", "for_ms": 60_000}));
    let closed = read();
    fault(address, &json!({"up": true}));
    let up = read();
    fault(address, &json!({"down": "close", "for_ms": 200}));
    let ended = wait::until("end of the outage", TIMEOUT, || {
        read().map_err(|error| error.to_string())
    });

    assert_eq!(refused.expect("an answer").status, 503);
    assert!(closed.is_err());
    assert_eq!(up.expect("an answer").body, b"one");
    assert_eq!(ended.expect("the outage ends").body, b"one");
}

/// Guards against a delay that has no effect, and against watches that survive a cut.
#[test]
fn delay_and_cut_watches_take_effect() {
    let (_cluster, address) = store(GENEROUS);
    put(address, "k", "0", b"one");

    fault(address, &json!({"slow_ms": 200}));
    let started_at = Instant::now();
    let slow = call(address, "GET", "/v1/objects/k", &[], b"").expect("an answer");
    let elapsed = started_at.elapsed();
    fault(address, &json!({"slow_ms": 0}));
    let cut = std::thread::scope(|scope| {
        let path = "/v1/objects/k?after=1&wait_ms=9000";
        let watch = scope.spawn(move || call(address, "GET", path, &[], b""));
        wait::until("waiting watch", TIMEOUT, || {
            let waiting = counters(address).waiting_watches;
            (waiting == 1).then_some(()).ok_or(waiting.to_string())
        })
        .expect("the watch waits");
        fault(address, &json!({"cut_watches": true}));
        watch.join().expect("no panic")
    });

    assert_eq!(slow.status, 200);
    assert!(elapsed >= Duration::from_millis(200), "{elapsed:?}");
    assert!(cut.is_err(), "{cut:?}");
}

/// Guards against connections that wait behind idle ones: the thread pool of `tiny_http` can queue
/// one connection of a burst until another connection closes.
#[test]
fn bursts_of_connections_are_answered_while_others_stay_open() {
    let (_cluster, address) = store(GENEROUS);
    let url = format!("http://{address}/v1/list?prefix=x");
    let mut open = Vec::new();

    for burst in 0..30 {
        let agents: Vec<_> = std::thread::scope(|scope| {
            let callers: Vec<_> = (0..8)
                .map(|_| {
                    scope.spawn(|| {
                        let agent = http::agent(Duration::from_secs(2));
                        http::exchange(&agent, "GET", &url, &[], b"").map(|_| agent)
                    })
                })
                .collect();
            callers
                .into_iter()
                .map(|caller| caller.join().expect("no panic"))
                .collect()
        });

        for agent in agents {
            open.push(agent.unwrap_or_else(|error| panic!("burst {burst}: {error}")));
        }
    }

    assert_eq!(open.len(), 240);
}
