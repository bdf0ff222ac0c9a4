//! HTTP conformance of the server for callers: raw bytes sent to a real caller edge.

use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::endless::EndlessBytes;

use crate::support::TIMEOUT;
use crate::support::caller_edge;
use crate::support::connect;
use crate::support::exchange;
use crate::support::read_to_end;
use crate::support::read_until;

/// One exchange: its input, the texts expected in the output in this order, and those that must
/// not occur.
struct Case {
    input: String,
    expected: Vec<&'static str>,
    forbidden: Vec<&'static str>,
}

fn case(input: impl Into<String>, expected: &[&'static str], forbidden: &[&'static str]) -> Case {
    Case {
        input: input.into(),
        expected: expected.to_vec(),
        forbidden: forbidden.to_vec(),
    }
}

fn run(cases: Vec<Case>) {
    let edge = caller_edge(|_| {});
    for case in cases {
        let output = exchange(edge.address, case.input.as_bytes());

        let mut rest = output.as_str();
        for text in &case.expected {
            let Some((_, after)) = rest.split_once(text) else {
                panic!(
                    "{text:?} is missing\ninput: {:.300}\noutput: {output}",
                    case.input
                );
            };
            rest = after;
        }
        for text in &case.forbidden {
            assert!(
                !output.contains(text),
                "{text:?}\ninput: {:.300}\noutput: {output}",
                case.input
            );
        }
    }
}

/// Returns a request that ends its connection.
fn last(start: &str, rest: &str) -> String {
    format!("{start}\r\nhost: s\r\nconnection: close\r\n{rest}")
}

/// Guards against valid requests that are parsed wrongly (RFC 9110 and 9112).
#[test]
fn valid_requests_are_read_as_the_rules_say() {
    let chunks = "transfer-encoding: Chunked\r\n\r\n3;a=\"b\"\r\nabc\r\n00002 ;x\r\nde\r\n0\r\nsum: 1\r\n\r\n";
    let hops = "connection: x-private, Kept-Not\r\nx-private: 1\r\nkept-not: 1\r\nkeep-alive: 5\r\n\
        te: trailers\r\nupgrade: h2c\r\nproxy-authorization: x\r\nproxy-connection: x\r\ntrailer: y\r\n\
        kept: z\r\n\r\n";
    run(vec![
        case(
            last("POST /a HTTP/1.1", "content-length: 3\r\n\r\nabc"),
            &[
                "HTTP/1.1 200 OK\r\n",
                "connection: close\r\n",
                "<POST /a [host=s] abc>",
            ],
            &[],
        ),
        case(
            last("POST /a HTTP/1.1", chunks),
            &["<POST /a [host=s] abcde>"],
            &["sum"],
        ),
        case(
            last("GET /a HTTP/1.1", hops),
            &["<GET /a [host=s kept=z] >"],
            &[],
        ),
        case(
            last(
                "POST /a HTTP/1.1",
                "content-length: 3\r\ncontent-length: 3\r\n\r\nabc",
            ),
            &["<POST /a [host=s] abc>"],
            &[],
        ),
        case(
            format!(
                "GET /1 HTTP/1.1\r\nhost: s\r\n\r\nPOST /2 HTTP/1.1\r\nhost: s\r\ncontent-length: 1\r\n\r\nb\r\n{}",
                last("GET /3 HTTP/1.1", "\r\n")
            ),
            &[
                "<GET /1 [host=s] >",
                "<POST /2 [host=s] b>",
                "connection: close",
                "<GET /3 [host=s] >",
            ],
            &[],
        ),
        case(
            "GET /a HTTP/1.0\r\n\r\n",
            &["200 OK", "connection: close", "<GET /a [] >"],
            &[],
        ),
        case(
            "GET /a HTTP/1.0\r\nhost: s\r\nconnection: keep-alive\r\n\r\n",
            &["200 OK", "connection: close", "<GET /a [host=s] >"],
            &[],
        ),
        case(
            "POST /a HTTP/1.0\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\na",
            &["HTTP/1.1 200 OK", "<POST /a [] a>"],
            &["100 Continue"],
        ),
        case(
            last("GET http://order-desk:80/x?y=1 HTTP/1.1", "\r\n"),
            &["<GET /x?y=1 [host=order-desk:80] >"],
            &[],
        ),
        case(
            last("GET HTTP://desk?y HTTP/1.1", "\r\n"),
            &["<GET /?y [host=desk] >"],
            &[],
        ),
        case(
            last("OPTIONS * HTTP/1.1", "\r\n"),
            &["<OPTIONS * [host=s] >"],
            &[],
        ),
        case(
            last("HEAD /a HTTP/1.1", "\r\n"),
            &["200 OK", "\r\n\r\n"],
            &["<HEAD"],
        ),
        case(
            last("GET /204 HTTP/1.1", "\r\n"),
            &["204 No Content"],
            &["not sent", "content-length"],
        ),
        case(
            last("GET /304 HTTP/1.1", "\r\n"),
            &["304 Not Modified"],
            &["not sent", "content-length"],
        ),
    ]);
}

