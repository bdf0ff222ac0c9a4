//! Links between nodes. A node opens its own link to each node that the overlay selects and sends
//! its calls on it; answers come back on the same link.

use std::time::Duration;

use rand::RngExt;
use serde_json::json;
use stakker_mio::Ready;
use stakker_mio::mio::net::TcpStream;

use crate::balance::Distance;
use crate::clock::Time;
use crate::edge::frame;
use crate::edge::frame::Failure;
use crate::edge::frame::Frame;
use crate::edge::frame::FrameError;
use crate::edge::frame::TextReader;
use crate::edge::frame::TextWriter;
use crate::edge::stream;
use crate::edge::stream::Reading;
use crate::edge::stream::Stream;
use crate::edge::transit;
use crate::edge::transit::Transit;
use crate::model::NodeRecord;
use crate::node::Node;
use crate::node::Socket;
use crate::node::calls::AttemptEnd;
use crate::node::mesh::UpdateSource;
use crate::node::ms;
use crate::node::peers::SEED_PREFIX;
use crate::node::targets::WorkOrigin;
use crate::node::transfers::IncomingAnswer;

/// Time without received bytes, with calls outstanding, after which a ping is sent.
const PING_AFTER: Duration = Duration::from_millis(150);
/// Time for the answer to a ping, besides the round trip, after which no further calls are sent on
/// the link.
const STALLED_AFTER: Duration = Duration::from_millis(200);
/// Time for the answer to a ping after which the link is abandoned. It leaves TCP time to send lost
/// packets again.
const LOST_AFTER: Duration = Duration::from_millis(600);
/// Time without received bytes on an idle link after which a keep-alive ping is sent. It grows with
/// the number of links, so that the keep-alive traffic of a node stays bounded.
const IDLE_PING_AFTER: Duration = Duration::from_secs(1);
const IDLE_PING_PER_LINK: Duration = Duration::from_millis(60);
/// Time to connect and to receive the other node's hello; also the time for the hello on an accepted
/// link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest and longest backoff between attempts to connect.
const MIN_DIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_DIAL_BACKOFF: Duration = Duration::from_millis(1600);
/// Failed attempts to connect after which a node has most likely been removed, and the time between
/// attempts from then on. A node that restarts opens its own link at once.
const UNREACHABLE_FAILURES: u32 = 10;
const UNREACHABLE_DIAL_INTERVAL: Duration = Duration::from_secs(10);

/// Connection with another node.
pub(crate) struct Link {
    pub(super) stream: Stream,
    input: Vec<u8>,
    /// The peer that this node dialled, or the sender of the hello.
    pub(super) peer: Option<u64>,
    pub(super) is_dialed: bool,
    pub(super) writer: TextWriter,
    pub(super) reader: TextReader,
    opened: Time,
    pub(super) last_received_at: Time,
    ping_sent: Option<Time>,
    /// Whether the link has stalled and is kept only for outstanding answers; a new link replaces
    /// it.
    pub(super) is_retired: bool,
    pub(super) transit: Transit,
    /// Sequence of this node's record when the link was opened; its hello carries that record.
    hello_sequence: u64,
    /// Calls sent on the link and not answered yet.
    pub(super) calls: Vec<u64>,
    /// When the link last carried a call, or was opened.
    pub(super) used_at: Time,
    /// Large answers of which some chunks are outstanding.
    pub(super) incoming: Vec<IncomingAnswer>,
}

impl Link {
    /// Returns the size of the buffers for input.
    pub(super) fn held_bytes(&self) -> usize {
        let answers = self.incoming.iter().map(IncomingAnswer::held_bytes);
        self.input.capacity() + answers.sum::<usize>()
    }

