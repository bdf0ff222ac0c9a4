//! Decodes what peers send and hands it to its actor. What cannot be decoded is counted,
//! logged and dropped, and its link is closed.

use std::net::SocketAddr;

use stakker::Actor;
use stakker::CX;
use stakker::call;

use crate::edge::datagrams::Received;
use crate::edge::links::LinkEvent;
use crate::edge::links::LinkId;
use crate::edge::links::Links;
use crate::node::calls::Calls;
use crate::node::control::Control;
use crate::node::control::ControlOutput;
use crate::node::moves::Moves;
use crate::wire::ControlMessage;
use crate::wire::LinkMessage;

/// `Receivers` are the actors that messages go to.
#[derive(Clone)]
pub struct Receivers {
    /// Membership and distribution.
    pub control: Actor<Control>,
    /// Request path.
    pub calls: Actor<Calls>,
    /// Moves.
    pub moves: Actor<Moves>,
    /// TCP links.
    pub links: Actor<Links>,
}

/// `Dispatch` is the actor that decodes messages.
pub struct Dispatch {
    receivers: Receivers,
}

impl Dispatch {
    /// `init` starts with the actors that messages go to.
    #[must_use]
    pub fn init(_: CX![], receivers: Receivers) -> Option<Self> {
        Some(Self { receivers })
    }

    /// `datagram` takes in a datagram.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes messages by value"
    )]
    pub fn datagram(&mut self, _: CX![], received: Received) {
        match ControlMessage::decode(&received.content) {
            Ok(message) => self.control(received.from, message),
            Err(error) => malformed(received.from, &error.to_string()),
        }
    }

    /// `link_event` takes in what happened on a link.
    pub fn link_event(&mut self, _: CX![], event: LinkEvent) {
        match event {
            LinkEvent::Message {
                link,
                peer,
                content,
            } => self.link_message(link, peer, &content),
            event @ (LinkEvent::Lost { .. } | LinkEvent::Refused { .. }) => {
                call!([self.receivers.calls], link_event(event));
            }
        }
    }

    fn link_message(&mut self, link: LinkId, peer: SocketAddr, content: &[u8]) {
        match LinkMessage::decode(content) {
            Ok(LinkMessage::Control(message)) => self.control(peer, *message),
            Ok(message) => call!([self.receivers.calls], link_message(link, message)),
            Err(error) => {
                malformed(peer, &error.to_string());
                call!([self.receivers.links], close(link));
            }
        }
    }

    fn control(&mut self, from: SocketAddr, message: ControlMessage) {
        match message {
            ControlMessage::Evidence { to, message } => match message.check() {
                Ok(()) => call!([self.receivers.moves], evidence(to, Box::new(message))),
                Err(error) => {
                    metrics::counter!("hemlockfall_evidence_refused_total").increment(1);
                    malformed(from, &error.to_string());
                }
            },
            other => call!([self.receivers.control], receive(from, Box::new(other))),
        }
    }

    /// `control_output` passes news of membership and distribution on.
    pub fn control_output(&mut self, _: CX![], output: ControlOutput) {
        call!([self.receivers.moves], control_output(output.clone()));
        call!([self.receivers.calls], control_output(output));
    }
}

fn malformed(peer: SocketAddr, reason: &str) {
    metrics::counter!("hemlockfall_malformed_messages_total").increment(1);
    spdlog::warn!("message dropped", kv: { peer = peer.to_string(), reason = reason });
}
