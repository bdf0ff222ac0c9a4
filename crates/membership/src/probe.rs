//! Probing: which member to probe next, which answers are open, which members are suspected.

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

/// `INDIRECT_PROBE_COUNT` is the number of members asked to probe a silent one.
pub const INDIRECT_PROBE_COUNT: usize = 2;

/// Probes carried out for others at one time.
const MAX_PENDING_INDIRECT_PROBES: usize = 64;
const INDIRECT_PROBE_LIFETIME: Duration = Duration::from_secs(2);
/// A suspected member is probed again at this interval.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the probe interval after which a member without an answer is suspected, in tenths.
const SUSPECT_AFTER_TENTHS: u32 = 9;

/// `ProbeTarget` is a node under observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Name.
    pub node: NodeName,
    /// Address.
    pub address: SocketAddr,
    /// Life that is observed.
    pub incarnation: Incarnation,
}

impl ProbeTarget {
    /// `of` makes the target for a record.
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
    until: Instant,
    next_probe: Instant,
}

struct IndirectProbe {
    id: u32,
    requester: SocketAddr,
    requester_id: u32,
    until: Instant,
}

/// `ProbeStep` is something to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe a member.
    Direct(u32, ProbeTarget),
    /// Ask others to probe a member.
    Indirect(u32, ProbeTarget),
    /// The member has failed.
    Failed(ProbeTarget),
}

/// `Prober` keeps the state of probing.
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
    /// `new` makes a prober that starts at the first step.
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

    /// `is_due` tells whether the next member is to be chosen.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_probe
    }

    /// `is_round_over` tells whether every member of the round was probed.
    #[must_use]
    pub fn is_round_over(&self) -> bool {
        self.order.is_empty()
    }

    /// `start_round` begins a round over members, in random order.
    pub fn start_round(&mut self, names: Vec<NodeName>, rng: &mut StdRng) {
        self.order = names;
        self.order.shuffle(rng);
    }

    /// `next_name` returns the next member of the round.
    pub fn next_name(&mut self) -> Option<NodeName> {
        self.order.pop()
    }

    /// `start` begins a probe of a member that is expected to answer.
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

    /// `schedule_next` notes that this interval's probe was sent, or that there was nobody to probe.
    pub fn schedule_next(&mut self, now: Instant) {
        self.next_probe = now + self.interval;
    }

    /// `allocate_id` returns a number for a probe.
    pub fn allocate_id(&mut self) -> u32 {
        self.next_id = self.next_id.wrapping_add(1);
        self.next_id
    }

    /// `start_indirect` notes a probe for another node and returns its number.
    pub fn start_indirect(
        &mut self,
        requester: SocketAddr,
        requester_id: u32,
        now: Instant,
    ) -> Option<u32> {
        self.indirect.retain(|indirect| indirect.until > now);
        if self.indirect.len() >= MAX_PENDING_INDIRECT_PROBES {
            return None;
        }
        let id = self.allocate_id();
        self.indirect.push(IndirectProbe {
            id,
            requester,
            requester_id,
            until: now + INDIRECT_PROBE_LIFETIME,
        });
        Some(id)
    }

    /// `handle_ack` processes an answer of a node, which clears its suspicion; when the probe was
    /// made for another node, its address and number are returned.
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

    /// `discard_outdated` ends the observation of a life that a newer record replaced.
    pub fn discard_outdated(&mut self, record: &EndpointRecord) {
        let is_outdated = |target: &ProbeTarget| {
            let is_older = target.incarnation < record.incarnation;
            target.node == record.node && (is_older || crate::table::is_departed(record))
        };
        self.suspects
            .retain(|suspect| !is_outdated(&suspect.target));
        self.pending.retain(|pending| !is_outdated(&pending.target));
    }

    /// `due_steps` returns what is due for open probes and suspected members.
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
            .partition(|suspect| now >= suspect.until);
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

    /// `suspect` begins the time in which a member must answer or fails.
    pub fn suspect(&mut self, target: ProbeTarget, now: Instant) {
        if self.suspects.iter().any(|s| s.target.node == target.node) {
            return;
        }
        self.suspects.push(Suspect {
            target,
            until: now + self.suspicion,
            next_probe: now,
        });
    }
}
