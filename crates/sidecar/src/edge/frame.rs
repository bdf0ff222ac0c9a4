//! Frames on the links between nodes.
//!
//! A frame is a length followed by a `postcard` value, which is compressed if that makes it
//! shorter. Header names and other short texts that recur on a link are sent once and referred to
//! by index afterwards, since traffic between data centres is charged by volume.

use hemlockfall_allowance::messages::Ask;
use hemlockfall_allowance::messages::Grant;
use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use hemlockfall_http::http::Header;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::admission::RejectReason;
use crate::evacuations::EvacuationSet;
use crate::fingerprint::Fingerprint;
use crate::judge::Evidence;
use crate::model::ConfigDelta;
use crate::model::ConfigVersion;
use crate::model::LoadReport;
use crate::model::MeshConfig;
use crate::model::NodeRecord;
use crate::model::ObjectRevision;
use crate::model::Rollout;
use crate::model::StoreEra;
use crate::model::TargetKey;

/// Result type of this module.
pub type Result<T> = std::result::Result<T, FrameError>;

/// Largest frame; the largest body that a configuration may allow fits into it.
const MAX_FRAME_BYTES: usize = 80 * 1024 * 1024;
/// Size of the length at the start of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Bit of the length that marks a compressed frame.
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Size from which on frames are compressed; compression would hardly shorten smaller ones.
const MIN_COMPRESSED_BYTES: usize = 512;
/// Largest number of texts that are kept per link and direction; their index is a `u8`.
const MAX_TEXTS: usize = 200;
/// Largest number of bytes that one compressed byte can stand for. A frame that claims to hold
/// more is refused before memory is allocated for it.
const MAX_COMPRESSION_RATIO: usize = 256;
/// Largest text that is kept, in bytes.
const MAX_TEXT_BYTES: usize = 48;

/// Error in the bytes received on a link; the link must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is too large.
    TooLarge,
    /// The frame does not decode.
    Malformed,
    /// The frame refers to a text that was never sent.
    UnknownText,
}

/// Short text, or the index of one that was sent before on the same link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Text {
    /// Index of a kept text.
    Index(u8),
    /// Text that both ends keep from now on, under the next index.
    New(SmolStr),
    /// Text that is not kept.
    Literal(SmolStr),
}

/// Request for the target of the node at the other end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFrame {
    /// Id of the call on this link.
    pub call: u64,
    /// Service that must run the request.
    pub service: Text,
    /// Version that must run the request, if any; a canary version is sent only requests that
    /// name it.
    pub version: Option<Text>,
    /// Route, by which the target's node estimates the run time.
    pub route: Text,
    /// Service on whose VM the caller runs.
    pub caller_service: Text,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the request is a retry of an earlier attempt.
    pub is_retry: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When it was sent, in milliseconds of the sender's clock.
    pub sent_ms: u32,
    /// Time until the caller stops waiting, in milliseconds.
    pub deadline_ms: u32,
    /// Time for which an answer is still in time, in milliseconds; negative if that has passed.
    pub due_ms: i32,
    /// Latency up to which answers of the route are in time, in milliseconds.
    pub target_latency_ms: u32,
    /// Rate limit of the target that the sender knows of, in requests per 1000 seconds.
    pub rate_limit_milli_per_s: Option<u32>,
    /// Method.
    pub method: Text,
    /// Path with query.
    pub path: SmolStr,
    /// Header fields.
    pub headers: Vec<(Text, Text)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// Id of the call.
    pub call: u64,
    /// HTTP status.
    pub status: u16,
    /// Header fields, without the content length, and without the request id if it is the
    /// request's own.
    pub headers: Vec<(Text, Text)>,
    /// Body; empty if it follows in chunks.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Size of the body if it follows in chunks, in bytes; 0 otherwise.
    pub chunked_bytes: u32,
    /// Whether the answer carried the id of the request in its headers.
    pub has_request_id: bool,
    /// Load of the target.
    pub load: LoadReport,
}

/// Next piece of the body of a large answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkFrame {
    /// Id of the call.
    pub call: u64,
    /// Bytes of the piece.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Reason why a call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// An answer in time cannot be expected, or the deadline has passed.
    TooLate,
    /// Too many requests are queued.
    QueueFull,
    /// The target is not the requested one, is draining or cannot be reached.
    NoTarget,
    /// The request is suspected of having crashed several targets.
    Suspected,
    /// The target refused the request before running it.
    ByTarget,
    /// The rate limit of the target does not allow an answer in time.
    RateLimited,
}

impl From<RejectReason> for Refusal {
    fn from(reason: RejectReason) -> Self {
        match reason {
            RejectReason::TooLate => Self::TooLate,
            RejectReason::QueueFull => Self::QueueFull,
            RejectReason::RateLimited => Self::RateLimited,
        }
    }
}

/// Reason why the outcome of a call is unknown; the call may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The connection to the target was lost before the answer was complete.
    ConnectionLost,
    /// The answer is invalid, or not from the target.
    BadAnswer,
    /// The deadline of the request passed before the answer was complete.
    TimedOut,
    /// The link to the target's node was lost.
    LinkLost,
}

