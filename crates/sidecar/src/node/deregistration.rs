//! Acknowledgement of a target's leave.
//!
//! The acknowledgement binds also a later process of this node, so the leave is kept in the
//! node's entry in the store, or at other nodes while the store is away, before it is given.

use std::time::Duration;

use serde_json::json;

use crate::clock::Time;
use crate::node::Node;

/// Time that the store has to keep a leave; then copies at other nodes are enough.
const STORE_WRITE_WAIT: Duration = Duration::from_millis(350);
/// Time after which the leave is acknowledged in any case: the target waits for a second and
/// would end without an acknowledgement.
const MAX_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(650);

/// `PendingDeregistration` is a leave that is not acknowledged yet.
#[derive(Debug)]
pub(crate) struct PendingDeregistration {
    caller: u64,
    pub(super) token: u64,
    since: Time,
    /// Sequence of the record that tells other nodes.
    sequence: u64,
    is_stored: bool,
    copies: usize,
}

impl Node {
    /// Stops the target's work and keeps the leave before it is acknowledged.
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

    /// The store holds the node's entry with all leaves up to now.
    pub(super) fn deregistration_stored(&mut self) {
        for pending in &mut self.deregistrations {
            pending.is_stored = true;
        }
        self.check_deregistrations();
    }

    /// Another node holds the record up to a sequence.
    pub(super) fn deregistration_copied(&mut self, sequence: u64) {
        for pending in &mut self.deregistrations {
            if pending.sequence <= sequence {
                pending.copies += 1;
            }
        }
        self.check_deregistrations();
    }

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
