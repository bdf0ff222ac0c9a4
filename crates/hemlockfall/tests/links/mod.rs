//! Links of one node whose event loop is driven by the test. The actor system allows one instance
//! per process, on one thread, so every test that uses this fixture is a program of its own.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hemlockfall::edge::links::LinkEvent;
use hemlockfall::edge::links::LinkOptions;
use hemlockfall::edge::links::Links;
use hemlockfall_request::options::Options;
use hemlockfall_request::suspicion::StallDetector;
use stakker::ActorOwn;
use stakker::Fwd;
use stakker::Stakker;
use stakker::actor;
use stakker::call;
use stakker::ret_nop;
use stakker_mio::MioPoll;
use stakker_mio::mio::Events;
use stakker_mio::mio::Poll;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
pub const POLL: Duration = Duration::from_millis(10);

pub struct Fixture {
    pub links: ActorOwn<Links>,
    poll: MioPoll,
    stakker: Stakker,
    events: Rc<RefCell<Vec<LinkEvent>>>,
}

pub fn fixture() -> Fixture {
    let mut stakker = Stakker::new(Instant::now());
    let poll = Poll::new().expect("a poller");
    let poll = MioPoll::new(&mut stakker, poll, Events::with_capacity(16), 0).expect("a poller");
    let events = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::clone(&events);
    let options = LinkOptions {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        connect_timeout: CONNECT_TIMEOUT,
        stall_detector: StallDetector::new(&Options::default()),
        idle_timeout: Duration::from_mins(1),
        queue_limit_bytes: 1 << 20,
        max_incoming: 8,
        emulation: None,
    };
    let seen = Fwd::new(move |event| seen.borrow_mut().push(event));
    let links = actor!(stakker, Links::init(options, seen), ret_nop!());
    Fixture {
        links,
        poll,
        stakker,
        events,
    }
}

impl Fixture {
    pub fn run_for(&mut self, time: Duration) {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            self.stakker.run(Instant::now(), false);
            self.poll.poll(POLL).expect("polling");
        }
    }

    pub fn send(&mut self, peer: SocketAddr, tag: u64) {
        call!([self.links], send(peer, tag, vec![0; 16]));
        self.run_for(POLL);
    }

    /// Returns the unsent and unsettled tags of the first event that matches.
    pub fn tags(&self, is_match: impl Fn(&LinkEvent) -> bool) -> Option<(Vec<u64>, Vec<u64>)> {
        self.events.borrow().iter().find_map(|event| match event {
            LinkEvent::Lost {
                unsent, unsettled, ..
            }
            | LinkEvent::Stalled {
                unsent, unsettled, ..
            } if is_match(event) => Some((unsent.clone(), unsettled.clone())),
            _ => None,
        })
    }

    pub fn refused(&self) -> usize {
        let events = self.events.borrow();
        let refused = |event: &&LinkEvent| matches!(event, LinkEvent::Refused { .. });
        events.iter().filter(refused).count()
    }
}
