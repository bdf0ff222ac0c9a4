//! Counters of the bytes that a node sends to others, by kind of frame and distance.
//!
//! Traffic between data centres is charged by volume; the counters show what causes the cost.

use crate::balance::Distance;
use crate::edge::frame::Frame;

/// Purpose of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// First frames on new links.
    Greeting,
    /// Records of nodes, deregistrations and acknowledgements.
    Records,
    /// Digests of the members, and the records sent in reply.
    Members,
    /// Requests and their cancellations.
    Calls,
    /// Answers and refusals.
    Answers,
    /// Loads of targets.
    Loads,
    /// Keep-alives.
    Pings,
    /// Heartbeats of store watchers.
    WatcherHeartbeats,
    /// Configurations, their changes and requests for them.
    Config,
    /// Rollouts, evidence and stops of canaries.
    Rollouts,
    /// Requests suspected of crashing targets.
    Suspects,
    /// Evacuations of data centres.
    Evacuations,
    /// Requests for tokens of shared allowances, and their replies.
    Allowances,
}

impl FrameKind {
    /// Returns the kind of a frame.
    #[must_use]
    pub fn of(frame: &Frame) -> Self {
        match frame {
            Frame::Hello(_) => Self::Greeting,
            Frame::Record(_) | Frame::Deregistered(_) | Frame::RecordAck { .. } => Self::Records,
            Frame::Members(_) | Frame::Peers(_) => Self::Members,
            Frame::Call(_) | Frame::Cancel { .. } => Self::Calls,
            Frame::Answer(_)
            | Frame::AnswerChunk(_)
            | Frame::NotRun { .. }
            | Frame::Failed { .. } => Self::Answers,
            Frame::Load(_) => Self::Loads,
            Frame::Ping { .. } | Frame::Pong => Self::Pings,
            Frame::WatcherHeartbeat(_) => Self::WatcherHeartbeats,
            Frame::ConfigDelta(_)
            | Frame::HasConfig { .. }
            | Frame::ConfigRequest { .. }
            | Frame::Config(_) => Self::Config,
            Frame::Evacuations(_) => Self::Evacuations,
            Frame::Rollouts(_) | Frame::Evidence { .. } | Frame::StopCanary { .. } => {
                Self::Rollouts
            }
            Frame::Suspect { .. } => Self::Suspects,
            Frame::AllowanceAsk(_) | Frame::AllowanceGrant(_) => Self::Allowances,
        }
    }

    /// Returns the name of the kind in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Greeting => "greeting",
            Self::Records => "records",
            Self::Members => "members",
            Self::Calls => "calls",
            Self::Answers => "answers",
            Self::Loads => "loads",
            Self::Pings => "pings",
            Self::WatcherHeartbeats => "beats",
            Self::Config => "config",
            Self::Rollouts => "rollouts",
            Self::Suspects => "suspects",
            Self::Evacuations => "evacuations",
            Self::Allowances => "allowances",
        }
    }
}

/// Number and size of the frames of one kind sent over one distance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentFrames {
    /// Kind.
    pub kind: FrameKind,
    /// Distance.
    pub distance: Distance,
    /// Number of frames.
    pub frames: u64,
    /// Total size of the frames in bytes.
    pub bytes: u64,
}

/// Counts of the frames sent since the last [`Traffic::take`].
#[derive(Debug, Default)]
pub struct Traffic {
    /// Sorted by kind and distance.
    sent: Vec<SentFrames>,
}

impl Traffic {
    /// Counts a frame.
    pub fn record(&mut self, kind: FrameKind, distance: Distance, bytes: usize) {
        let index = match self
            .sent
            .binary_search_by_key(&(kind, distance), |sent| (sent.kind, sent.distance))
        {
            Ok(index) => index,
            Err(index) => {
                let sent = SentFrames {
                    kind,
                    distance,
                    frames: 0,
                    bytes: 0,
                };
                self.sent.insert(index, sent);
                index
            }
        };
        let sent = &mut self.sent[index];
        sent.frames += 1;
        sent.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    }

    /// Returns the counts and resets them.
    pub fn take(&mut self) -> Vec<SentFrames> {
        std::mem::take(&mut self.sent)
    }
}
