//! Acknowledgement of a target's deregistration.
//!
//! The acknowledgement also binds a later process of this node, and all nodes may end at the same
//! time. So a deregistration is acknowledged only when the store holds it; copies at other nodes
//! only serve a process that starts while the store is unavailable. A target that gets no
//! acknowledgement sends its call again and then ends; it gets no new requests meanwhile.

use serde_json::json;

use crate::clock::Time;
use crate::node::Node;
use crate::node::ms;

/// Call of a target whose deregistration is not stored yet.
#[derive(Debug)]
pub(crate) struct PendingDeregistration {
    caller: u64,
    pub(super) token: u64,
    since: Time,
    /// Sequence of the node's record that holds the deregistration.
    sequence: u64,
    copies: usize,
}

impl Node {
    /// Publishes a deregistration before it is acknowledged.
    pub(super) fn begin_deregistration(&mut self, caller: u64, token: u64) {
        self.publish_deregistration();
        self.acknowledge_when_stored(caller, token);
    }

    /// Rejects queued requests if the target takes no more, and broadcasts and stores the
    /// deregistration.
    pub(super) fn publish_deregistration(&mut self) {
        if !self.is_target_open() {
            self.drain_queue();
        }
        self.record_changed();
        self.store_own_entry();
    }

    /// Writes this node's entry again after a target has deregistered.
    pub(super) fn store_own_entry(&mut self) {
        self.store.entry_is_due = true;
        self.drive_store();
    }

    /// Acknowledges a call about a deregistered target, once the store holds the deregistration.
    pub(super) fn acknowledge_when_stored(&mut self, caller: u64, token: u64) {
        if !self.store.entry_is_due {
            self.acknowledge(caller, token);
            return;
        }
        self.deregistrations.push(PendingDeregistration {
            caller,
            token,
            since: self.now,
            sequence: self.record_sequence,
            copies: 0,
        });
    }

    /// Acknowledges all pending deregistrations, since the store holds the current entry.
    pub(super) fn deregistration_stored(&mut self) {
        for pending in std::mem::take(&mut self.deregistrations) {
            let waited_ms = ms(self.now.saturating_sub(pending.since));
            self.log_event(
                "leave_acknowledged",
                json!({ "waited_ms": waited_ms, "copies": pending.copies }),
            );
            self.acknowledge(pending.caller, pending.token);
        }
    }

    /// Handles another node's acknowledgement of this node's record with a sequence: counts a copy
    /// of each pending deregistration that the record holds.
    pub(super) fn deregistration_copied(&mut self, sequence: u64) {
        for pending in &mut self.deregistrations {
            if pending.sequence <= sequence {
                pending.copies += 1;
            }
        }
    }

    /// Discards the call of a target that has closed its connection.
    pub(super) fn discard_deregistration(&mut self, token: u64) {
        let Some(index) = self
            .deregistrations
            .iter()
            .position(|pending| pending.token == token)
        else {
            return;
        };
        let pending = self.deregistrations.remove(index);
        let waited_ms = ms(self.now.saturating_sub(pending.since));
        self.log_event(
            "leave_unacknowledged",
            json!({ "waited_ms": waited_ms, "copies": pending.copies }),
        );
    }
}
