//! HTTP conformance of the target client against scripted targets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use hemlockfall::edge::http1::HttpLimits;
use hemlockfall::edge::message::TargetResult;
use hemlockfall_standins::endless::EndlessBytes;

use crate::support::MAX_CONNECTIONS;
use crate::support::TIMEOUT;
use crate::support::free_address;
use crate::support::run_on_target;
use crate::support::target_client;

const LIMITS: HttpLimits = HttpLimits {
    max_head_bytes: 2048,
    max_body_bytes: 1000,
};
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Heads of the requests that a scripted target has received.
type Requests = Arc<Mutex<Vec<String>>>;

/// Starts a target. Each connection uses the next script, which holds one answer per request, and
/// is closed after the last one.
fn target(scripts: Vec<Vec<String>>) -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let requests = Requests::default();
    let seen = Arc::clone(&requests);
    thread::spawn(move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().expect("a connection");
            for answer in script {
                let Some(request) = read_head(&mut stream) else {
                    break;
                };
                seen.lock().expect("not poisoned").push(request);
                let _ = stream.write_all(answer.as_bytes());
            }
        }
    });
    (address, requests)
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Returns a short text for a result.
fn text(result: TargetResult) -> String {
    match result {
        TargetResult::Answer(answer) => {
            let names: Vec<&str> = answer.headers.iter().map(|h| h.name.as_str()).collect();
            let body = String::from_utf8_lossy(&answer.body);
            format!("{} [{}] {body}", answer.status, names.join(" "))
        }
        TargetResult::Busy => "busy".to_owned(),
        TargetResult::NotSent { .. } => "not sent".to_owned(),
        TargetResult::Broken { .. } => "broken".to_owned(),
        TargetResult::TimedOut => "timed out".to_owned(),
    }
}

/// Guards against forwarding incomplete answers, and against answers that are parsed differently
/// from what RFC 9112 demands.
#[test]
fn answers_are_complete_or_broken() {
    let long = "a".repeat(3000);
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("GET", OK.to_owned(), "200 [content-length] ok"),
        ("GET", format!("HTTP/1.1 200 OK\r\n{chunked}1;x=y\r\no\r\n1\r\nk\r\n0\r\nsum: 1\r\n\r\n"), "200 [] ok"),
        ("GET", format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\n{OK}"), "200 [content-length] ok"),
        ("GET", "HTTP/1.1 204 No Content\r\n\r\n".to_owned(), "204 [] "),
        ("GET", "HTTP/1.1 304 Not Modified\r\ncontent-length: 900\r\netag: a\r\n\r\n".to_owned(), "304 [content-length etag] "),
        ("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n".to_owned(), "200 [content-length] "),
        ("GET", "HTTP/1.1 200 OK\r\nconnection: x-a\r\nx-a: 1\r\nkeep-alive: 5\r\nupgrade: h2c\r\ntrailer: t\r\nkept: 1\r\ncontent-length: 0\r\n\r\n".to_owned(), "200 [kept content-length] "),
        ("GET", "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok".to_owned(), "200 [content-length] ok"),
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nok".to_owned(), "200 [content-length] o"),
        ("GET", String::new(), "broken"),
        ("GET", "HTTP/1.1 200".to_owned(), "broken"),
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok".to_owned(), "broken"),
        ("GET", format!("HTTP/1.1 200 OK\r\n{chunked}2\r\nok\r\n"), "broken"),
        ("GET", format!("HTTP/1.1 200 OK\r\n{chunked}2\r\nok\r\n0\r\n"), "broken"),
        // According to RFC 9112, section 6.3, such a body ends with the connection. A truncated
        // body looks the same, so it is not accepted.
        ("GET", "HTTP/1.1 200 OK\r\n\r\nok".to_owned(), "broken"),
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok".to_owned(), "broken"),
        ("GET", format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n{chunked}0\r\n\r\n"), "broken"),
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nok".to_owned(), "broken"),
        ("GET", "HTTP/1.1 101 Switching Protocols\r\nupgrade: h2c\r\n\r\n".to_owned(), "broken"),
        ("GET", format!("HTTP/1.1 200 OK\r\ncontent-length: 3000\r\n\r\n{long}"), "broken"),
        ("GET", format!("HTTP/1.1 200 OK\r\na: {long}\r\ncontent-length: 0\r\n\r\n"), "broken"),
        ("GET", "\0\0\0 no http\r\n\r\n".to_owned(), "broken"),
    ];
    for (method, answer, expected) in cases {
        let (address, requests) = target(vec![vec![answer.clone()]]);
        let (client, results) = target_client(LIMITS);

        run_on_target(client, 1, address, method, TIMEOUT);
        let event = results.recv_timeout(TIMEOUT).expect("a result");

        assert_eq!(text(event.result), expected, "{answer:.200}");
        assert_eq!(requests.lock().expect("not poisoned").len(), 1);
    }
}

/// Guards against answers without end that are read until the memory or the time of the process is
/// used up.
#[test]
fn endless_answers_are_cut_off() {
    for pattern in EndlessBytes::ALL {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (client, results) = target_client(LIMITS);
        let target = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_head(&mut stream).expect("the request");
            let mut sent = stream.write_all(&pattern.answer_start(""));
            while sent.is_ok() {
                sent = stream.write_all(&pattern.block());
            }
        });

        run_on_target(client, 1, address, "GET", TIMEOUT);
        let event = results.recv_timeout(TIMEOUT).expect("a result");

        assert_eq!(text(event.result), "broken", "{pattern:?}");
        target.join().expect("the connection was closed");
    }
}

