//! One connection of a link: its buffers, its queue and its time-outs.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use hemlockfall_core::codec;
use hemlockfall_request::suspicion::StallAction;
use hemlockfall_request::suspicion::StallDetector;
use serde::Deserialize;
use serde::Serialize;
use stakker_mio::MioSource;
use stakker_mio::ReadStatus;
use stakker_mio::TcpStreamBuf;
use stakker_mio::mio::net::TcpStream;

use crate::edge::frame;
use crate::edge::frame::Assembler;
use crate::edge::frame::FRAGMENT_BYTES;
use crate::edge::frame::Parsed;
use crate::edge::links::LinkId;
use crate::edge::links::LinkOptions;
use crate::edge::links::LossReason;
use crate::edge::links::Tag;

/// Version of the link protocol; a peer with another one is refused.
const PROTOCOL: u16 = 1;
/// Largest encoded [`LinkControl`].
const CONTROL_LIMIT_BYTES: usize = 256;
/// Largest amount of output handed to the socket buffer at a time. Messages that stay in the queue
/// are known not to have been sent when the link ends.
const MAX_OUTPUT_BYTES: usize = 2 * FRAGMENT_BYTES;
/// Largest number of messages whose fragments are interleaved; well below the number of unfinished
/// messages that a peer accepts.
const MAX_INTERLEAVED: usize = 64;
const READ_BYTES: usize = 64 * 1024;

/// Messages of the link itself: the handshake and the keep-alive.
#[derive(Debug, Serialize, Deserialize)]
enum LinkControl {
    Hello {
        protocol: u16,
        peer_address: SocketAddr,
    },
    Ping,
    Pong,
}

/// First byte of a message of the link itself.
const CONTROL: u8 = 0;
/// First byte of a message of the link's users.
const PAYLOAD: u8 = 1;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkState {
    /// The TCP connection is not established yet.
    Connecting,
    /// The peer's `Hello` has not arrived yet.
    AwaitingHello,
    /// Messages can be exchanged.
    Usable,
}

#[derive(Debug)]
struct QueuedMessage {
    tag: Tag,
    stream: u32,
    content: Vec<u8>,
    sent_bytes: usize,
}

/// One connection to a peer.
pub(super) struct Link {
    pub(super) id: LinkId,
    pub(super) outgoing: bool,
    pub(super) peer: Option<SocketAddr>,
    pub(super) state: LinkState,
    /// Set once the link has stalled: it carries no new messages, but answers may still arrive.
    pub(super) is_draining: bool,
    buffer: TcpStreamBuf,
    assembler: Assembler,
    queue: VecDeque<QueuedMessage>,
    queued_bytes: usize,
    /// Tags of messages that were at least partly sent and are not settled.
    outstanding: Vec<Tag>,
    stall_detector: StallDetector,
    next_stream: u32,
    opened: Instant,
    last_received: Instant,
    last_used: Instant,
    hello_received: bool,
}

impl Link {
    pub(super) fn new(
        id: LinkId,
        stream: MioSource<TcpStream>,
        peer: Option<SocketAddr>,
        options: &LinkOptions,
        now: Instant,
    ) -> Self {
        let outgoing = peer.is_some();
        let mut buffer = TcpStreamBuf::new();
        buffer.init(stream);
        buffer.set_nodelay(true);
        let mut link = Self {
            id,
            outgoing,
            peer,
            state: if outgoing {
                LinkState::Connecting
            } else {
                LinkState::AwaitingHello
            },
            is_draining: false,
            buffer,
            assembler: Assembler::default(),
            queue: VecDeque::new(),
            queued_bytes: 0,
            outstanding: Vec::new(),
            next_stream: 1,
            opened: now,
            last_received: now,
            last_used: now,
            stall_detector: options.stall_detector.clone(),
            hello_received: false,
        };
        link.write_control(&LinkControl::Hello {
            protocol: PROTOCOL,
            peer_address: options.address,
        });
        link
    }

    pub(super) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Appends a message to the queue.
    pub(super) fn push(&mut self, tag: Tag, mut content: Vec<u8>, now: Instant) {
        content.insert(0, PAYLOAD);
        self.queued_bytes += content.len();
        self.last_used = now;
        let stream = self.next_stream;
        self.next_stream = self.next_stream.wrapping_add(1).max(1);
        self.queue.push_back(QueuedMessage {
            tag,
            stream,
            content,
            sent_bytes: 0,
        });
    }

    /// Removes a tag from the outstanding ones; returns whether it was one of them.
    pub(super) fn settle(&mut self, tag: Tag) -> bool {
        let Some(index) = self
            .outstanding
            .iter()
            .position(|outstanding| *outstanding == tag)
        else {
            return false;
        };
        self.outstanding.swap_remove(index);
        true
    }

    /// Checks the result of a non-blocking connect; returns whether the connection is established.
    pub(super) fn finish_connect(&mut self) -> bool {
        if self.buffer.flush().is_err() {
            return false;
        }
        self.state = LinkState::AwaitingHello;
        true
    }

    /// Writes queued messages to the socket, interleaving their fragments.
    pub(super) fn write_queued(&mut self) -> io::Result<()> {
        if self.state == LinkState::Connecting {
            return Ok(());
        }
        loop {
            while self.state == LinkState::Usable && self.buffer.out.len() < MAX_OUTPUT_BYTES {
                if !self.write_next_fragment() {
                    break;
                }
            }
            let had_output = !self.buffer.out.is_empty();
            self.buffer.flush()?;
            if !had_output || !self.buffer.out.is_empty() || self.queue.is_empty() {
                return Ok(());
            }
        }
    }

