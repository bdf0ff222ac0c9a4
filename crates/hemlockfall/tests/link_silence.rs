//! Link whose peer becomes unresponsive.

mod links;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use hemlockfall::edge::links::LinkEvent;
use links::fixture;
use stakker::call;

/// Peer that echoes the `Hello`, which is the same in both directions, and then only reads.
fn greeting_peer() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a link");
        let mut bytes = [0; 4096];
        let greeting = stream.read(&mut bytes).expect("a greeting");
        stream.write_all(&bytes[..greeting]).expect("to greet");
        while stream.read(&mut bytes).is_ok_and(|read| read > 0) {}
    });
    address
}

fn is_stalled(event: &LinkEvent) -> bool {
    matches!(event, LinkEvent::Stalled { .. })
}

/// Guards against calls that wait until their deadline on a stalled link. The stall must be
/// detected after twice `link_silence_ms`, although each call is settled and followed by
/// another one sooner than that.
#[test]
fn stalled_link_is_detected_although_calls_are_short() {
    let peer = greeting_peer();
    let mut fixture = fixture();
    let started = Instant::now();
    let mut tag = 0;

    while fixture.tags(is_stalled).is_none() && started.elapsed() < Duration::from_secs(3) {
        tag += 1;
        fixture.send(peer, tag);
        fixture.run_for(Duration::from_millis(100));
        call!([fixture.links], settle(tag));
    }

    let (unsent, unsettled) = fixture.tags(is_stalled).expect("the link has stalled");
    assert_eq!(unsent, Vec::<u64>::new());
    assert_eq!(unsettled.len(), 1);
    assert_eq!(fixture.refused(), 0);
    assert!(started.elapsed() >= Duration::from_millis(600));
    assert!(started.elapsed() < Duration::from_millis(1_500));
}
