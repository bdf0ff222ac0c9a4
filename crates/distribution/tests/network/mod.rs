//! Simulated network and store, with lost, duplicated, delayed and reordered messages.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::peers::Peers;
use hemlockfall_distribution::action::Action;
use hemlockfall_distribution::message::Message;
use hemlockfall_distribution::node::Distribution;
use hemlockfall_distribution::options::Options;
use hemlockfall_distribution::reader::StoreResult;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::common::TICK;
use crate::common::address;
use crate::common::one_data_centre;
use crate::common::stored;

struct Envelope {
    at: Instant,
    from: usize,
    to: usize,
    message: Message,
}

pub struct Node {
    pub state: Distribution,
    pub peers: Peers,
    pub is_watching: bool,
    pub reads: usize,
    pub revisions_in_force: Vec<u64>,
}

/// Network that delays, duplicates or loses messages, and the store.
pub struct Network {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub loss_permille: u32,
    pub store_revision: u64,
    pub store_up: bool,
    /// Index of the first node that is partitioned from the nodes before it.
    pub partitioned_from: Option<usize>,
    rng: StdRng,
    queue: Vec<Envelope>,
}

impl Network {
    pub fn new(seed: u64, peers: Vec<Peers>) -> Self {
        let now = Instant::now();
        let node = |(index, peers): (usize, Peers)| Node {
            state: start(index, seed, &peers, now),
            peers,
            is_watching: false,
            reads: 0,
            revisions_in_force: Vec::new(),
        };
        Self {
            now,
            nodes: peers.into_iter().enumerate().map(node).collect(),
            loss_permille: 0,
            store_revision: 1,
            store_up: true,
            partitioned_from: None,
            rng: StdRng::seed_from_u64(seed),
            queue: Vec::new(),
        }
    }

    pub fn restart(&mut self, index: usize) {
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.state = start(index, seed, &node.peers, self.now);
        node.is_watching = false;
    }

    pub fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_watching && self.rng.random_range(0..3) == 0 {
                    self.answer_store(index);
                }
                let actions = self.nodes[index].state.tick(self.now);
                self.perform(index, actions);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(position) = self.queue.iter().position(|e| e.at <= self.now) {
            let envelope = self.queue.swap_remove(position);
            let node = &mut self.nodes[envelope.to];
            let actions = node
                .state
                .handle(address(envelope.from), envelope.message, self.now);
            self.perform(envelope.to, actions);
        }
    }

    fn answer_store(&mut self, index: usize) {
        let result = if self.store_up {
            stored(self.store_revision)
        } else {
            StoreResult::Unreachable
        };
        let actions = self.nodes[index].state.handle_store(result, self.now);
        self.perform(index, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } | Action::SendBulk { to, message } => {
                    self.send(index, usize::from(to.port()) - 7000, &message);
                }
                Action::InForce(snapshot) => {
                    self.nodes[index]
                        .revisions_in_force
                        .push(snapshot.revision());
                }
                Action::WatchStore { .. } => self.nodes[index].is_watching = true,
                Action::StopWatch => self.nodes[index].is_watching = false,
                Action::ReadStore => {
                    self.nodes[index].reads += 1;
                    self.answer_store(index);
                }
                Action::Count { .. } | Action::Log { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let is_partitioned = self
            .partitioned_from
            .is_some_and(|first| (from < first) != (to < first));
        let is_duplicated = self.rng.random_range(0..10) == 0;
        for _ in 0..=usize::from(is_duplicated) {
            let is_lost = self.rng.random_range(0..1000) < self.loss_permille;
            if is_partitioned || is_lost {
                continue;
            }
            let delay_ms = self.rng.random_range(0..150);
            self.queue.push(Envelope {
                at: self.now + Duration::from_millis(delay_ms),
                from,
                to,
                message: message.clone(),
            });
        }
    }
}

fn start(index: usize, seed: u64, peers: &Peers, now: Instant) -> Distribution {
    let node_seed = seed.wrapping_add(u64::try_from(index).expect("small"));
    let mut state = Distribution::new(Options::default(), address(index), node_seed, now);
    state.set_peers(peers.clone());
    state
}

/// Returns the member lists of two regions of four nodes; nodes 0, 1 and 4, 5 are the relays of
/// their regions.
pub fn two_regions() -> Vec<Peers> {
    let mut all = one_data_centre(4);
    for (index, peers) in one_data_centre(4).into_iter().enumerate() {
        let shift = |addresses: &[SocketAddr]| {
            let remote = |a: &SocketAddr| address(usize::from(a.port()) - 7000 + 4);
            addresses.iter().map(remote).collect::<Vec<_>>()
        };
        all.push(Peers {
            members: shift(&peers.members),
            witnesses: shift(&peers.witnesses),
            store_region_relays: vec![address(0), address(1)],
            region_relay_rank: (index < 2).then(|| u32::try_from(index).expect("small")),
            region_relay_count: 2,
            ..Peers::default()
        });
    }
    for (relay, partner) in [(0, 4), (1, 5), (4, 0), (5, 1)] {
        let first = if partner >= 4 { 4 } else { 0 };
        all[relay].region_relays = vec![address(first), address(first + 1)];
        all[relay].region_partners = vec![address(partner)];
    }
    all
}
