//! Selection of the links that the node keeps, and broadcasting and forwarding of updates on them.

use std::time::Duration;

use rand::RngExt;

use crate::balance::Distance;
use crate::edge::frame::Frame;
use crate::fingerprint::Fingerprint;
use crate::model::NodeRecord;
use crate::node::Node;
use crate::overlay::HomeRegions;
use crate::overlay::LinkNeeds;
use crate::overlay::Member;
use crate::overlay::Overlay;
use crate::store_watch::rank_of;

/// Ticks after which the links are planned again even if nothing has changed.
const PLAN_TICKS: u64 = 10;
/// Ticks after the start in which the members become known. Until then a large mesh looks small.
const SETTLING_TICKS: u64 = 4;
/// Time after its last call for which a link that is no longer wanted is kept.
const UNWANTED_LINK_TIMEOUT: Duration = Duration::from_secs(15);
/// Failed attempts to connect after which a node counts as failed.
const FAILED_AFTER_DIALS: u32 = 2;
/// Bound on the remembered ids of crash events. They let each event be forwarded and counted once.
const MAX_SEEN_EVENTS: usize = 256;

/// Records that wait to be forwarded, and crash events that were handled already.
#[derive(Debug, Default)]
pub(crate) struct ForwardState {
    /// Peers whose records are to be sent to the relays of other data centres.
    to_other_data_centres: Vec<u64>,
    /// Peers whose records are to be sent to the nodes of this data centre.
    to_data_centre: Vec<u64>,
    /// Crash events seen so far, newest last.
    seen_events: Vec<u64>,
}

impl ForwardState {
    /// Records a crash event and returns whether it is new.
    fn record_event(&mut self, event: u64) -> bool {
        if self.seen_events.contains(&event) {
            return false;
        }
        if self.seen_events.len() >= MAX_SEEN_EVENTS {
            self.seen_events.remove(0);
        }
        self.seen_events.push(event);
        true
    }
}

impl Node {
    /// Plans the links again when something has changed, and forwards pending records.
    pub(super) fn check_overlay(&mut self) {
        let now = self.now;
        let before = self.full_services.len();
        self.full_services.retain(|(_, until)| *until > now);
        let has_changed = self.overlay_is_due || self.full_services.len() != before;
        if has_changed || self.ticks.is_multiple_of(PLAN_TICKS) {
            self.overlay_is_due = false;
            self.plan_overlay();
        }
        self.forward_pending_records();
    }

