//! The table of endpoint records.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::validate;
use hemlockfall_core::codec;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::ids::NodeName;

/// `BUCKETS` is the number of digests that two tables are compared by.
pub const BUCKETS: usize = 64;
/// `MAX_RECORDS` bounds the table; the largest planned fleet has 9,000 nodes.
pub const MAX_RECORDS: usize = 32_768;

/// Incarnations above this are refused: a node could not take the next one above.
const MAX_INCARNATION: u64 = u64::MAX / 2;

struct Entry {
    record: EndpointRecord,
    hash: u64,
    /// End of the time in the table, for departed records.
    kept_until: Option<Instant>,
}

/// `RecordSource` tells how a record arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// With the news of a peer.
    Gossip,
    /// By comparing tables.
    Comparison,
    /// With the whole table, after joining.
    Join,
}

/// `MergeOutcome` is the outcome of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The table changed.
    Changed,
    /// The record is known or outdated.
    Unchanged,
    /// The record is invalid or the table is full.
    Refused,
}

/// `Table` holds the newest record of each node, sorted by name.
pub struct Table {
    departed_lifetime: Duration,
    entries: Vec<Entry>,
}

impl Table {
    /// `new` makes an empty table that keeps departed records for a time.
    #[must_use]
    pub fn new(departed_lifetime: Duration) -> Self {
        Self {
            departed_lifetime,
            entries: Vec::new(),
        }
    }

    /// `merge` takes over a record that overrides the known one. Records of equal rank with
    /// different content are ordered by hash, so the result does not depend on the order of
    /// arrival.
    pub fn merge(&mut self, record: &EndpointRecord, now: Instant) -> MergeOutcome {
        if !is_valid(record) {
            return MergeOutcome::Refused;
        }
        let hash = hash(record);
        match self.position(&record.node) {
            Ok(index) => {
                let current = &self.entries[index];
                let is_tied = !current.record.overrides(record) && hash > current.hash;
                if !record.overrides(&current.record) && !is_tied {
                    return MergeOutcome::Unchanged;
                }
                self.entries[index] = self.entry(record, hash, now);
            }
            Err(_) if self.entries.len() >= MAX_RECORDS => return MergeOutcome::Refused,
            Err(index) => {
                let entry = self.entry(record, hash, now);
                self.entries.insert(index, entry);
            }
        }
        MergeOutcome::Changed
    }

    /// `get` finds a record by node.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&EndpointRecord> {
        let index = self.position(node).ok()?;
        self.entries.get(index).map(|entry| &entry.record)
    }

    /// `records` iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.iter().map(|entry| &entry.record)
    }

    /// `live_records` iterates over the records of nodes that have not departed.
    pub fn live_records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records().filter(|record| !is_departed(record))
    }

    /// `digests_with` returns one digest per bucket over the live records and the record of the
    /// own node, which is not in the table.
    ///
    /// Departed records are left out: nodes drop them at different times, and a record that one
    /// node dropped would come back from another for ever.
    #[must_use]
    pub fn digests_with(&self, own: &EndpointRecord) -> Vec<u64> {
        let mut digests = vec![0; BUCKETS];
        if !is_departed(own) {
            digests[bucket(&own.node)] ^= hash(own);
        }
        for entry in self.entries.iter().filter(|e| e.kept_until.is_none()) {
            digests[bucket(&entry.record.node)] ^= entry.hash;
        }
        digests
    }

    /// `records_in_buckets` returns the live records of the buckets in a bit mask.
    #[must_use]
    pub fn records_in_buckets(&self, buckets: u64) -> Vec<EndpointRecord> {
        self.live_records()
            .filter(|record| is_in_buckets(buckets, &record.node))
            .cloned()
            .collect()
    }

    /// `corrections` returns the records that override some of the given ones.
    #[must_use]
    pub fn corrections(&self, records: &[EndpointRecord]) -> Vec<EndpointRecord> {
        let newer = |record: &EndpointRecord| {
            let current = self.get(&record.node)?;
            current.overrides(record).then(|| current.clone())
        };
        records.iter().filter_map(newer).collect()
    }

    /// `expire` drops departed records past their lifetime and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<NodeName> {
        let mut dropped = Vec::new();
        self.entries.retain(|entry| {
            let is_kept = entry.kept_until.is_none_or(|until| now < until);
            if !is_kept {
                dropped.push(entry.record.node.clone());
            }
            is_kept
        });
        dropped
    }

    /// `len` returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// `is_empty` tells whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn position(&self, node: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.record.node.as_str().cmp(node))
    }

    fn entry(&self, record: &EndpointRecord, hash: u64, now: Instant) -> Entry {
        Entry {
            record: record.clone(),
            hash,
            kept_until: is_departed(record).then(|| now + self.departed_lifetime),
        }
    }
}

/// `is_departed` tells whether a record says that its node has gone.
#[must_use]
pub fn is_departed(record: &EndpointRecord) -> bool {
    record.state >= EndpointState::Left
}

/// `is_in_buckets` tells whether a node belongs to one of the buckets in a bit mask.
#[must_use]
pub fn is_in_buckets(buckets: u64, node: &str) -> bool {
    buckets >> bucket(node) & 1 == 1
}

fn is_valid(record: &EndpointRecord) -> bool {
    let target_is_valid = record.target.as_ref().is_none_or(|target| {
        validate::is_name(&target.service) && validate::is_name(&target.version)
    });
    validate::is_name(&record.node)
        && validate::is_name(&record.region)
        && validate::is_name(&record.data_centre)
        && record.incarnation <= MAX_INCARNATION
        && target_is_valid
}

fn bucket(node: &str) -> usize {
    usize::from(codec::digest(node.as_bytes())[0]) % BUCKETS
}

fn hash(record: &EndpointRecord) -> u64 {
    let digest = codec::digest_of(record).unwrap_or_default();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(bytes)
}
