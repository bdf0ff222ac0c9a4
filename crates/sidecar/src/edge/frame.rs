//! Frames on the links between nodes.
//!
//! A frame is a length and a `postcard` value. Header names and other short texts that recur on
//! a link are sent once and referred to by number afterwards, since traffic between data centres
//! is charged.

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

use crate::fingerprint::Fingerprint;
use crate::judge::Evidence;
use crate::model::ConfigDelta;
use crate::model::ConfigVersion;
use crate::model::LoadReport;
use crate::model::MeshConfig;
use crate::model::NodeRecord;
use crate::model::ObjectRevision;
use crate::model::Rollout;
use crate::model::TargetKey;

/// `Result` is the result type of this module.
pub type Result<T> = std::result::Result<T, FrameError>;

/// Largest frame; the largest body that a configuration may allow fits.
const MAX_FRAME_BYTES: usize = 80 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
/// Bit of the length that marks a compressed frame.
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Frames below this size are not compressed; it would hardly shorten them.
const MIN_COMPRESSED_BYTES: usize = 512;
/// Texts that a link remembers in each direction.
const MAX_TEXTS: usize = 200;
/// Bytes that a packed byte can stand for at most. A frame that claims to hold more is refused
/// before memory is taken for it.
const MAX_COMPRESSION_RATIO: usize = 256;
/// Longest text that is remembered.
const MAX_TEXT_BYTES: usize = 48;

/// `FrameError` tells why the bytes of a link cannot be understood; the link must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is too large.
    TooLarge,
    /// The frame does not decode.
    Malformed,
    /// A text is referred to that was never sent.
    UnknownText,
}

/// `Text` is a short text, or the number of one that was sent before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Text {
    /// Number of a remembered text.
    Index(u8),
    /// A text that both ends remember from now on.
    New(SmolStr),
    /// A text that is not remembered.
    Literal(SmolStr),
}

/// `CallFrame` is a request for the target of the node at the other end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFrame {
    /// Identifies the call on this link.
    pub call: u64,
    /// Service that must run the request.
    pub service: Text,
    /// Version that must run the request; a version under trial gets no others.
    pub version: Option<Text>,
    /// Route, for the run time that is expected.
    pub route: Text,
    /// Service on whose VM the request began.
    pub caller_service: Text,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the request was sent to another target before.
    pub is_retry: bool,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When it was sent, in milliseconds of the sender's clock.
    pub sent_ms: u32,
    /// Time left until nobody waits, in milliseconds.
    pub deadline_ms: u32,
    /// Time left until the answer loses credit, in milliseconds; negative when it is late.
    pub due_ms: i32,
    /// Time within which the route's answers have their full credit, in milliseconds.
    pub target_latency_ms: u32,
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

/// `AnswerFrame` is a target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// The call.
    pub call: u64,
    /// HTTP status.
    pub status: u16,
    /// Header fields, without the id of the request if the target repeats it.
    pub headers: Vec<(Text, Text)>,
    /// Body; empty when it follows in parts.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Bytes of the body that follow in parts.
    pub chunked_bytes: u32,
    /// Whether the answer bears the id of the request.
    pub has_request_id: bool,
    /// Load of the target.
    pub load: LoadReport,
}

/// `ChunkFrame` is the next piece of the body of a large answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkFrame {
    /// The call.
    pub call: u64,
    /// The piece.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// `Refusal` tells why a call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The answer would come too late.
    TooLate,
    /// Too many requests wait.
    QueueFull,
    /// The target is another one, leaves or cannot be reached.
    NoTarget,
    /// The request crashed several targets.
    Suspected,
    /// The target refused the request before running it.
    ByTarget,
}

/// `Failure` tells why the outcome of a call is not known; it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The connection to the target ended without a whole answer.
    ConnectionLost,
    /// The answer is not the target's or not valid.
    BadAnswer,
    /// No answer came in time.
    TimedOut,
    /// The link to the target's node was lost.
    LinkLost,
}

