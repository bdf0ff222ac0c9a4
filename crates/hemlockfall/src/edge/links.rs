//! TCP links between nodes: long-lived, multiplexed, opened on demand, on the `stakker` thread.
//!
//! A link is usable once the peer's `Hello` has arrived. The kernel of a paused peer still accepts
//! connections, but such a link never becomes usable, so the messages queued for it are known not
//! to have been sent. Messages carry a tag: when a link is lost, its owner is told which tagged
//! messages were never sent and which may have been.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_request::suspicion::StallAction;
use hemlockfall_request::suspicion::StallDetector;
use stakker::CX;
use stakker::Fwd;
use stakker::after;
use stakker::fwd;
use stakker::fwd_to;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::net::TcpStream;

use crate::edge::emulation::Emulation;
use crate::edge::links::link::Link;
use crate::edge::links::link::LinkState;

mod link;

/// Identifier of one connection of this process.
pub type LinkId = u64;
/// Identifier of a message whose outcome the sender tracks; 0 means that it is not tracked.
pub type Tag = u64;

const SOCKET_PRIORITY: u32 = 2;
/// Interval at which time-outs are checked, and delay before accepting is retried after a failure.
const TICK: Duration = Duration::from_millis(100);

/// Options and limits of the links of a node.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// Own peer address.
    pub address: SocketAddr,
    /// Time limit for a connection to become usable.
    pub connect_timeout: Duration,
    /// Initial state of the stall detection of a new link.
    pub stall_detector: StallDetector,
    /// Idle time after which an outgoing link is closed.
    pub idle_timeout: Duration,
    /// Largest number of bytes queued on one link.
    pub queue_limit_bytes: usize,
    /// Largest number of links that peers have opened to this node.
    pub max_incoming: usize,
    /// Emulation of network distance, for measurements.
    pub emulation: Option<Emulation>,
}

/// Reason why a link ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The connection could not be opened, or no `Hello` arrived in time.
    Unreachable,
    /// The peer closed the connection, the connection failed, or this node closed it because it
    /// was idle or drained.
    Closed,
    /// The peer sent something that cannot be decoded.
    Malformed,
}

/// Event that the links report to their owner.
#[derive(Debug)]
pub enum LinkEvent {
    /// A message arrived.
    Message {
        /// Link on which it arrived, for the reply.
        link: LinkId,
        /// Peer address of the sender.
        peer: SocketAddr,
        /// Content.
        content: Vec<u8>,
    },
    /// A link ended.
    Lost {
        /// The link.
        link: LinkId,
        /// Peer address, if known.
        peer: Option<SocketAddr>,
        /// Reason.
        reason: LossReason,
        /// Tags of messages of which no byte was sent.
        unsent: Vec<Tag>,
        /// Tags of messages that may have reached the peer and are not settled.
        unsettled: Vec<Tag>,
    },
    /// No byte arrived on a link although calls were outstanding and a ping was sent. The link
    /// carries no new messages and is kept until its calls are settled, since a paused peer answers
    /// when it resumes.
    Stalled {
        /// Peer address, if known.
        peer: Option<SocketAddr>,
        /// Tags of messages of which no byte was sent.
        unsent: Vec<Tag>,
        /// Tags of messages that may have reached the peer and are not settled.
        unsettled: Vec<Tag>,
    },
    /// A message was refused before it was queued.
    Refused {
        /// Peer address.
        peer: SocketAddr,
        /// Tag of the message.
        tag: Tag,
    },
}

/// Actor that owns the listener and all connections.
pub struct Links {
    options: LinkOptions,
    listener: MioSource<TcpListener>,
    /// Sorted by id.
    open: Vec<Link>,
    /// Sorted by address.
    backoffs: Vec<Backoff>,
    next_id: LinkId,
    events: Fwd<LinkEvent>,
}

#[derive(Debug)]
struct Backoff {
    peer: SocketAddr,
    failures: u32,
    until: Instant,
}

impl Links {
    /// Binds the listener.
    pub fn init(cx: CX![], options: LinkOptions, events: Fwd<LinkEvent>) -> Option<Self> {
        match Self::listen(cx, options.address) {
            Ok(listener) => {
                after!(TICK, [cx], tick());
                let (open, backoffs) = (Vec::new(), Vec::new());
                Some(Self {
                    options,
                    listener,
                    open,
                    backoffs,
                    next_id: 1,
                    events,
                })
            }
            Err(error) => {
                spdlog::error!("peer address cannot be bound", kv: { address = options.address.to_string(), error = error.to_string() });
                cx.fail(error);
                None
            }
        }
    }

