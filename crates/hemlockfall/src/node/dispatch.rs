//! Decodes messages of peers and routes them to the actors. A message that cannot be decoded is
//! counted, logged and dropped, and the link that carried it is closed.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use stakker::Actor;
use stakker::CX;
use stakker::call;

use crate::edge::datagrams::Received;
use crate::edge::links::LinkEvent;
use crate::edge::links::LinkId;
use crate::edge::links::Links;
use crate::edge::links::LossReason;
use crate::node::calls::Calls;
use crate::node::control::Control;
use crate::node::control::ControlOutput;
use crate::node::moves::Moves;
use crate::wire::ControlMessage;
use crate::wire::LinkMessage;

/// Maximum number of log lines about malformed messages per second, so that a flood of them does
/// not fill the log.
const MAX_LINES_PER_S: u32 = 10;
const SECOND: Duration = Duration::from_secs(1);

/// Actors that receive the decoded messages.
#[derive(Clone)]
pub struct Receivers {
    /// Membership and distribution.
    pub control: Actor<Control>,
    /// Request path.
    pub calls: Actor<Calls>,
    /// Moves (rollouts).
    pub moves: Actor<Moves>,
    /// TCP links.
    pub links: Actor<Links>,
}

/// Actor that decodes and routes messages.
pub struct Dispatch {
    receivers: Receivers,
    window_start: Instant,
    lines: u32,
}

impl Dispatch {
    /// Creates the actor with the receivers of its messages.
    #[must_use]
    pub fn init(cx: CX![], receivers: Receivers) -> Option<Self> {
        Some(Self {
            receivers,
            window_start: cx.now(),
            lines: 0,
        })
    }

    /// Handles a datagram.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes messages by value"
    )]
    pub fn handle_datagram(&mut self, cx: CX![], received: Received) {
        match ControlMessage::decode(&received.content) {
            Ok(message) => self.dispatch_control(cx.now(), received.from, message),
            Err(error) => {
                let from = received.from.to_string();
                self.record_malformed(cx.now(), &from, &error.to_string());
            }
        }
    }

    /// Handles an event of a link.
    pub fn handle_link_event(&mut self, cx: CX![], event: LinkEvent) {
        match event {
            LinkEvent::Message {
                link,
                peer,
                content,
            } => self.handle_link_message(cx.now(), link, peer, &content),
            event @ (LinkEvent::Lost { .. }
            | LinkEvent::Stalled { .. }
            | LinkEvent::Refused { .. }) => {
                self.record_malformed_link(cx.now(), &event);
                call!([self.receivers.calls], handle_link_event(event));
            }
        }
    }

    fn handle_link_message(
        &mut self,
        now: Instant,
        link: LinkId,
        peer: SocketAddr,
        content: &[u8],
    ) {
        match LinkMessage::decode(content) {
            Ok(LinkMessage::Control(message)) => self.dispatch_control(now, peer, *message),
            Ok(message) => call!([self.receivers.calls], handle_link_message(link, message)),
            Err(error) => {
                let peer = peer.to_string();
                spdlog::debug!("message cannot be decoded", kv: {
                    peer = peer.as_str(), reason = error.to_string(),
                });
                // `handle_link_event` counts and logs the malformed message when the link ends.
                call!([self.receivers.links], close(link));
            }
        }
    }

    fn record_malformed_link(&mut self, now: Instant, event: &LinkEvent) {
        if let LinkEvent::Lost {
            peer,
            reason: LossReason::Malformed,
            ..
        } = event
        {
            let peer = peer.map_or_else(|| "unknown".to_owned(), |peer| peer.to_string());
            self.record_malformed(
                now,
                &peer,
                "the link carried what cannot be decoded; it is closed",
            );
        }
    }

    fn dispatch_control(&mut self, now: Instant, from: SocketAddr, message: ControlMessage) {
        match message {
            ControlMessage::Evidence { to, message } => match message.check() {
                Ok(()) => call!(
                    [self.receivers.moves],
                    receive_evidence(to, Box::new(message))
                ),
                Err(error) => {
                    metrics::counter!("hemlockfall_evidence_refused_total").increment(1);
                    self.record_malformed(now, &from.to_string(), &error.to_string());
                }
            },
            other => call!([self.receivers.control], receive(from, Box::new(other))),
        }
    }

    /// Forwards an output of the control actor to the moves and calls actors.
    pub fn handle_control_output(&mut self, _: CX![], output: ControlOutput) {
        call!(
            [self.receivers.moves],
            handle_control_output(output.clone())
        );
        call!([self.receivers.calls], handle_control_output(output));
    }

    fn record_malformed(&mut self, now: Instant, peer: &str, reason: &str) {
        metrics::counter!("hemlockfall_malformed_messages_total").increment(1);
        if now.duration_since(self.window_start) >= SECOND {
            self.window_start = now;
            self.lines = 0;
        }
        self.lines += 1;
        if self.lines <= MAX_LINES_PER_S {
            spdlog::warn!("message dropped", kv: { peer = peer, reason = reason });
        }
    }
}
