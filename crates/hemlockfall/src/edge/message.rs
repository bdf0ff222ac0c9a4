//! Messages between the edges and the actors of one process.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use serde::Deserialize;

use crate::edge::http::HttpAnswer;
use crate::edge::http::HttpRequest;

/// Identifier of one request of a caller in this process.
pub type CallerId = u64;

/// Event reported by the caller edge.
#[derive(Debug)]
pub enum CallerEvent {
    /// A complete request arrived.
    Request {
        /// Identifier of the request, for the answer.
        id: CallerId,
        /// The request.
        request: Box<HttpRequest>,
    },
    /// The caller closed its connection before it was answered.
    Disconnected {
        /// Identifier of the request.
        id: CallerId,
    },
}

/// One request for the local target.
#[derive(Debug)]
pub struct TargetRun {
    /// Identifier of the run, repeated in its result.
    pub id: u64,
    /// HTTP address of the target.
    pub address: SocketAddr,
    /// The request.
    pub request: Box<HttpRequest>,
    /// Time until the run is abandoned.
    pub time_left: Duration,
    /// Largest answer body, in bytes.
    pub max_body_bytes: usize,
    /// Whether the connection stays open after `time_left`, so that a second result tells when the
    /// target has ended the run.
    pub awaits_late_answer: bool,
}

/// Result of a run.
#[derive(Debug)]
pub enum TargetResult {
    /// The complete answer.
    Answer(Box<HttpAnswer>),
    /// All connections that the target accepts are in use; nothing was sent.
    Busy,
    /// The target could not be reached; no byte of the request was sent.
    NotSent {
        /// Reason.
        reason: String,
    },
    /// The request was at least partly sent, and no valid complete answer arrived.
    Broken {
        /// Reason.
        reason: String,
    },
    /// The request was at least partly sent, and no complete answer arrived in time.
    TimedOut,
}

/// Announcement of a target to its node (`POST /v1/announce`).
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the target runs.
    pub service: ServiceName,
    /// Version that the target runs.
    pub version: VersionName,
    /// HTTP address of the target.
    pub address: SocketAddr,
    /// Number of requests that the target runs at once.
    pub slots: u16,
    /// Number of connections that the target accepts.
    pub connections: u16,
}

/// A target's report on its own state (`POST /v1/report`), used only as a hint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetReport {
    /// Whether the target considers itself healthy.
    pub healthy: bool,
    /// Load, in percent of its slots.
    pub load_percent: u16,
}

/// Event reported by the local edge.
#[derive(Debug)]
pub enum LocalEvent {
    /// The target announced itself.
    Announce(Announcement),
    /// The target asked to be drained (`POST /v1/leave`).
    Leave,
    /// The target reported its health and load.
    Report(TargetReport),
}
