//! Simulation of the nodes, owners, store and network of a move on simulated time.

use std::collections::BTreeMap;

use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::ids::NodeName;
use hemlockfall_moves::action::Action;
use hemlockfall_moves::action::Recipient;
use hemlockfall_moves::guard::AttemptResult;
use hemlockfall_moves::guard::Choice;
use hemlockfall_moves::guard::Side;
use hemlockfall_moves::lease::LeaseRead;
use hemlockfall_moves::lease::LeaseWrite;
use hemlockfall_moves::node_moves;
use hemlockfall_moves::node_moves::NodeMoves;
use hemlockfall_moves::options::Options;
use hemlockfall_moves::owner;
use hemlockfall_moves::owner::CommitAnswer;
use hemlockfall_moves::owner::Owner;
use hemlockfall_moves::owner::ReadBackAnswer;
use hemlockfall_moves::record::MoveResult;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::figures::Outcome;
use super::scenario::Disturbance;
use super::scenario::PROXIES_PER_REGION;
use super::scenario::REGIONS;
use super::scenario::ROUTES;
use super::scenario::START_UNIX_MS;
use super::scenario::Scenario;
use super::store::SERVICE;
use super::store::Store;
use super::traffic::PROXIES;
use super::traffic::Request;
use super::traffic::Traffic;
use super::traffic::region_of;

const STEP_MS: u64 = 50;
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Time simulated after the deadline, in milliseconds.
pub const SIMULATED_AFTER_DEADLINE_MS: u64 = 15_000;
/// Index of the region with the store.
const STORE_REGION: usize = 0;
const INTRA_REGION_DELAY_MS: u64 = 2;
const INTER_REGION_DELAY_MS: u64 = 14;
/// Time until other nodes detect a killed node or a store that is down.
const FAILURE_DETECTION_MS: u64 = 4_000;
const DATAGRAM_LOSS_RATE: f64 = 0.01;
const STORE_ANSWER_LOSS_RATE: f64 = 0.05;

/// State at the end of the simulation of a move.
pub struct FinalState {
    /// Outcome of the move.
    pub outcome: Outcome,
    /// Stored catalogue.
    pub catalogue: StoredCatalogue,
    /// Stored decision records.
    pub results: Vec<MoveResult>,
    /// End of the simulation, in Unix milliseconds.
    pub now_unix_ms: u64,
}

enum Event {
    NodeMoves(usize, node_moves::Input),
    Owner(usize, owner::Input),
    Entry(usize, Box<ServiceEntry>),
    Store(usize, Action),
    Answered {
        proxy: usize,
        result: AttemptResult,
        faulty: bool,
    },
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    random: SmallRng,
    traffic: Traffic,
    store: Store,
    nodes: Vec<NodeName>,
    node_moves: Vec<NodeMoves>,
    entries: Vec<Option<ServiceEntry>>,
    owners: Vec<Owner>,
    candidates: Vec<usize>,
    killed: Option<usize>,
    frozen: Option<usize>,
    queue: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    now_ms: u64,
    first_fault_ms: Option<u64>,
    last_affected_ms: u64,
    faulty_requests: u64,
}