    /// Returns the size of the unsent output.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.stream.unsent_bytes()
    }

    /// Returns the memory of the output.
    pub(super) fn output_bytes(&self) -> usize {
        self.stream.output_bytes()
    }

    /// Returns whether the link was accepted and its node is not known yet.
    pub(super) fn is_unnamed(&self) -> bool {
        !self.is_dialed && self.peer.is_none()
    }

    /// Returns the time since the link was opened or accepted.
    pub(super) fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.opened)
    }

    /// Returns whether the answer to a ping is overdue.
    pub(super) fn is_stalled(&self, now: Time, distance: Distance) -> bool {
        self.ping_sent
            .is_some_and(|at| now.saturating_sub(at) > STALLED_AFTER + distance.round_trip())
    }
}

impl Node {
    pub(super) fn link_accepted(&mut self, stream: TcpStream) {
        let ready = self.ready_fwd(Socket::Link(self.links.next_id()));
        match Stream::accepted(&self.poll, stream, ready) {
            Ok(stream) => {
                self.add_link(stream, None);
            }
            Err(error) => {
                self.log_event("accept_failed", json!({ "reason": error.to_string() }));
            }
        }
    }

    fn add_link(&mut self, stream: Stream, peer: Option<u64>) -> u64 {
        self.links.insert(Link {
            stream,
            input: Vec::new(),
            peer,
            is_dialed: peer.is_some(),
            writer: TextWriter::default(),
            reader: TextReader::default(),
            opened: self.now,
            last_received_at: self.now,
            ping_sent: None,
            is_retired: false,
            transit: Transit::default(),
            hello_sequence: self.record_sequence,
            calls: Vec::new(),
            used_at: self.now,
            incoming: Vec::new(),
        })
    }

    /// Opens a link to a peer.
    pub(super) fn dial(&mut self, peer: u64) {
        let Some(found) = self.peers.get(peer) else {
            return;
        };
        let ready = self.ready_fwd(Socket::Link(self.links.next_id()));
        match Stream::connect(
            &self.poll,
            found.record.peer_address,
            self.connection_limits.links.receive_bytes,
            ready,
        ) {
            Ok(stream) => {
                let link = self.add_link(stream, Some(peer));
                if let Some(found) = self.peers.get_mut(peer) {
                    found.link = Some(link);
                }
                let hello = Frame::Hello(self.own_record());
                self.send_frame(link, &hello);
                // Gives the other end a baseline of the transit time before the first call.
                let sent_ms = transit::clock_ms(self.now);
                self.send_frame(link, &Frame::Ping { sent_ms });
            }
            Err(_) => self.dial_failed(peer),
        }
    }

    fn dial_failed(&mut self, peer: u64) {
        let jitter = self.random.random_range(0.5..1.5);
        let now = self.now;
        if let Some(found) = self.peers.get_mut(peer) {
            let exponent = found.dial_failures.min(4);
            let delay = if found.dial_failures >= UNREACHABLE_FAILURES {
                UNREACHABLE_DIAL_INTERVAL
            } else {
                MIN_DIAL_BACKOFF
                    .saturating_mul(1 << exponent)
                    .min(MAX_DIAL_BACKOFF)
            };
            found.dial_failures += 1;
            found.dial_at = now + delay.mul_f64(jitter);
        }
    }