/// Message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame in each direction, with the sender's record.
    Hello(NodeRecord),
    /// A node's record has changed.
    Record(NodeRecord),
    /// Deregistered targets of the receiver, as its earlier process reported them.
    Deregistered(Vec<TargetKey>),
    /// Acknowledges a record.
    RecordAck {
        /// Sequence of the record.
        sequence: u64,
    },
    /// Digests of the nodes that the sender knows. The receiver replies with its records of each
    /// data centre whose digest differs.
    Members(Vec<MembersDigest>),
    /// Records of several nodes.
    Peers(Vec<NodeRecord>),
    /// Request to be run by the receiver's target.
    Call(Box<CallFrame>),
    /// Cancels a call, as its caller no longer waits.
    Cancel {
        /// Id of the call.
        call: u64,
    },
    /// Answer of the target.
    Answer(Box<AnswerFrame>),
    /// Piece of the body of an answer that is sent in chunks.
    AnswerChunk(ChunkFrame),
    /// The call has not run and never will.
    NotRun {
        /// Id of the call.
        call: u64,
        /// Reason.
        refusal: Refusal,
        /// Time until a slot is expected to be free, in milliseconds.
        retry_after_ms: u32,
        /// Load of the target.
        load: LoadReport,
    },
    /// The call may have run, but there is no answer.
    Failed {
        /// Id of the call.
        call: u64,
        /// Reason.
        failure: Failure,
        /// Load of the target.
        load: LoadReport,
    },
    /// Load of the sender's target.
    Load(LoadFrame),
    /// Asks for a [`Frame::Pong`].
    Ping {
        /// When it was sent, in milliseconds of the sender's clock.
        sent_ms: u32,
    },
    /// Answers a [`Frame::Ping`].
    Pong,
    /// Heartbeat of a store watcher; forwarded to other nodes.
    WatcherHeartbeat(WatcherHeartbeatFrame),
    /// Changes since an earlier configuration.
    ConfigDelta(Box<ConfigDelta>),
    /// Version of the sender's configuration; a receiver with an older one asks for it.
    HasConfig {
        /// Version of the configuration.
        config: ConfigVersion,
    },
    /// Asks for the configuration, the evacuations and the rollouts.
    ConfigRequest {
        /// Version that the sender has; 0 if it has none.
        current: ConfigVersion,
    },
    /// Complete configuration.
    Config(Box<MeshConfig>),
    /// All evacuations.
    Evacuations(EvacuationSet),
    /// All rollouts.
    Rollouts(Vec<RolloutUpdate>),
    /// A request was running at a target when the target was lost; forwarded to other nodes.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Id that distinguishes this event from others with the same fingerprint.
        event: u64,
    },
    /// Evidence that a node has collected during a rollout.
    Evidence {
        /// Service.
        service: ServiceName,
        /// New version.
        version: VersionName,
        /// Counted answers and failures.
        evidence: Evidence,
    },
    /// A canary version is bad. It must get no more requests, even before the store holds the
    /// rollback.
    StopCanary {
        /// Service.
        service: ServiceName,
        /// New version.
        version: VersionName,
    },
    /// Requests for tokens of shared allowances, and support for their holder.
    AllowanceAsk(Box<Ask>),
    /// Reply to a [`Frame::AllowanceAsk`].
    AllowanceGrant(Box<Grant>),
}

/// Digest of the nodes of a data centre that a node knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDigest {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Wrapping sum of a hash of each node and the version of its record.
    pub sum: u64,
}

/// Load of a target, sent to the nodes of its data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFrame {
    /// Load of the target.
    pub load: LoadReport,
    /// Routes with their mean run times and sending times, in milliseconds; empty in most frames.
    pub routes: Vec<(RouteName, u16, u16)>,
}

/// Heartbeat of a node that watches the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherHeartbeatFrame {
    /// Name of the node.
    pub node: NodeName,
    /// Start of its process, in unix milliseconds.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of one process.
    pub number: u32,
    /// Whether the node still watches the store.
    pub is_watching: bool,
    /// Version of the node's configuration.
    pub config_version: ConfigVersion,
    /// Highest revision of the rollouts that the node knows.
    pub rollouts_revision: ObjectRevision,
    /// Revision of the evacuations that the node knows.
    pub evacuations_revision: ObjectRevision,
    /// Latest era of the store that the watcher knows of.
    pub store_era: Option<StoreEra>,
}

/// Rollout as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The rollout.
    pub rollout: Rollout,
    /// Time since a node first saw the rollout, in milliseconds.
    pub age_ms: u32,
}

/// Texts that were sent on a link and are kept, by index.
#[derive(Debug, Default)]
pub struct TextWriter {
    texts: Vec<SmolStr>,
}

/// Texts that were received on a link and are kept, by index.
#[derive(Debug, Default)]
pub struct TextReader {
    texts: Vec<SmolStr>,
}

