//! Mesh of spenders and holders on a simulated network.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockfall_allowance::AllowanceKey;
use hemlockfall_allowance::NodeName;
use hemlockfall_allowance::Time;
use hemlockfall_allowance::holder::Holder;
use hemlockfall_allowance::limits::Bound;
use hemlockfall_allowance::limits::Limit;
use hemlockfall_allowance::messages::Ask;
use hemlockfall_allowance::messages::Grant;
use hemlockfall_allowance::spender::Spender;
use hemlockfall_allowance::spender::Take;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const KEY: &str = "account";
pub const BOUND: Bound = Bound {
    window: Duration::from_secs(5),
    overshoot_permille: 100,
    allowance: 20,
};
/// Resolution of the simulation.
pub const STEP: Duration = Duration::from_millis(2);
/// Longest time that a request waits for a token.
const PATIENCE: Duration = Duration::from_millis(80);
/// Steps between two updates of the view that a node has of the others.
const VIEW_STEPS: u32 = 50;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

enum Message {
    Ask(Ask),
    Grant(Grant),
}

struct Envelope {
    arrives_at: Time,
    from: usize,
    to: usize,
    message: Message,
}

pub struct Node {
    name: NodeName,
    /// Difference between the node's clock and the time of the simulation.
    clock: Duration,
    incarnation: u64,
    spender: Spender,
    holder: Holder,
    limit: Limit,
    pub is_up: bool,
    pub paused_until: Time,
    /// Nodes can exchange messages if they are in the same part of the network.
    pub part: u8,
    /// Node that this one takes to be lost although it may not be.
    pub unseen: Option<usize>,
    /// Requests that wait, with the time at which they stop.
    waiting: VecDeque<Time>,
}

pub struct Mesh {
    pub now: Time,
    pub nodes: Vec<Node>,
    bound: Bound,
    pub random: SmallRng,
    network: Vec<Envelope>,
    /// Bounds of the delay of a message in milliseconds, and the loss in permille.
    pub delay_ms: (u64, u64),
    pub loss_permille: u32,
    /// Time and node of each spent token, in order.
    pub spent: Vec<(Time, usize)>,
    pub refused: usize,
    /// Number of messages that carried requests for tokens, and of the others.
    pub asks: usize,
    pub keep_alives: usize,
    /// Limits with the time until which some node may have used them.
    limits: Vec<(Limit, Time)>,
    steps: u32,
}

