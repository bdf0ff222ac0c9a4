//! Deltas: the difference between two revisions.

use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;
use crate::snapshot::Snapshot;

/// Difference between a snapshot and a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the base, to which the delta applies.
    pub base_revision: Revision,
    /// Digest of the base.
    pub base_digest: Digest,
    /// Revision of the result.
    pub revision: Revision,
    /// Digest of the result.
    pub digest: Digest,
    /// Entries that are new or changed, sorted by service.
    pub changed: Vec<ServiceEntry>,
    /// Services of the base that the result does not contain, sorted.
    pub removed: Vec<ServiceName>,
}

impl Delta {
    /// Computes the delta from `base` to `next`.
    #[must_use]
    pub fn between(base: &Snapshot, next: &Snapshot) -> Self {
        let before = base.configuration();
        let after = next.configuration();
        let is_changed = |entry: &&ServiceEntry| before.entry(&entry.service) != Some(*entry);
        let is_removed = |entry: &&ServiceEntry| after.entry(&entry.service).is_none();
        Self {
            base_revision: base.revision(),
            base_digest: base.digest(),
            revision: next.revision(),
            digest: next.digest(),
            changed: after.entries.iter().filter(is_changed).cloned().collect(),
            removed: before
                .entries
                .iter()
                .filter(is_removed)
                .map(|entry| entry.service.clone())
                .collect(),
        }
    }

    /// Builds the snapshot that results from applying the delta; the base does not change.
    ///
    /// # Errors
    /// [`Error::BaseMismatch`] for another base or a delta whose revision is not above its base,
    /// [`Error::DigestMismatch`] and [`Error::Invalid`] for a wrong result.
    pub fn apply(&self, base: &Snapshot) -> Result<Snapshot> {
        let is_exact = self.base_revision == base.revision() && self.base_digest == base.digest();
        if !is_exact || self.revision <= self.base_revision {
            return Err(Error::BaseMismatch {
                base: self.base_revision,
                held: base.revision(),
            });
        }
        let mut configuration = base.configuration().clone();
        configuration.revision = self.revision;
        for service in &self.removed {
            if let Ok(index) = configuration.position(service) {
                configuration.entries.remove(index);
            }
        }
        for entry in &self.changed {
            replace_entry(&mut configuration, entry);
        }
        Snapshot::with_digest(configuration, self.digest)
    }
}

fn replace_entry(configuration: &mut Configuration, entry: &ServiceEntry) {
    match configuration.position(&entry.service) {
        Ok(index) => configuration.entries[index] = entry.clone(),
        Err(index) => configuration.entries.insert(index, entry.clone()),
    }
}
