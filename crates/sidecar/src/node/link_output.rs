//! Sends frames on links and counts their bytes.

use crate::balance::Distance;
use crate::edge::frame;
use crate::edge::frame::Frame;
use crate::node::Node;
use crate::traffic::FrameKind;

impl Node {
    /// Sends a frame on a link.
    pub(super) fn send_frame(&mut self, id: u64, frame: &Frame) {
        let mut bytes = Vec::new();
        frame::encode(frame, &mut bytes);
        let kind = FrameKind::of(frame);
        self.record_frame(id, kind, bytes.len());
        if let Some(link) = self.links.get_mut(id) {
            // A failed link is noticed by its next event or by an unanswered ping.
            let _ = link.stream.send_vec(bytes);
        }
    }

    /// Sends an encoded frame on a link.
    pub(super) fn send_encoded(&mut self, id: u64, kind: FrameKind, bytes: &[u8]) {
        self.record_frame(id, kind, bytes.len());
        if let Some(link) = self.links.get_mut(id) {
            let _ = link.stream.send(bytes);
        }
    }

    fn record_frame(&mut self, id: u64, kind: FrameKind, bytes: usize) {
        let Some(link) = self.links.get(id) else {
            return;
        };
        let distance = link
            .peer
            .and_then(|peer| self.peers.get(peer))
            .map_or(Distance::DataCentre, |peer| peer.distance);
        self.traffic.record(kind, distance, bytes);
        self.uplink.record_sent(bytes, self.now);
    }
}