    fn write_next_fragment(&mut self) -> bool {
        let Some(mut message) = self.queue.pop_front() else {
            return false;
        };
        if message.sent_bytes == 0 && message.tag != 0 {
            self.outstanding.push(message.tag);
            self.stall_detector.call_sent(self.last_used);
        }
        let end = message
            .content
            .len()
            .min(message.sent_bytes + FRAGMENT_BYTES);
        let last = end == message.content.len();
        let content = &message.content[message.sent_bytes..end];
        frame::write_fragment(&mut self.buffer.out, message.stream, content, last);
        self.queued_bytes -= content.len();
        message.sent_bytes = end;
        if !last {
            let index = self.queue.len().min(MAX_INTERLEAVED - 1);
            self.queue.insert(index, message);
        }
        true
    }

    fn write_control(&mut self, message: &LinkControl) {
        let Ok(encoded) = codec::encode(message) else {
            return;
        };
        let mut content = vec![CONTROL];
        content.extend_from_slice(&encoded);
        frame::write_fragment(&mut self.buffer.out, 0, &content, true);
    }

    /// Reads the available input; returns complete messages, and the reason if the link must end.
    pub(super) fn receive(&mut self, now: Instant) -> (Vec<Vec<u8>>, Option<LossReason>) {
        let mut messages = Vec::new();
        loop {
            let status = self.buffer.read(READ_BYTES);
            if matches!(status, ReadStatus::NewData) {
                self.last_received = now;
                self.stall_detector
                    .received(!self.outstanding.is_empty(), now);
            }
            if !self.parse(&mut messages) {
                return (messages, Some(LossReason::Malformed));
            }
            match status {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => return (messages, None),
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    let reason = match self.state {
                        LinkState::Usable => LossReason::Closed,
                        LinkState::Connecting | LinkState::AwaitingHello => LossReason::Unreachable,
                    };
                    return (messages, Some(reason));
                }
            }
        }
    }

    fn parse(&mut self, messages: &mut Vec<Vec<u8>>) -> bool {
        loop {
            let input = &self.buffer.inp[self.buffer.rd..self.buffer.wr];
            match self.assembler.parse(input) {
                Ok(Parsed::Incomplete) => return true,
                Ok(Parsed::Fragment { used_bytes }) => self.buffer.rd += used_bytes,
                Ok(Parsed::Message {
                    used_bytes,
                    content,
                }) => {
                    self.buffer.rd += used_bytes;
                    if !self.handle_message(content, messages) {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
    }

    fn handle_message(&mut self, mut content: Vec<u8>, messages: &mut Vec<Vec<u8>>) -> bool {
        match content.split_first() {
            Some((&CONTROL, control)) => self.handle_control(control),
            Some((&PAYLOAD, _)) if self.state == LinkState::Usable => {
                content.remove(0);
                messages.push(content);
                true
            }
            _ => false,
        }
    }

    fn handle_control(&mut self, encoded: &[u8]) -> bool {
        match codec::decode(encoded, CONTROL_LIMIT_BYTES) {
            Ok(LinkControl::Hello {
                protocol,
                peer_address,
            }) => {
                if protocol != PROTOCOL {
                    return false;
                }
                self.peer = self.peer.or(Some(peer_address));
                self.state = LinkState::Usable;
                self.hello_received = true;
                true
            }
            Ok(LinkControl::Ping) => {
                self.write_control(&LinkControl::Pong);
                true
            }
            Ok(LinkControl::Pong) => true,
            Err(_) => false,
        }
    }

    /// Returns whether the `Hello` of an outgoing link has arrived since the last call.
    pub(super) fn take_hello_received(&mut self) -> bool {
        std::mem::take(&mut self.hello_received) && self.outgoing
    }

    /// Returns the reason for closing the link if it failed to become usable in time, is idle, or
    /// is draining and has no outstanding calls.
    pub(super) fn timeout_reason(&self, now: Instant, options: &LinkOptions) -> Option<LossReason> {
        if self.state != LinkState::Usable {
            let late = now.duration_since(self.opened) >= options.connect_timeout;
            return late.then_some(LossReason::Unreachable);
        }
        if self.is_draining {
            let is_settled = self.outstanding.is_empty();
            return is_settled.then_some(LossReason::Closed);
        }
        let idle = self.outstanding.is_empty()
            && self.queue.is_empty()
            && now.duration_since(self.last_used.max(self.last_received)) >= options.idle_timeout;
        (self.outgoing && idle).then_some(LossReason::Closed)
    }

    /// Returns the action that the stall detection demands; a ping is written here.
    pub(super) fn stall_action(&mut self, now: Instant) -> Option<StallAction> {
        if self.is_draining {
            return None;
        }
        let action = self.stall_detector.tick(now);
        if action == Some(StallAction::Ping) {
            self.write_control(&LinkControl::Ping);
        }
        action
    }

    /// Stops the use of a stalled link for new messages and returns the result of [`Link::tags`].
    /// Messages of which nothing was sent are dropped.
    pub(super) fn start_draining(&mut self) -> (Vec<Tag>, Vec<Tag>) {
        let tags = self.tags();
        self.is_draining = true;
        self.queue.retain(|message| message.sent_bytes > 0);
        self.queued_bytes = self
            .queue
            .iter()
            .map(|message| message.content.len() - message.sent_bytes)
            .sum();
        tags
    }

    /// Returns the tags of messages that were never sent, and of those that may have been.
    pub(super) fn tags(&self) -> (Vec<Tag>, Vec<Tag>) {
        let unsent = self
            .queue
            .iter()
            .filter(|m| m.sent_bytes == 0 && m.tag != 0);
        let unsettled = self.outstanding.clone();
        (unsent.map(|message| message.tag).collect(), unsettled)
    }
}
