//! Lease of a move (rollout): acquisition, renewal and loss.
//!
//! Writes of the store object `moves/lease/SERVICE` are conditional on its version, so only one
//! of two concurrent writers succeeds. A holder relies on its lease only until it expires by the
//! holder's own clock, minus a margin.

use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::ServiceName;

use crate::action::Action;
use crate::action::Lease;
use crate::options::Options;

/// Tolerated difference between the clocks of VMs. A holder stops using its lease this long
/// before the expiry; another node takes it over at the earliest this long after.
pub const CLOCK_MARGIN_MS: u64 = 500;
/// Time after which a store call without an answer is abandoned and the lease is read again.
const ANSWER_TIMEOUT_MS: u64 = 3_000;
/// Delay before the next store call after a failed one.
const RETRY_MS: u64 = 500;
/// Additional delay of a lower-ranked candidate, so that the first one wins if both are running.
const RANK_DELAY_MS: u64 = 1_000;

/// Answer to [`Action::ReadLease`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRead {
    /// The object exists.
    Found {
        /// Value.
        lease: Lease,
        /// Object version.
        version: u64,
    },
    /// The object does not exist.
    Absent,
    /// The store did not answer.
    Unavailable,
}

/// Answer to [`Action::AcquireLease`] and [`Action::RenewLease`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseWrite {
    /// The write took effect.
    Written {
        /// New object version.
        version: u64,
    },
    /// Another writer changed the object first.
    Conflict,
    /// The write may or may not have taken effect.
    Unknown,
}

/// Change of the lease by an answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// No change that concerns the owner.
    None,
    /// This node now holds the lease.
    Acquired {
        /// Whether another node held the lease for the same move before.
        took_over: bool,
    },
    /// Another node holds the lease.
    Lost,
}

#[derive(Clone, Debug)]
struct Held {
    lease: Lease,
    version: u64,
}

#[derive(Clone, Debug)]
enum Pending {
    Read,
    Write {
        lease: Lease,
        took_over: Option<bool>,
    },
}

/// Lease of one service as one candidate tracks it.
#[derive(Clone, Debug)]
pub struct LeaseState {
    node: NodeName,
    service: ServiceName,
    duration_ms: u64,
    renew_ms: u64,
    held: Option<Held>,
    pending: Option<(Pending, u64)>,
    next_unix_ms: u64,
    is_read_next: bool,
    is_store_unreachable: bool,
}

impl LeaseState {
    /// Creates the state of a node that does not hold the lease.
    #[must_use]
    pub fn new(node: NodeName, service: ServiceName, options: &Options) -> Self {
        Self {
            node,
            service,
            duration_ms: options.lease_duration_ms,
            renew_ms: options.lease_renew_ms,
            held: None,
            pending: None,
            next_unix_ms: 0,
            is_read_next: true,
            is_store_unreachable: false,
        }
    }

