//! Operator interface of a real node with malformed calls and too many connections.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::support::Node;
use crate::support::exchange;
use crate::support::wait;

fn post(body: &str) -> String {
    let length = body.len();
    format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Guards against an operator interface that stops or hangs after calls that the command line never
/// sends, such as invalid JSON, unknown methods, oversized bodies and other protocols.
#[test]
fn invalid_calls_are_refused_and_the_interface_keeps_running() {
    let node = Node::start("hostile-operators");
    let status = post("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\",\"params\":[]}");
    let cases = [
        (post("{"), "-32700"),
        (
            post("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"no_such\"}"),
            "-32601",
        ),
        (post("{\"jsonrpc\":\"2.0\",\"id\":1}"), "-32600"),
        (
            post(&format!("{{\"a\":\"{}\"}}", "a".repeat(2_000_000))),
            "HTTP/1.1 413",
        ),
        (
            "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned(),
            "HTTP/1.1 405",
        ),
        ("\u{1}\u{2} garbage\r\n\r\n".to_owned(), "HTTP/1.1 400"),
    ];
    for (input, expected) in cases {
        let answer = exchange(node.operator, &input).unwrap_or_default();

        // The connection of an oversized call may be reset before the refusal is read.
        let is_cut = answer.is_empty() && input.len() > 1_000_000;
        assert!(is_cut || answer.contains(expected), "{input:.80}: {answer}");
        let served = exchange(node.operator, &status).expect("the interface answers");
        assert!(served.contains("\"result\""), "{input:.80}: {served}");
    }
}

/// Guards against calls that hang while too many connections are open. They must be served or
/// refused at once, and served again after the connections have been closed.
#[test]
fn many_connections_do_not_end_the_interface() {
    let node = Node::start("many-operators");
    let status = post("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\",\"params\":[]}");
    let mut held: Vec<TcpStream> = (0..200)
        .filter_map(|_| TcpStream::connect(node.operator).ok())
        .collect();
    for stream in &mut held {
        let _ = stream.write_all(b"POST / HTTP/1.1\r\nhost: a\r\n");
    }

    let start = Instant::now();
    let answer = exchange(node.operator, &status).unwrap_or_default();
    drop(held);
    wait("the interface answers again", || {
        exchange(node.operator, &status).is_some_and(|answer| answer.contains("\"result\""))
    });

    let is_refused = answer.is_empty() || answer.starts_with("HTTP/1.1 429");
    assert!(is_refused || answer.contains("\"result\""), "{answer}");
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    assert!(node.get("/healthz").contains("serving"));
}
