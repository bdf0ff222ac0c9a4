//! Probes with their updates, pushes of urgent changes, and table comparison.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::NodeName;
use rand::seq::IndexedRandom;

use crate::action::Action;
use crate::gossip;
use crate::items::CarriedItem;
use crate::items::Channel;
use crate::message::Message;
use crate::message::Updates;
use crate::node::Membership;
use crate::options::millis;
use crate::probe::INDIRECT_PROBE_COUNT;
use crate::probe::ProbeStep;
use crate::probe::ProbeTarget;
use crate::table::BUCKETS;
use crate::table::RecordSource;
use crate::table::is_departed;
use crate::table::is_in_buckets;

/// Number of members that an urgent change is pushed to; each of them forwards it once.
const PUSH_COUNT: usize = 4;
/// Number of times that a relay sends a change, because datagrams may be lost.
const MAX_RELAY_SENDS: u32 = 3;

impl Membership {
    /// Returns the next updates for a message; the record that the receiver should check,
    /// `subject`, comes first.
    fn next_updates(&mut self, subject: Option<EndpointRecord>, now: Instant) -> Updates {
        let limit = gossip::send_limit(self.group_size());
        let names = self.gossip.next_batch(limit);
        let mut records = self.records_of(&names);
        if let Some(record) = subject {
            records.retain(|other| other.node != record.node);
            records.insert(0, record);
        }
        Updates {
            records,
            items: self.items.next_batch(Channel::Gossip, limit, now),
        }
    }

    fn records_of(&self, names: &[NodeName]) -> Vec<EndpointRecord> {
        let find = |name: &NodeName| {
            if *name == self.own.node {
                return Some(self.own.clone());
            }
            self.table.get(name).cloned()
        };
        names.iter().filter_map(find).collect()
    }

    pub(crate) fn handle_probe(
        &mut self,
        from: SocketAddr,
        id: u32,
        updates: Updates,
        now: Instant,
    ) -> Vec<Action> {
        if !self.joiner.is_joined() {
            self.joiner.add(&[from]);
        }
        let mut actions = self.merge_updates(from, updates, now);
        let message = Message::ProbeAck {
            id,
            node: self.own.node.clone(),
            updates: self.next_updates(None, now),
        };
        actions.push(Action::Send {
            to: from,
            message: message.trimmed(),
        });
        actions
    }

    pub(crate) fn handle_probe_ack(
        &mut self,
        from: SocketAddr,
        id: u32,
        node: &NodeName,
        updates: Updates,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = self.merge_updates(from, updates, now);
        if let Some((to, id)) = self.prober.handle_ack(id, node) {
            let message = Message::ProbeAck {
                id,
                node: node.clone(),
                updates: Updates::default(),
            };
            actions.push(Action::Send { to, message });
        }
        actions
    }

    pub(crate) fn handle_indirect_probe(
        &mut self,
        from: SocketAddr,
        id: u32,
        target: SocketAddr,
        now: Instant,
    ) -> Vec<Action> {
        let is_in_table = self.table.records().any(|r| r.peer_address == target);
        // Only addresses of the table are probed, so that no sender can use a node as a reflector.
        let Some(id) = is_in_table
            .then(|| self.prober.start_indirect(from, id, now))
            .flatten()
        else {
            return Vec::new();
        };
        let updates = Updates::default();
        let message = Message::Probe { id, updates };
        vec![Action::Send {
            to: target,
            message,
        }]
    }

    /// Sends the probes that are due and marks members that did not answer as failed.
    pub(crate) fn probe(&mut self, now: Instant) -> Vec<Action> {
        let mut steps = self.prober.due_steps(now);
        let mut actions = Vec::new();
        if self.prober.is_due(now) {
            self.prober.schedule_next(now);
            steps.extend(self.next_probe(now));
            steps.extend(self.next_relay_probe(now));
            actions.extend(self.probe_unknown_contact(now));
        }
        for step in steps {
            match step {
                ProbeStep::Direct(id, target) => actions.push(self.send_probe(id, &target, now)),
                ProbeStep::Indirect(id, target) => {
                    actions.extend(self.request_indirect_probes(id, &target));
                }
                ProbeStep::Failed(target) => {
                    actions.extend(self.mark_failed(&target.node, now));
                    let id = self.prober.allocate_id();
                    actions.push(self.send_probe(id, &target, now));
                }
            }
        }
        actions
    }

    fn next_probe(&mut self, now: Instant) -> Option<ProbeStep> {
        if self.prober.is_round_over() {
            let names = self.probe_names();
            self.prober.start_round(names, &mut self.rng);
        }
        let name = self.prober.next_name()?;
        let record = self.table.get(&name)?;
        let target = ProbeTarget::of(record);
        if is_departed(record) {
            // An answer comes only if the node was started again, so none is awaited.
            return Some(ProbeStep::Direct(self.prober.allocate_id(), target));
        }
        Some(self.prober.start(target, now))
    }

    /// Probes a contact whose address is in no live record, to find groups that are not connected.
    fn probe_unknown_contact(&mut self, now: Instant) -> Option<Action> {
        let to = *self.joiner.contacts().choose(&mut self.rng)?;
        if self.table.live_records().any(|r| r.peer_address == to) {
            return None;
        }
        let updates = self.next_updates(Some(self.own.clone()), now);
        let id = self.prober.allocate_id();
        let message = Message::Probe { id, updates }.trimmed();
        Some(Action::Send { to, message })
    }