    /// Returns whether the last read of the lease failed.
    #[must_use]
    pub fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable
    }

    /// Returns the term while this node holds the lease and no other node can have acquired it.
    #[must_use]
    pub fn term(&self, now_unix_ms: u64) -> Option<u64> {
        self.held
            .as_ref()
            .filter(|held| now_unix_ms + CLOCK_MARGIN_MS < held.lease.expires_unix_ms)
            .map(|held| held.lease.term)
    }

    /// Discards the held lease and pending calls; the next call reads the lease again.
    pub fn reset(&mut self, now_unix_ms: u64) {
        self.held = None;
        self.pending = None;
        self.is_read_next = true;
        self.next_unix_ms = now_unix_ms;
    }

    /// Returns the next store call, if one is due.
    pub fn tick(&mut self, move_id: MoveId, now_unix_ms: u64) -> Option<Action> {
        if let Some((_, since_unix_ms)) = &self.pending {
            if now_unix_ms < since_unix_ms + ANSWER_TIMEOUT_MS {
                return None;
            }
            self.pending = None;
            self.is_read_next = true;
        }
        if now_unix_ms < self.next_unix_ms {
            return None;
        }
        let held = self.held.clone().filter(|_| !self.is_read_next);
        let Some(held) = held else {
            self.pending = Some((Pending::Read, now_unix_ms));
            return Some(Action::ReadLease {
                service: self.service.clone(),
            });
        };
        Some(self.write_action(
            &held.lease,
            held.version,
            held.lease.term,
            move_id,
            None,
            now_unix_ms,
        ))
    }

    /// Handles the answer to a read and returns the write that follows, if any.
    pub fn on_read(
        &mut self,
        answer: LeaseRead,
        move_id: MoveId,
        rank: usize,
        now_unix_ms: u64,
    ) -> (LeaseChange, Option<Action>) {
        if !matches!(self.pending, Some((Pending::Read, _))) {
            return (LeaseChange::None, None);
        }
        self.pending = None;
        self.is_store_unreachable = answer == LeaseRead::Unavailable;
        match answer {
            LeaseRead::Unavailable => {
                self.next_unix_ms = now_unix_ms + RETRY_MS;
                (LeaseChange::None, None)
            }
            LeaseRead::Absent => {
                let first = Lease {
                    holder: self.node.clone(),
                    term: 0,
                    expires_unix_ms: 0,
                    move_id,
                };
                let action = self.write_action(&first, 0, 1, move_id, Some(false), now_unix_ms);
                (LeaseChange::None, Some(action))
            }
            LeaseRead::Found { lease, version } => {
                self.on_found(lease, version, move_id, rank, now_unix_ms)
            }
        }
    }

    fn on_found(
        &mut self,
        lease: Lease,
        version: u64,
        move_id: MoveId,
        rank: usize,
        now_unix_ms: u64,
    ) -> (LeaseChange, Option<Action>) {
        let is_own = lease.holder == self.node;
        if is_own && now_unix_ms + CLOCK_MARGIN_MS < lease.expires_unix_ms {
            let is_new_term = self
                .held
                .as_ref()
                .is_none_or(|held| held.lease.term != lease.term);
            self.set_held(lease, version, now_unix_ms);
            let change = if is_new_term {
                LeaseChange::Acquired { took_over: false }
            } else {
                LeaseChange::None
            };
            return (change, None);
        }
        let rank_delay_ms = RANK_DELAY_MS * rank as u64;
        if !is_own && now_unix_ms < lease.expires_unix_ms + CLOCK_MARGIN_MS + rank_delay_ms {
            self.next_unix_ms = now_unix_ms + self.renew_ms;
            let is_lost = self.held.take().is_some();
            return (
                if is_lost {
                    LeaseChange::Lost
                } else {
                    LeaseChange::None
                },
                None,
            );
        }
        let took_over = !is_own && lease.move_id == move_id;
        let term = lease.term + 1;
        let action =
            self.write_action(&lease, version, term, move_id, Some(took_over), now_unix_ms);
        (LeaseChange::None, Some(action))
    }

    /// Handles the answer to a write.
    pub fn on_write(&mut self, answer: LeaseWrite, now_unix_ms: u64) -> LeaseChange {
        let (lease, took_over) = match self.pending.take() {
            Some((Pending::Write { lease, took_over }, _)) => (lease, took_over),
            other => {
                self.pending = other;
                return LeaseChange::None;
            }
        };
        match answer {
            LeaseWrite::Written { version } => {
                self.set_held(lease, version, now_unix_ms);
                took_over.map_or(LeaseChange::None, |took_over| LeaseChange::Acquired {
                    took_over,
                })
            }
            LeaseWrite::Conflict | LeaseWrite::Unknown => {
                self.is_read_next = true;
                self.next_unix_ms = now_unix_ms + RETRY_MS;
                LeaseChange::None
            }
        }
    }

    fn set_held(&mut self, lease: Lease, version: u64, now_unix_ms: u64) {
        self.held = Some(Held { lease, version });
        self.is_read_next = false;
        self.next_unix_ms = now_unix_ms + self.renew_ms;
    }

    fn write_action(
        &mut self,
        before: &Lease,
        if_version: u64,
        term: u64,
        move_id: MoveId,
        took_over: Option<bool>,
        now_unix_ms: u64,
    ) -> Action {
        let lease = Lease {
            holder: self.node.clone(),
            term,
            expires_unix_ms: now_unix_ms + self.duration_ms,
            move_id,
        };
        let pending = Pending::Write {
            lease: lease.clone(),
            took_over,
        };
        self.pending = Some((pending, now_unix_ms));
        let service = self.service.clone();
        if before.holder == self.node && before.term == term {
            Action::RenewLease {
                service,
                lease,
                if_version,
            }
        } else {
            Action::AcquireLease {
                service,
                lease,
                if_version,
            }
        }
    }
}
