//! `hemlockfall explain`: what it says is what happens to the request, and asking changes nothing.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Command;
use std::process::Output;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_sidecar::explain::AccountState;
use hemlockfall_sidecar::explain::Decision;
use hemlockfall_sidecar::explain::Explanation;
use hemlockfall_standins::caller::Outcome;
use xtask::harness::programs::Programs;
use xtask::soak::testbed::Testbed;

use crate::accounts::KEPT_KEY;
use crate::accounts::REVOKED_KEY;
use crate::accounts::start_with_accounts;
use crate::placement_limits::arrivals_since;
use crate::placement_limits::start_two_regions;
use crate::placement_limits::write_limits;
use crate::setup::HOST;
use crate::setup::deregister_target;
use crate::setup::request;
use crate::setup::send;

const DEADLINE: Duration = Duration::from_millis(800);
/// Time after which all nodes know that a target has left.
const SETTLED: Duration = Duration::from_secs(1);
/// Number of times that a request is explained and then sent.
const ROUNDS: usize = 5;

fn explain_with(node: SocketAddr, path: &str, more: &[&str]) -> Output {
    let programs = Programs::locate().expect("the program is built");
    let (node, timeout_ms) = (node.to_string(), DEADLINE.as_millis().to_string());
    Command::new(programs.hemlockfall)
        .args(["explain", "--node", &node, "--host", HOST, "--path", path])
        .args(["--timeout-ms", &timeout_ms])
        .args(more)
        .output()
        .expect("the program starts")
}

fn explain(testbed: &Testbed, vm: usize, path: &str) -> Explanation {
    read(&explain_with(testbed.vms[vm].metrics, path, &["--json"]))
}

fn read(output: &Output) -> Explanation {
    let error = String::from_utf8_lossy(&output.stderr);
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("no JSON: {error}"))
}

/// Explains a request and sends it. Returns the decision, the outcome and the nodes whose target got it.
fn explained_and_sent(
    testbed: &Testbed,
    vm: usize,
    path: &str,
) -> (Decision, Outcome, Vec<String>) {
    let asked = Instant::now();
    let decision = explain(testbed, vm, path).decision;
    let reached = |since| {
        let vms = testbed.vms.iter().enumerate();
        vms.filter(|(vm, node)| node.target.is_some() && arrivals_since(testbed, *vm, since) > 0)
            .map(|(_, node)| node.name.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(reached(asked), Vec::<String>::new(), "explained, not sent");
    let sent = Instant::now();
    let outcome = send(testbed.vms[vm].callers, &request(vm, path, false, DEADLINE));
    (decision, outcome, reached(sent))
}

/// Checks that requests go where the explanations say; returns the last decision.
fn assert_explained(testbed: &Testbed, vm: usize, path: &str) -> Decision {
    let mut last = Decision::Deferred;
    for _ in 0..ROUNDS {
        let (decision, outcome, reached) = explained_and_sent(testbed, vm, path);
        let expected = match &decision {
            Decision::Own => vec![testbed.vms[vm].name.clone()],
            Decision::Sent { node } => vec![node.to_string()],
            Decision::Deferred | Decision::Refused { .. } => Vec::new(),
        };
        assert_eq!(
            reached, expected,
            "{path} at {vm}: {decision:?}, {outcome:?}"
        );
        let is_served = matches!(outcome, Outcome::Served);
        assert_eq!(is_served, !expected.is_empty(), "{decision:?}, {outcome:?}");
        last = decision;
    }
    last
}

/// Guards against an explanation that names another target than the one that gets the request, and
/// against one that still names a target that has left. Each region has one target of the service, so
/// that the choice between the candidates has no chance in it.
#[test]
fn requests_go_where_the_explanation_says() {
    let mut testbed = start_two_regions("explain");
    write_limits(&mut testbed);

    let before = [0, 1, 2, 3].map(|vm| assert_explained(&testbed, vm, "/stock/1"));
    let home = assert_explained(&testbed, 0, "/home/1");
    let unrouted = assert_explained(&testbed, 0, "/none/1");
    deregister_target(&mut testbed, 2);
    thread::sleep(SETTLED);
    let after = assert_explained(&testbed, 3, "/stock/1");
    let refused = assert_explained(&testbed, 0, "/home/1");
    let excluded = explain(&testbed, 0, "/home/1").excluded;

    let names: Vec<&str> = testbed.vms.iter().map(|vm| vm.name.as_str()).collect();
    let sent_to = |vm: usize| Decision::Sent {
        node: names[vm].into(),
    };
    assert_eq!(
        before,
        [Decision::Own, sent_to(0), Decision::Own, sent_to(2)]
    );
    assert_eq!(home, sent_to(2));
    assert_eq!(unrouted, Decision::refused(404, "HF-3702"));
    assert_eq!(after, sent_to(0));
    assert_eq!(refused, Decision::refused(503, "HF-3703"));
    assert_eq!(excluded.region, 1, "the target of the other region");
}

/// Guards against an explanation of a request with a key that the node would refuse, or without one that
/// it would serve, and against a key in the output.
#[test]
fn an_account_is_explained_by_its_name() {
    let testbed = start_with_accounts("explain_accounts", 2);
    let node = testbed.vms[1].metrics;

    let named = explain_with(node, "/stock/1", &["--json", "--account", "large"]);
    let [nameless, public] = ["/stock/1", "/feed/1"].map(|path| explain(&testbed, 1, path));

    let output = String::from_utf8_lossy(&named.stdout);
    assert!(
        ![REVOKED_KEY, KEPT_KEY]
            .iter()
            .any(|key| output.contains(key))
    );
    let named = read(&named);
    assert!(matches!(&named.account, Some(AccountState::Known { name, .. }) if name == "large"));
    let first = testbed.vms[0].name.as_str().into();
    assert_eq!(named.decision, Decision::Sent { node: first });
    assert_eq!(nameless.account, Some(AccountState::KeyNeeded));
    assert_eq!(nameless.decision, Decision::refused(401, "HF-3714"));
    assert_eq!(public.account, Some(AccountState::Public));
    assert_eq!(public.decision, Decision::Own);
}

/// Guards against a node or a command that ends on bad input, or whose error has no number.
#[test]
fn bad_input_is_refused_with_a_number() {
    let testbed = start_two_regions("explain_bad_input");
    let node = testbed.vms[0].metrics;

    for target in [
        "/explain",
        "/explain?%",
        "/explain?host=%ff&path=/",
        "/explain?key=k-1",
    ] {
        let mut stream = TcpStream::connect(node).expect("the node accepts connections");
        write!(
            stream,
            "GET {target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        )
        .expect("the request is sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("it is answered");
        assert!(answer.starts_with("HTTP/1.1 400"), "{target}: {answer}");
        assert!(answer.contains("3720"), "{target}: {answer}");
    }
    let failures = [
        (explain_with(node, "no-slash", &[]), "HF-3720"),
        (
            explain_with(node, "/stock/1", &["--account", "none"]),
            "HF-3721",
        ),
        (
            explain_with(testbed.vms[0].callers, "/stock/1", &[]),
            "HF-7007",
        ),
    ];
    for (output, code) in failures {
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{error}");
        assert!(error.contains(code), "{error} names {code}");
    }
    let text = explain_with(node, "/stock/1", &[]).stdout;
    let text = String::from_utf8_lossy(&text);
    assert!(text.contains("goes to the target of"), "{text}");
}
