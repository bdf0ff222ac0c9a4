//! Link whose peer never sends its `Hello`.

mod links;

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use hemlockfall::edge::links::LinkEvent;
use hemlockfall::edge::links::LossReason;
use links::POLL;
use links::fixture;

fn is_unreachable(event: &LinkEvent) -> bool {
    matches!(
        event,
        LinkEvent::Lost {
            reason: LossReason::Unreachable,
            ..
        }
    )
}

/// Guards against treating a paused peer as reached because its kernel accepts connections. The
/// messages queued until its `Hello` arrives must be reported as not sent, and the next connection
/// attempt must wait for the backoff.
#[test]
fn peer_without_hello_gets_nothing_and_is_not_reconnected_at_once() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let peer = listener.local_addr().expect("an address");
    let mut fixture = fixture();

    fixture.send(peer, 1);
    fixture.send(peer, 2);
    let deadline = Instant::now() + Duration::from_secs(3);
    while fixture.tags(is_unreachable).is_none() && Instant::now() < deadline {
        fixture.run_for(POLL);
    }
    fixture.send(peer, 3);
    listener.set_nonblocking(true).expect("to switch");
    let connections = std::iter::from_fn(|| listener.accept().ok()).count();

    let lost = fixture.tags(is_unreachable);
    assert_eq!(lost, Some((vec![1, 2], Vec::new())));
    assert_eq!(fixture.refused(), 1);
    assert_eq!(connections, 1);
}
