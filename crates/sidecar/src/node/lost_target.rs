//! Loss of the target's process, and the requests that ran on it.

use std::time::Duration;

use serde_json::json;

use crate::fingerprint::Fingerprint;
use crate::node::Node;

/// Time between the loss of a request's connection and the loss of the target within which the
/// request is suspected of having crashed the target.
const LOST_REQUEST_WINDOW: Duration = Duration::from_millis(1500);

impl Node {
    /// Records a request that was lost with its connection, until it is known whether the target
    /// still runs.
    pub(super) fn record_lost_request(&mut self, fingerprint: Fingerprint) {
        let now = self.now;
        self.target
            .lost_requests
            .retain(|(_, at)| now.saturating_sub(*at) < LOST_REQUEST_WINDOW);
        self.target.lost_requests.push((fingerprint, now));
    }

    /// Handles a target that refuses connections: its process has ended, and the requests that ran
    /// on it are lost.
    pub(super) fn target_lost(&mut self, reason: &str) {
        let now = self.now;
        let lost_requests = std::mem::take(&mut self.target.lost_requests);
        for (fingerprint, at) in &lost_requests {
            if now.saturating_sub(*at) < LOST_REQUEST_WINDOW {
                self.suspects.add(*fingerprint, now);
                self.broadcast_suspect(*fingerprint);
            }
        }
        if self.target.is_unreachable {
            return;
        }
        self.target.is_unreachable = true;
        self.doubt_coldness();
        self.log_event(
            "target_lost",
            json!({ "reason": reason, "lost_requests": lost_requests.len() }),
        );
        self.drain_queue();
        self.record_changed();
    }
}
