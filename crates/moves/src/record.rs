//! Decision record of a move (rollout), stored as `moves/result/MOVE_ID`.

use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::window::Counts;

/// Largest number of points of a stored series.
pub const MAX_POINTS: usize = 300;

/// Evidence for one route in one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRecord {
    /// Route.
    pub route: RouteName,
    /// Region.
    pub region: RegionName,
    /// Counts of the old version since the judge started.
    pub old: Counts,
    /// Counts of the new version since the judge started.
    pub new: Counts,
    /// Number of guards that cut the new version.
    pub guards_tripped: u32,
}

/// Sample of a move at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Point {
    /// Time of the sample, in unix milliseconds.
    pub at_unix_ms: u64,
    /// Share of the new version by the committed entry, in permille.
    pub share_permille: u16,
    /// Failures of the new version in the last 10 s, in permille of its attempts.
    pub failure_permille: u32,
    /// Mean latency of the new version in the last 10 s, in milliseconds.
    pub latency_ms: u32,
}

/// Bounded list of points; when full, every second point is dropped and the
/// interval doubles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    interval_ms: u64,
    points: Vec<Point>,
}

impl Default for Series {
    fn default() -> Self {
        Self {
            interval_ms: 1_000,
            points: Vec::new(),
        }
    }
}

impl Series {
    /// Adds a point unless the last one is less than the interval old.
    pub fn push(&mut self, point: Point) {
        let due = self
            .points
            .last()
            .is_none_or(|last| point.at_unix_ms >= last.at_unix_ms + self.interval_ms);
        if !due {
            return;
        }
        if self.points.len() >= MAX_POINTS {
            let mut index = 0;
            self.points.retain(|_| {
                index += 1;
                index % 2 == 1
            });
            self.interval_ms *= 2;
        }
        self.points.push(point);
    }

    /// Returns the points in order.
    #[must_use]
    pub fn points(&self) -> &[Point] {
        &self.points
    }
}

/// Decision record of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveResult {
    /// Service.
    pub service: ServiceName,
    /// Move.
    pub move_id: MoveId,
    /// Old version.
    pub from: VersionName,
    /// New version.
    pub to: VersionName,
    /// Final status.
    pub status: MoveStatus,
    /// Reason for the final status.
    pub reason: SmolStr,
    /// Node that wrote the record.
    pub judge: SmolStr,
    /// Start of the move, in unix milliseconds.
    pub started_unix_ms: u64,
    /// Deadline, in unix milliseconds.
    pub deadline_unix_ms: u64,
    /// When the node saw the final status, in unix milliseconds.
    pub ended_unix_ms: u64,
    /// Revision in which the status became final.
    pub revision: Revision,
    /// Operation id of the decision; `None` when an operator or another node made it.
    pub decision_id: Option<OperationId>,
    /// When the evidence first showed the fault, in unix milliseconds.
    pub fault_seen_unix_ms: Option<u64>,
    /// When the advisory stop was first sent, in unix milliseconds.
    pub stopped_unix_ms: Option<u64>,
    /// Evidence at the verdict.
    pub evidence: Vec<CellRecord>,
    /// Share, failures and latency over the time of the move.
    pub series: Series,
}

impl MoveResult {
    /// Returns the key of the store object.
    #[must_use]
    pub fn key(move_id: MoveId) -> String {
        format!("moves/result/{move_id}")
    }

    /// Returns the number of failed attempts of the new version.
    #[must_use]
    pub fn faulty_requests(&self) -> u64 {
        self.evidence
            .iter()
            .map(|cell| u64::from(cell.new.failures))
            .sum()
    }
}
