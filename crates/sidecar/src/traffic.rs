//! Bytes that a node sends to others, by kind of frame and by distance.
//!
//! Bytes between data centres are charged by volume; this tells what they are spent on.

use crate::balance::Distance;
use crate::edge::frame::Frame;

/// `FrameKind` groups frames by their purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// Greetings on new links.
    Greeting,
    /// Records of nodes and their acknowledgements.
    Records,
    /// Comparisons of members.
    Members,
    /// Requests.
    Calls,
    /// Answers and refusals.
    Answers,
    /// Loads of targets.
    Loads,
    /// Signs of life.
    Pings,
    /// Signs of the nodes that follow the store.
    WatcherHeartbeats,
    /// Configurations.
    Config,
    /// Roll-outs: orders, evidence and stops.
    Rollouts,
    /// Requests that crash targets.
    Suspects,
}

impl FrameKind {
    /// `of` tells the kind of a frame.
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
            Frame::Rollouts(_) | Frame::Evidence { .. } | Frame::StopCanary { .. } => {
                Self::Rollouts
            }
            Frame::Suspect { .. } => Self::Suspects,
        }
    }

    /// `name` is the kind as metrics and logs call it.
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
        }
    }
}

/// `SentFrames` counts the frames of one kind over one distance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentFrames {
    /// Kind.
    pub kind: FrameKind,
    /// Distance.
    pub distance: Distance,
    /// Frames.
    pub frames: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// `Traffic` counts what was sent since it was last taken.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Sorted by kind and distance.
    sent: Vec<SentFrames>,
}

impl Traffic {
    /// `record` counts a frame.
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

    /// `take` returns the counts and begins anew.
    pub fn take(&mut self) -> Vec<SentFrames> {
        std::mem::take(&mut self.sent)
    }
}