/// Runs one move to its end.
///
/// # Errors
/// A message if the fake store refuses the move.
pub fn run(scenario: &Scenario, seed: u64) -> Result<FinalState, String> {
    let mut simulation = Simulation::new(scenario, seed)?;
    let end_ms = scenario.duration_ms + SIMULATED_AFTER_DEADLINE_MS;
    while simulation.now_ms < end_ms {
        simulation.now_ms += STEP_MS;
        simulation.step();
    }
    Ok(FinalState {
        outcome: simulation.outcome(),
        now_unix_ms: simulation.now_unix_ms(),
        catalogue: simulation.store.catalogue,
        results: simulation.store.results,
    })
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Result<Self, String> {
        let store = Store::with_move(scenario)?;
        // The names depend on the seed, so that the candidates vary between regions.
        let nodes: Vec<NodeName> = (0..PROXIES)
            .map(|index| format!("node-{index}-{seed:x}").into())
            .collect();
        let node_moves = (0..PROXIES)
            .map(|index| {
                let region = REGIONS[region_of(index)].into();
                NodeMoves::new(nodes[index].clone(), region, Options::default())
            })
            .collect();
        let owners = (0..PROXIES)
            .map(|index| {
                let seed = seed ^ (index as u64 + 1);
                Owner::new(
                    nodes[index].clone(),
                    SERVICE.into(),
                    Options::default(),
                    seed,
                )
            })
            .collect();
        let mut simulation = Self {
            scenario,
            random: SmallRng::seed_from_u64(seed ^ 0x776f_726c),
            traffic: Traffic::new(scenario, seed),
            store,
            nodes,
            node_moves,
            entries: vec![None; PROXIES],
            owners,
            candidates: Vec::new(),
            killed: None,
            frozen: None,
            queue: BTreeMap::new(),
            event_count: 0,
            now_ms: 0,
            first_fault_ms: None,
            last_affected_ms: 0,
            faulty_requests: 0,
        };
        simulation.rank_candidates();
        simulation.disseminate();
        Ok(simulation)
    }

    fn now_unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms
    }

    fn step(&mut self) {
        self.apply_disturbance();
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > self.now_ms {
                break;
            }
            let event = next.remove();
            self.deliver(event);
        }
        for request in self.traffic.due(self.scenario, self.now_ms) {
            self.send_request(request);
        }
        for index in 0..PROXIES {
            self.report_target(index);
            let actions = self.node_moves[index].tick(START_UNIX_MS + self.now_ms);
            self.perform(index, actions);
        }
        for index in self.candidates.clone() {
            if self.is_running(index) {
                let actions = self.owners[index].tick(START_UNIX_MS + self.now_ms);
                self.perform(index, actions);
            }
        }
    }

    /// Delivers the periodic health report of the new version's target to its proxy; the report
    /// may be wrong.
    fn report_target(&mut self, index: usize) {
        if !self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        let input = node_moves::Input::Report {
            service: SERVICE.into(),
            version: "v2".into(),
            healthy: !self.scenario.reports_failing,
        };
        let now_unix_ms = self.now_unix_ms();
        self.node_moves[index].handle(input, now_unix_ms);
    }

    fn apply_disturbance(&mut self) {
        let is_start = self.now_ms == self.scenario.disturbed_from_ms / STEP_MS * STEP_MS;
        let end_ms = self.scenario.disturbed_from_ms + self.scenario.disturbed_for_ms;
        let is_end = self.now_ms == end_ms / STEP_MS * STEP_MS;
        let detected_ms = self.scenario.disturbed_from_ms + FAILURE_DETECTION_MS;
        let is_detected = self.now_ms == detected_ms / STEP_MS * STEP_MS;
        let now_unix_ms = self.now_unix_ms();
        let holder = (0..PROXIES).find(|index| self.owners[*index].is_holder(now_unix_ms));
        match self.scenario.disturbance {
            Disturbance::JudgeKilled if is_start => self.killed = holder,
            Disturbance::JudgeKilled if is_detected => self.rank_candidates(),
            Disturbance::JudgeFrozen if is_start => self.frozen = holder,
            Disturbance::JudgeFrozen if is_end => self.frozen = None,
            Disturbance::StoreOutage | Disturbance::RegionsCut
                if is_detected && now_unix_ms < START_UNIX_MS + end_ms =>
            {
                self.set_store_down_since(Some(now_unix_ms));
            }
            Disturbance::StoreOutage | Disturbance::RegionsCut if is_end => {
                self.set_store_down_since(None);
                self.disseminate();
            }
            _ => {}
        }
    }

    fn set_store_down_since(&mut self, since_unix_ms: Option<u64>) {
        let cut = self.scenario.disturbance == Disturbance::RegionsCut;
        for index in 0..PROXIES {
            if !cut || region_of(index) != STORE_REGION {
                let input = node_moves::Input::StoreDownSince(since_unix_ms);
                self.push(INTRA_REGION_DELAY_MS, Event::NodeMoves(index, input));
            }
        }
    }

    fn rank_candidates(&mut self) {
        let alive: Vec<&NodeName> = (0..PROXIES)
            .filter(|index| Some(*index) != self.killed)
            .map(|index| &self.nodes[index])
            .collect();
        let ranked = owner::candidates(SERVICE, alive);
        self.candidates = ranked
            .iter()
            .filter_map(|name| self.nodes.iter().position(|node| node == *name))
            .collect();
        for index in 0..PROXIES {
            let rank = self.candidates.iter().position(|node| *node == index);
            self.push(
                INTRA_REGION_DELAY_MS,
                Event::Owner(index, owner::Input::Rank(rank)),
            );
        }
    }

    /// Sends the current entry to all reachable nodes, as configuration distribution does.
    fn disseminate(&mut self) {
        let Some(entry) = self.store.entry().cloned() else {
            return;
        };
        for index in 0..PROXIES {
            if self.connected(STORE_REGION, region_of(index)) {
                let delay_ms = self.random.random_range(20..1_500);
                self.push(delay_ms, Event::Entry(index, Box::new(entry.clone())));
            }
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        a == b
            || !self
                .scenario
                .is_disturbed(Disturbance::RegionsCut, self.now_ms)
    }

    fn is_running(&self, node: usize) -> bool {
        self.killed != Some(node) && self.frozen != Some(node)
    }

    fn push(&mut self, delay_ms: u64, event: Event) {
        self.event_count += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.event_count), event);
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if !self.connected(region_of(from), region_of(to))
            || self.random.random_bool(DATAGRAM_LOSS_RATE)
        {
            return;
        }
        self.push(delay_ms(region_of(from), region_of(to)), event);
    }

    fn deliver(&mut self, event: Event) {
        let now_unix_ms = self.now_unix_ms();
        match event {
            Event::NodeMoves(index, input) => {
                let actions = self.node_moves[index].handle(input, now_unix_ms);
                self.perform(index, actions);
            }
            Event::Owner(index, _) if self.killed == Some(index) => {}
            // A paused process receives its messages when it continues.
            Event::Owner(index, input) if self.frozen == Some(index) => {
                self.push(STEP_MS * 2, Event::Owner(index, input));
            }
            Event::Owner(index, input) => {
                let actions = self.owners[index].handle(input, now_unix_ms);
                self.perform(index, actions);
            }
            Event::Entry(index, entry) => self.on_entry(index, *entry),
            Event::Store(index, action) => self.on_store(index, action),
            Event::Answered {
                proxy,
                result,
                faulty,
            } => {
                if faulty {
                    self.faulty_requests += 1;
                    self.first_fault_ms.get_or_insert(self.now_ms);
                }
                let input = node_moves::Input::Attempt(result);
                let actions = self.node_moves[proxy].handle(input, now_unix_ms);
                self.perform(proxy, actions);
            }
        }
    }

    fn on_entry(&mut self, index: usize, entry: ServiceEntry) {
        let current_revision = self.entries[index]
            .as_ref()
            .map_or(0, |current| current.changed_revision);
        if entry.changed_revision <= current_revision {
            return;
        }
        let now_unix_ms = self.now_unix_ms();
        self.node_moves[index].handle(node_moves::Input::Entries(vec![entry.clone()]), now_unix_ms);
        self.entries[index] = Some(entry.clone());
        self.push(0, Event::Owner(index, owner::Input::Entry(Box::new(entry))));
    }

    fn send_request(&mut self, request: Request) {
        let now_unix_ms = self.now_unix_ms();
        let Some(entry) = &self.entries[request.proxy] else {
            return;
        };
        let share_permille = entry.share_permille(now_unix_ms, None);
        let is_final = entry
            .move_state
            .as_ref()
            .is_some_and(|state| state.status.is_final());
        let choice = match (is_final, share_permille) {
            (true, 0) => Choice::Old,
            (true, _) => Choice::New,
            _ => self.node_moves[request.proxy].choose(
                SERVICE,
                ROUTES[request.route],
                request.hash_permille,
                now_unix_ms,
            ),
        };
        let side = match choice {
            Choice::Old => Side::Old,
            Choice::New | Choice::Probe => Side::New,
        };
        let affected = self
            .scenario
            .affects(request.route, region_of(request.proxy));
        if choice == Choice::New && affected {
            self.last_affected_ms = self.now_ms;
        }
        let answer = self
            .traffic
            .answer(self.scenario, request, side, share_permille, self.now_ms);
        let result = AttemptResult {
            service: SERVICE.into(),
            route: ROUTES[request.route].into(),
            side,
            outcome: answer.outcome,
            latency_ms: answer.latency_ms,
            cold: answer.cold,
        };
        let event = Event::Answered {
            proxy: request.proxy,
            result,
            faulty: answer.faulty,
        };
        self.push(u64::from(answer.latency_ms), event);
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendEvidence { to, message } => match to {
                    Recipient::Aggregator => {
                        let aggregator = region_of(from) * PROXIES_PER_REGION;
                        let input = node_moves::Input::Evidence(message);
                        self.send(from, aggregator, Event::NodeMoves(aggregator, input));
                    }
                    Recipient::Judges => {
                        for candidate in self.candidates.clone() {
                            let input = owner::Input::Evidence(message.clone());
                            self.send(from, candidate, Event::Owner(candidate, input));
                        }
                    }
                },
                Action::StopMove {
                    service,
                    move_id,
                    reason,
                } => {
                    for candidate in self.candidates.clone() {
                        let reason = reason.clone();
                        let input = owner::Input::Stop { move_id, reason };
                        self.send(from, candidate, Event::Owner(candidate, input));
                    }
                    for index in 0..PROXIES {
                        let service = service.clone();
                        let input = node_moves::Input::Stop { service, move_id };
                        self.send(from, index, Event::NodeMoves(index, input));
                    }
                }
                Action::Log(_) => {}
                call => {
                    let delay_ms = delay_ms(region_of(from), STORE_REGION);
                    self.push(delay_ms, Event::Store(from, call));
                }
            }
        }
    }

    fn on_store(&mut self, node: usize, call: Action) {
        let down = self
            .scenario
            .is_disturbed(Disturbance::StoreOutage, self.now_ms);
        let reachable = !down && self.connected(region_of(node), STORE_REGION);
        let lost = self.random.random_bool(STORE_ANSWER_LOSS_RATE);
        let before = self.store.catalogue.configuration.revision;
        let answer = self.store_answer(node, call, reachable, lost);
        if self.store.catalogue.configuration.revision != before {
            self.disseminate();
        }
        if let Some(input) = answer {
            let delay_ms = if reachable && !lost { 4 } else { 1_000 };
            self.push(delay_ms, Event::Owner(node, input));
        }
    }

    fn store_answer(
        &mut self,
        node: usize,
        call: Action,
        reachable: bool,
        lost: bool,
    ) -> Option<owner::Input> {
        let missing = !reachable || lost;
        match call {
            Action::ReadLease { .. } if missing => {
                Some(owner::Input::LeaseRead(LeaseRead::Unavailable))
            }
            Action::ReadLease { .. } => Some(owner::Input::LeaseRead(self.store.read_lease())),
            Action::AcquireLease {
                lease, if_version, ..
            }
            | Action::RenewLease {
                lease, if_version, ..
            } => {
                let mut answer = LeaseWrite::Unknown;
                if reachable {
                    answer = self.store.write_lease(lease, if_version);
                }
                Some(owner::Input::LeaseWrite(if lost {
                    LeaseWrite::Unknown
                } else {
                    answer
                }))
            }
            Action::Commit {
                operation_id,
                edit,
                seen_revision,
            } => {
                let author = Author {
                    operation_id,
                    who: self.nodes[node].clone(),
                    at_unix_ms: self.now_unix_ms(),
                };
                let mut answer = CommitAnswer::Unknown;
                if reachable {
                    answer = self.store.commit(&edit, &author, seen_revision);
                }
                if lost {
                    answer = CommitAnswer::Unknown;
                }
                Some(owner::Input::Commit {
                    operation_id,
                    answer,
                })
            }
            Action::ReadBack { operation_id, .. } => {
                let answer = if missing {
                    ReadBackAnswer::Unavailable
                } else {
                    self.store.read_back(operation_id)
                };
                Some(owner::Input::ReadBack {
                    operation_id,
                    answer,
                })
            }
            Action::WriteResult { result, .. } => {
                let results = &mut self.store.results;
                if reachable
                    && results
                        .iter()
                        .all(|existing| existing.move_id != result.move_id)
                {
                    results.push(*result);
                }
                Some(owner::Input::Result(!missing))
            }
            Action::SendEvidence { .. } | Action::StopMove { .. } | Action::Log(_) => None,
        }
    }

    fn outcome(&self) -> Outcome {
        let deadline_unix_ms = START_UNIX_MS + self.scenario.duration_ms;
        let state = self
            .store
            .entry()
            .and_then(|entry| entry.move_state.as_ref());
        let decided = self.store.catalogue.changes.last();
        let decided_unix_ms = decided.map_or(START_UNIX_MS, |change| change.at_unix_ms);
        let status = state.map_or(MoveStatus::Running, |state| state.status);
        // At the deadline every proxy applies the committed entry by the clock, so a record of
        // that same decision may be written after the deadline; any other decision may not.
        let by_clock = state.is_some_and(|state| state.reason.starts_with("deadline passed"));
        let end_ms = self.scenario.duration_ms + SIMULATED_AFTER_DEADLINE_MS;
        let last_ms = if status == MoveStatus::TakenBack {
            self.last_affected_ms
        } else {
            end_ms
        };
        Outcome {
            status,
            on_time: decided_unix_ms <= deadline_unix_ms || by_clock,
            reason: state.map_or_else(String::new, |state| state.reason.to_string()),
            decided_ms: decided_unix_ms - START_UNIX_MS,
            faulty_requests: self.faulty_requests,
            fault_to_zero_ms: self
                .first_fault_ms
                .map(|first| last_ms.saturating_sub(first)),
        }
    }
}

fn delay_ms(a: usize, b: usize) -> u64 {
    if a == b {
        INTRA_REGION_DELAY_MS
    } else {
        INTER_REGION_DELAY_MS
    }
}