/// Sends requests that must be refused with the same status and code.
fn run_refused(status: &'static str, code: &'static str, inputs: &[String]) {
    let expected = [
        status,
        "hemlockfall-outcome: not-run",
        code,
        "connection: close",
    ];
    let refused = |input: &String| case(input.as_str(), &expected, &["200 OK", "100 Continue"]);
    run(inputs.iter().map(refused).collect());
}

/// Returns a request whose head continues with the given text.
fn post(rest: &str) -> String {
    format!("POST /a HTTP/1.1\r\nhost: s\r\n{rest}")
}

/// Guards against request smuggling: forwarding bodies whose end recipients could determine in two
/// ways. RFC 9112, section 6.3, allows reading `5, 5` as one length; refusing it is stricter.
#[test]
fn ambiguous_framing_is_refused_as_not_run() {
    let framings = [
        "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "content-length: +5\r\n\r\nabcde",
        "content-length: -1\r\n\r\n",
        "content-length: 5, 5\r\n\r\nabcde",
        "content-length:\r\n\r\n",
        "content-length: 0x5\r\n\r\nabcde",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    let mut inputs: Vec<String> = framings.iter().map(|rest| post(rest)).collect();
    inputs.push("POST /a HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_owned());
    run_refused("400 Bad Request", "HF-3902", &inputs);

    let codings = ["gzip, chunked", "chunked\u{a0}", "identity"];
    let coded =
        codings.map(|coding| post(&format!("transfer-encoding: {coding}\r\n\r\n0\r\n\r\n")));
    run_refused("501 Not Implemented", "HF-3901", &coded);
}

/// Guards against malformed requests that are repaired and forwarded.
#[test]
fn malformed_requests_are_refused_as_not_run() {
    let chunks = [
        "\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "0x3\r\nabc\r\n0\r\n\r\n",
        "1;a\nb\r\na\r\n",
    ];
    let heads = [
        "a: b\r\n folded\r\n\r\n",
        "a : b\r\n\r\n",
        "a: b\rc: d\r\n\r\n",
        "host: s\r\n\r\n",
    ];
    let starts = [
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\nhost: a/b\r\n\r\n",
        "GET http:///a HTTP/1.1\r\nhost: s\r\n\r\n",
        "GET http://user@s/a HTTP/1.1\r\nhost: s\r\n\r\n",
        "CONNECT s:80 HTTP/1.1\r\nhost: s:80\r\n\r\n",
        "\u{16}\u{3}\u{1} tls\r\n\r\n",
    ];
    let mut inputs: Vec<String> = starts.map(str::to_owned).to_vec();
    inputs.extend(heads.map(post));
    inputs.extend(chunks.map(|rest| post(&format!("transfer-encoding: chunked\r\n\r\n{rest}"))));
    run_refused("400 Bad Request", "HF-3901", &inputs);

    let version = ["GET /a HTTP/2.0\r\nhost: s\r\n\r\n".to_owned()];
    run_refused("505 HTTP Version Not Supported", "HF-3901", &version);
    let expectation = [post("expect: wonders\r\ncontent-length: 1\r\n\r\na")];
    run_refused("417 Expectation Failed", "HF-3906", &expectation);
}

/// Guards against requests beyond the limits that are buffered in memory or truncated.
#[test]
fn requests_beyond_the_limits_are_refused_as_not_run() {
    let long = "a".repeat(3000);
    let many = "a: b\r\n".repeat(101);

    let heads = [
        post(&format!("a: {long}\r\n\r\n")),
        post(&format!("{many}\r\n")),
    ];
    run_refused("431 Request Header Fields Too Large", "HF-3903", &heads);
    let bodies = [
        post(&format!("content-length: 1001\r\n\r\n{long}")),
        post(&format!("transfer-encoding: chunked\r\n\r\n3e9\r\n{long}")),
    ];
    run_refused("413 Content Too Large", "HF-3904", &bodies);
}

/// Guards against a second request that is lost or read as part of the first one.
#[test]
fn an_invalid_request_behind_a_valid_one_is_refused_alone() {
    run(vec![case(
        "GET /1 HTTP/1.1\r\nhost: s\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
        &["200 OK", "<GET /1", "400 Bad Request", "not-run"],
        &["<GET /2"],
    )]);
}

/// Guards against a caller that waits for `100 Continue` in vain, or that is asked to send a body
/// which will be refused.
#[test]
fn expectations_are_answered_before_the_body() {
    let edge = caller_edge(|_| {});
    let mut stream = edge.connect();
    let head = |length: u32| {
        last(
            "POST /a HTTP/1.1",
            &format!("expect: 100-continue\r\ncontent-length: {length}\r\n\r\n"),
        )
    };

    stream.write_all(head(3).as_bytes()).expect("sent");
    let interim = read_until(&mut stream, "\r\n\r\n");
    stream.write_all(b"abc").expect("sent");
    let answer = read_to_end(&mut stream);
    let refused = exchange(edge.address, head(2000).as_bytes());

    assert_eq!(interim, "HTTP/1.1 100 Continue\r\n\r\n");
    assert!(answer.contains("<POST /a [host=s] abc>"), "{answer}");
    assert!(refused.starts_with("HTTP/1.1 413"), "{refused}");
}

/// Guards against a refusal that is lost because the connection is reset while the caller is still
/// sending its body.
#[test]
fn a_refusal_reaches_a_caller_that_sends_its_whole_body() {
    let edge = caller_edge(|_| {});
    let body = "b".repeat(4_000_000);
    let input = format!("POST /a HTTP/1.1\r\nhost: s\r\ncontent-length: 4000000\r\n\r\n{body}");

    let output = exchange(edge.address, input.as_bytes());

    assert!(output.starts_with("HTTP/1.1 413"), "{output}");
}

/// Guards against callers that keep connections open by sending a byte now and then.
#[test]
fn slow_requests_end_with_408() {
    let edge = caller_edge(|options| options.read_timeout = Duration::from_millis(600));
    let head = "POST /a HTTP/1.1\r\nhost: s\r\ncontent-length: 100\r\n\r\n";
    for input in ["GET /a".to_owned(), head.to_owned()] {
        let mut stream = edge.connect();
        let mut writer = stream.try_clone().expect("a second handle");
        let start = Instant::now();
        let sender = thread::spawn(move || {
            let _ = writer.write_all(input.as_bytes());
            while start.elapsed() < TIMEOUT && writer.write_all(b"a").is_ok() {
                thread::sleep(Duration::from_millis(100));
            }
        });

        let output = read_until(&mut stream, "\r\n\r\n");

        assert!(output.starts_with("HTTP/1.1 408"), "{output}");
        assert!(output.contains("HF-3905"), "{output}");
        assert!(
            start.elapsed() < Duration::from_secs(3),
            "{:?}",
            start.elapsed()
        );
        stream.shutdown(Shutdown::Both).expect("closed");
        sender.join().expect("the sender ends");
    }
}

/// Guards against work for callers that have disconnected. A caller that closes only its sending
/// side looks the same and counts as disconnected; RFC 9112 leaves this open.
#[test]
fn a_caller_that_closes_while_it_waits_is_reported() {
    let edge = caller_edge(|_| {});
    for is_half_closed in [false, true] {
        for is_in_one_event in [false, true] {
            let mut stream = edge.connect();
            stream
                .write_all(b"GET /wait HTTP/1.1\r\nhost: s\r\n\r\n")
                .expect("sent");
            if !is_in_one_event {
                assert_eq!(edge.next(), "GET /wait");
            }
            let how = if is_half_closed {
                Shutdown::Write
            } else {
                Shutdown::Both
            };
            stream.shutdown(how).expect("closed");
            if is_in_one_event {
                assert_eq!(edge.next(), "GET /wait");
            }

            assert_eq!(edge.next(), "gone", "{is_half_closed} {is_in_one_event}");
        }
    }
}

/// Guards against closing a connection before a caller that has closed its sending side has read
/// the complete answer.
#[test]
fn a_half_closed_caller_reads_the_rest_of_its_answer() {
    let edge = caller_edge(|_| {});
    let mut stream = edge.connect();
    stream
        .write_all(b"GET /big HTTP/1.1\r\nhost: s\r\n\r\n")
        .expect("sent");
    read_until(&mut stream, "\r\n\r\n");
    stream.shutdown(Shutdown::Write).expect("half closed");

    let body = read_to_end(&mut stream);

    assert_eq!(body.len(), 4 * 1024 * 1024);
}

/// Guards against answers that accumulate for a caller that pipelines requests and does not read.
#[test]
fn pipelined_requests_wait_until_answers_are_read() {
    let edge = caller_edge(|_| {});
    let mut stream = edge.connect();
    let request = "GET /big HTTP/1.1\r\nhost: s\r\n\r\n";
    stream
        .write_all(request.repeat(20).as_bytes())
        .expect("sent");
    thread::sleep(Duration::from_millis(300));

    let begun = edge.seen.try_iter().count();
    for _ in 0..20 {
        read_until(&mut stream, "\r\n\r\n");
        let mut body = vec![0; 4 * 1024 * 1024];
        std::io::Read::read_exact(&mut stream, &mut body).expect("the whole body");
    }

    assert!(begun <= 3, "{begun} requests begun");
}

/// Guards against connections beyond the limit that displace others.
#[test]
fn connections_beyond_the_limit_are_closed() {
    let edge = caller_edge(|options| options.max_connections = 2);
    let held: Vec<_> = (0..2)
        .map(|_| {
            let mut stream = edge.connect();
            stream
                .write_all(b"GET /a HTTP/1.1\r\nhost: s\r\n\r\n")
                .expect("sent");
            read_until(&mut stream, ">");
            stream
        })
        .collect();

    let refused = read_to_end(&mut edge.connect());
    drop(held);
    thread::sleep(Duration::from_millis(100));
    let served = exchange(edge.address, last("GET /b HTTP/1.1", "\r\n").as_bytes());

    assert_eq!(refused, "");
    assert!(served.contains("<GET /b"), "{served}");
}

/// Load: callers connect and send while the edge stops. Guards against a graceful shutdown that
/// drops connections which the kernel has established but the edge has not accepted, or idle
/// connections with a request on its way.
#[test]
fn a_stop_answers_connections_that_were_not_accepted_yet() {
    let edge = caller_edge(|_| {});
    let address = edge.address;
    let mut kept = edge.connect();
    kept.write_all(b"GET /kept HTTP/1.1\r\nhost: s\r\n\r\n")
        .expect("the edge reads");
    read_until(&mut kept, "<GET /kept [host=s] >");

    let (mut waiting, mut kept) = edge.stop_after(move || {
        let mut waiting: Vec<TcpStream> = (0..20).map(|_| connect(address)).collect();
        for stream in waiting.iter_mut().chain([&mut kept]) {
            stream
                .write_all(b"GET /late HTTP/1.1\r\nhost: s\r\n\r\n")
                .expect("the connection is open");
        }
        (waiting, kept)
    });

    for stream in waiting.iter_mut().chain([&mut kept]) {
        let output = read_to_end(stream);
        assert!(output.contains("<GET /late [host=s] >"), "{output}");
        assert!(output.contains("connection: close"), "{output}");
    }
    assert!(TcpStream::connect(address).is_err(), "the listener is open");
}

/// Guards against requests without end that are read until the memory or the time of the process is
/// used up: the caller must be cut off.
#[test]
fn endless_requests_are_cut_off() {
    let edge = caller_edge(|_| {});
    for pattern in EndlessBytes::REQUESTS {
        let mut stream = connect(edge.address);
        let begun = Instant::now();

        let mut sent = stream.write_all(&pattern.request_start("/orders", "host: s\r\n"));
        while sent.is_ok() && begun.elapsed() < TIMEOUT {
            sent = stream.write_all(&pattern.block());
        }

        assert!(sent.is_err(), "{pattern:?}");
    }
}