/// Guards against requests without the `via` field that a gateway must add.
#[test]
fn requests_name_the_gateway() {
    let (address, requests) = target(vec![vec![OK.to_owned()]]);
    let (client, results) = target_client(LIMITS);

    run_on_target(client, 1, address, "GET", TIMEOUT);
    results.recv_timeout(TIMEOUT).expect("a result");

    let request = requests.lock().expect("not poisoned")[0].clone();
    assert!(request.starts_with("GET /orders HTTP/1.1\r\n"), "{request}");
    assert!(
        request.contains("\r\nvia: 1.1 hemlockfall\r\n"),
        "{request}"
    );
}

/// Guards against sending a request on a connection that the target closed together with its last
/// answer, or while it was idle.
#[test]
fn a_closed_idle_connection_is_not_used() {
    for pause in [Duration::ZERO, Duration::from_millis(100)] {
        let scripts = (0..20).map(|_| vec![OK.to_owned()]).collect();
        let (address, requests) = target(scripts);
        let (client, results) = target_client(LIMITS);
        for id in 0..20 {
            run_on_target(client, id, address, "POST", TIMEOUT);
            let event = results.recv_timeout(TIMEOUT).expect("a result");
            thread::sleep(pause);

            // The target may still close between the check and the request.
            let result = text(event.result);
            let is_certain = !pause.is_zero();
            assert!(result == "200 [content-length] ok" || (!is_certain && result == "broken"));
        }
        let sent = requests.lock().expect("not poisoned").len();
        assert!(sent <= 20, "{sent} requests");
    }
}

/// Guards against sending a request a second time that the target may have run before it closed the
/// connection.
#[test]
fn a_request_on_a_connection_that_closes_is_not_retried() {
    let scripts = vec![vec![OK.to_owned(), String::new()], vec![OK.to_owned()]];
    let (address, requests) = target(scripts);
    let (client, results) = target_client(LIMITS);

    run_on_target(client, 1, address, "POST", TIMEOUT);
    let first = results.recv_timeout(TIMEOUT).expect("a result");
    run_on_target(client, 2, address, "POST", TIMEOUT);
    let second = results.recv_timeout(TIMEOUT).expect("a result");
    let third = results.recv_timeout(Duration::from_millis(300));

    assert_eq!(text(first.result), "200 [content-length] ok");
    assert_eq!(text(second.result), "broken");
    assert!(third.is_err(), "a result came twice");
    assert_eq!(requests.lock().expect("not poisoned").len(), 2);
}

/// Guards against reporting a request as not sent although it may run, or the reverse.
#[test]
fn refusing_and_unresponsive_targets_are_distinguished() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let unresponsive_address = unresponsive.local_addr().expect("an address");
    let cases = [
        (free_address(), "not sent"),
        (unresponsive_address, "timed out"),
    ];
    for (address, expected) in cases {
        let (client, results) = target_client(LIMITS);

        run_on_target(client, 1, address, "GET", Duration::from_millis(300));
        let event = results.recv_timeout(TIMEOUT).expect("a result");

        assert_eq!(text(event.result), expected);
    }
}

/// Guards against a slot that is taken for free while a target that was paused still holds the
/// request: the end of an overdue run is reported when the target answers it.
#[test]
fn the_late_answer_to_an_overdue_run_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (client, results) = target_client(LIMITS);

    run_on_target(client, 1, address, "GET", Duration::from_millis(100));
    let (mut stream, _) = listener.accept().expect("a connection");
    let first = results.recv_timeout(TIMEOUT).expect("a result");
    read_head(&mut stream).expect("the request");
    stream.write_all(OK.as_bytes()).expect("to answer");
    let second = results.recv_timeout(TIMEOUT).expect("a second result");

    assert_eq!((first.id, text(first.result)), (1, "timed out".to_owned()));
    assert_eq!(second.id, 1);
    assert_eq!(text(second.result), "200 [content-length] ok");
}

/// Guards against a target that is considered lost because all connections it accepts are in use.
#[test]
fn a_request_without_a_free_connection_is_busy() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = unresponsive.local_addr().expect("an address");
    let (client, results) = target_client(LIMITS);

    for id in 0..=MAX_CONNECTIONS {
        run_on_target(client, id, address, "GET", TIMEOUT);
    }
    let event = results.recv_timeout(TIMEOUT).expect("a result");

    assert_eq!(
        (event.id, text(event.result)),
        (MAX_CONNECTIONS, "busy".to_owned())
    );
}
