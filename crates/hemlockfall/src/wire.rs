//! Messages between nodes: one envelope for datagrams and one for links.

use hemlockfall_core::catalogue::Class;
use hemlockfall_core::codec;
use hemlockfall_core::errors::Result;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use hemlockfall_distribution::message::Message as DistributionMessage;
use hemlockfall_membership::message::Message as MembershipMessage;
use hemlockfall_moves::action::Recipient;
use hemlockfall_moves::evidence::EvidenceMessage;
use hemlockfall_request::admission::FenceAnswer;
use hemlockfall_request::idempotency::KeyMessage;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::seen::AttemptId;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::edge::frame::MESSAGE_LIMIT_BYTES;
use crate::edge::http::HttpAnswer;
use crate::edge::http::HttpRequest;

/// `ControlMessage` is control traffic; it travels as a datagram when it fits one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Of the distribution family.
    Distribution(DistributionMessage),
    /// Of the membership family.
    Membership(MembershipMessage),
    /// Of the moves family.
    Evidence {
        /// Tells the evidence of one node from the sum of a data centre.
        to: Recipient,
        /// The evidence.
        message: EvidenceMessage,
    },
}

/// `CallFrame` is one attempt on its way to the target's node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallFrame {
    /// Identifies the attempt.
    pub attempt_id: AttemptId,
    /// Life of the target's node that the entry node meant.
    pub incarnation: Incarnation,
    /// Time left, in milliseconds.
    pub time_left_ms: u32,
    /// Class of the service.
    pub class: Class,
    /// Service.
    pub service: ServiceName,
    /// Route.
    pub route: RouteName,
    /// Version.
    pub version: VersionName,
    /// Largest answer body, in bytes.
    pub max_body_bytes: u32,
    /// Marks a retry, which is not retried further down.
    pub is_retry: bool,
    /// Key of a request that may not be repeated.
    pub key: Option<CallKey>,
    /// The request.
    pub request: HttpRequest,
    /// Digest of the request's body.
    pub body_digest: Digest,
}

/// `CallKey` is the key part of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallKey {
    /// Text of the key.
    pub text: SmolStr,
    /// The entry node generated it.
    pub is_generated: bool,
    /// Earlier attempts of the same request that surely have not run.
    pub voided: Vec<AttemptId>,
    /// Keepers of the key as the entry node knows them, or none when it has not known the members
    /// of the service since before the key's time.
    pub keepers: Vec<NodeName>,
}

/// `AnswerFrame` is the end of an attempt on its way back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// How it ended.
    pub end: AttemptEnd,
}

/// `AttemptEnd` is how an attempt ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// With the whole answer of the target.
    Answered(HttpAnswer),
    /// Without one.
    Refused {
        /// Why; the reason tells whether it may have run.
        reason: Reason,
        /// When a resend is worthwhile, in milliseconds.
        retry_after_ms: Option<u32>,
    },
}

/// `LinkMessage` is what travels on a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Control traffic that is too large for a datagram.
    Control(Box<ControlMessage>),
    /// An attempt.
    Call(Box<CallFrame>),
    /// The end of an attempt.
    Answer(Box<AnswerFrame>),
    /// The attempt is no longer wanted.
    Cancel {
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// The attempt must not start any more.
    Fence {
        /// The attempt.
        attempt_id: AttemptId,
        /// Life of the target's node that the attempt was sent to.
        incarnation: Incarnation,
    },
    /// What the fence found.
    FenceAnswer {
        /// The attempt.
        attempt_id: AttemptId,
        /// What was found.
        answer: FenceAnswer,
    },
    /// Traffic about idempotency keys.
    Key {
        /// Sender.
        from: NodeName,
        /// Message.
        message: KeyMessage,
    },
}

impl ControlMessage {
    /// `encode` encodes the message for a datagram.
    ///
    /// # Errors
    /// [`hemlockfall_core::errors::Error::Malformed`] when it cannot be represented.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self)
    }

    /// `decode` decodes a datagram.
    ///
    /// # Errors
    /// [`hemlockfall_core::errors::Error::Malformed`] and
    /// [`hemlockfall_core::errors::Error::TooLarge`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MESSAGE_LIMIT_BYTES)
    }
}

impl LinkMessage {
    /// `encode` encodes the message for a link.
    ///
    /// # Errors
    /// [`hemlockfall_core::errors::Error::Malformed`] when it cannot be represented.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self)
    }

    /// `decode` decodes a message from a link.
    ///
    /// # Errors
    /// [`hemlockfall_core::errors::Error::Malformed`] and
    /// [`hemlockfall_core::errors::Error::TooLarge`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MESSAGE_LIMIT_BYTES)
    }
}