    fn listen(cx: CX![], address: SocketAddr) -> io::Result<MioSource<TcpListener>> {
        let listener = TcpListener::bind(address)?;
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept() as (Ready));
        poll.add(listener, Interest::READABLE, SOCKET_PRIORITY, ready)
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_pending(cx);
    }

    /// Accepts all pending connections. The listener's readiness is reported only once, so a failed
    /// accept is retried after a delay.
    fn accept_pending(&mut self, cx: CX![]) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.add_incoming(cx, stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    spdlog::warn!("accepting a link failed", kv: { error = error.to_string() });
                    after!(TICK, [cx], accept_pending());
                    return;
                }
            }
        }
    }

    fn add_incoming(&mut self, cx: CX![], stream: TcpStream) {
        let incoming = self.open.iter().filter(|link| !link.outgoing).count();
        if incoming >= self.options.max_incoming {
            spdlog::warn!("link refused: too many", kv: { limit = self.options.max_incoming });
            return;
        }
        if let Err(error) = self.add(cx, stream, None) {
            spdlog::warn!("accepted link cannot be used", kv: { error = error.to_string() });
        }
    }

    fn add(
        &mut self,
        cx: CX![],
        stream: TcpStream,
        peer: Option<SocketAddr>,
    ) -> io::Result<LinkId> {
        let id = self.next_id;
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready(id) as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, SOCKET_PRIORITY, ready)?;
        self.next_id += 1;
        self.open
            .push(Link::new(id, source, peer, &self.options, cx.now()));
        Ok(id)
    }

    /// Queues a message for a peer, opening a link if there is none.
    pub fn send(&mut self, cx: CX![], peer: SocketAddr, tag: Tag, content: Vec<u8>) {
        let now = cx.now();
        match &mut self.options.emulation {
            None => self.enqueue(cx, peer, tag, content),
            Some(emulation) => {
                let delay = emulation.delay(peer, content.len(), now);
                after!(delay, [cx], enqueue(peer, tag, content));
            }
        }
    }

    fn enqueue(&mut self, cx: CX![], peer: SocketAddr, tag: Tag, content: Vec<u8>) {
        let Some(id) = self.usable_link(peer).or_else(|| self.connect(cx, peer)) else {
            fwd!([self.events], LinkEvent::Refused { peer, tag });
            return;
        };
        let limit_bytes = self.options.queue_limit_bytes;
        let now = cx.now();
        let Some(link) = self.link_mut(id) else {
            return;
        };
        if link.queued_bytes() + content.len() > limit_bytes {
            fwd!([self.events], LinkEvent::Refused { peer, tag });
            return;
        }
        link.push(tag, content, now);
        self.write_queued(cx, id);
    }

    /// Sends a reply on the link on which the request arrived. The reply is dropped if the link no
    /// longer exists, since the peer then asks again.
    pub fn reply(&mut self, cx: CX![], link: LinkId, content: Vec<u8>) {
        let now = cx.now();
        let peer = self.link_mut(link).and_then(|found| found.peer);
        match (&mut self.options.emulation, peer) {
            (Some(emulation), Some(peer)) => {
                let delay = emulation.delay(peer, content.len(), now);
                after!(delay, [cx], enqueue_reply(link, content));
            }
            _ => self.enqueue_reply(cx, link, content),
        }
    }

    fn enqueue_reply(&mut self, cx: CX![], link: LinkId, content: Vec<u8>) {
        let now = cx.now();
        let Some(found) = self.link_mut(link) else {
            return;
        };
        found.push(0, content, now);
        self.write_queued(cx, link);
    }

    /// Closes a link whose peer sent something that cannot be decoded.
    pub fn close(&mut self, cx: CX![], link: LinkId) {
        self.remove_link(cx, link, LossReason::Malformed);
    }

    /// Records that the outcome of a tagged message is known, so that it is no longer outstanding.
    pub fn settle(&mut self, _: CX![], tag: Tag) {
        for link in &mut self.open {
            if link.settle(tag) {
                return;
            }
        }
    }

    fn usable_link(&self, peer: SocketAddr) -> Option<LinkId> {
        self.open
            .iter()
            .find(|link| link.outgoing && !link.is_draining && link.peer == Some(peer))
            .map(|link| link.id)
    }

    fn connect(&mut self, cx: CX![], peer: SocketAddr) -> Option<LinkId> {
        let found = self
            .backoffs
            .binary_search_by_key(&peer, |backoff| backoff.peer);
        if found.is_ok_and(|index| self.backoffs[index].until > cx.now()) {
            return None;
        }
        let opened = TcpStream::connect(peer).and_then(|stream| self.add(cx, stream, Some(peer)));
        if opened.is_err() {
            self.record_failure(cx.now(), peer);
        }
        opened.ok()
    }

    fn record_failure(&mut self, now: Instant, peer: SocketAddr) {
        let index = match self
            .backoffs
            .binary_search_by_key(&peer, |backoff| backoff.peer)
        {
            Ok(index) => index,
            Err(index) => {
                self.backoffs.insert(
                    index,
                    Backoff {
                        peer,
                        failures: 0,
                        until: now,
                    },
                );
                index
            }
        };
        let backoff = &mut self.backoffs[index];
        backoff.failures += 1;
        backoff.until = now + reconnect_delay(backoff.failures);
    }

    fn clear_backoff(&mut self, peer: SocketAddr) {
        if let Ok(index) = self
            .backoffs
            .binary_search_by_key(&peer, |backoff| backoff.peer)
        {
            self.backoffs.remove(index);
        }
    }

    fn link_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        let index = self.open.binary_search_by_key(&id, |link| link.id).ok()?;
        self.open.get_mut(index)
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes events by value"
    )]
    fn ready(&mut self, cx: CX![], id: LinkId, ready: Ready) {
        let now = cx.now();
        let Some(link) = self.link_mut(id) else {
            return;
        };
        if ready.is_error() && link.state == LinkState::Connecting {
            self.remove_link(cx, id, LossReason::Unreachable);
            return;
        }
        if ready.is_writable() && link.state == LinkState::Connecting && !link.finish_connect() {
            self.remove_link(cx, id, LossReason::Unreachable);
            return;
        }
        self.receive(cx, id, now);
        self.write_queued(cx, id);
    }

    fn receive(&mut self, cx: CX![], id: LinkId, now: Instant) {
        let Some(link) = self.link_mut(id) else {
            return;
        };
        let (messages, failure) = link.receive(now);
        let hello_received = link.take_hello_received();
        let peer = link.peer;
        if let (true, Some(peer)) = (hello_received, peer) {
            self.clear_backoff(peer);
        }
        for content in messages {
            if let Some(peer) = peer {
                fwd!(
                    [self.events],
                    LinkEvent::Message {
                        link: id,
                        peer,
                        content
                    }
                );
            }
        }
        if let Some(reason) = failure {
            self.remove_link(cx, id, reason);
        }
    }

    fn write_queued(&mut self, cx: CX![], id: LinkId) {
        let Some(link) = self.link_mut(id) else {
            return;
        };
        if link.write_queued().is_err() {
            self.remove_link(cx, id, LossReason::Closed);
        }
    }

    fn remove_link(&mut self, cx: CX![], id: LinkId, reason: LossReason) {
        let Ok(index) = self.open.binary_search_by_key(&id, |link| link.id) else {
            return;
        };
        let link = self.open.remove(index);
        if link.outgoing
            && let Some(peer) = link.peer
            && link.state != LinkState::Usable
        {
            self.record_failure(cx.now(), peer);
        }
        let (unsent, unsettled) = link.tags();
        let peer = link.peer;
        let reason_text = format!("{reason:?}");
        if unsent.is_empty() && unsettled.is_empty() {
            spdlog::debug!("link ended", kv: { link = id, reason = reason_text.as_str() });
        } else {
            let peer_text = peer.map_or_else(String::new, |peer| peer.to_string());
            spdlog::info!("link lost", kv: {
                link = id, peer = peer_text.as_str(), reason = reason_text.as_str(),
                unsent = unsent.len(), unsettled = unsettled.len(),
            });
        }
        fwd!(
            [self.events],
            LinkEvent::Lost {
                link: id,
                peer,
                reason,
                unsent,
                unsettled
            }
        );
    }

    fn start_draining(&mut self, id: LinkId) {
        let Some(link) = self.link_mut(id) else {
            return;
        };
        let (unsent, unsettled) = link.start_draining();
        let peer = link.peer;
        let peer_text = peer.map_or_else(String::new, |peer| peer.to_string());
        spdlog::info!("link is stalled and kept only for outstanding answers", kv: {
            link = id, peer = peer_text.as_str(),
            unsent = unsent.len(), unsettled = unsettled.len(),
        });
        fwd!(
            [self.events],
            LinkEvent::Stalled {
                peer,
                unsent,
                unsettled
            }
        );
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = cx.now();
        let mut lost = Vec::new();
        let mut stalled = Vec::new();
        let mut pinged = Vec::new();
        for link in &mut self.open {
            if let Some(reason) = link.timeout_reason(now, &self.options) {
                lost.push((link.id, reason));
                continue;
            }
            match link.stall_action(now) {
                Some(StallAction::Ping) => pinged.push(link.id),
                Some(StallAction::Suspect) => stalled.push(link.id),
                None => {}
            }
        }
        for (id, reason) in lost {
            self.remove_link(cx, id, reason);
        }
        for id in stalled {
            self.start_draining(id);
        }
        for id in pinged {
            self.write_queued(cx, id);
        }
        self.backoffs
            .retain(|backoff| backoff.until + BACKOFF_RETENTION > now);
    }
}

/// Time after the end of a backoff until the peer's failures are discarded.
const BACKOFF_RETENTION: Duration = Duration::from_secs(30);
/// Upper bound of the delay after the first failure.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Limits the reconnect delay to 3.2 s.
const MAX_DOUBLINGS: u32 = 6;

/// Returns the delay before the next connection attempt. It doubles from 50 ms to 3.2 s, and a
/// random factor between 0.5 and 1 keeps the peers of a restarted node from reconnecting at once.
fn reconnect_delay(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let delay = MIN_RECONNECT_DELAY * 2_u32.pow(doublings);
    delay.mul_f64(rand::random_range(0.5..1.0))
}
