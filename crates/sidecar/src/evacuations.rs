//! Evacuations of data centres, by which an operator takes all targets of a data centre out of service.
//!
//! The store holds one object for each evacuated data centre. Nodes exchange the whole set with the
//! revision of the store at which it was read, so that a later set replaces an earlier one whatever
//! way it took, also after the store has come back from an older copy.

use hemlockfall_core::ids::DataCentreName;
use serde::Deserialize;
use serde::Serialize;

use crate::model::ObjectRevision;

/// The evacuated data centres as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// Revision of the store at which the set was read.
    pub revision: ObjectRevision,
    /// Evacuated data centres, sorted.
    pub data_centres: Vec<DataCentreName>,
}

/// Change of the evacuation of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Whether it is evacuated from now on.
    pub is_evacuated: bool,
}

/// Evacuations as far as a node knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    newest: Option<EvacuationSet>,
}

impl EvacuationSet {
    /// Creates a set from the objects that the store holds at a revision.
    #[must_use]
    pub fn new(mut data_centres: Vec<DataCentreName>, revision: ObjectRevision) -> Self {
        data_centres.sort_unstable();
        data_centres.dedup();
        Self {
            revision,
            data_centres,
        }
    }
}

impl Evacuations {
    /// Returns whether a set has been received.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.newest.is_some()
    }

    /// Returns the newest set, if one has been received.
    #[must_use]
    pub fn newest(&self) -> Option<&EvacuationSet> {
        self.newest.as_ref()
    }

    /// Returns the revision of the newest set; the lowest one if none is known.
    #[must_use]
    pub fn revision(&self) -> ObjectRevision {
        self.newest
            .as_ref()
            .map_or(ObjectRevision::default(), |set| set.revision)
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &DataCentreName) -> bool {
        self.newest
            .as_ref()
            .is_some_and(|set| set.data_centres.binary_search(data_centre).is_ok())
    }

    /// Replaces the set by a newer one, and returns whether the other one is newer.
    pub fn adopt(&mut self, set: EvacuationSet) -> bool {
        let is_newer = self
            .newest
            .as_ref()
            .is_none_or(|newest| set.revision > newest.revision);
        if is_newer {
            self.newest = Some(set);
        }
        is_newer
    }

    /// Returns the set that changes lead to. They are all changes up to a revision since one that is
    /// not later than the newest set; each states the final state of its data centre, so those that
    /// the set contains already do no harm.
    #[must_use]
    pub fn changed(&self, changes: &[EvacuationChange], revision: ObjectRevision) -> EvacuationSet {
        let mut data_centres = self
            .newest
            .as_ref()
            .map_or(Vec::new(), |set| set.data_centres.clone());
        for change in changes {
            data_centres.retain(|name| *name != change.data_centre);
            if change.is_evacuated {
                data_centres.push(change.data_centre.clone());
            }
        }
        EvacuationSet::new(data_centres, revision)
    }
}