impl TextWriter {
    /// Encodes a text as the index of a kept one, or in full.
    pub fn encode(&mut self, text: &str) -> Text {
        if let Some(index) = self.texts.iter().position(|sent| sent == text)
            && let Ok(number) = u8::try_from(index)
        {
            return Text::Index(number);
        }
        if self.texts.len() >= MAX_TEXTS || text.len() > MAX_TEXT_BYTES {
            return Text::Literal(text.into());
        }
        self.texts.push(text.into());
        Text::New(text.into())
    }

    /// Encodes header fields. Names recur, and so do the values of `host` and a few other headers;
    /// other values mostly differ from request to request and are sent in full.
    pub fn headers(&mut self, headers: &[Header]) -> Vec<(Text, Text)> {
        let encode = |header: &Header| {
            let name = self.encode(&header.name);
            let recurs = header.name.eq_ignore_ascii_case("host")
                || header.name.eq_ignore_ascii_case("content-type")
                || header.name.eq_ignore_ascii_case("user-agent")
                || header.name.eq_ignore_ascii_case("accept")
                || header.name.eq_ignore_ascii_case("accept-encoding")
                || header.name.eq_ignore_ascii_case("server");
            let value = if recurs {
                self.encode(&header.value)
            } else {
                Text::Literal(header.value.clone())
            };
            (name, value)
        };
        headers.iter().map(encode).collect()
    }
}

impl TextReader {
    /// Decodes a text, and keeps it if it is new.
    ///
    /// # Errors
    /// [`FrameError::UnknownText`] for an unknown index, and [`FrameError::Malformed`] for more
    /// texts than a link keeps.
    pub fn decode(&mut self, text: Text) -> Result<SmolStr> {
        match text {
            Text::Index(number) => self
                .texts
                .get(usize::from(number))
                .cloned()
                .ok_or(FrameError::UnknownText),
            Text::New(text) => {
                if self.texts.len() >= MAX_TEXTS {
                    return Err(FrameError::Malformed);
                }
                self.texts.push(text.clone());
                Ok(text)
            }
            Text::Literal(text) => Ok(text),
        }
    }

    /// Decodes header fields.
    ///
    /// # Errors
    /// The errors of [`TextReader::decode`].
    pub fn headers(&mut self, headers: Vec<(Text, Text)>) -> Result<Vec<Header>> {
        headers
            .into_iter()
            .map(|(name, value)| Ok(Header::new(self.decode(name)?, self.decode(value)?)))
            .collect()
    }
}

/// Appends an encoded frame to a buffer.
pub fn encode(frame: &Frame, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; LENGTH_BYTES]);
    // Encoding plain data into a vector cannot fail. If it did, the frame would not be sent and
    // the sender's timeout would apply.
    let Ok(bytes) = postcard::to_stdvec(frame) else {
        output.truncate(start);
        return;
    };
    let compressed = if bytes.len() >= MIN_COMPRESSED_BYTES {
        lz4_flex::compress_prepend_size(&bytes)
    } else {
        Vec::new()
    };
    let is_compressed = !compressed.is_empty() && compressed.len() < bytes.len();
    let bytes = if is_compressed { compressed } else { bytes };
    output.extend_from_slice(&bytes);
    let mut length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    if is_compressed {
        length |= COMPRESSED_FLAG;
    }
    output[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
}

/// Returns the encoded size of a frame.
#[must_use]
pub fn encoded_bytes(frame: &Frame) -> usize {
    let mut bytes = Vec::new();
    encode(frame, &mut bytes);
    bytes.len()
}

/// Decodes the first frame of the input and returns it with its encoded size, or `None` if the
/// frame is incomplete.
///
/// # Errors
/// [`FrameError::TooLarge`] and [`FrameError::Malformed`].
pub fn decode(input: &[u8]) -> Result<Option<(Frame, usize)>> {
    let Some((length, rest)) = input.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length);
    let is_compressed = length & COMPRESSED_FLAG != 0;
    let length = usize::try_from(length & !COMPRESSED_FLAG).unwrap_or(usize::MAX);
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge);
    }
    let Some(bytes) = rest.get(..length) else {
        return Ok(None);
    };
    let frame = if is_compressed {
        decode_value(&decompress(bytes)?)?
    } else {
        decode_value(bytes)?
    };
    Ok(Some((frame, LENGTH_BYTES + length)))
}

fn decode_value(bytes: &[u8]) -> Result<Frame> {
    postcard::from_bytes(bytes).map_err(|_| FrameError::Malformed)
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>> {
    let (size, compressed) =
        lz4_flex::block::uncompressed_size(bytes).map_err(|_| FrameError::Malformed)?;
    if size > MAX_FRAME_BYTES.min(compressed.len().saturating_mul(MAX_COMPRESSION_RATIO)) {
        return Err(FrameError::TooLarge);
    }
    lz4_flex::decompress(compressed, size).map_err(|_| FrameError::Malformed)
}
