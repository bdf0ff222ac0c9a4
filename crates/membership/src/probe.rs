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

/// `INDIRECT_PROBES` is the number of members asked to probe a silent one.
pub const INDIRECT_PROBES: usize = 2;

/// Probes carried out for others at one time.
const MAX_RELAYED: usize = 64;
const RELAYED_LIFETIME: Duration = Duration::from_secs(2);
/// A suspected member is probed again at this interval.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the probe interval after which a member without an answer is suspected, in tenths.
const SUSPECT_AFTER_TENTHS: u32 = 9;

/// `Target` is a node under observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub node: NodeName,
    /// Address.
    pub address: SocketAddr,
    /// Life that is observed.
    pub incarnation: Incarnation,
}

impl Target {
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

struct Open {
    id: u32,
    target: Target,
    sent: Instant,
    is_indirect: bool,
}

struct Suspect {
    target: Target,
    until: Instant,
    next_probe: Instant,
}

struct Relayed {
    id: u32,
    requester: SocketAddr,
    requester_id: u32,
    until: Instant,
}

/// `ProbeStep` is something to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe a member.
    Direct(u32, Target),
    /// Ask others to probe a member.
    Indirect(u32, Target),
    /// The member has failed.
    Failed(Target),
}

/// `Prober` keeps the state of probing.
pub struct Prober {
    interval: Duration,
    timeout: Duration,
    suspicion: Duration,
    next_probe: Instant,
    next_id: u32,
    order: Vec<NodeName>,
    open: Vec<Open>,
    suspects: Vec<Suspect>,
    relayed: Vec<Relayed>,
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
            open: Vec::new(),
            suspects: Vec::new(),
            relayed: Vec::new(),
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
    pub fn start(&mut self, target: Target, now: Instant) -> ProbeStep {
        let id = self.fresh_id();
        self.open.retain(|open| open.target.node != target.node);
        self.open.push(Open {
            id,
            target: target.clone(),
            sent: now,
            is_indirect: false,
        });
        ProbeStep::Direct(id, target)
    }

    /// `scheduled` notes that this interval's probe was sent, or that there was nobody to probe.
    pub fn scheduled(&mut self, now: Instant) {
        self.next_probe = now + self.interval;
    }

    /// `fresh_id` returns a number for a probe.
    pub fn fresh_id(&mut self) -> u32 {
        self.next_id = self.next_id.wrapping_add(1);
        self.next_id
    }

    /// `relay` notes a probe for another node and returns its number.
    pub fn relay(&mut self, requester: SocketAddr, requester_id: u32, now: Instant) -> Option<u32> {
        self.relayed.retain(|relayed| relayed.until > now);
        if self.relayed.len() >= MAX_RELAYED {
            return None;
        }
        let id = self.fresh_id();
        self.relayed.push(Relayed {
            id,
            requester,
            requester_id,
            until: now + RELAYED_LIFETIME,
        });
        Some(id)
    }

    /// `answered` processes an answer of a node, which clears its suspicion; when the probe was
    /// made for another node, its address and number are returned.
    pub fn answered(&mut self, id: u32, node: &str) -> Option<(SocketAddr, u32)> {
        self.open.retain(|open| open.target.node != node);
        self.suspects.retain(|suspect| suspect.target.node != node);
        let index = self.relayed.iter().position(|relayed| relayed.id == id)?;
        let relayed = self.relayed.swap_remove(index);
        Some((relayed.requester, relayed.requester_id))
    }

    /// `forget` ends the observation of a life that a newer record replaced.
    pub fn forget(&mut self, record: &EndpointRecord) {
        let is_outdated = |target: &Target| {
            let is_older = target.incarnation < record.incarnation;
            target.node == record.node && (is_older || crate::table::is_departed(record))
        };
        self.suspects
            .retain(|suspect| !is_outdated(&suspect.target));
        self.open.retain(|open| !is_outdated(&open.target));
    }

    /// `steps` returns what is due for open probes and suspected members.
    pub fn steps(&mut self, now: Instant) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        let suspect_after = self.interval * SUSPECT_AFTER_TENTHS / 10;
        let silent_since = |open: &Open| open.sent + suspect_after.max(self.timeout);
        let (silent, mut waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|open| now >= silent_since(open));
        for open in &mut waiting {
            if !open.is_indirect && now >= open.sent + self.timeout {
                open.is_indirect = true;
                steps.push(ProbeStep::Indirect(open.id, open.target.clone()));
            }
        }
        self.open = waiting;
        for open in silent {
            self.suspect(open.target, now);
        }
        let (failed, mut suspects): (Vec<_>, Vec<_>) = std::mem::take(&mut self.suspects)
            .into_iter()
            .partition(|suspect| now >= suspect.until);
        for suspect in suspects.iter_mut().filter(|s| now >= s.next_probe) {
            suspect.next_probe = now + SUSPECT_INTERVAL;
            steps.push(ProbeStep::Direct(self.fresh_id(), suspect.target.clone()));
        }
        self.suspects = suspects;
        steps.extend(failed.into_iter().map(|s| ProbeStep::Failed(s.target)));
        steps
    }

    /// `suspect` begins the time in which a member must answer or fails.
    pub fn suspect(&mut self, target: Target, now: Instant) {
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
