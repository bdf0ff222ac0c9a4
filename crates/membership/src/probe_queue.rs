//! Queue of probes to all members of a data centre, sent at a bounded rate.
//!
//! A round of probes covers the node's own data centre and takes one second per member, so no node
//! is left to probe a data centre that fails as a whole. When a relay of another data centre fails,
//! the relay that detected the failure therefore probes all members of that data centre.

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

/// Queued probes started per tick: 200 per second, so that a data centre of 1,300 nodes is covered
/// in 7 s.
const PROBES_PER_TICK: usize = 20;
/// Maximum length of the queue; further members are probed after the next failure of a relay.
const MAX_QUEUED_PROBES: usize = 4_096;

/// Member that is to be probed.
pub(crate) struct QueuedProbe {
    node: NodeName,
    /// Record from another data centre that reports the member as failed.
    report: Option<EndpointRecord>,
}

impl Membership {
    /// Starts a probe of a relay of another data centre of the region. The round of probes would
    /// reach a relay only once in as many seconds as this data centre has members.
    pub(crate) fn next_relay_probe(&mut self, now: Instant) -> Option<ProbeStep> {
        let to = *self.roles.peers.data_centre_relays.choose(&mut self.rng)?;
        let record = self.table.live_records().find(|r| r.peer_address == to)?;
        let target = ProbeTarget::of(record);
        Some(self.prober.start(target, now))
    }

    /// Queues probes to all members of a data centre if the failed node was one of its relays.
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

    /// Removes from `records` the reports of another data centre that live members of this one have
    /// failed, and queues probes to these members. After a network partition each side has marked
    /// the other as failed; only nodes of the same data centre can tell which members are live.
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

    /// Starts the queued probes of this tick. A probe carries the report, if there is one, so that
    /// a live member refutes it.
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
