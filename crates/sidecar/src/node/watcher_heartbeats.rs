//! Heartbeats of the store watchers, which name what each of them knows of the store. A node that has
//! missed an update asks for it.

use crate::edge::frame::Frame;
use crate::edge::frame::WatcherHeartbeatFrame;
use crate::node::Node;
use crate::node::store::CALL_TIMEOUT;
use crate::node::store::StoreConnection;
use crate::node::store::WATCH_WAIT;
use crate::platform::StoreCall;

/// Ticks between two heartbeats of a store watcher; more in a large mesh, since every node receives
/// each of them.
const HEARTBEAT_TICKS: u64 = 5;
const LARGE_MESH_HEARTBEAT_TICKS: u64 = 10;
/// Known other nodes from which on a mesh counts as large.
const LARGE_MESH_NODES: usize = 40;
impl Node {
    /// Returns the ticks between two heartbeats.
    pub(super) fn heartbeat_ticks(&self) -> u64 {
        if self.peers.len() >= LARGE_MESH_NODES {
            LARGE_MESH_HEARTBEAT_TICKS
        } else {
            HEARTBEAT_TICKS
        }
    }

    /// Returns whether this node's watches on the configuration and on the evacuations work.
    pub(super) fn is_watching_store(&self) -> bool {
        self.is_watch_working(&self.store.config)
            && (!self.settings.has_evacuations() || self.is_watch_working(&self.store.evacuations))
    }

    fn is_watch_working(&self, connection: &StoreConnection) -> bool {
        let is_watching = matches!(connection.current, Some(StoreCall::Watch { .. }));
        let is_recent = connection
            .last_success
            .is_some_and(|at| self.now.saturating_sub(at) < WATCH_WAIT + CALL_TIMEOUT);
        is_watching && is_recent && connection.failures == 0
    }

    /// Broadcasts at once when this node begins or ceases to watch the store.
    pub(super) fn announce_watch_state(&mut self) {
        let is_watching = self.is_watching_store();
        if std::mem::replace(&mut self.store.was_watching_store, is_watching) == is_watching {
            return;
        }
        self.send_watcher_heartbeat(is_watching);
    }

    pub(super) fn send_watcher_heartbeat(&mut self, is_watching: bool) {
        self.store.heartbeats_sent += 1;
        let heartbeat = WatcherHeartbeatFrame {
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            number: self.store.heartbeats_sent,
            is_watching,
            config_version: self.mesh.config_version(),
            rollouts_revision: self.mesh.rollouts_revision(),
            evacuations_revision: self.mesh.evacuations.revision(),
            store_era: self.store.era,
        };
        self.broadcast(&Frame::WatcherHeartbeat(heartbeat), None);
    }

    /// Handles a store watcher's heartbeat: requests versions that this node lacks, and forwards
    /// the heartbeat if it is new.
    pub(super) fn handle_watcher_heartbeat(&mut self, link: u64, heartbeat: WatcherHeartbeatFrame) {
        if heartbeat.node == self.settings.name {
            return;
        }
        let now = self.now;
        self.handle_store_era(heartbeat.store_era);
        self.mesh.config_announced(heartbeat.config_version);
        let is_behind = heartbeat.config_version > self.mesh.config_version()
            || heartbeat.rollouts_revision > self.mesh.rollouts_revision()
            || self.has_older_evacuations(heartbeat.evacuations_revision);
        if is_behind {
            self.request_config(link);
        }
        let Some(peer) = self
            .peer_by_name(&heartbeat.node)
            .and_then(|peer| self.peers.get_mut(peer))
        else {
            return;
        };
        let this_heartbeat = (heartbeat.incarnation, heartbeat.number);
        if this_heartbeat > peer.last_watcher_heartbeat {
            peer.last_watcher_heartbeat = this_heartbeat;
            peer.watcher_heartbeat_at = heartbeat.is_watching.then_some(now);
            self.broadcast(&Frame::WatcherHeartbeat(heartbeat), Some(link));
        }
    }
}