/// `Frame` is one message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame in each direction.
    Hello(NodeRecord),
    /// A node's record has changed.
    Record(NodeRecord),
    /// Targets that have left the node at the other end, as its earlier process said.
    Deregistered(Vec<TargetKey>),
    /// A record was taken in.
    RecordAck {
        /// Sequence of the record.
        sequence: u64,
    },
    /// Says which nodes the sender knows; a node that knows others tells their records.
    Members(Vec<MembersDigest>),
    /// Records of several nodes.
    Peers(Vec<NodeRecord>),
    /// A request.
    Call(Box<CallFrame>),
    /// The caller no longer waits.
    Cancel {
        /// The call.
        call: u64,
    },
    /// A target's answer.
    Answer(Box<AnswerFrame>),
    /// A piece of the body of an answer that was begun.
    AnswerChunk(ChunkFrame),
    /// The request has not run and never will.
    NotRun {
        /// The call.
        call: u64,
        /// Why.
        refusal: Refusal,
        /// When a slot is expected, in milliseconds.
        retry_after_ms: u32,
        /// Load of the target.
        load: LoadReport,
    },
    /// The request may have run; there is no answer.
    Failed {
        /// The call.
        call: u64,
        /// Why.
        failure: Failure,
        /// Load of the target.
        load: LoadReport,
    },
    /// Load of the target beside the sender.
    Load(LoadFrame),
    /// Asks for a sign of life.
    Ping {
        /// When it was sent, in milliseconds of the sender's clock.
        sent_ms: u32,
    },
    /// A sign of life.
    Pong,
    /// A node that follows the store says what it knows; it is passed on.
    WatcherHeartbeat(WatcherHeartbeatFrame),
    /// What changed since the configuration before.
    ConfigDelta(Box<ConfigDelta>),
    /// The sender has a configuration; who has an older one asks for it.
    HasConfig {
        /// Its version.
        config: ConfigVersion,
    },
    /// Asks for the configuration and the roll-outs.
    ConfigRequest {
        /// Version that the sender has; 0 for none.
        current: ConfigVersion,
    },
    /// The whole configuration.
    Config(Box<MeshConfig>),
    /// All roll-outs.
    Rollouts(Vec<RolloutUpdate>),
    /// A request ran at a target that vanished; it is passed on.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// Tells this event from others of the same request.
        event: u64,
    },
    /// What a node has counted during a roll-out.
    Evidence {
        /// Service.
        service: ServiceName,
        /// New version.
        version: VersionName,
        /// Counts.
        evidence: Evidence,
    },
    /// A new version is bad; nothing may be sent to it, also before the store knows.
    StopCanary {
        /// Service.
        service: ServiceName,
        /// New version.
        version: VersionName,
    },
}

/// `MembersDigest` sums up the known nodes of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDigest {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Sum over its nodes and the state of their records, in any order.
    pub sum: u64,
}

/// `LoadFrame` tells the load of a target to near nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFrame {
    /// Load.
    pub load: LoadReport,
    /// Routes with their mean run times and times on the link, in milliseconds; told now and then.
    pub routes: Vec<(RouteName, u16, u16)>,
}

/// `WatcherHeartbeatFrame` is a sign of a node that follows the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherHeartbeatFrame {
    /// Node.
    pub node: NodeName,
    /// Start of its process, in unix milliseconds.
    pub incarnation: Incarnation,
    /// Increases with each sign of one process.
    pub number: u32,
    /// Whether it still follows the store.
    pub is_watching: bool,
    /// Version of its configuration.
    pub config_version: ConfigVersion,
    /// Highest revision of a roll-out.
    pub rollouts_revision: ObjectRevision,
}

/// `RolloutUpdate` is a roll-out as one node tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The roll-out.
    pub rollout: Rollout,
    /// Time since the order was first seen, in milliseconds.
    pub age_ms: u32,
}

/// `TextWriter` numbers the texts that were sent on a link.
#[derive(Debug, Default)]
pub struct TextWriter {
    texts: Vec<SmolStr>,
}

/// `TextReader` remembers the texts that arrived on a link.
#[derive(Debug, Default)]
pub struct TextReader {
    texts: Vec<SmolStr>,
}

impl TextWriter {
    /// `encode` refers to a text that was sent before, or sends it.
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

    /// `headers` encodes header fields. Names recur, and so do the values of hosts; other values
    /// mostly differ from request to request.
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
    /// `decode` returns the text that was meant.
    ///
    /// # Errors
    /// [`FrameError::UnknownText`].
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

    /// `headers` decodes header fields.
    ///
    /// # Errors
    /// [`FrameError::UnknownText`].
    pub fn headers(&mut self, headers: Vec<(Text, Text)>) -> Result<Vec<Header>> {
        headers
            .into_iter()
            .map(|(name, value)| Ok(Header::new(self.decode(name)?, self.decode(value)?)))
            .collect()
    }
}

/// `encode` appends a frame.
pub fn encode(frame: &Frame, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; LENGTH_BYTES]);
    // Encoding plain data into a vector does not fail; an unsent frame is the caller's timeout.
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

/// `encoded_bytes` is the size of a frame on a link.
#[must_use]
pub fn encoded_bytes(frame: &Frame) -> usize {
    let mut bytes = Vec::new();
    encode(frame, &mut bytes);
    bytes.len()
}

/// `decode` takes the first whole frame of the input and the number of bytes that it used.
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
