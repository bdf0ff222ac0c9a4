//! Simulated network that delays, duplicates, loses and reorders messages, and holds the contact
//! objects of the store.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_membership::action::Action;
use hemlockfall_membership::items::GossipItem;
use hemlockfall_membership::join::Contacts;
use hemlockfall_membership::message::Message;
use hemlockfall_membership::node::Membership;
use hemlockfall_membership::options::Options;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::common::address;

const TICK: Duration = Duration::from_millis(100);

struct Envelope {
    at: Instant,
    from: usize,
    to: usize,
    message: Message,
}

pub struct Node {
    pub state: Membership,
    pub is_up: bool,
    pub items: Vec<GossipItem>,
    pub contact_writes: Vec<Instant>,
}

pub struct Network {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub loss_permille: u32,
    pub store_up: bool,
    /// Data centre that is cut off from the others.
    pub cut: Option<&'static str>,
    /// Number of table digests and updates that nodes other than relays sent to another data
    /// centre.
    pub exchanges_by_non_relays: usize,
    /// Number of requests for buckets that differed between two tables.
    pub bucket_requests: usize,
    contacts: Vec<Contacts>,
    rng: StdRng,
    queue: Vec<Envelope>,
}

impl Network {
    pub fn new(seed: u64, records: Vec<EndpointRecord>) -> Self {
        let now = Instant::now();
        let node = |record| Node {
            state: Membership::new(options(), record, seed, now),
            is_up: true,
            items: Vec::new(),
            contact_writes: Vec::new(),
        };
        Self {
            now,
            nodes: records.into_iter().map(node).collect(),
            loss_permille: 0,
            store_up: true,
            cut: None,
            exchanges_by_non_relays: 0,
            bucket_requests: 0,
            contacts: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            queue: Vec::new(),
        }
    }

    /// Restarts a node as a later incarnation with empty state and no contacts in its settings.
    pub fn restart(&mut self, index: usize, record: EndpointRecord) {
        let seed = self.rng.random();
        let mut options = options();
        options.contacts.clear();
        self.nodes[index].state = Membership::new(options, record, seed, self.now);
        self.nodes[index].is_up = true;
    }

    pub fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_up {
                    let actions = self.nodes[index].state.tick(self.now);
                    self.perform(index, actions);
                }
            }
        }
    }

    /// Returns whether all other running nodes have a record of a node that satisfies a condition.
    pub fn all_see(&self, index: usize, condition: impl Fn(&EndpointRecord) -> bool) -> bool {
        let name = self.nodes[index].state.own().node.clone();
        let others = self.nodes.iter().enumerate();
        others
            .filter(|(other, node)| *other != index && node.is_up)
            .all(|(_, node)| node.state.table().get(&name).is_some_and(&condition))
    }

    pub fn is_complete(&self) -> bool {
        (0..self.nodes.len()).all(|index| {
            let own = self.nodes[index].state.own();
            self.all_see(index, |record| record == own)
        })
    }

    fn deliver(&mut self) {
        while let Some(position) = self.queue.iter().position(|e| e.at <= self.now) {
            let envelope = self.queue.swap_remove(position);
            if !self.nodes[envelope.to].is_up {
                continue;
            }
            let node = &mut self.nodes[envelope.to];
            let actions = node
                .state
                .handle(address(envelope.from), envelope.message, self.now);
            self.perform(envelope.to, actions);
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    assert!(message.fits_datagram(), "too large: {message:?}");
                    self.send(index, to, &message);
                }
                Action::SendBulk { to, message } => self.send(index, to, &message),
                Action::Item { item, .. } => self.nodes[index].items.push(item),
                Action::ReadContacts if !self.store_up => {}
                Action::ReadContacts => {
                    let contacts = self.contacts.clone();
                    self.nodes[index].state.handle_contacts(&contacts);
                }
                Action::WriteContacts { addresses } => self.write_contacts(index, addresses),
                Action::RecordChanged(_)
                | Action::RecordRemoved(_)
                | Action::RolesChanged(_)
                | Action::Count { .. }
                | Action::Log { .. } => {}
            }
        }
    }

    fn write_contacts(&mut self, index: usize, addresses: Vec<SocketAddr>) {
        self.nodes[index].contact_writes.push(self.now);
        let data_centre = self.nodes[index].state.own().data_centre.clone();
        self.contacts.retain(|c| c.data_centre != data_centre);
        self.contacts.push(Contacts {
            data_centre,
            addresses,
        });
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let to = usize::from(to.port()) - 7000;
        self.count_exchange_by_non_relay(from, to, message);
        self.bucket_requests += usize::from(matches!(message, Message::BucketsRequest { .. }));
        let is_duplicated = self.rng.random_range(0..10) == 0;
        for _ in 0..=usize::from(is_duplicated) {
            let is_lost = self.rng.random_range(0..1000) < self.loss_permille;
            if is_lost || self.is_cut(from, to) {
                continue;
            }
            let delay_ms = self.rng.random_range(0..120);
            self.queue.push(Envelope {
                at: self.now + Duration::from_millis(delay_ms),
                from,
                to,
                message: message.clone(),
            });
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let is_inside = |index: usize| {
            let own = self.nodes[index].state.own();
            self.cut.is_some_and(|cut| own.data_centre == cut)
        };
        is_inside(from) != is_inside(to)
    }

    fn count_exchange_by_non_relay(&mut self, from: usize, to: usize, message: &Message) {
        let sender = &self.nodes[from].state;
        let is_remote = sender.own().data_centre != self.nodes[to].state.own().data_centre;
        let is_exchange = matches!(message, Message::Buckets { .. } | Message::Records { .. });
        if is_remote && is_exchange && !sender.roles().is_relay {
            self.exchanges_by_non_relays += 1;
        }
    }
}

fn options() -> Options {
    Options {
        contacts: vec![address(0), address(1)],
        store_region: "west".into(),
        ..Options::default()
    }
}