    /// Sends a probe with the record of the probed node, so that the node can refute it.
    fn send_probe(&mut self, id: u32, target: &ProbeTarget, now: Instant) -> Action {
        let subject = self.table.get(&target.node).cloned();
        let updates = self.next_updates(subject, now);
        let message = Message::Probe { id, updates }.trimmed();
        Action::Send {
            to: target.address,
            message,
        }
    }

    fn request_indirect_probes(&mut self, id: u32, target: &ProbeTarget) -> Vec<Action> {
        let roles = &self.roles;
        let others: Vec<SocketAddr> = roles
            .peers
            .members
            .iter()
            .filter(|address| **address != target.address)
            .copied()
            .collect();
        let message = Message::IndirectProbe {
            id,
            target: target.address,
        };
        others
            .sample(&mut self.rng, INDIRECT_PROBE_COUNT)
            .map(|to| Action::Send {
                to: *to,
                message: message.clone(),
            })
            .collect()
    }

    /// Sends urgent changes to some members; a relay also sends changes to other data centres and
    /// regions.
    pub(crate) fn push_changes(&mut self, now: Instant) -> Vec<Action> {
        let names = self.urgent.next_batch(1);
        let items = self.items.next_batch(Channel::Push, 0, now);
        let members: Vec<SocketAddr> = self
            .roles
            .peers
            .members
            .sample(&mut self.rng, PUSH_COUNT)
            .copied()
            .collect();
        let mut actions = self.send_records(&names, items, &members);
        if self.roles.is_relay {
            let data_centre_relays = self.roles.peers.data_centre_relays.clone();
            let region_relays = self.roles.peers.region_relays.clone();
            let items = self.items.next_batch(Channel::Relay, 0, now);
            let names = self.to_data_centres.next_batch(MAX_RELAY_SENDS);
            actions.extend(self.send_records(&names, items.clone(), &data_centre_relays));
            let names = self.to_regions.next_batch(MAX_RELAY_SENDS);
            actions.extend(self.send_records(&names, items, &region_relays));
        }
        actions
    }

    fn send_records(
        &self,
        names: &[NodeName],
        items: Vec<CarriedItem>,
        targets: &[SocketAddr],
    ) -> Vec<Action> {
        let records = self.records_of(names);
        let updates = Updates { records, items };
        if updates.is_empty() {
            return Vec::new();
        }
        let message = Message::Records { updates };
        let to_action = |to: &SocketAddr| send(*to, message.clone());
        targets.iter().map(to_action).collect()
    }

    /// Sends the digests of the table to one member, and on a relay to one relay of another data
    /// centre and of another region, when a comparison is due.
    pub(crate) fn compare_tables(&mut self, now: Instant) -> Vec<Action> {
        if now < self.next_compare || !self.joiner.is_joined() {
            return Vec::new();
        }
        self.next_compare = now + millis(self.options.compare_interval_ms);
        let roles = Arc::clone(&self.roles);
        let groups = [
            &roles.peers.members,
            &roles.peers.data_centre_relays,
            &roles.peers.region_relays,
        ];
        let digests = self.table.digests_with(&self.own);
        let message = Message::Buckets { digests };
        let mut actions = Vec::new();
        for group in groups {
            if let Some(to) = group.choose(&mut self.rng) {
                actions.push(send(*to, message.clone()));
            }
        }
        actions
    }

    pub(crate) fn handle_buckets(&mut self, from: SocketAddr, digests: &[u64]) -> Vec<Action> {
        if digests.len() != BUCKETS {
            return Vec::new();
        }
        let own = self.table.digests_with(&self.own);
        let differing = own.iter().zip(digests).enumerate();
        let buckets = differing
            .filter(|(_, (own, other))| own != other)
            .fold(0u64, |mask, (index, _)| mask | 1 << index);
        if buckets == 0 {
            return Vec::new();
        }
        let message = Message::BucketsRequest { buckets };
        vec![send(from, message)]
    }

    pub(crate) fn handle_buckets_request(&mut self, from: SocketAddr, buckets: u64) -> Vec<Action> {
        let records = self.records_in_buckets(buckets);
        vec![send(from, Message::BucketsReply { buckets, records })]
    }

    /// Merges the records of a peer and sends back those that it lacks or has in an older form.
    pub(crate) fn handle_buckets_reply(
        &mut self,
        from: SocketAddr,
        buckets: u64,
        mut records: Vec<EndpointRecord>,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.verify_failure_reports(from, &mut records);
        for record in &records {
            actions.extend(self.merge_record(record, RecordSource::Comparison, now));
        }
        let mut missing = self.records_in_buckets(buckets);
        missing.retain(|record| !records.contains(record));
        for correction in self.table.corrections(&records) {
            if !missing.contains(&correction) {
                missing.push(correction);
            }
        }
        if !missing.is_empty() {
            let message = Message::BucketsReply {
                buckets: 0,
                records: missing,
            };
            actions.push(send(from, message));
        }
        actions
    }

    fn records_in_buckets(&self, buckets: u64) -> Vec<EndpointRecord> {
        let mut records = self.table.records_in_buckets(buckets);
        if is_in_buckets(buckets, &self.own.node) && !is_departed(&self.own) {
            records.push(self.own.clone());
        }
        records
    }
}

fn send(to: SocketAddr, message: Message) -> Action {
    if message.fits_datagram() {
        Action::Send { to, message }
    } else {
        Action::SendBulk { to, message }
    }
}
