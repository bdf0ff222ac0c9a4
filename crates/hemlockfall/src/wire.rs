//! Messages between nodes: [`ControlMessage`] for datagrams and [`LinkMessage`] for links.

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

/// Control message. Sent as a datagram if it fits into one, otherwise over a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Message of the configuration distribution.
    Distribution(DistributionMessage),
    /// Message of the membership protocol.
    Membership(MembershipMessage),
    /// Evidence about a move (rollout).
    Evidence {
        /// Receiver: the aggregator for the evidence of one node, the judges for the sum of a data
        /// centre.
        to: Recipient,
        /// Evidence.
        message: EvidenceMessage,
    },
}

/// Attempt of a request, sent to the node of the target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallFrame {
    /// Id of the attempt.
    pub attempt_id: AttemptId,
    /// Incarnation of the target's node that the entry node chose.
    pub incarnation: Incarnation,
    /// Time until the deadline of the request, in milliseconds.
    pub time_left_ms: u32,
    /// Priority class of the service.
    pub class: Class,
    /// Service.
    pub service: ServiceName,
    /// Route.
    pub route: RouteName,
    /// Version.
    pub version: VersionName,
    /// Maximum size of the answer body, in bytes.
    pub max_body_bytes: u32,
    /// Whether this is a retry. Nodes downstream do not retry it again.
    pub is_retry: bool,
    /// Idempotency key of a non-idempotent request.
    pub key: Option<CallKey>,
    /// Request.
    pub request: HttpRequest,
    /// Digest of the request body.
    pub body_digest: Digest,
}

/// Idempotency key of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallKey {
    /// Key as text.
    pub text: SmolStr,
    /// Whether the entry node generated the key.
    pub is_generated: bool,
    /// Earlier attempts of the same request that are known not to have run.
    pub voided: Vec<AttemptId>,
    /// Keepers of the key (the nodes that store its record) in the view of the entry node. Empty if
    /// the entry node generated the key, or has not known the members of the service since before
    /// any use of the key.
    pub keepers: Vec<NodeName>,
}

/// Result of an attempt, sent back to the entry node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// Id of the attempt.
    pub attempt_id: AttemptId,
    /// Result of the attempt.
    pub end: AttemptEnd,
}

/// Result of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The target sent a complete answer.
    Answered(HttpAnswer),
    /// There is no complete answer.
    Refused {
        /// Reason; it determines whether the attempt may have run.
        reason: Reason,
        /// Time after which the caller may send the request again, in milliseconds.
        retry_after_ms: Option<u32>,
    },
}

/// Message on a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Control message that is too large for a datagram.
    Control(Box<ControlMessage>),
    /// Attempt for the target of the receiver.
    Call(Box<CallFrame>),
    /// Result of an attempt.
    Answer(Box<AnswerFrame>),
    /// Cancels an attempt.
    Cancel {
        /// Id of the attempt.
        attempt_id: AttemptId,
    },
    /// Bars an attempt from starting and asks whether it has started.
    Fence {
        /// Id of the attempt.
        attempt_id: AttemptId,
        /// Incarnation of the target's node that the attempt was sent to.
        incarnation: Incarnation,
    },
    /// Answer to a fence.
    FenceAnswer {
        /// Id of the attempt.
        attempt_id: AttemptId,
        /// Answer.
        answer: FenceAnswer,
    },
    /// Message about an idempotency key.
    Key {
        /// Sender.
        from: NodeName,
        /// Message.
        message: KeyMessage,
    },
}

impl ControlMessage {
    /// Encodes the message for a datagram.
    ///
    /// # Errors
    /// [`hemlockfall_core::errors::Error::Malformed`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// [`hemlockfall_core::errors::Error::Malformed`] if it cannot be decoded, and
    /// [`hemlockfall_core::errors::Error::TooLarge`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MESSAGE_LIMIT_BYTES)
    }
}

impl LinkMessage {
    /// Encodes the message for a link.
    ///
    /// # Errors
    /// [`hemlockfall_core::errors::Error::Malformed`] if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        codec::encode(self)
    }

    /// Decodes a message from a link.
    ///
    /// # Errors
    /// [`hemlockfall_core::errors::Error::Malformed`] if it cannot be decoded, and
    /// [`hemlockfall_core::errors::Error::TooLarge`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        codec::decode(bytes, MESSAGE_LIMIT_BYTES)
    }
}
