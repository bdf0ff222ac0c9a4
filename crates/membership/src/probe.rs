//! State of the failure detector: the order of probes, pending answers and suspected members.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::options::Options;
use crate::options::millis;

/// Number of members that are asked to probe a member that did not answer.
pub const INDIRECT_PROBE_COUNT: usize = 2;

/// Maximum number of pending probes that this node sent on request of others.
const MAX_PENDING_INDIRECT_PROBES: usize = 64;
const INDIRECT_PROBE_LIFETIME: Duration = Duration::from_secs(2);
/// Interval at which a suspected member is probed.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(500);
/// Tenths of the probe interval after which a member that has not answered is suspected.
const SUSPECT_AFTER_TENTHS: u32 = 9;

/// Probed node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Name of the node.
    pub node: NodeName,
    /// Peer address.
    pub address: SocketAddr,
    /// Probed incarnation of the node.
    pub incarnation: Incarnation,
}

impl ProbeTarget {
    /// Returns the probe target for the node of a record.
    #[must_use]
    pub fn of(record: &EndpointRecord) -> Self {
        Self {
            node: record.node.clone(),
            address: record.peer_address,
            incarnation: record.incarnation,
        }
    }
}

struct PendingProbe {
    id: u32,
    target: ProbeTarget,
    sent: Instant,
    is_indirect: bool,
}

struct Suspect {
    target: ProbeTarget,
    fails_at: Instant,
    next_probe: Instant,
}

struct IndirectProbe {
    id: u32,
    requester: SocketAddr,
    requester_id: u32,
    expires_at: Instant,
}

/// Step of the failure detector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe a member.
    Direct(u32, ProbeTarget),
    /// Ask other members to probe a member.
    Indirect(u32, ProbeTarget),
    /// Mark a member failed: it has not answered in the suspicion time.
    Failed(ProbeTarget),
}

/// State of the failure detector.
pub struct Prober {
    interval: Duration,
    timeout: Duration,
    suspicion: Duration,
    next_probe: Instant,
    next_id: u32,
    order: Vec<NodeName>,
    pending: Vec<PendingProbe>,
    suspects: Vec<Suspect>,
    indirect: Vec<IndirectProbe>,
}

impl Prober {
    /// Creates the state; the first probe is due at once.
    #[must_use]
    pub fn new(options: &Options, now: Instant) -> Self {
        Self {
            interval: millis(options.probe_interval_ms),
            timeout: millis(options.probe_timeout_ms),
            suspicion: millis(options.suspicion_ms),
            next_probe: now,
            next_id: 0,
            order: Vec::new(),
            pending: Vec::new(),
            suspects: Vec::new(),
            indirect: Vec::new(),
        }
    }

    /// Returns whether the next scheduled probe is due.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_probe
    }

    /// Returns whether every member of the round was probed.
    #[must_use]
    pub fn is_round_over(&self) -> bool {
        self.order.is_empty()
    }

    /// Starts a round that probes each member once, in random order.
    pub fn start_round(&mut self, names: Vec<NodeName>, rng: &mut StdRng) {
        self.order = names;
        self.order.shuffle(rng);
    }

    /// Removes and returns the next member of the round.
    pub fn next_name(&mut self) -> Option<NodeName> {
        self.order.pop()
    }

    /// Starts a probe of a member that is expected to answer.
    pub fn start(&mut self, target: ProbeTarget, now: Instant) -> ProbeStep {
        let id = self.allocate_id();
        self.pending
            .retain(|pending| pending.target.node != target.node);
        self.pending.push(PendingProbe {
            id,
            target: target.clone(),
            sent: now,
            is_indirect: false,
        });
        ProbeStep::Direct(id, target)
    }

    /// Schedules the next probe one interval from now, whether or not there was a member to probe.
    pub fn schedule_next(&mut self, now: Instant) {
        self.next_probe = now + self.interval;
    }

    /// Returns the number of a new probe.
    pub fn allocate_id(&mut self) -> u32 {
        self.next_id = self.next_id.wrapping_add(1);
        self.next_id
    }

    /// Records a probe on request of another node and returns its number; `None` when too many such
    /// probes are pending.
    pub fn start_indirect(
        &mut self,
        requester: SocketAddr,
        requester_id: u32,
        now: Instant,
    ) -> Option<u32> {
        self.indirect.retain(|indirect| indirect.expires_at > now);
        if self.indirect.len() >= MAX_PENDING_INDIRECT_PROBES {
            return None;
        }
        let id = self.allocate_id();
        self.indirect.push(IndirectProbe {
            id,
            requester,
            requester_id,
            expires_at: now + INDIRECT_PROBE_LIFETIME,
        });
        Some(id)
    }

    /// Handles the answer of a node, which ends its pending probes and its suspicion. When the
    /// probe was requested by another node, returns the address and the number of that request.
    pub fn handle_ack(&mut self, id: u32, node: &str) -> Option<(SocketAddr, u32)> {
        self.pending.retain(|pending| pending.target.node != node);
        self.suspects.retain(|suspect| suspect.target.node != node);
        let index = self
            .indirect
            .iter()
            .position(|indirect| indirect.id == id)?;
        let indirect = self.indirect.swap_remove(index);
        Some((indirect.requester, indirect.requester_id))
    }

    /// Discards the pending probes and the suspicion of a node when its new record shows a later
    /// incarnation or a departure.
    pub fn discard_outdated(&mut self, record: &EndpointRecord) {
        let is_outdated = |target: &ProbeTarget| {
            let is_older = target.incarnation < record.incarnation;
            target.node == record.node && (is_older || crate::table::is_departed(record))
        };
        self.suspects
            .retain(|suspect| !is_outdated(&suspect.target));
        self.pending.retain(|pending| !is_outdated(&pending.target));
    }

    /// Returns the steps that are due for pending probes and suspected members.
    pub fn due_steps(&mut self, now: Instant) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        let suspect_after = self.interval * SUSPECT_AFTER_TENTHS / 10;
        let deadline = |pending: &PendingProbe| pending.sent + suspect_after.max(self.timeout);
        let (unanswered, mut still_pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| now >= deadline(pending));
        for pending in &mut still_pending {
            if !pending.is_indirect && now >= pending.sent + self.timeout {
                pending.is_indirect = true;
                steps.push(ProbeStep::Indirect(pending.id, pending.target.clone()));
            }
        }
        self.pending = still_pending;
        for pending in unanswered {
            self.suspect(pending.target, now);
        }
        let (failed, mut suspects): (Vec<_>, Vec<_>) = std::mem::take(&mut self.suspects)
            .into_iter()
            .partition(|suspect| now >= suspect.fails_at);
        for suspect in suspects.iter_mut().filter(|s| now >= s.next_probe) {
            suspect.next_probe = now + SUSPECT_INTERVAL;
            steps.push(ProbeStep::Direct(
                self.allocate_id(),
                suspect.target.clone(),
            ));
        }
        self.suspects = suspects;
        steps.extend(failed.into_iter().map(|s| ProbeStep::Failed(s.target)));
        steps
    }

    /// Starts the suspicion of a member, which is marked failed unless it answers in time.
    pub fn suspect(&mut self, target: ProbeTarget, now: Instant) {
        if self.suspects.iter().any(|s| s.target.node == target.node) {
            return;
        }
        self.suspects.push(Suspect {
            target,
            fails_at: now + self.suspicion,
            next_probe: now,
        });
    }
}
