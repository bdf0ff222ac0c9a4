//! Contract of the JSON-RPC interface: malformed calls, time limits, error data with result codes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;

use hemlockfall::operator;
use hemlockfall::operator::Envelope;
use hemlockfall::operator::OperatorReply;
use hemlockfall::operator::OperatorRequest;
use hemlockfall::operator::errors;
use hemlockfall::operator::errors::OperatorError;
use hemlockfall::operator::errors::Outcome;
use hemlockfall::operator::request::ReportFormat;
use hemlockfall::operator::server::Server;
use serde_json::Value;
use serde_json::json;

const ID: &str = "00000000-0000-0000-0000-000000000007";

fn server(options: &operator::Options) -> (Server, Receiver<Envelope>, Arc<AtomicUsize>) {
    let (sender, requests) = operator::channel(options);
    let wakes = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&wakes);
    let wake = Arc::new(move || {
        counter.fetch_add(1, Ordering::Relaxed);
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(address, options, sender, wake).expect("listens");
    (server, requests, wakes)
}

fn post(address: SocketAddr, body: &str) -> Option<Value> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut answer = agent
        .post(format!("http://{address}"))
        .header("content-type", "application/json")
        .send(body)
        .expect("answered");
    let text = answer.body_mut().read_to_string().expect("text");
    serde_json::from_str(&text).ok()
}

fn call(address: SocketAddr, method: &str, params: &Value) -> Value {
    let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
    post(address, &body.to_string()).expect("JSON")
}

fn error_data(answer: &Value) -> OperatorError {
    serde_json::from_value(answer["error"]["data"].clone())
        .unwrap_or_else(|error| panic!("{answer}: {error}"))
}

/// Guards against malformed calls that reach the node, stop the server, or get no error.
#[test]
fn malformed_calls_are_refused() {
    let (server, requests, wakes) = server(&operator::Options::default());
    let calls = [
        ("", -32700),
        ("{", -32700),
        ("[]", -32005),
        ("{\"jsonrpc\":\"2.0\",\"id\":1}", -32600),
        ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":7}", -32600),
        (
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"frobnicate\"}",
            -32601,
        ),
        (
            "[{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}]",
            -32005,
        ),
    ];
    for (body, code) in calls {
        let answer = post(server.address(), body).expect("JSON");

        assert_eq!(answer["error"]["code"], code, "case {body}: {answer}");
    }
    let params = [
        ("catalogue_get", json!(null)),
        ("catalogue_get", json!({})),
        ("catalogue_get", json!([[]])),
        ("catalogue_get", json!({"service": 7})),
        ("catalogue_get", json!({"service": "a", "more": 1})),
        ("catalogue_history", json!({"service": "a", "limit": -1})),
        ("catalogue_apply", json!({"who": "a", "operation_id": ID})),
        (
            "catalogue_apply",
            json!({"service": {"name": "a"}, "who": "a", "operation_id": ID}),
        ),
        (
            "catalogue_remove",
            json!({"service": "a", "who": "a", "operation_id": "no id"}),
        ),
        (
            "move_change",
            json!({"service": "a", "action": "finish", "reason": "r", "who": "w", "operation_id": ID}),
        ),
        ("report", json!({"format": "pdf"})),
    ];
    for (method, params) in params {
        let answer = call(server.address(), method, &params);

        assert_eq!(
            answer["error"]["code"], -32602,
            "case {method} {params}: {answer}"
        );
        assert_eq!(error_data(&answer).code, errors::PARAMETERS_INVALID);
    }
    for (who, reason) in [("", "r"), ("w", " "), ("w", &*"r".repeat(257))] {
        let params = json!({"service": "a", "action": "abort", "reason": reason, "who": who, "operation_id": ID});

        let answer = call(server.address(), "move_change", &params);

        assert_eq!(error_data(&answer).code, errors::PARAMETERS_INVALID);
    }
    assert!(requests.try_recv().is_err());
    assert_eq!(wakes.load(Ordering::Relaxed), 0);
}

/// Guards against calls whose parameters are lost on the way to the node or whose answer is lost on
/// the way back.
#[test]
fn valid_call_reaches_the_node_and_returns() {
    let (server, requests, wakes) = server(&operator::Options::default());
    let node = std::thread::spawn(move || {
        let envelope = requests.recv().expect("a request");
        let reply = Ok(OperatorReply::Report("all moves are done".to_owned()));
        envelope.reply.send(reply).expect("the caller waits");
        envelope.request
    });

    let answer = call(server.address(), "report", &json!({"format": "html"}));

    let format = ReportFormat::Html;
    assert_eq!(
        node.join().expect("ends"),
        OperatorRequest::Report { format }
    );
    assert_eq!(answer["result"]["report"], "all moves are done");
    assert_eq!(wakes.load(Ordering::Relaxed), 1);
}

/// Guards against calls that never end, and against reporting a change that may still take effect
/// as failed.
#[test]
fn unresponsive_and_busy_nodes_give_numbered_errors() {
    let options = operator::Options {
        call_timeout_ms: 100,
        queue_length: 2,
        ..operator::Options::default()
    };
    let (server, requests, _) = server(&options);
    let removal = json!({"service": "a", "who": "w", "operation_id": ID});

    let read = error_data(&call(server.address(), "status", &json!(null)));
    let change = error_data(&call(server.address(), "catalogue_remove", &removal));
    let busy = error_data(&call(server.address(), "catalogue_remove", &removal));
    drop(requests);
    let stopping = error_data(&call(server.address(), "catalogue_remove", &removal));

    assert_eq!(
        (read.code, read.outcome),
        (errors::NODE_UNRESPONSIVE, Outcome::Failed)
    );
    assert_eq!(
        (change.code, change.outcome),
        (errors::NODE_UNRESPONSIVE, Outcome::Unknown)
    );
    assert_eq!(
        change.operation_id.map(|id| id.to_string()).as_deref(),
        Some(ID)
    );
    assert_eq!(
        (busy.code, busy.outcome),
        (errors::NODE_BUSY, Outcome::Failed)
    );
    assert_eq!(
        (stopping.code, stopping.outcome),
        (errors::NODE_STOPPING, Outcome::Failed)
    );
}

/// Guards against an address in use that causes a panic, or a server that only appears to run.
#[test]
fn address_in_use_is_a_numbered_error() {
    let options = operator::Options::default();
    let (first, _requests, _) = server(&options);
    let (sender, _more) = operator::channel(&options);

    let second = Server::start(first.address(), &options, sender, Arc::new(|| {}));

    assert_eq!(second.expect_err("in use").code, errors::LISTEN_FAILED);
}
