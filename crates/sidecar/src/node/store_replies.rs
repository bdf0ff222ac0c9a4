//! Handling of the store's answers.

use std::time::Duration;

use serde_json::json;

use crate::model::NodeRecord;
use crate::model::ObjectRevision;
use crate::model::TargetKey;
use crate::node::Node;
use crate::node::mesh::UpdateSource;
use crate::node::store::Channel;
use crate::platform::NodeEntry;
use crate::platform::StoreCall;
use crate::platform::StoreEvent;
use crate::platform::StoreKind;
use crate::platform::StoreObject;
use crate::platform::StoreReply;

/// Time from the start until a target's heartbeats are trusted although neither the store nor
/// another node could be asked for earlier deregistrations.
const MAX_ENTRY_READ_WAIT: Duration = Duration::from_millis(2500);

impl Node {
    pub(super) fn handle_store_reply(
        &mut self,
        channel: Channel,
        call: StoreCall,
        reply: StoreReply,
    ) {
        match (call, reply) {
            (
                StoreCall::List {
                    kind, may_be_stale, ..
                },
                StoreReply::Listed {
                    objects,
                    next,
                    revision,
                },
            ) => {
                if kind == StoreKind::Evacuations {
                    self.store.connection(channel).revision = Some(revision);
                    self.evacuations_listed(objects, revision);
                    return;
                }
                let has_own_entry = objects.iter().any(|object| self.is_own_entry(object));
                for object in objects {
                    self.handle_store_object(object);
                }
                match kind {
                    StoreKind::Nodes => {
                        self.store.own_entry_was_listed |= has_own_entry;
                        let is_last_page = next.is_none();
                        self.store.nodes_after = next;
                        if is_last_page {
                            let was_listed = std::mem::take(&mut self.store.own_entry_was_listed);
                            let lacks_own_entry = may_be_stale && !was_listed;
                            self.store.stale_list_lacked_own_entry |= lacks_own_entry;
                            self.store.nodes_listed = !lacks_own_entry;
                            self.store.entry_was_read |= !lacks_own_entry;
                        }
                    }
                    StoreKind::Config | StoreKind::Rollouts | StoreKind::Evacuations => {
                        self.store.connection(channel).revision = Some(revision);
                    }
                }
            }
            (StoreCall::Watch { kind, .. }, StoreReply::Changed { events, revision }) => {
                self.store.connection(channel).revision = Some(revision);
                if kind == StoreKind::Evacuations {
                    self.evacuations_changed(events, revision);
                    return;
                }
                for event in events {
                    self.handle_store_event(kind, event);
                }
            }
            (StoreCall::Watch { .. }, StoreReply::HistoryExpired) => {
                self.log_event(
                    "store_history_gone",
                    json!({ "channel": format!("{channel:?}") }),
                );
                self.store.connection(channel).revision = None;
            }
            (
                StoreCall::CreateNode(entry) | StoreCall::ReplaceNode { entry, .. },
                StoreReply::Stored { revision },
            ) => {
                self.store.entry_revision = Some(revision);
                self.store.entry_was_read = true;
                self.store.entry_is_due = entry.deregistered != self.target.own.deregistered();
                if !self.store.entry_is_due {
                    self.deregistration_stored();
                }
            }
            (
                StoreCall::CreateNode(_) | StoreCall::ReplaceNode { .. },
                StoreReply::Conflict { object },
            ) => match object {
                Some(object) => self.handle_store_object(object),
                None => self.store.nodes_listed = false,
            },
            (StoreCall::ReplaceNode { .. }, StoreReply::Missing) => {
                self.store.entry_revision = None;
            }
            (StoreCall::SetRolloutState { rollout, state }, StoreReply::Stored { revision }) => {
                let mut rollout = rollout;
                rollout.state = state;
                rollout.revision = revision;
                self.adopt_rollout(rollout, Duration::ZERO, UpdateSource::Store);
            }
            (StoreCall::SetRolloutState { .. }, _) => {
                // Another node wrote the outcome first, or the rollout has changed: list them
                // again.
                self.store.rollouts.revision = None;
                let connection = &mut self.store.rollouts;
                if matches!(connection.current, Some(StoreCall::Watch { .. })) {
                    connection.current = None;
                    connection.close();
                }
            }
            _ => {}
        }
    }

    fn handle_store_event(&mut self, kind: StoreKind, event: StoreEvent) {
        match event.object {
            Some(object) => self.handle_store_object(object),
            None if kind == StoreKind::Rollouts => self.mesh.remove_rollout(&event.name),
            None => {}
        }
    }

    fn handle_store_object(&mut self, object: StoreObject) {
        match object {
            StoreObject::Config(config) => self.adopt_config(*config, UpdateSource::Store),
            StoreObject::Rollout(rollout) => {
                self.adopt_rollout(rollout, Duration::ZERO, UpdateSource::Store);
            }
            StoreObject::Node { entry, revision } => self.handle_node_entry(entry, revision),
            StoreObject::Evacuation { .. } => {}
            StoreObject::Unreadable { name, reason } => {
                metrics::counter!("hemlockfall_sidecar_objects_refused_total").increment(1);
                self.log_event(
                    "object_unreadable",
                    json!({
                        "name": name, "reason": reason,
                        "config_in_force": self.mesh.config_version(),
                    }),
                );
            }
        }
    }

    fn is_own_entry(&self, object: &StoreObject) -> bool {
        matches!(object, StoreObject::Node { entry, .. } if entry.node == self.settings.name)
    }

    fn handle_node_entry(&mut self, entry: NodeEntry, revision: ObjectRevision) {
        if entry.node == self.settings.name {
            self.store.entry_revision = Some(revision);
            self.store.entry_was_read = true;
            let is_current = entry.peer_address == self.settings.advertised();
            self.merge_deregistered(entry.deregistered.clone());
            self.store.entry_is_due =
                !is_current || self.target.own.deregistered() != entry.deregistered;
            if !self.store.entry_is_due {
                self.deregistration_stored();
            }
            return;
        }
        self.apply_record(NodeRecord {
            node: entry.node,
            peer_address: entry.peer_address,
            data_centre: entry.data_centre,
            region: entry.region,
            incarnation: entry.incarnation,
            sequence: 0,
            is_stopping: false,
            target: None,
            deregistered: entry.deregistered,
        });
    }

    /// Adds the deregistered targets that an earlier process of this node recorded.
    pub(super) fn merge_deregistered(&mut self, deregistered: Vec<TargetKey>) {
        for key in deregistered {
            self.target.own.add_deregistered(key);
        }
    }

    /// Returns whether all earlier deregistrations are taken to be known, since the store or
    /// another node was asked or `MAX_ENTRY_READ_WAIT` has passed.
    pub(super) fn are_deregistrations_known(&self) -> bool {
        self.store.entry_was_read
            || self.now.saturating_sub(self.store.started) > MAX_ENTRY_READ_WAIT
            || self.has_links()
    }
}
