//! Stalled link that is kept for its outstanding answers.

mod links;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hemlockfall::edge::links::LinkEvent;
use links::fixture;
use stakker::call;

/// Peer that echoes the `Hello`, which is the same in both directions, and then only reads.
struct GreetingPeer {
    address: SocketAddr,
    /// Number of links that the peer has open.
    links: Arc<AtomicUsize>,
}

fn is_stalled(event: &LinkEvent) -> bool {
    matches!(event, LinkEvent::Stalled { .. })
}

fn greeting_peer() -> GreetingPeer {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let links: Arc<AtomicUsize> = Arc::default();
    let counted = Arc::clone(&links);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let counted = Arc::clone(&counted);
            std::thread::spawn(move || greet(stream.expect("a link"), &counted));
        }
    });
    GreetingPeer { address, links }
}

fn greet(mut stream: TcpStream, links: &AtomicUsize) {
    links.fetch_add(1, Ordering::SeqCst);
    let mut bytes = [0; 4096];
    let greeting = stream.read(&mut bytes).expect("a greeting");
    stream.write_all(&bytes[..greeting]).expect("to greet");
    while stream.read(&mut bytes).is_ok_and(|read| read > 0) {}
    links.fetch_sub(1, Ordering::SeqCst);
}

/// Guards against losing answers because their link was closed while the peer was paused, and
/// against new calls on that link. The link must be kept until its calls are settled, and new calls
/// must use a new link.
#[test]
fn stalled_link_is_kept_for_its_answers_only() {
    let peer = greeting_peer();
    let mut fixture = fixture();
    fixture.send(peer.address, 1);
    fixture.run_for(Duration::from_millis(900));
    let (_, unsettled) = fixture.tags(is_stalled).expect("the link has stalled");

    fixture.send(peer.address, 2);
    fixture.run_for(Duration::from_millis(200));
    let with_calls = peer.links.load(Ordering::SeqCst);
    call!([fixture.links], settle(1));
    fixture.run_for(Duration::from_millis(300));
    let after_calls = peer.links.load(Ordering::SeqCst);

    assert_eq!(unsettled, [1]);
    assert_eq!(fixture.refused(), 0);
    assert_eq!(with_calls, 2);
    assert_eq!(after_calls, 1);
}
