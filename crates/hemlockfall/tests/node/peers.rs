//! Malformed input of peers: the node counts, logs and drops it, closes the link and continues to
//! serve.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;

use hemlockfall::edge::frame;
use hemlockfall::edge::frame::Assembler;
use hemlockfall::edge::frame::Parsed;
use hemlockfall_core::codec;
use serde::Deserialize;
use serde::Serialize;

use crate::support::BOUND;
use crate::support::Node;
use crate::support::wait;

const MALFORMED: &str = "hemlockfall_malformed_messages_total";
const SERVICE: u8 = 0;
const PAYLOAD: u8 = 1;

/// Service messages of a link, as the protocol encodes them.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Service {
    Hello {
        protocol: u16,
        peer_address: SocketAddr,
    },
    Ping,
    Pong,
}

fn fragment(first: u8, content: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let message = [&[first], content].concat();
    frame::write_fragment(&mut out, 1, &message, true);
    out
}

fn service(message: &Service) -> Vec<u8> {
    fragment(SERVICE, &codec::encode(message).expect("it can be encoded"))
}

fn hello(protocol: u16) -> Vec<u8> {
    let peer_address = "127.0.0.1:9".parse().expect("an address");
    service(&Service::Hello {
        protocol,
        peer_address,
    })
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.peer).expect("connected");
    stream.set_read_timeout(Some(BOUND)).expect("a timeout");
    stream
}

/// Reads service messages of a link.
fn read_services(stream: &mut TcpStream, count: usize) -> Vec<Service> {
    let mut assembler = Assembler::default();
    let mut input = Vec::new();
    let mut services = Vec::new();
    while services.len() < count {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the link is open");
        input.push(byte[0]);
        if let Parsed::Message { content, .. } = assembler.parse(&input).expect("valid") {
            services.push(codec::decode(&content[1..], 256).expect("valid"));
            input.clear();
        }
    }
    services
}

/// Asserts that the node answers peers and local clients.
fn assert_serving(node: &Node) {
    let mut stream = connect(node);
    stream.write_all(&hello(1)).expect("sent");
    stream.write_all(&service(&Service::Ping)).expect("sent");
    let services = read_services(&mut stream, 2);
    assert!(
        matches!(services[0], Service::Hello { protocol: 1, .. }),
        "{services:?}"
    );
    assert_eq!(services[1], Service::Pong);
    assert!(node.get("/healthz").contains("serving"));
}

/// Guards against a node that stops, keeps the link open or logs nothing when a peer with another
/// protocol version, another program or a faulty peer connects to its port.
#[test]
fn malformed_links_are_counted_logged_and_closed() {
    let node = Node::start("malformed-links");
    let mut oversized = fragment(PAYLOAD, b"a");
    oversized[..4].copy_from_slice(&100_000_u32.to_le_bytes());
    let mut forged = vec![1];
    forged.extend_from_slice(&u32::MAX.to_le_bytes());
    let cases = [
        ("wrong protocol", hello(2)),
        ("message before hello", fragment(PAYLOAD, b"\0\0")),
        ("oversized fragment", oversized),
        (
            "another program",
            b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
        ),
        ("unknown kind", fragment(7, b"abc")),
        ("empty message", [hello(1), fragment(PAYLOAD, b"")].concat()),
        (
            "garbage after hello",
            [hello(1), fragment(PAYLOAD, &[0, 99, 1, 2, 3])].concat(),
        ),
        (
            "forged size",
            [hello(1), fragment(PAYLOAD, &forged)].concat(),
        ),
        ("garbage as hello", fragment(SERVICE, &[0, 99])),
    ];
    for (expected, (name, input)) in (1_u32..).zip(cases) {
        let mut stream = connect(&node);

        stream.write_all(&input).expect("sent");
        let mut rest = Vec::new();
        // If the node closes the connection with unread input, the peer sees a reset.
        let ended = stream.read_to_end(&mut rest);

        let is_reset = |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(
            ended.as_ref().err().is_none_or(is_reset),
            "{name}: {ended:?}"
        );
        wait(name, || node.metric(MALFORMED) >= f64::from(expected));
        let counted = node.metric(MALFORMED);
        assert!(
            (counted - f64::from(expected)).abs() < 0.5,
            "{name}: {counted}"
        );
        assert_serving(&node);
    }
    let line = node.log_line("message dropped");
    assert_eq!(line["level"], "warn");
    assert!(
        line["kv"]["peer"].is_string() && line["kv"]["reason"].is_string(),
        "{line}"
    );
}

/// Guards against a malformed datagram that stops the UDP socket, and a flood of them that fills
/// the log.
#[test]
fn malformed_datagrams_are_counted_and_the_log_stays_small() {
    let node = Node::start("malformed-datagrams");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bound");
    let contents: [&[u8]; 6] = [
        b"",
        &[0],
        &[1, 255, 255, 255, 255, 0],
        &[9; 40],
        &[0; 1200],
        &[3; 9000],
    ];

    for _ in 0..50 {
        for content in contents {
            socket.send_to(content, node.peer).expect("sent");
            std::thread::sleep(std::time::Duration::from_micros(200));
        }
    }

    wait("most are counted", || node.metric(MALFORMED) >= 150.0);
    assert_serving(&node);
    let lines = node.log_lines();
    let dropped = lines
        .iter()
        .filter(|line| line["payload"] == "message dropped");
    assert!((1..=40).contains(&dropped.count()));
}
