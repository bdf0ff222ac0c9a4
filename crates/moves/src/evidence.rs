//! Evidence of a move (rollout): counters that nodes send to the aggregator of their data centre,
//! which sends the sums to the judges.

use hemlockfall_core::codec;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;
use crate::window::Counts;

/// Maximum number of cells in a summary.
pub const MAX_CELLS: usize = 256;
/// Maximum size of an encoded message, which has to fit a datagram.
pub const MAX_MESSAGE_BYTES: usize = 1_200;
/// Maximum decompressed size that the decoder accepts.
const DECODE_LIMIT_BYTES: usize = 16 * 1024;
/// Maximum number of senders whose sequence numbers are tracked per move.
pub const MAX_SOURCES: usize = 4_096;

/// Counts of both versions on one route in one region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Route.
    pub route: RouteName,
    /// Region of the nodes that counted.
    pub region: RegionName,
    /// Old version.
    pub old: Counts,
    /// New version.
    pub new: Counts,
    /// Number of guards that cut the new version.
    pub guards_tripped: u32,
}

/// Set of cells, sorted by route and region. Summaries are combined by adding their cells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    cells: Vec<Cell>,
}

impl Summary {
    /// Returns the cells in order.
    #[must_use]
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// Returns whether the summary has no cells.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Returns the cell of a route and region, created if necessary; `None` if the summary is full.
    pub fn cell(&mut self, route: &str, region: &str) -> Option<&mut Cell> {
        let position = self.cells.binary_search_by(|cell| {
            (cell.route.as_str(), cell.region.as_str()).cmp(&(route, region))
        });
        let index = match position {
            Ok(index) => index,
            Err(_) if self.cells.len() >= MAX_CELLS => return None,
            Err(index) => {
                let cell = Cell {
                    route: route.into(),
                    region: region.into(),
                    ..Cell::default()
                };
                self.cells.insert(index, cell);
                index
            }
        };
        self.cells.get_mut(index)
    }

    /// Adds another summary.
    pub fn add(&mut self, other: &Self) {
        for cell in &other.cells {
            self.add_cell(cell);
        }
    }

    fn add_cell(&mut self, added: &Cell) {
        if let Some(cell) = self.cell(&added.route, &added.region) {
            cell.old.add(&added.old);
            cell.new.add(&added.new);
            cell.guards_tripped = cell.guards_tripped.saturating_add(added.guards_tripped);
        }
    }
}

/// Evidence that one sender counted since its last message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceMessage {
    /// Service.
    pub service: ServiceName,
    /// Move.
    pub move_id: MoveId,
    /// Sender.
    pub source: NodeName,
    /// Increases with every message of the sender, so that a duplicate is not counted twice.
    pub sequence: u64,
    /// Counts.
    pub summary: Summary,
}

impl EvidenceMessage {
    /// Encodes the message.
    ///
    /// # Errors
    /// [`Error::Codec`] when the value cannot be represented.
    pub fn encode(&self) -> Result<Vec<u8>> {
        Ok(codec::encode(self)?)
    }

    /// Decodes and checks a message.
    ///
    /// # Errors
    /// [`Error::Codec`] for malformed bytes, [`Error::EvidenceRefused`] for counts that
    /// contradict each other, cells out of order or too many cells.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message: Self = codec::decode(bytes, DECODE_LIMIT_BYTES)?;
        message.check()?;
        Ok(message)
    }

    /// Checks limits and consistency.
    ///
    /// # Errors
    /// [`Error::EvidenceRefused`] with the first violation.
    pub fn check(&self) -> Result<()> {
        let cells = &self.summary.cells;
        if cells.len() > MAX_CELLS {
            return Err(Error::evidence_refused(format!(
                "{} cells, at most {MAX_CELLS} are allowed",
                cells.len()
            )));
        }
        if !cells.is_sorted_by(|a, b| (&a.route, &a.region) < (&b.route, &b.region)) {
            return Err(Error::evidence_refused(
                "cells are duplicated or out of order",
            ));
        }
        let consistent = |counts: &Counts| {
            u64::from(counts.timed()) + u64::from(counts.failures) <= u64::from(counts.attempts)
        };
        if cells
            .iter()
            .all(|cell| consistent(&cell.old) && consistent(&cell.new))
        {
            Ok(())
        } else {
            Err(Error::evidence_refused(
                "more failures and latencies than attempts",
            ))
        }
    }

    /// Splits the message into parts that each fit a datagram.
    ///
    /// # Errors
    /// [`Error::Codec`] when the value cannot be represented.
    pub fn split(self) -> Result<Vec<Self>> {
        let cell_count = self.summary.cells.len();
        if cell_count <= 1 || self.encode()?.len() <= MAX_MESSAGE_BYTES {
            return Ok(vec![self]);
        }
        let mut first = self;
        let mut second = first.clone();
        second.summary.cells = first.summary.cells.split_off(cell_count / 2);
        let mut parts = first.split()?;
        parts.extend(second.split()?);
        Ok(parts)
    }
}

/// Last sequence number of each sender, for dropping duplicate and reordered messages.
#[derive(Clone, Debug, Default)]
pub struct Sequences {
    last: Vec<(NodeName, u64)>,
}

impl Sequences {
    /// Records a message and returns whether it is newer than all earlier ones of its sender.
    pub fn record_if_newer(&mut self, source: &NodeName, sequence: u64) -> bool {
        match self.last.binary_search_by(|entry| entry.0.cmp(source)) {
            Ok(index) => {
                let newer = sequence > self.last[index].1;
                if newer {
                    self.last[index].1 = sequence;
                }
                newer
            }
            Err(_) if self.last.len() >= MAX_SOURCES => false,
            Err(index) => {
                self.last.insert(index, (source.clone(), sequence));
                true
            }
        }
    }
}
