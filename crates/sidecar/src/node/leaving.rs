//! Acknowledgement of a target's leave.
//!
//! The acknowledgement binds also a later process of this node, so the leave is kept in the
//! node's entry in the store, or at other nodes while the store is away, before it is given.

use std::time::Duration;

use serde_json::json;

use crate::clock::Time;
use crate::node::Node;

/// Time that the store has to keep a leave; then copies at other nodes are enough.
const STORE_WAIT: Duration = Duration::from_millis(350);
/// Time after which the leave is acknowledged in any case: the target waits for a second and
/// would end without an acknowledgement.
const LONGEST_WAIT: Duration = Duration::from_millis(650);

/// `Leaving` is a leave that is not acknowledged yet.
#[derive(Debug)]
pub(crate) struct Leaving {
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
    pub(super) fn begin_leaving(&mut self, caller: u64, token: u64) {
        if !self.is_target_open() {
            self.drain_queue();
        }
        self.record_changed();
        self.store_own_entry();
        self.leaving.push(Leaving {
            caller,
            token,
            since: self.now,
            sequence: self.record_sequence,
            is_stored: false,
            copies: 0,
        });
    }

    /// The store holds the node's entry with all leaves up to now.
    pub(super) fn leaves_stored(&mut self) {
        for leaving in &mut self.leaving {
            leaving.is_stored = true;
        }
        self.check_leaving();
    }

    /// Another node holds the record up to a sequence.
    pub(super) fn leaves_copied(&mut self, sequence: u64) {
        for leaving in &mut self.leaving {
            if leaving.sequence <= sequence {
                leaving.copies += 1;
            }
        }
        self.check_leaving();
    }

    pub(super) fn check_leaving(&mut self) {
        let now = self.now;
        let (settled, open): (Vec<Leaving>, Vec<Leaving>) = std::mem::take(&mut self.leaving)
            .into_iter()
            .partition(|leaving| {
                let waited = now.saturating_sub(leaving.since);
                leaving.is_stored
                    || (waited >= STORE_WAIT && leaving.copies > 0)
                    || waited >= LONGEST_WAIT
            });
        self.leaving = open;
        for leaving in settled {
            self.log_event(
                "leave_acknowledged",
                json!({ "is_stored": leaving.is_stored, "copies": leaving.copies }),
            );
            self.acknowledge(leaving.caller, leaving.token);
        }
    }
}
