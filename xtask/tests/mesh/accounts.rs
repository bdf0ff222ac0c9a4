//! Client accounts: keys that are revoked while nodes serve, are cut off or start, and where keys show.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use serde_json::Value;
use serde_json::json;
use xtask::soak::proxy::Mode;
use xtask::soak::testbed::CONFIG_APPLY_TIMEOUT;
use xtask::soak::testbed::SERVICES;
use xtask::soak::testbed::Testbed;

use crate::deregistration::kill;
use crate::setup::HOST;
use crate::setup::POLL;
use crate::setup::SERVE_TIMEOUT;
use crate::setup::await_served;
use crate::setup::metrics_of;
use crate::setup::request;
use crate::setup::start;
use crate::setup::testbed_options;

/// Time within which a node that was cut off must know a revocation, after it is connected again.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(5);
pub const REVOKED_KEY: &str = "k-revoked-81c2";
pub const KEPT_KEY: &str = "k-kept-02aa";
const UNKNOWN_KEY: &str = "k-unknown-77de";

/// Returns the next configuration of a testbed, with accounts, and counts it as written.
fn next_config(testbed: &mut Testbed, tenants: &Value) -> Value {
    let version = testbed.config.0 + 2;
    let mut routes = vec![
        wire::route("stock", HOST, "/stock/", "desk", true),
        wire::route("feed", HOST, "/feed/", "feed", true),
    ];
    routes[1]["public"] = true.into();
    let mut config = wire::config(version, &routes, &SERVICES);
    config["tenants"] = tenants.clone();
    testbed.config = (version, Instant::now());
    config
}

fn write_accounts(testbed: &mut Testbed, revocable: &[&str]) {
    let tenants = json!([
        { "name": "large", "apiKeys": revocable },
        { "name": "small", "apiKeys": [KEPT_KEY] },
    ]);
    let config = next_config(testbed, &tenants);
    testbed.store.put("config", "main", config);
}

/// Starts a mesh whose first node has the only target of `/stock/`, which needs a key.
pub fn start_with_accounts(test: &str, nodes: usize) -> Testbed {
    let mut testbed = start(&testbed_options(test, nodes));
    for vm in &testbed.vms {
        await_served(&testbed, vm.callers, "/stock/1");
    }
    write_accounts(&mut testbed, &[REVOKED_KEY]);
    for vm in 0..nodes {
        let is_served = await_outcome(&testbed, vm, REVOKED_KEY, SERVE_TIMEOUT, |outcome| {
            matches!(outcome, Outcome::Served)
        });
        assert!(is_served, "node {vm} knows the accounts");
        let is_refused = await_outcome(&testbed, vm, UNKNOWN_KEY, SERVE_TIMEOUT, is_unauthorized);
        assert!(is_refused, "node {vm} refuses an unknown key");
    }
    testbed
}

fn is_unauthorized(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Failed(401))
}

fn connect(node: SocketAddr, headers: &[(&str, &str)]) -> Connection {
    let mut connection = Connection::open(node).expect("the node accepts connections");
    connection.set_headers(headers);
    connection
}

fn send_on(connection: &mut Connection, path: &str) -> Outcome {
    let sent = request(1, path, false, Duration::from_secs(2));
    connection.send(&sent).0
}

fn send_with(node: SocketAddr, key: &str, path: &str) -> Outcome {
    send_on(&mut connect(node, &[("x-key", key)]), path)
}

/// Sends requests with a key until one ends as expected.
fn await_outcome(
    testbed: &Testbed,
    vm: usize,
    key: &str,
    bound: Duration,
    is_expected: impl Fn(&Outcome) -> bool,
) -> bool {
    let started = Instant::now();
    while started.elapsed() < bound {
        if is_expected(&send_with(testbed.vms[vm].callers, key, "/stock/1")) {
            return true;
        }
        thread::sleep(POLL);
    }
    false
}

fn last_values(testbed: &Testbed, vm: usize, name: &str) -> Vec<String> {
    let target = testbed.vms[vm].target.as_ref().expect("the target runs");
    target.last_values(name)
}

