//! Stalled links, whose other end is unresponsive: its process may be paused for a moment, together
//! with its runs.
//!
//! A paused node cannot be distinguished from a failed one until it resumes. Requests that may be
//! retried are sent elsewhere. The others keep waiting, since abandoning them would lose answers
//! that the node sends once it resumes. A new link replaces the stalled one at once; the old one is
//! kept for these answers only.

use serde_json::json;

use crate::attempts;
use crate::edge::frame::Failure;
use crate::model::Idempotency;
use crate::node::Node;
use crate::node::calls::AttemptEnd;
use crate::node::ms;

impl Node {
    /// Handles an unanswered ping: the link is retired if calls keep waiting on it, and dropped
    /// otherwise.
    pub(super) fn link_stalled(&mut self, id: u64) {
        let Some(link) = self.links.get(id) else {
            return;
        };
        let Some(peer) = link.peer else {
            return self.link_lost(id, "silent");
        };
        let retried: Vec<u64> = link
            .calls
            .iter()
            .copied()
            .filter(|call| self.may_retry_elsewhere(*call))
            .collect();
        let kept = link.calls.len() - retried.len();
        if kept == 0 {
            return self.link_lost(id, "silent");
        }
        let silent_ms = ms(self.now.saturating_sub(link.last_received_at));
        let now = self.now;
        self.overlay_is_due = true;
        if let Some(found) = self.peers.get_mut(peer) {
            found.link = None;
            found.is_linked = false;
            found.dial_at = now;
            found.watcher_heartbeat_at = None;
            let name = found.record.node.clone();
            self.log_event(
                "link_silent",
                json!({
                    "peer": name, "silent_ms": silent_ms, "calls_kept": kept,
                    "calls_repeated": retried.len(),
                }),
            );
        }
        if let Some(link) = self.links.get_mut(id) {
            link.is_retired = true;
        }
        for call in retried {
            self.cancel_at_peer(call, peer, id);
            self.attempt_ended(call, AttemptEnd::Failed(Failure::LinkLost));
        }
    }

    fn may_retry_elsewhere(&self, call: u64) -> bool {
        let now = self.now;
        self.calls.get(call).is_none_or(|call| {
            // The attempt on the stalled link counts as one that has reached a target.
            let target_attempts = call.target_attempts.saturating_add(1);
            let time_left = call.deadline.saturating_sub(now);
            call.route.idempotency == Idempotency::Idempotent
                && attempts::may_attempt(target_attempts, call.route.max_attempts, time_left)
        })
    }

    /// Closes retired links that have no outstanding answers left.
    pub(super) fn close_retired(&mut self) {
        let done: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_retired && link.calls.is_empty())
            .map(|(id, _)| id)
            .collect();
        for id in done {
            self.links.remove(id);
        }
    }
}
