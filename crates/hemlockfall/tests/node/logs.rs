//! Log of a node: one JSON object per line, flushed in time, cheap, and no cause for the node to
//! stop.

use std::fs;
use std::net::UdpSocket;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall::log;
use hemlockfall::log::LogOptions;
use hemlockfall::node::decisions::DecisionLog;
use hemlockfall_core::units;
use hemlockfall_request::call::Decision;
use uuid::Uuid;

use crate::support::Node;
use crate::support::directory;
use crate::support::parse_line;
use crate::support::wait;

/// Maximum time until a line is in the file, with tolerance for a busy machine.
const FLUSH_BOUND_MS: u64 = 500 + 300;
const ERRORS: &str = "hemlockfall_log_errors_total";

fn decision() -> Decision {
    Decision {
        request_id: Uuid::from_u128(7),
        service: "order-desk".into(),
        route: "orders".into(),
        version: "v1".into(),
        node: Some("n1".into()),
        attempt: 2,
    }
}

/// Guards against message text that breaks a line or its JSON, routing decisions that lack fields,
/// and decision lines that cost more than a few microseconds on the request path.
#[test]
fn lines_of_the_process_are_json_and_cheap() {
    let file = directory().join("in-process.log");
    let _ = fs::remove_file(&file);
    let options = LogOptions {
        file: file.display().to_string().into(),
        level: "info".into(),
        decisions_per_s: 0,
    };
    log::init(&options).expect("the log opens");
    let hostile = "a \"quoted\"\r\nline\u{0}\u{2028}{\"level\":1}\\";
    let mut decisions = DecisionLog::new(0, Instant::now());

    spdlog::info!("{hostile}", kv: { text = hostile });
    let fastest = (0..20)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..500 {
                decisions.write(&decision(), start);
            }
            start.elapsed() / 500
        })
        .min()
        .expect("at least one sample");
    spdlog::warn!("end");

    let text = fs::read_to_string(&file).expect("the file is there");
    let lines: Vec<_> = text.lines().map(parse_line).collect();
    assert_eq!(lines.len(), 1 + 20 * 500 + 1);
    assert_eq!(lines[0]["payload"], hostile);
    assert_eq!(lines[0]["kv"]["text"], hostile);
    let route = &lines[1];
    assert_eq!(route["payload"], "route");
    assert_eq!(route["kv"]["request"], Uuid::from_u128(7).to_string());
    assert_eq!(route["kv"]["service"], "order-desk");
    assert_eq!(route["kv"]["route"], "orders");
    assert_eq!(route["kv"]["version"], "v1");
    assert_eq!(route["kv"]["node"], "n1");
    assert_eq!(route["kv"]["attempt"], 2);
    println!("a decision line takes {fastest:?}");
    assert!(fastest < Duration::from_micros(10), "{fastest:?}");
}

/// Guards against endpoint lines that lack fields, and lines that reach the file too late.
#[test]
fn lines_of_a_node_are_json_and_in_time() {
    let node = Node::start("log-lines");
    let body = "{\"service\":\"order-desk\",\"version\":\"v1\",\"address\":\"127.0.0.1:9\",\
        \"slots\":2,\"connections\":3}";

    let answer = node.post("/v1/announce", body);
    let endpoint = node.log_line("endpoint");
    let endpoint_late_ms = units::unix_ms(std::time::SystemTime::now())
        - endpoint["timestamp"].as_u64().expect("a number");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bound");
    socket.send_to(b"garbage", node.peer).expect("sent");
    let warning = node.log_line("message dropped");
    let warning_late_ms = units::unix_ms(std::time::SystemTime::now())
        - warning["timestamp"].as_u64().expect("a number");

    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    assert!(endpoint_late_ms <= FLUSH_BOUND_MS, "{endpoint_late_ms} ms");
    assert!(warning_late_ms <= 100, "{warning_late_ms} ms");
    for field in ["node", "service", "version", "state"] {
        assert!(endpoint["kv"][field].is_string(), "{field}: {endpoint}");
    }
    assert!(endpoint["kv"]["incarnation"].is_u64(), "{endpoint}");
    assert_eq!(node.log_line("node started")["kv"]["node"], "log-lines");
}

/// Sends malformed datagrams, so that the node logs warnings.
fn cause_warnings(node: &Node) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bound");
    for _ in 0..20 {
        socket.send_to(b"garbage", node.peer).expect("sent");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a node that stops when its log file cannot be written (disk full).
#[test]
fn a_full_disk_does_not_stop_the_node() {
    let mut node = Node::start_with("full-disk", "/dev/full", Stdio::null());

    cause_warnings(&node);

    wait("the errors are counted", || node.metric(ERRORS) >= 1.0);
    assert!(node.get("/healthz").contains("serving"));
    assert!(node.child().try_wait().expect("a status").is_none());
}

/// Guards against a node that stops when the reader of its standard error has closed the pipe.
#[test]
fn a_closed_standard_error_does_not_stop_the_node() {
    let mut node = Node::start_with("closed-error", "-", Stdio::piped());
    let output = node.child().stderr.take();

    drop(output);
    cause_warnings(&node);

    wait("the errors are counted", || node.metric(ERRORS) >= 1.0);
    assert!(node.get("/healthz").contains("serving"));
    assert!(node.child().try_wait().expect("a status").is_none());
}
