//! Acknowledgement of a target's deregistration.
//!
//! The acknowledgement also binds a later process of this node. So the deregistration is first
//! stored in the node's entry in the store or, while the store is unavailable, at other nodes.

use std::time::Duration;

use serde_json::json;

use crate::clock::Time;
use crate::node::Node;

/// Time that the store has to write a deregistration; then a copy at another node is sufficient.
const STORE_WRITE_WAIT: Duration = Duration::from_millis(350);
/// Time after which the deregistration is acknowledged in any case. The target waits for a second
/// and would end without an acknowledgement.
const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(650);

/// Deregistration that is not acknowledged yet.
#[derive(Debug)]
pub(crate) struct PendingDeregistration {
    caller: u64,
    pub(super) token: u64,
    since: Time,
    /// Sequence of the node's record that holds the deregistration.
    sequence: u64,
    is_stored: bool,
    copies: usize,
}

impl Node {
    /// Rejects queued requests if the target takes no more, and broadcasts and stores the
    /// deregistration before it is acknowledged.
    pub(super) fn begin_deregistration(&mut self, caller: u64, token: u64) {
        if !self.is_target_open() {
            self.drain_queue();
        }
        self.record_changed();
        self.store_own_entry();
        self.deregistrations.push(PendingDeregistration {
            caller,
            token,
            since: self.now,
            sequence: self.record_sequence,
            is_stored: false,
            copies: 0,
        });
    }

    /// Marks all pending deregistrations as stored, since the store holds the current entry.
    pub(super) fn deregistration_stored(&mut self) {
        for pending in &mut self.deregistrations {
            pending.is_stored = true;
        }
        self.check_deregistrations();
    }

    /// Handles another node's acknowledgement of this node's record with a sequence: counts a copy
    /// of each pending deregistration that the record holds.
    pub(super) fn deregistration_copied(&mut self, sequence: u64) {
        for pending in &mut self.deregistrations {
            if pending.sequence <= sequence {
                pending.copies += 1;
            }
        }
        self.check_deregistrations();
    }

    /// Acknowledges the deregistrations that are stored, copied or have waited long enough.
    pub(super) fn check_deregistrations(&mut self) {
        let now = self.now;
        let (settled, open): (Vec<PendingDeregistration>, Vec<PendingDeregistration>) =
            std::mem::take(&mut self.deregistrations)
                .into_iter()
                .partition(|pending| {
                    let waited = now.saturating_sub(pending.since);
                    pending.is_stored
                        || (waited >= STORE_WRITE_WAIT && pending.copies > 0)
                        || waited >= MAX_ACKNOWLEDGEMENT_DELAY
                });
        self.deregistrations = open;
        for pending in settled {
            self.log_event(
                "leave_acknowledged",
                json!({ "is_stored": pending.is_stored, "copies": pending.copies }),
            );
            self.acknowledge(pending.caller, pending.token);
        }
    }
}