/// Guards against a key that reaches a target, and against a caller that names an account to a target
/// although it holds no key of it.
#[test]
fn a_target_gets_the_name_of_the_account_and_no_key() {
    let testbed = start_with_accounts("accounts_headers", 2);
    let forged = [("X-Tenant", "small"), ("x-tenant", "root")];
    let known = [&forged[..], &[("X-KEY", REVOKED_KEY)]].concat();
    let unknown = [&forged[..], &[("X-Key", UNKNOWN_KEY)]].concat();
    let doubled = [("X-Key", REVOKED_KEY), ("X-Key", KEPT_KEY)];
    for vm in &testbed.vms {
        let with_key = send_on(&mut connect(vm.callers, &known), "/stock/1");
        let at_target = ["x-key", "x-tenant"].map(|name| last_values(&testbed, 0, name));
        let public = send_on(&mut connect(vm.callers, &unknown), "/feed/1");
        let at_public = ["x-key", "x-tenant"].map(|name| last_values(&testbed, 1, name));
        let without_key = send_on(&mut connect(vm.callers, &[]), "/stock/1");
        let two_keys = send_on(&mut connect(vm.callers, &doubled), "/stock/1");

        assert!(matches!(with_key, Outcome::Served), "{with_key:?}");
        assert_eq!(at_target, [vec![], vec!["large".to_owned()]]);
        assert!(matches!(public, Outcome::Served), "{public:?}");
        assert_eq!(at_public, [const { Vec::<String>::new() }; 2]);
        assert!(is_unauthorized(&without_key), "{without_key:?}");
        assert!(is_unauthorized(&two_keys), "{two_keys:?}");
    }
}

/// Guards against headers that are removed although the configuration holds no accounts.
#[test]
fn without_accounts_headers_are_passed_on() {
    let testbed = start(&testbed_options("accounts_none", 2));
    await_served(&testbed, testbed.vms[1].callers, "/stock/1");
    let headers = [("X-Key", "any"), ("X-Tenant", "any")];

    let outcome = send_on(&mut connect(testbed.vms[1].callers, &headers), "/stock/1");

    assert!(matches!(outcome, Outcome::Served), "{outcome:?}");
    for (name, value) in headers {
        assert_eq!(last_values(&testbed, 0, name), [value]);
    }
}

/// Guards against a revoked key that is still served on a connection that was open before.
#[test]
fn a_revoked_key_is_refused_on_an_open_connection() {
    let mut testbed = start_with_accounts("accounts_open", 2);
    let nodes = [0, 1].map(|vm| testbed.vms[vm].callers);
    let open = |key| nodes.map(|node| connect(node, &[("X-Key", key)]));
    let (mut revoked, mut kept) = (open(REVOKED_KEY), open(KEPT_KEY));
    for connection in revoked.iter_mut().chain(&mut kept) {
        let outcome = send_on(connection, "/stock/1");
        assert!(matches!(outcome, Outcome::Served), "{outcome:?}");
    }

    write_accounts(&mut testbed, &[]);
    thread::sleep(CONFIG_APPLY_TIMEOUT);
    let revoked = revoked.each_mut().map(|open| send_on(open, "/stock/1"));
    let kept = kept.each_mut().map(|open| send_on(open, "/stock/1"));

    assert!(revoked.iter().all(is_unauthorized), "{revoked:?}");
    let is_served = |outcome: &Outcome| matches!(outcome, Outcome::Served);
    assert!(kept.iter().all(is_served), "{kept:?}");
}

/// Guards against a second attempt of a request whose key was revoked during the first one. The first
/// target crashes, and another one could serve the request.
#[test]
fn a_request_is_not_repeated_after_its_key_was_revoked() {
    let mut testbed = start_with_accounts("accounts_attempts", 3);
    let node = testbed.vms[1].callers;
    let began = Instant::now();
    let sent = request(7, "/stock/takes/1000", false, Duration::from_secs(2));
    let (id, path) = (sent.id.clone(), sent.clone());
    let caller = thread::spawn(move || connect(node, &[("X-Key", REVOKED_KEY)]).send(&path).0);
    thread::sleep(Duration::from_millis(100));

    write_accounts(&mut testbed, &[]);
    thread::sleep(Duration::from_millis(700));
    let ran_at = [0, 2].into_iter().find(|vm| {
        let target = testbed.vms[*vm].target.as_ref().expect("it runs");
        target.arrivals().iter().any(|arrival| *arrival >= began)
    });
    let crashed = &testbed.vms[ran_at.expect("the request reached a target")];
    crashed.target.as_ref().expect("it runs").crash();
    let outcome = caller.join().expect("the caller ends");

    assert!(matches!(outcome, Outcome::Failed(502)), "{outcome:?}");
    assert_eq!(testbed.ledger.runs_of(&id), 1);
}

