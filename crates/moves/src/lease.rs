//! Lease of a move: acquire, renew, lose.
//!
//! The store object `moves/lease/SERVICE` is written conditionally, so two writers never both
//! succeed. A holder trusts its lease only until it expires by its own clock, minus a margin.

use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::ServiceName;

use crate::action::Action;
use crate::action::Lease;
use crate::options::Options;

/// `CLOCK_MARGIN_MS` is the difference between clocks of VMs that the lease tolerates on either
/// side of its end.
pub const CLOCK_MARGIN_MS: u64 = 500;
/// Time after which a store call without an answer counts as unknown.
const ANSWER_TIMEOUT_MS: u64 = 3_000;
/// Pause after a failed store call.
const RETRY_MS: u64 = 500;
/// Delay of a lower-ranked candidate, so that the first one wins when both are up.
const RANK_DELAY_MS: u64 = 1_000;

/// `LeaseRead` is the answer to [`Action::ReadLease`].
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

/// `LeaseWrite` is the answer to [`Action::AcquireLease`] and [`Action::RenewLease`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseWrite {
    /// The write took effect.
    Written {
        /// New object version.
        version: u64,
    },
    /// Another writer was faster.
    Conflict,
    /// The write may or may not have taken effect.
    Unknown,
}

/// `LeaseChange` tells what a store answer did to the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// Nothing that matters to the owner.
    None,
    /// The lease is held now.
    Acquired {
        /// Whether another node held it before for the same move.
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

/// `LeaseState` keeps the lease of one service on one candidate.
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
    /// `new` makes a keeper that holds nothing.
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

    /// `is_store_unreachable` tells whether the last read of the lease failed.
    #[must_use]
    pub fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable
    }

    /// `term` returns the term while the lease is held and surely valid.
    #[must_use]
    pub fn term(&self, now_unix_ms: u64) -> Option<u64> {
        self.held
            .as_ref()
            .filter(|held| now_unix_ms + CLOCK_MARGIN_MS < held.lease.expires_unix_ms)
            .map(|held| held.lease.term)
    }

    /// `reset` forgets everything, after a pause of the process.
    pub fn reset(&mut self, now_unix_ms: u64) {
        self.held = None;
        self.pending = None;
        self.is_read_next = true;
        self.next_unix_ms = now_unix_ms;
    }

    /// `tick` returns the next store call, if one is due.
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

    /// `on_read` takes the answer to a read and returns the write that follows, if any.
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

    /// `on_write` takes the answer to a write.
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
