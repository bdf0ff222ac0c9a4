//! Table of endpoint records.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::validate;
use hemlockfall_core::codec;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::ids::NodeName;

/// Number of buckets of a table; two tables are compared by one digest per bucket.
pub const BUCKETS: usize = 64;
/// Maximum number of records; the largest planned fleet has 9,000 nodes.
pub const MAX_RECORDS: usize = 32_768;

/// Records with a higher incarnation are refused, because a node must be able to choose a higher
/// one than any that is reported about it.
const MAX_INCARNATION: u64 = u64::MAX / 2;

struct Entry {
    record: EndpointRecord,
    hash: u64,
    /// Time of removal from the table; only for departed records.
    kept_until: Option<Instant>,
}

/// How a record arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// With the updates of a peer.
    Gossip,
    /// By a table comparison.
    Comparison,
    /// With the table that a contact sends to a joining node.
    Join,
}

/// Outcome of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The table changed.
    Changed,
    /// The table has the record or a newer one.
    Unchanged,
    /// The record is invalid or the table is full.
    Refused,
}

/// Newest record of each other node, sorted by name.
pub struct Table {
    departed_lifetime: Duration,
    entries: Vec<Entry>,
}

impl Table {
    /// Creates an empty table that keeps departed records for `departed_lifetime`.
    #[must_use]
    pub fn new(departed_lifetime: Duration) -> Self {
        Self {
            departed_lifetime,
            entries: Vec::new(),
        }
    }

    /// Stores a record if it overrides the current one of its node. Records of equal precedence
    /// with different content are ordered by hash, so that the result does not depend on the order
    /// of arrival.
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

    /// Returns the record of a node.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&EndpointRecord> {
        let index = self.position(node).ok()?;
        self.entries.get(index).map(|entry| &entry.record)
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.iter().map(|entry| &entry.record)
    }

    /// Iterates over the records of nodes that have not departed.
    pub fn live_records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records().filter(|record| !is_departed(record))
    }

    /// Returns one digest per bucket over the live records and the record of this node, which is
    /// not in the table.
    ///
    /// Departed records are left out: nodes remove them at different times, and a node would get a
    /// record that it removed back from another node again and again.
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

    /// Returns the live records of the buckets in a bit mask.
    #[must_use]
    pub fn records_in_buckets(&self, buckets: u64) -> Vec<EndpointRecord> {
        self.live_records()
            .filter(|record| is_in_buckets(buckets, &record.node))
            .cloned()
            .collect()
    }

    /// Returns the records of the table that override one of `records`.
    #[must_use]
    pub fn corrections(&self, records: &[EndpointRecord]) -> Vec<EndpointRecord> {
        let newer = |record: &EndpointRecord| {
            let current = self.get(&record.node)?;
            current.overrides(record).then(|| current.clone())
        };
        records.iter().filter_map(newer).collect()
    }

    /// Removes departed records past their lifetime and returns the names of their nodes.
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

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no record.
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

/// Returns whether a record says that its node shut down or failed.
#[must_use]
pub fn is_departed(record: &EndpointRecord) -> bool {
    record.state >= EndpointState::Left
}

/// Returns whether a node belongs to one of the buckets in a bit mask.
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