/// Guards against a node that was cut off from the store and the other nodes and still serves a
/// revoked key after it has been connected again.
#[test]
fn a_node_that_was_cut_off_refuses_a_revoked_key_in_time() {
    let mut testbed = start_with_accounts("accounts_cut_off", 2);
    for vm in &testbed.vms {
        vm.link_proxy.set_mode(Mode::DropAll);
    }
    testbed.vms[0].store_proxy.set_mode(Mode::DropAll);
    thread::sleep(Duration::from_secs(1));
    write_accounts(&mut testbed, &[]);
    thread::sleep(CONFIG_APPLY_TIMEOUT);

    for vm in &testbed.vms {
        vm.link_proxy.set_mode(Mode::Forward);
    }
    testbed.vms[0].store_proxy.set_mode(Mode::Forward);
    thread::sleep(REVOKE_TIMEOUT);
    let outcomes = [0, 1].map(|vm| send_with(testbed.vms[vm].callers, REVOKED_KEY, "/stock/1"));

    assert!(outcomes.iter().all(is_unauthorized), "{outcomes:?}");
}

/// Guards against a revoked key that works again at a node that starts, and at one that runs, after
/// the store has come back from a copy in which an account holds the key.
#[test]
fn a_revoked_key_stays_revoked_after_a_restart_and_a_restored_store() {
    let mut testbed = start_with_accounts("accounts_restored", 3);
    let copy = testbed.store.copy();
    write_accounts(&mut testbed, &[]);
    thread::sleep(CONFIG_APPLY_TIMEOUT);

    testbed.store.restore(copy);
    kill(&mut testbed, 1);
    testbed.vms[1].restart_node().expect("the node starts");
    let started = Instant::now();
    let mut ends = Vec::new();
    while started.elapsed() < REVOKE_TIMEOUT {
        for vm in &testbed.vms {
            if let Ok(mut connection) = Connection::open(vm.callers) {
                connection.set_headers(&[("X-Key", REVOKED_KEY)]);
                let outcome = send_on(&mut connection, "/stock/1");
                ends.push((vm.name.clone(), started.elapsed(), outcome));
            }
        }
    }

    let is_served = |end: &&(_, _, Outcome)| matches!(end.2, Outcome::Served);
    let served: Vec<_> = ends.iter().filter(is_served).collect();
    assert!(served.is_empty(), "{served:#?}");
    let is_refused = |end: &&(_, _, Outcome)| is_unauthorized(&end.2);
    assert!(ends.iter().rev().take(3).all(|end| is_refused(&end)));
}

/// Guards against keys in the log lines and on the metrics pages: those of served, refused and
/// unknown callers, and those of a configuration that cannot be read.
#[test]
fn keys_appear_in_no_log_and_no_metric() {
    let mut testbed = start_with_accounts("accounts_hidden", 2);
    let odd_keys = ["k-odd-3b90", "k-odd-quota-41", "k-odd-text-55"];
    let odd_tenants = [
        json!([{ "name": "odd", "apiKeys": odd_keys[0] }]),
        json!([{ "name": "odd", "apiKeys": [odd_keys[1]], "ratePerS": odd_keys[1] }]),
        json!([{ "name": "odd", "apiKeys": [odd_keys[2]] }]),
    ];
    for (index, tenants) in odd_tenants.iter().enumerate() {
        let config = next_config(&mut testbed, tenants);
        // The last one is stored as a text that holds the object.
        let spec = match index {
            2 => Value::String(config.to_string()),
            _ => config,
        };
        testbed.store.put("config", "main", spec);
        thread::sleep(Duration::from_millis(500));
        for (vm, key) in testbed.vms.iter().zip([UNKNOWN_KEY, KEPT_KEY]) {
            send_with(vm.callers, key, "/stock/1");
            send_with(vm.callers, key, "/feed/1");
            send_with(vm.callers, key, "/none/1");
        }
    }
    thread::sleep(Duration::from_secs(1));

    let logs: String = testbed
        .vms
        .iter()
        .map(|vm| vm.node.output() + &vm.node.log_tail(usize::MAX))
        .collect();
    let pages = metrics_of(&testbed);

    for expected in ["HF-3712", "HF-3713", "HF-3714", "is not an object"] {
        assert!(logs.contains(expected), "the log has {expected}");
    }
    let known = [REVOKED_KEY, KEPT_KEY, UNKNOWN_KEY];
    for key in known.iter().chain(&odd_keys) {
        assert!(!logs.contains(key), "{key} is logged");
        assert!(!pages.contains(key), "{key} is on a metrics page");
    }
    let served = send_with(testbed.vms[1].callers, KEPT_KEY, "/stock/1");
    assert!(matches!(served, Outcome::Served), "{served:?}");
}