    fn plan_overlay(&mut self) {
        let members: Vec<Member> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_replaced)
            .map(|(id, peer)| {
                let target = peer.record.target.as_ref();
                Member {
                    id,
                    rank: peer.rank,
                    data_centre: peer.record.data_centre.clone(),
                    region: peer.record.region.clone(),
                    distance: peer.distance,
                    service: target
                        .filter(|target| target.is_ready)
                        .map(|target| target.service.clone()),
                    is_linked: peer.is_linked,
                    has_failed: peer.dial_failures >= FAILED_AFTER_DIALS,
                    is_stopping: peer.record.is_stopping,
                }
            })
            .collect();
        let needs = LinkNeeds {
            evidence_recipients: self.evidence_recipients(),
            allowance_holders: self.allowance_holder_peers(),
            full_services: self
                .full_services
                .iter()
                .map(|(service, _)| service.clone())
                .collect(),
            home_regions: self.home_regions(),
            is_starting: !self.store.nodes_listed || self.ticks < SETTLING_TICKS,
        };
        self.overlay = Overlay::plan(rank_of(&self.settings.name), &members, &needs);
    }

    /// Returns the services of routes that may be served in some regions only.
    fn home_regions(&self) -> Vec<HomeRegions> {
        let routes = self.mesh.config().map_or(&[][..], |config| &config.routes);
        let mut home_regions: Vec<HomeRegions> = routes
            .iter()
            .filter(|route| !route.allowed_regions.is_empty())
            .flat_map(|route| {
                route.services.iter().map(|entry| HomeRegions {
                    service: entry.service.clone(),
                    regions: route.allowed_regions.clone(),
                })
            })
            .collect();
        home_regions.sort_unstable();
        home_regions.dedup();
        home_regions
    }

    /// Opens the links that are wanted and due.
    pub(super) fn dial_wanted(&mut self) {
        let now = self.now;
        let due: Vec<u64> = self
            .overlay
            .wanted()
            .iter()
            .copied()
            .filter(|id| {
                let peer = self.peers.get(*id);
                peer.is_some_and(|peer| peer.link.is_none() && peer.dial_at <= now)
            })
            .collect();
        for peer in due {
            self.dial(peer);
        }
    }

    /// Closes links that are no longer wanted and carry nothing.
    pub(super) fn close_unwanted(&mut self) {
        let now = self.now;
        let unwanted: Vec<(u64, u64)> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_dialed && link.calls.is_empty())
            .filter(|(_, link)| now.saturating_sub(link.used_at) > UNWANTED_LINK_TIMEOUT)
            .filter_map(|(id, link)| Some((id, link.peer?)))
            .filter(|(_, peer)| !self.overlay.wants(*peer))
            .collect();
        for (link, peer) in unwanted {
            self.links.remove(link);
            if let Some(found) = self.peers.get_mut(peer)
                && found.link == Some(link)
            {
                found.link = None;
                found.is_linked = false;
            }
        }
    }

    /// Broadcasts an update of this node, or one received on the link `from`. Updates of this node
    /// go to its data centre and, through the relays, to the others. A relay sends updates of its
    /// data centre to the others, and a node sends updates of other data centres to its own.
    pub(super) fn broadcast(&mut self, frame: &Frame, from: Option<u64>) {
        self.broadcast_in_data_centre(frame, from);
        self.broadcast_to_other_data_centres(frame, from);
    }

    /// Sends an update of this node or of another data centre to the nodes of this data centre.
    pub(super) fn broadcast_in_data_centre(&mut self, frame: &Frame, from: Option<u64>) {
        let is_already_broadcast =
            from.is_some_and(|link| self.is_in_data_centre(link) != Some(false));
        if !is_already_broadcast {
            for link in self.links_in_data_centre() {
                self.send_frame(link, frame);
            }
        }
    }

    /// Sends an update of this data centre to the other ones, if this node is a relay.
    pub(super) fn broadcast_to_other_data_centres(&mut self, frame: &Frame, from: Option<u64>) {
        let is_from_data_centre =
            from.is_none_or(|link| self.is_in_data_centre(link) == Some(true));
        if is_from_data_centre {
            for link in self.remote_relay_links() {
                self.send_frame(link, frame);
            }
        }
    }

    /// Returns whether the other end of a link is in this data centre, or `None` before its hello.
    fn is_in_data_centre(&self, link: u64) -> Option<bool> {
        let peer = self.links.get(link)?.peer?;
        let distance = self.peers.get(peer)?.distance;
        Some(distance <= Distance::DataCentre)
    }

    /// Returns the links to the other nodes of the data centre.
    pub(super) fn links_in_data_centre(&self) -> Vec<u64> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_linked && peer.distance <= Distance::DataCentre)
            .filter_map(|(_, peer)| peer.link)
            .collect()
    }

    /// Returns the links to all connected nodes.
    pub(super) fn all_links(&self) -> Vec<u64> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_linked)
            .filter_map(|(_, peer)| peer.link)
            .collect()
    }

    /// Returns the links to the relays of other data centres that this node sends updates to.
    fn remote_relay_links(&self) -> Vec<u64> {
        self.overlay
            .remote_relays()
            .iter()
            .filter_map(|id| self.peers.get(*id))
            .filter(|peer| peer.is_linked)
            .filter_map(|peer| peer.link)
            .collect()
    }

    /// Queues a record that was received on a link, to be forwarded at the next tick together with
    /// others; many records change at once when a data centre starts.
    pub(super) fn forward_record(&mut self, peer: u64, link: u64, is_in_data_centre: bool) {
        // A link has no peer yet while its hello is handled; the hello holds the sender's own
        // record.
        let is_from_data_centre = self.is_in_data_centre(link).unwrap_or(is_in_data_centre);
        if !is_from_data_centre {
            self.forward_state.to_data_centre.push(peer);
        } else if is_in_data_centre {
            self.forward_state.to_other_data_centres.push(peer);
        }
    }

    fn forward_pending_records(&mut self) {
        let to_other_data_centres = std::mem::take(&mut self.forward_state.to_other_data_centres);
        let to_data_centre = std::mem::take(&mut self.forward_state.to_data_centre);
        let (to_other_data_centres, to_data_centre) = (
            self.records_of(to_other_data_centres),
            self.records_of(to_data_centre),
        );
        if !to_other_data_centres.is_empty() {
            let frame = Frame::Peers(to_other_data_centres);
            for link in self.remote_relay_links() {
                self.send_frame(link, &frame);
            }
        }
        if !to_data_centre.is_empty() {
            let frame = Frame::Peers(to_data_centre);
            for link in self.links_in_data_centre() {
                self.send_frame(link, &frame);
            }
        }
    }

    fn records_of(&self, mut peers: Vec<u64>) -> Vec<NodeRecord> {
        peers.sort_unstable();
        peers.dedup();
        peers
            .into_iter()
            .filter_map(|id| self.peers.get(id))
            .map(|peer| peer.record.clone())
            .collect()
    }

    /// Broadcasts that a request was running at this node's target when the target was lost.
    pub(super) fn broadcast_suspect(&mut self, fingerprint: Fingerprint) {
        let event = self.random.random();
        self.forward_state.record_event(event);
        self.broadcast(&Frame::Suspect { fingerprint, event }, None);
    }

    pub(super) fn handle_suspect(&mut self, link: u64, fingerprint: Fingerprint, event: u64) {
        if self.forward_state.record_event(event) {
            self.suspects.add(fingerprint, self.now);
            self.broadcast(&Frame::Suspect { fingerprint, event }, Some(link));
        }
    }
}
