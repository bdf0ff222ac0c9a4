//! The local edge with slow, idle and malicious clients.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall::edge::local;
use hemlockfall::edge::message::LocalEvent;
use hemlockfall::node::health::Health;
use metrics_exporter_prometheus::PrometheusBuilder;
use stakker::fwd_do;
use stakker::sync::Channel;

use crate::support::connect;
use crate::support::exchange;
use crate::support::free_address;
use crate::support::on_loop;
use crate::support::read_to_end;
use crate::support::read_until;

const ANNOUNCEMENT: &str = "{\"service\":\"order-desk\",\"version\":\"v1\",\
    \"address\":\"127.0.0.1:9\",\"slots\":2,\"connections\":3}";
const REPORT: &str = "{\"healthy\":true,\"load_percent\":5}";

fn start() -> (SocketAddr, Receiver<String>, Arc<Health>) {
    let address = free_address();
    let health = Arc::new(Health::default());
    let (sender, events) = mpsc::channel();
    let served_health = Arc::clone(&health);
    on_loop(move |stakker| {
        let seen = fwd_do!(move |event: LocalEvent| {
            let text = format!("{event:?}");
            drop(sender.send(text.split(['(', ' ']).next().unwrap_or_default().to_owned()));
        });
        let (channel, guard) = Channel::new(stakker, seen);
        let recorder = PrometheusBuilder::new().build_recorder();
        local::start(address, &channel, &served_health, &recorder.handle()).expect("bound");
        // The channel lives as long as the process.
        std::mem::forget(guard);
    });
    (address, events, health)
}

fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against wrong statuses of the local protocol, on which targets rely.
#[test]
fn local_calls_are_answered_and_forwarded() {
    let (address, events, health) = start();
    health.set_revision(7);
    let get = |path: &str| {
        exchange(
            address,
            format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").as_bytes(),
        )
    };
    let call = |path: &str, body: &str| exchange(address, post(path, body).as_bytes());

    let unknown_target = call("/v1/report", REPORT);
    health.set_target(true);
    let answers = [
        (unknown_target, "409", "HF-3409"),
        (call("/v1/announce", ANNOUNCEMENT), "202", ""),
        (call("/v1/report", REPORT), "202", ""),
        (call("/v1/leave", ""), "202", ""),
        (get("/healthz"), "200", "{\"serving\":true,\"revision\":7}"),
        (get("/metrics"), "200", ""),
        (call("/v1/announce", "{\"service\":1"), "400", "HF-3400"),
        (call("/v1/announce", &" ".repeat(5000)), "413", "HF-3904"),
        (get("/other"), "404", "HF-3404"),
        (exchange(address, b"garbage\r\n\r\n"), "400", "HF-3901"),
    ];

    for (answer, status, text) in answers {
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert!(answer.contains(text), "{answer}");
    }
    let seen: Vec<String> = events.iter().take(3).collect();
    assert_eq!(seen, ["Announce", "Report", "Leave"]);
}

/// Guards against announcements, reports and health checks that wait behind slow bodies of other
/// requests. The former edge had two workers that read bodies without a time limit.
#[test]
fn slow_bodies_do_not_delay_others() {
    let (address, _events, health) = start();
    health.set_target(true);
    let mut held: Vec<TcpStream> = (0..8).map(|_| connect(address)).collect();
    for stream in &mut held {
        let body = post("/v1/announce", &" ".repeat(3000));
        stream.write_all(&body.as_bytes()[..1500]).expect("sent");
    }
    thread::sleep(Duration::from_millis(100));
    let start = Instant::now();

    let answer = exchange(address, post("/v1/report", REPORT).as_bytes());

    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a connection that is queued behind open ones. The former edge's library did this
/// with some connections of a burst.
#[test]
fn bursts_of_connections_do_not_delay_each_other() {
    let (address, _events, health) = start();
    health.set_target(true);
    for round in 0..10 {
        let start = Instant::now();
        let burst: Vec<_> = (0..12)
            .map(|_| {
                thread::spawn(move || {
                    let mut stream = connect(address);
                    let request = post("/v1/report", REPORT).replace("connection: close\r\n", "");
                    stream.write_all(request.as_bytes()).expect("sent");
                    (read_until(&mut stream, "\r\n\r\n"), stream)
                })
            })
            .collect();

        let answers: Vec<_> = burst
            .into_iter()
            .map(|one| one.join().expect("no panic"))
            .collect();

        for (answer, _) in answers {
            assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
        }
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "{round}: {:?}",
            start.elapsed()
        );
    }
}

/// Guards against slow clients that occupy their thread indefinitely.
#[test]
fn slow_local_requests_end_with_408() {
    let (address, _events, _health) = start();
    let mut stream = connect(address);
    let mut writer = stream.try_clone().expect("a second handle");
    let start = Instant::now();
    let sender = thread::spawn(move || {
        while start.elapsed() < Duration::from_secs(6) && writer.write_all(b"G").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });

    let answer = read_to_end(&mut stream);

    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    sender.join().expect("the sender ends");
}
