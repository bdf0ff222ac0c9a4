//! Other nodes: their records, their network distance and the load of their targets.

use std::net::SocketAddr;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RouteName;
use serde_json::json;

use crate::balance::Distance;
use crate::clock::Time;
use crate::edge::frame::Frame;
use crate::model::LoadReport;
use crate::model::NodeRecord;
use crate::model::RateLimitReport;
use crate::model::TargetKey;
use crate::model::TargetRecord;
use crate::node::Node;
use crate::regions::AllowedRegions;
use crate::store_watch::Rank;
use crate::store_watch::rank_of;

/// Id of this node among the candidates for a request.
pub(super) const OWN_NODE: u64 = 0;

/// Prefix of the placeholder name of a seed, used until its node has sent its name.
pub(super) const SEED_PREFIX: &str = "seed-";
/// Bound on the routes whose run times are kept for each node.
const MAX_ROUTE_TIMES: usize = 32;
/// Bound on the deregistered targets that are kept for each node.
const MAX_DEREGISTERED: usize = 64;

/// Another node of the mesh.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(super) record: NodeRecord,
    /// Place of the node in the order that all nodes share.
    pub(super) rank: Rank,
    /// Whether another node uses the address of this one by now.
    pub(super) is_replaced: bool,
    pub(super) distance: Distance,
    /// The link that this node opened, if any.
    pub(super) link: Option<u64>,
    /// Whether the other end of the link has sent its hello.
    pub(super) is_linked: bool,
    pub(super) dial_at: Time,
    pub(super) dial_failures: u32,
    pub(super) load: LoadReport,
    pub(super) load_at: Time,
    /// Rate limit that a process of the node's target has named, in requests per 1000 seconds. It
    /// outlasts a restart of the node.
    rate_limit_milli_per_s: Option<(TargetKey, u32)>,
    /// Mean run and send times by route, sorted by route.
    pub(super) route_times: Vec<(RouteName, RouteTimes)>,
    pub(super) outstanding: u16,
    /// When the node's last heartbeat as a store watcher arrived.
    pub(super) watcher_heartbeat_at: Option<Time>,
    /// Incarnation and number of the last watcher heartbeat.
    pub(super) last_watcher_heartbeat: (Incarnation, u32),
}

/// Mean run time of a route and mean time to send its answers, as reported by a node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RouteTimes {
    pub(super) run_ms: u16,
    pub(super) send_ms: u16,
}

impl Peer {
    /// Returns the rate limit that the current process of the node's target is known to have, in
    /// requests per 1000 seconds.
    pub(super) fn known_rate_limit(&self) -> Option<u32> {
        let (key, milli_per_s) = self.rate_limit_milli_per_s.as_ref()?;
        let target = self.record.target.as_ref()?;
        (target.key == *key).then_some(*milli_per_s)
    }

    fn record_rate_limit(&mut self, report: RateLimitReport) {
        match (report, &self.record.target) {
            (RateLimitReport::Limited(milli_per_s), Some(target)) => {
                self.rate_limit_milli_per_s = Some((target.key.clone(), milli_per_s));
            }
            (RateLimitReport::Unlimited, _) => self.rate_limit_milli_per_s = None,
            (RateLimitReport::Unknown, _) | (RateLimitReport::Limited(_), None) => {}
        }
    }

    pub(super) fn route_times(&self, route: &RouteName) -> RouteTimes {
        self.route_times
            .binary_search_by(|(name, _)| name.cmp(route))
            .map_or(RouteTimes::default(), |index| self.route_times[index].1)
    }
}

impl Node {
    /// Adds a seed as a peer under a placeholder name; its node sends its name once it is dialled.
    pub(super) fn add_seed(&mut self, address: SocketAddr) {
        self.apply_record(NodeRecord {
            node: format!("{SEED_PREFIX}{address}").into(),
            peer_address: address,
            data_centre: self.settings.data_centre.clone(),
            region: self.settings.region.clone(),
            incarnation: 0,
            sequence: 0,
            is_stopping: false,
            target: None,
            deregistered: Vec::new(),
        });
    }

    /// Applies a record received on a link, queues it for forwarding if it is new, and returns its
    /// peer.
    pub(super) fn handle_record(&mut self, link: u64, record: NodeRecord) -> u64 {
        let existing = self
            .peer_by_name(&record.node)
            .and_then(|peer| self.peers.get(peer));
        let is_new = existing.is_none_or(|peer| record.is_newer_than(&peer.record));
        let is_in_data_centre = record.data_centre == self.settings.data_centre;
        let peer = self.apply_record(record);
        if is_new {
            self.forward_record(peer, link, is_in_data_centre);
        }
        peer
    }

