//! Evacuations of data centres at this node: the set that the store holds, its exchange with other
//! nodes, and the end and restart of the target's service.

use hemlockfall_core::ids::DataCentreName;
use serde_json::json;

use crate::edge::frame::Frame;
use crate::evacuations::EvacuationChange;
use crate::evacuations::EvacuationSet;
use crate::model::ObjectRevision;
use crate::node::Node;
use crate::node::mesh::UpdateSource;
use crate::platform::StoreEvent;
use crate::platform::StoreObject;

impl Node {
    /// Returns whether the platform has evacuations and this process has received none yet.
    pub(super) fn lacks_evacuations(&self) -> bool {
        self.settings.has_evacuations() && !self.mesh.evacuations.is_known()
    }

    /// Returns whether another node knows a newer set of evacuations.
    pub(super) fn has_older_evacuations(&self, revision: ObjectRevision) -> bool {
        self.settings.has_evacuations() && revision > self.mesh.evacuations.revision()
    }

    /// Returns whether the data centre of this node is evacuated, or may be since no evacuations are
    /// known yet.
    pub(super) fn may_be_evacuated(&self) -> bool {
        self.lacks_evacuations() || self.is_own_evacuated()
    }

    fn is_own_evacuated(&self) -> bool {
        self.mesh.evacuations.contains(&self.settings.data_centre)
    }

    /// Adopts the evacuations that the store lists. An object whose content cannot be decoded counts:
    /// its name alone says what is evacuated.
    pub(super) fn evacuations_listed(
        &mut self,
        objects: Vec<StoreObject>,
        revision: ObjectRevision,
    ) {
        let data_centres = objects.into_iter().filter_map(evacuated).collect();
        let set = EvacuationSet::new(data_centres, revision);
        self.adopt_evacuations(set, UpdateSource::Store);
    }

    /// Adopts the changes of the evacuations that a watch reports.
    pub(super) fn evacuations_changed(
        &mut self,
        events: Vec<StoreEvent>,
        revision: ObjectRevision,
    ) {
        if events.is_empty() {
            return;
        }
        let changes: Vec<EvacuationChange> = events
            .into_iter()
            .filter_map(|event| match event.object {
                None => Some((event.name, false)),
                Some(object) => evacuated(object).map(|name| (name, true)),
            })
            .map(|(data_centre, is_evacuated)| EvacuationChange {
                data_centre,
                is_evacuated,
            })
            .collect();
        let set = self.mesh.evacuations.changed(&changes, revision);
        self.adopt_evacuations(set, UpdateSource::Store);
    }

    /// Puts a set of evacuations in force if it is newer than the current one, and broadcasts it.
    pub(super) fn adopt_evacuations(&mut self, set: EvacuationSet, source: UpdateSource) {
        if !self.settings.has_evacuations() {
            return;
        }
        let was_evacuated = self.is_own_evacuated();
        if !self.mesh.evacuations.adopt(set.clone()) {
            return;
        }
        self.log_event(
            "evacuations_adopted",
            json!({
                "data_centres": set.data_centres, "revision": set.revision.number,
                "store_era": set.revision.era, "source": source.name(),
            }),
        );
        let count = u32::try_from(set.data_centres.len()).unwrap_or(u32::MAX);
        metrics::gauge!("hemlockfall_sidecar_evacuated_data_centres").set(f64::from(count));
        self.broadcast(&Frame::Evacuations(set), source.link());
        if self.is_own_evacuated() && !was_evacuated {
            self.drain_queue();
        }
        if was_evacuated && !self.is_own_evacuated() {
            self.doubt_coldness();
        }
        self.check_target();
        self.check_coldness();
    }

    /// Sends the evacuations to another node, if they are known.
    pub(super) fn send_evacuations(&mut self, link: u64) {
        if let Some(set) = self.mesh.evacuations.newest().cloned() {
            self.send_frame(link, &Frame::Evacuations(set));
        }
    }
}

/// Returns the data centre that an object evacuates.
fn evacuated(object: StoreObject) -> Option<DataCentreName> {
    match object {
        StoreObject::Evacuation { data_centre } => Some(data_centre),
        StoreObject::Unreadable { name, .. } if !name.is_empty() => Some(name),
        _ => None,
    }
}
