//! Probing of a whole data centre, at a bounded rate.
//!
//! A round of probes covers the own data centre and takes one second per member, and nobody is
//! left to probe a data centre that is lost as a whole. When a relay of another data centre
//! fails, the relay that found it therefore probes all members of that data centre.

use std::net::SocketAddr;
use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::ids::NodeName;
use rand::seq::IndexedRandom;

use crate::action::Action;
use crate::message::Message;
use crate::message::Updates;
use crate::node::Membership;
use crate::probe::ProbeStep;
use crate::probe::ProbeTarget;
use crate::table::is_departed;

/// Members that one tick begins to probe: 200 per second, so that a data centre of 1,300 nodes
/// is covered in 7 s.
const PROBES_PER_TICK: usize = 20;
/// Bounds the queue; what does not fit is found by the next failing relay.
const MAX_QUEUED_PROBES: usize = 4_096;

/// `QueuedProbe` is a member that waits to be probed.
pub(crate) struct QueuedProbe {
    node: NodeName,
    /// Report of another data centre that the member has failed.
    report: Option<EndpointRecord>,
}

impl Membership {
    /// Probes a relay of another data centre of the region. The usual round would reach it once
    /// in as many seconds as the data centre has members.
    pub(crate) fn next_relay_probe(&mut self, now: Instant) -> Option<ProbeStep> {
        let to = *self.roles.peers.data_centre_relays.choose(&mut self.rng)?;
        let record = self.table.live_records().find(|r| r.peer_address == to)?;
        let target = ProbeTarget::of(record);
        Some(self.prober.start(target, now))
    }

    /// Begins to probe the data centre of a relay that this node found failed.
    pub(crate) fn queue_data_centre_probes(&mut self, failed: &EndpointRecord) {
        if !self
            .roles
            .peers
            .data_centre_relays
            .contains(&failed.peer_address)
        {
            return;
        }
        let is_from_data_centre = |record: &&EndpointRecord| {
            record.region == failed.region && record.data_centre == failed.data_centre
        };
        let members = self.table.live_records().filter(is_from_data_centre);
        let names: Vec<NodeName> = members.map(|record| record.node.clone()).collect();
        for node in names {
            self.queue_probe(node, None);
        }
    }

    /// Takes reports of another data centre that members of the own one have failed out of
    /// `records`, and has these members probed. After a cut both sides take each other for
    /// failed; only the own data centre can tell which of its members live.
    pub(crate) fn verify_failure_reports(
        &mut self,
        from: SocketAddr,
        records: &mut Vec<EndpointRecord>,
    ) {
        let is_disputed = |record: &EndpointRecord| {
            let current = self.table.get(&record.node);
            record.state == EndpointState::Failed
                && record.region == self.own.region
                && record.data_centre == self.own.data_centre
                && current.is_some_and(|current| !is_departed(current))
        };
        let is_local_sender = || self.roles.peers.members.contains(&from);
        if !records.iter().any(is_disputed) || is_local_sender() {
            return;
        }
        let disputed = |record: &mut EndpointRecord| is_disputed(record);
        let disputed: Vec<EndpointRecord> = records.extract_if(.., disputed).collect();
        for report in disputed {
            self.queue_probe(report.node.clone(), Some(report));
        }
    }

    /// Begins the probes of this tick. A probe with a report makes the member refute it.
    pub(crate) fn start_queued_probes(&mut self, now: Instant) -> Vec<Action> {
        let count = self.queued_probes.len().min(PROBES_PER_TICK);
        let due: Vec<QueuedProbe> = self.queued_probes.drain(..count).collect();
        let mut actions = Vec::new();
        for queued in due {
            let current = self.table.get(&queued.node);
            let Some(record) = current.filter(|record| !is_departed(record)) else {
                continue;
            };
            let target = ProbeTarget::of(record);
            if let Some(report) = queued.report {
                let updates = Updates {
                    records: vec![report],
                    items: Vec::new(),
                };
                let id = self.prober.allocate_id();
                actions.push(Action::Send {
                    to: target.address,
                    message: Message::Probe { id, updates },
                });
            }
            self.prober.suspect(target, now);
        }
        actions
    }

    fn queue_probe(&mut self, node: NodeName, report: Option<EndpointRecord>) {
        let is_queued = self.queued_probes.iter().any(|queued| queued.node == node);
        if !is_queued && self.queued_probes.len() < MAX_QUEUED_PROBES {
            self.queued_probes.push(QueuedProbe { node, report });
        }
    }
}