impl Mesh {
    pub fn start(seed: u64, nodes: usize, limit: Limit, bound: Bound) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let nodes = (0..nodes).map(|index| {
            let clock = ms(random.random_range(1_000..10_000_000));
            let mut node = Node {
                name: format!("node-{index}").into(),
                clock,
                incarnation: 1,
                spender: Spender::new(1, bound, true, clock),
                holder: Holder::new(1, bound, true, clock),
                limit,
                is_up: true,
                paused_until: Time::ZERO,
                part: 0,
                unseen: None,
                waiting: VecDeque::new(),
            };
            node.set_limit(limit, clock);
            node
        });
        Self {
            now: Time::ZERO,
            nodes: nodes.collect(),
            bound,
            random,
            network: Vec::new(),
            delay_ms: (1, 13),
            loss_permille: 0,
            spent: Vec::new(),
            refused: 0,
            asks: 0,
            keep_alives: 0,
            limits: vec![(limit, Time::MAX)],
            steps: 0,
        }
    }

    /// Starts a new process of a node, which knows nothing of the earlier one.
    pub fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = self.now + node.clock;
        node.incarnation += 1;
        node.spender = Spender::new(node.incarnation, self.bound, false, now);
        node.holder = Holder::new(node.incarnation, self.bound, false, now);
        node.waiting.clear();
        node.is_up = true;
        node.paused_until = Time::ZERO;
        node.set_limit(node.limit, now);
        self.network
            .retain(|envelope| envelope.from != index && envelope.to != index);
        let (name, incarnation) = (
            self.nodes[index].name.clone(),
            self.nodes[index].incarnation,
        );
        for other in &mut self.nodes {
            other.spender.node_restarted(&name, incarnation);
        }
    }

    /// Gives a node a new limit.
    pub fn set_limit(&mut self, index: usize, limit: Limit) {
        let now = self.now + self.nodes[index].clock;
        let before = self.nodes[index].limit;
        self.nodes[index].set_limit(limit, now);
        if !self.limits.iter().any(|(known, _)| *known == limit) {
            self.limits.push((limit, Time::MAX));
        }
        let is_used = self.nodes.iter().any(|node| node.limit == before);
        for (known, until) in &mut self.limits {
            if *known == before && !is_used {
                *until = self.now;
            } else if *known == limit {
                *until = Time::MAX;
            }
        }
    }

    /// Returns the node that holds the allowance as most nodes see it.
    pub fn holder(&self) -> usize {
        let key = AllowanceKey::from(KEY);
        let view = self.nodes.iter().find_map(|node| {
            let holder = node.spender.holder_of(&key)?;
            node.is_up.then(|| holder.clone())
        });
        let found = self
            .nodes
            .iter()
            .position(|node| Some(&node.name) == view.as_ref());
        found.unwrap_or_default()
    }

    /// A request arrives at a node.
    pub fn request(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let now = self.now + self.nodes[index].clock;
        match self.nodes[index].spender.take(&KEY.into(), now) {
            Take::Spent(_) => self.spent.push((self.now, index)),
            Take::Refused { .. } => self.refused += 1,
            Take::Wait => self.nodes[index].waiting.push_back(self.now + PATIENCE),
            Take::Unlimited => panic!("the allowance has a limit"),
        }
        self.send_due(index);
    }

    /// Advances the time and handles all that is due.
    pub fn step(&mut self) {
        self.now += STEP;
        if self.steps.is_multiple_of(VIEW_STEPS) {
            self.update_views();
        }
        self.steps += 1;
        let mut arrived = Vec::new();
        let now = self.now;
        let mut index = 0;
        while index < self.network.len() {
            let envelope = &self.network[index];
            if envelope.arrives_at <= now && !self.is_paused(envelope.to) {
                arrived.push(self.network.swap_remove(index));
            } else {
                index += 1;
            }
        }
        for envelope in arrived {
            self.deliver(envelope);
        }
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                self.end_waits(index);
                if self.steps.is_multiple_of(VIEW_STEPS) {
                    self.send_due(index);
                }
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        if !self.nodes[to].is_up {
            return;
        }
        let now = self.now + self.nodes[to].clock;
        let sender = self.nodes[from].name.clone();
        match envelope.message {
            Message::Ask(ask) => {
                let grant = self.nodes[to].holder.handle(&sender, &ask, now);
                self.send(to, from, Message::Grant(grant));
            }
            Message::Grant(grant) => {
                self.nodes[to].spender.handle(&sender, grant, now);
                self.resume_waits(to);
                self.send_due(to);
            }
        }
    }

    fn resume_waits(&mut self, index: usize) {
        let now = self.now + self.nodes[index].clock;
        for _ in 0..self.nodes[index].waiting.len() {
            match self.nodes[index].spender.retake(&KEY.into(), now) {
                Take::Spent(_) => self.spent.push((self.now, index)),
                Take::Refused { .. } => self.refused += 1,
                Take::Wait => return,
                Take::Unlimited => panic!("the allowance has a limit"),
            }
            self.nodes[index].waiting.pop_front();
        }
    }

    fn end_waits(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        while node.waiting.front().is_some_and(|until| *until <= self.now) {
            node.waiting.pop_front();
            node.spender.give_up(&KEY.into(), self.now + node.clock);
            self.refused += 1;
        }
    }

    fn send_due(&mut self, index: usize) {
        let now = self.now + self.nodes[index].clock;
        for (holder, ask) in self.nodes[index].spender.poll(now) {
            if ask.items.is_empty() {
                self.keep_alives += 1;
            } else {
                self.asks += 1;
            }
            if let Some(to) = self.nodes.iter().position(|node| node.name == holder) {
                self.send(index, to, Message::Ask(ask));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_own = from == to;
        let is_lost = self.random.random_range(0..1000) < self.loss_permille;
        let is_cut = self.nodes[from].part != self.nodes[to].part;
        if !is_own && (is_lost || is_cut) {
            return;
        }
        let delay = self.random.random_range(self.delay_ms.0..=self.delay_ms.1);
        let delay = if is_own { Duration::ZERO } else { ms(delay) };
        self.network.push(Envelope {
            arrives_at: self.now + delay,
            from,
            to,
            message,
        });
    }

    /// Updates the views of some nodes, so that they differ for a while after a change.
    fn update_views(&mut self) {
        let names: Vec<NodeName> = self.nodes.iter().map(|node| node.name.clone()).collect();
        for index in 0..self.nodes.len() {
            if !self.is_running(index) || (self.steps > 0 && self.random.random_range(0..3) == 0) {
                continue;
            }
            let (part, unseen) = (self.nodes[index].part, self.nodes[index].unseen);
            let live: Vec<NodeName> = self
                .nodes
                .iter()
                .enumerate()
                .filter(|(other, node)| {
                    node.is_up && node.part == part && (unseen != Some(*other) || *other == index)
                })
                .map(|(_, node)| node.name.clone())
                .collect();
            let now = self.now + self.nodes[index].clock;
            let node = &mut self.nodes[index];
            node.spender.set_live(&live);
            let own = node.spender.slots_of(&node.name);
            node.holder.set_members(&names, own, now);
        }
    }

    fn is_paused(&self, index: usize) -> bool {
        self.nodes[index].is_up && self.now < self.nodes[index].paused_until
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].is_up && !self.is_paused(index)
    }

    /// Returns the window with the most tokens beyond the bound, and their number.
    pub fn worst_window(&self) -> Option<(Time, usize)> {
        let mut first = 0;
        let mut worst = None;
        for (last, (at, _)) in self.spent.iter().enumerate() {
            while self.spent[first].0 + self.bound.window <= *at {
                first += 1;
            }
            let start = self.spent[first].0;
            let in_force = |until: &Time| *until == Time::MAX || start < *until + self.bound.window;
            let bounds = self.limits.iter().filter(|(_, until)| in_force(until));
            let largest = bounds.map(|(limit, _)| self.bound.tokens_micro(*limit) / 1_000_000);
            let allowed = usize::try_from(largest.max().unwrap_or_default()).unwrap_or_default();
            let excess = (last + 1 - first).saturating_sub(allowed);
            if excess > worst.map_or(0, |(_, worst)| worst) {
                worst = Some((start, excess));
            }
        }
        worst
    }
}

impl Node {
    fn set_limit(&mut self, limit: Limit, now: Time) {
        self.limit = limit;
        let limits = [(AllowanceKey::from(KEY), limit)];
        self.spender.set_limits(&limits);
        self.holder.set_limits(&limits, now);
    }
}