    pub(super) fn link_ready(&mut self, id: u64, ready: &Ready) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        if ready.is_writable()
            && let Err(error) = link.stream.writable()
        {
            self.link_lost(id, &error.to_string());
            return;
        }
        if ready.is_writable() && !self.transfers.is_empty() {
            self.drive_uplink();
        }
        self.read_link(id);
    }

    pub(super) fn resume_link(&mut self, id: u64) {
        if let Some(link) = self.links.get_mut(id) {
            link.stream.resume();
            self.read_link(id);
        }
    }

    fn read_link(&mut self, id: u64) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let before = link.input.len();
        let reading = link.stream.read(&mut link.input);
        if link.input.len() > before {
            link.last_received_at = self.now;
            link.ping_sent = None;
        }
        self.read_frames(id, reading.has_ended());
        match reading {
            Reading::Open => {}
            Reading::More => self.read_later(Socket::Link(id)),
            Reading::Ended => self.link_lost(id, "closed"),
            Reading::Failed => self.link_lost(id, "reset"),
        }
    }

    /// Handles the frames that have arrived. A call is not started when its cancellation, or the
    /// end of the link, has arrived as well.
    fn read_frames(&mut self, id: u64, is_closed: bool) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let mut frames = Vec::new();
        let mut cancelled = Vec::new();
        let mut used = 0;
        let mut failure = None;
        loop {
            match frame::decode(&link.input[used..]) {
                Ok(Some((frame, bytes))) => {
                    used += bytes;
                    if let Frame::Cancel { call } = frame {
                        cancelled.push(call);
                    }
                    frames.push(frame);
                }
                Ok(None) => break,
                Err(error) => {
                    failure = Some(error);
                    break;
                }
            }
        }
        link.input.drain(..used);
        stream::release_empty(&mut link.input);
        for frame in frames {
            let is_cancelled =
                matches!(&frame, Frame::Call(call) if cancelled.contains(&call.call));
            if let Err(error) = self.handle_frame(id, frame, is_closed || is_cancelled) {
                failure = Some(error);
                break;
            }
        }
        if let Some(error) = failure {
            self.link_malformed(id, error);
        }
    }

    fn link_malformed(&mut self, id: u64, error: FrameError) {
        self.link_lost(id, &format!("{error:?}"));
    }

    fn handle_frame(&mut self, id: u64, frame: Frame, is_abandoned: bool) -> frame::Result<()> {
        match frame {
            Frame::Hello(record) => self.handle_hello(id, &record),
            Frame::Record(record) => {
                let sequence = record.sequence;
                self.handle_record(id, record);
                self.send_frame(id, &Frame::RecordAck { sequence });
            }
            Frame::Deregistered(deregistered) => self.merge_deregistered(deregistered),
            Frame::RecordAck { sequence } => self.deregistration_copied(sequence),
            Frame::Members(digests) => self.handle_members(id, &digests),
            Frame::Peers(records) => self.handle_peers(id, records),
            Frame::Call(call) => self.handle_call(id, *call, is_abandoned)?,
            Frame::Cancel { call } => self.handle_cancel(id, call),
            Frame::Answer(answer) => self.handle_answer(id, *answer)?,
            Frame::AnswerChunk(chunk) => self.handle_chunk(id, &chunk)?,
            Frame::NotRun {
                call,
                refusal,
                retry_after_ms,
                load,
            } => {
                self.record_link_load(id, call, load);
                let retry_after = Duration::from_millis(retry_after_ms.into());
                let end = AttemptEnd::NotRun {
                    refusal,
                    retry_after,
                };
                self.link_call_ended(id, call, end);
            }
            Frame::Failed {
                call,
                failure,
                load,
            } => {
                self.record_link_load(id, call, load);
                self.link_call_ended(id, call, AttemptEnd::Failed(failure));
            }
            Frame::Load(load) => self.handle_load(id, load),
            Frame::Ping { sent_ms } => {
                if let Some(link) = self.links.get_mut(id) {
                    link.transit.delay(sent_ms, self.now);
                }
                self.send_frame(id, &Frame::Pong);
            }
            Frame::Pong => {}
            Frame::WatcherHeartbeat(heartbeat) => self.handle_watcher_heartbeat(id, heartbeat),
            Frame::ConfigDelta(delta) => self.handle_config_delta(id, *delta),
            Frame::HasConfig { config } => self.handle_config_version(id, config),
            Frame::ConfigRequest { current } => self.handle_config_request(id, current),
            Frame::Config(config) => self.adopt_config(*config, UpdateSource::Peer(id)),
            Frame::Evacuations(set) => self.adopt_evacuations(set, UpdateSource::Peer(id)),
            Frame::Rollouts(updates) => self.handle_rollout_updates(id, updates),
            Frame::Suspect { fingerprint, event } => self.handle_suspect(id, fingerprint, event),
            Frame::Evidence {
                service,
                version,
                evidence,
            } => self.handle_evidence(&service, &version, evidence),
            Frame::AllowanceAsk(ask) => self.handle_allowance_ask(id, &ask),
            Frame::AllowanceGrant(grant) => self.handle_allowance_grant(id, *grant),
            Frame::StopCanary { service, version } => {
                if self.stop_canary(&service, &version, "told by another node") {
                    self.broadcast(&Frame::StopCanary { service, version }, Some(id));
                }
            }
        }
        Ok(())
    }

    fn handle_hello(&mut self, id: u64, record: &NodeRecord) {
        if record.node == self.settings.name {
            // An outdated record or a seed led to this node's own address.
            self.link_lost(id, "a link to itself");
            return;
        }
        // Deregistrations that an earlier process of that node acknowledged hold for the new one
        // too.
        let existing = self.peer_by_name(&record.node);
        let deregistered = existing
            .and_then(|peer| self.peers.get(peer))
            .map(|peer| peer.record.deregistered.clone())
            .unwrap_or_default();
        if !deregistered.is_empty() {
            self.send_frame(id, &Frame::Deregistered(deregistered));
        }
        let peer = self.handle_record(id, record.clone());
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let dialed_peer = link.peer.replace(peer);
        if link.is_dialed {
            if let Some(other) = dialed_peer.filter(|other| *other != peer) {
                self.address_taken_over(other, record);
            }
            self.link_established(peer, id);
        } else {
            let hello = Frame::Hello(self.own_record());
            self.send_frame(id, &hello);
        }
    }

    /// Handles a hello from another node than the dialled one: the record of the dialled node is
    /// out of date, since its VM was replaced, or it stands for a seed whose name was not known.
    fn address_taken_over(&mut self, peer: u64, by: &NodeRecord) {
        let Some(found) = self.peers.get_mut(peer) else {
            return;
        };
        found.link = None;
        let (name, is_older) = (
            found.record.node.clone(),
            found.record.incarnation <= by.incarnation,
        );
        self.log_event(
            "address_taken_over",
            json!({ "peer": name, "by": by.node, "is_forgotten": is_older }),
        );
        if is_older && name.starts_with(SEED_PREFIX) {
            self.remove_peer(peer);
        } else if is_older {
            if let Some(found) = self.peers.get_mut(peer) {
                found.is_replaced = true;
            }
        } else {
            self.dial_failed(peer);
        }
    }

    fn link_established(&mut self, peer: u64, link: u64) {
        let now = self.now;
        let Some(found) = self.peers.get_mut(peer) else {
            return;
        };
        if found.is_linked && found.link != Some(link) {
            // The node was dialled under two names. The first link stays, as it may carry calls.
            self.links.remove(link);
            return;
        }
        found.link = Some(link);
        found.is_linked = true;
        found.dial_failures = 0;
        found.load_at = now;
        let name = found.record.node.clone();
        self.log_event("link_established", json!({ "peer": name }));
        let hello_sequence = self.links.get(link).map(|link| link.hello_sequence);
        if hello_sequence != Some(self.record_sequence) {
            // Changes since the hello were sent on established links only.
            let record = self.own_record();
            self.send_frame(link, &Frame::Record(record));
        }
        if self.mesh.config().is_none() {
            self.request_config(link);
        }
        self.overlay_is_due = true;
        if self.overlay.remote_relays().contains(&peer) {
            self.compare_members(link);
        }
    }

    /// Removes a failed link. Its outstanding calls fail and may have run.
    pub(super) fn link_lost(&mut self, id: u64, reason: &str) {
        let Some(link) = self.links.remove(id) else {
            return;
        };
        self.cancel_work_of_link(id);
        self.cancel_transfers_on(id);
        let Some(peer) = link.peer else {
            return;
        };
        if !link.is_dialed {
            return;
        }
        metrics::counter!("hemlockfall_sidecar_links_lost_total").increment(1);
        let now = self.now;
        self.overlay_is_due = true;
        if let Some(found) = self.peers.get_mut(peer)
            && found.link == Some(id)
        {
            found.link = None;
            let was_linked = std::mem::take(&mut found.is_linked);
            found.outstanding = 0;
            found.watcher_heartbeat_at = None;
            let name = found.record.node.clone();
            if was_linked {
                found.dial_at = now;
                self.log_event(
                    "link_lost",
                    json!({
                        "peer": name, "reason": reason, "calls": link.calls.len(),
                        "silent_ms": ms(now.saturating_sub(link.last_received_at)),
                    }),
                );
            } else {
                self.dial_failed(peer);
            }
        } else if let Some(found) = self.peers.get_mut(peer) {
            let calls = u16::try_from(link.calls.len()).unwrap_or(u16::MAX);
            found.outstanding = found.outstanding.saturating_sub(calls);
        }
        for call in link.calls {
            self.attempt_ended(call, AttemptEnd::Failed(Failure::LinkLost));
        }
    }

    /// Cancels the requests that the other end of a lost link had sent.
    fn cancel_work_of_link(&mut self, id: u64) {
        let work_items: Vec<u64> = self
            .target
            .work_items
            .iter()
            .filter(|(_, work)| matches!(work.origin, WorkOrigin::Link { link, .. } if link == id))
            .map(|(work, _)| work)
            .collect();
        if !work_items.is_empty() {
            self.log_event("link_lost_with_runs", json!({ "runs": work_items.len() }));
        }
        for work in work_items {
            self.cancel_work(work);
        }
    }

    /// Pings unresponsive links, drops failed ones, and opens and closes links as planned.
    pub(super) fn check_links(&mut self) {
        let now = self.now;
        let links = u32::try_from(self.overlay.wanted().len()).unwrap_or(u32::MAX);
        let idle_ping = IDLE_PING_AFTER.max(IDLE_PING_PER_LINK.saturating_mul(links));
        // A holder replies about once a second, so these links are pinged only if that stops.
        let holders = self.allowance_holder_peers();
        let mut unconnected = Vec::new();
        let mut stalled = Vec::new();
        let mut ping_due = Vec::new();
        for (id, link) in self.links.iter() {
            if link.is_unnamed() && link.age(now) > CONNECT_TIMEOUT {
                unconnected.push(id);
            }
            if !link.is_dialed || link.is_retired {
                continue;
            }
            let is_established = link
                .peer
                .and_then(|peer| self.peers.get(peer))
                .is_some_and(|peer| peer.is_linked && peer.link == Some(id));
            if !is_established {
                if link.age(now) > CONNECT_TIMEOUT {
                    unconnected.push(id);
                }
                continue;
            }
            match link.ping_sent {
                Some(at) if now.saturating_sub(at) > LOST_AFTER => stalled.push(id),
                Some(_) => {}
                None => {
                    let since_received = now.saturating_sub(link.last_received_at);
                    let limit = if !link.calls.is_empty() {
                        PING_AFTER
                    } else if holders.contains(&link.peer.unwrap_or_default()) {
                        IDLE_PING_AFTER
                    } else {
                        idle_ping
                    };
                    if since_received > limit {
                        ping_due.push(id);
                    }
                }
            }
        }
        for id in unconnected {
            self.link_lost(id, "not connected");
        }
        for id in stalled {
            self.link_stalled(id);
        }
        self.close_retired();
        for id in ping_due {
            self.ping(id);
        }
        self.dial_wanted();
        self.close_unwanted();
    }

    fn ping(&mut self, id: u64) {
        if let Some(link) = self.links.get_mut(id) {
            link.ping_sent = Some(self.now);
        }
        let sent_ms = transit::clock_ms(self.now);
        self.send_frame(id, &Frame::Ping { sent_ms });
    }

    /// Pings all links that this node opened and restarts the watches after a process pause, during
    /// which any connection may have failed unnoticed.
    pub(super) fn recover_from_pause(&mut self) {
        let dialed: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_dialed)
            .map(|(id, _)| id)
            .collect();
        for id in dialed {
            self.ping(id);
        }
        self.restart_watches();
    }
}