    /// Applies a record if it is newer than the current one, and returns its peer.
    pub(super) fn apply_record(&mut self, mut record: NodeRecord) -> u64 {
        self.overlay_is_due = true;
        let found = self.peer_by_name(&record.node);
        if let Some(id) = found {
            if let Some(peer) = self.peers.get_mut(id)
                && record.is_newer_than(&peer.record)
            {
                let has_moved = peer.record.peer_address != record.peer_address;
                let has_restarted = peer.record.incarnation != record.incarnation;
                keep_deregistered(&mut record, &peer.record);
                let key =
                    |record: &NodeRecord| record.target.as_ref().map(|target| target.key.clone());
                if key(&record) != key(&peer.record) {
                    peer.route_times.clear();
                }
                peer.record = record;
                peer.is_replaced = false;
                if has_restarted {
                    peer.dial_at = self.now;
                    peer.dial_failures = 0;
                    peer.load = LoadReport::default();
                }
                let link = peer.link;
                if has_moved && let Some(link) = link {
                    self.link_lost(link, "the node has another address");
                }
            }
            self.note_restart(id);
            return id;
        }
        let own = (&self.settings.data_centre, &self.settings.region);
        let distance = Distance::between(own, (&record.data_centre, &record.region));
        self.log_event(
            "peer_known",
            json!({ "peer": record.node, "distance": format!("{distance:?}") }),
        );
        let name = record.node.clone();
        let id = self.peers.insert(Peer {
            rank: rank_of(&name),
            is_replaced: false,
            record,
            distance,
            link: None,
            is_linked: false,
            dial_at: self.now,
            dial_failures: 0,
            load: LoadReport::default(),
            load_at: self.now,
            rate_limit_milli_per_s: None,
            route_times: Vec::new(),
            outstanding: 0,
            watcher_heartbeat_at: None,
            last_watcher_heartbeat: (0, 0),
        });
        let index = self.peer_names.partition_point(|(known, _)| *known < name);
        self.peer_names.insert(index, (name, id));
        id
    }

    pub(super) fn remove_peer(&mut self, id: u64) {
        self.overlay_is_due = true;
        self.peers.remove(id);
        self.peer_names.retain(|(_, known)| *known != id);
    }

    pub(super) fn peer_by_name(&self, name: &NodeName) -> Option<u64> {
        let index = self
            .peer_names
            .binary_search_by(|(known, _)| known.cmp(name))
            .ok()?;
        self.peer_names.get(index).map(|(_, id)| *id)
    }

    /// Returns the number of known nodes of the mesh, this one included.
    pub(super) fn node_count(&self) -> usize {
        let others = self.peers.iter();
        1 + others
            .filter(|(_, peer)| !peer.record.is_stopping && !peer.is_replaced)
            .count()
    }

    /// Returns the name and the data centre of this node or of a peer; those of this node if the peer
    /// is unknown.
    pub(super) fn name_and_data_centre(&self, node: u64) -> (&NodeName, &DataCentreName) {
        match self.peers.get(node) {
            Some(peer) => (&peer.record.node, &peer.record.data_centre),
            None => (&self.settings.name, &self.settings.data_centre),
        }
    }

    pub(super) fn has_links(&self) -> bool {
        self.peers.iter().any(|(_, peer)| peer.is_linked)
    }

    pub(super) fn own_record(&self) -> NodeRecord {
        NodeRecord {
            node: self.settings.name.clone(),
            peer_address: self.settings.advertised(),
            data_centre: self.settings.data_centre.clone(),
            region: self.settings.region.clone(),
            incarnation: self.incarnation,
            sequence: self.record_sequence,
            is_stopping: self.is_stopping(),
            target: self.target.own.record(self.accepts_peer_calls()),
            deregistered: self.target.own.deregistered().to_vec(),
        }
    }

    /// Increments the sequence of this node's record and broadcasts the record.
    pub(super) fn record_changed(&mut self) {
        self.record_sequence += 1;
        let record = self.own_record();
        self.broadcast(&Frame::Record(record), None);
    }

    pub(super) fn record_load(&mut self, peer: u64, route: Option<RouteName>, load: LoadReport) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        peer.load = load;
        peer.load_at = now;
        peer.record_rate_limit(load.rate_limit);
        let Some(route) = route.filter(|_| load.route_run_ms > 0) else {
            return;
        };
        let times = RouteTimes {
            run_ms: load.route_run_ms,
            send_ms: load.route_send_ms,
        };
        match peer
            .route_times
            .binary_search_by(|(name, _)| name.cmp(&route))
        {
            Ok(index) => peer.route_times[index].1 = times,
            Err(index) if peer.route_times.len() < MAX_ROUTE_TIMES => {
                peer.route_times.insert(index, (route, times));
            }
            Err(_) => peer.route_times.clear(),
        }
    }

    /// Returns whether a target of a service in the allowed regions takes requests, at this node or
    /// a linked one.
    pub(super) fn has_ready_target(&self, service: &str, regions: &AllowedRegions) -> bool {
        let is_target = |target: &TargetRecord| target.is_ready && target.service == service;
        let own = self.target.own.record(self.is_target_open());
        let is_own = regions.allows(&self.settings.region) && own.as_ref().is_some_and(is_target);
        is_own
            || self.peers.iter().any(|(_, peer)| {
                peer.is_linked
                    && regions.allows(&peer.record.region)
                    && !self.mesh.evacuations.contains(&peer.record.data_centre)
                    && peer.record.target.as_ref().is_some_and(is_target)
            })
    }
}

/// Adds the deregistered targets of a node's previous record to its new one, since they also hold
/// after a restart of the node.
fn keep_deregistered(record: &mut NodeRecord, before: &NodeRecord) {
    for key in &before.deregistered {
        if record.deregistered.len() < MAX_DEREGISTERED && !record.deregistered.contains(key) {
            record.deregistered.push(key.clone());
        }
    }
}
