//! Moves actor: shares and guards of this node, evidence, and the moves (rollouts) that it judges.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;
use std::time::SystemTime;

use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::units;
use hemlockfall_distribution::snapshot::Snapshot;
use hemlockfall_membership::items::GossipItem;
use hemlockfall_membership::items::MAX_REASON_BYTES;
use hemlockfall_membership::roles::Roles;
use hemlockfall_moves::action::Action;
use hemlockfall_moves::action::LogLine;
use hemlockfall_moves::action::Recipient;
use hemlockfall_moves::evidence::EvidenceMessage;
use hemlockfall_moves::guard::AttemptResult;
use hemlockfall_moves::guard::CUT;
use hemlockfall_moves::node_moves;
use hemlockfall_moves::node_moves::NodeMoves;
use hemlockfall_moves::options::Options;
use hemlockfall_moves::owner;
use hemlockfall_moves::owner::Owner;
use smol_str::SmolStr;
use stakker::Actor;
use stakker::CX;
use stakker::Share;
use stakker::after;
use stakker::call;

use crate::node::control::AcceptedChange;
use crate::node::control::Control;
use crate::node::control::ControlOutput;

pub mod report;
pub mod store;

use store::MoveStore;
use store::StoreAnswer;
use store::StoreJob;

const TICK: Duration = Duration::from_millis(200);
/// Lifetime of an advisory stop. The judge sends it again until the rollback is committed.
const STOP_LIFETIME_MS: u32 = 60_000;

/// Components of the moves actor.
pub struct MovesParts {
    /// Name of this node.
    pub node: NodeName,
    /// Peer address of this node.
    pub address: SocketAddr,
    /// Settings section `moves`.
    pub options: Options,
    /// Shares and guards; the request path reads them for each request.
    pub node_moves: Share<NodeMoves>,
    /// Membership and distribution.
    pub control: Actor<Control>,
    /// Thread for store calls.
    pub store: MoveStore,
}

/// Actor that performs and judges moves.
pub struct Moves {
    parts: MovesParts,
    roles: Arc<Roles>,
    /// Nodes that are eligible as judges, sorted by name.
    nodes: Vec<LiveNode>,
    nodes_changed: bool,
    /// Entries with a move in progress, sorted by service.
    in_progress: Vec<ActiveMove>,
}

struct LiveNode {
    node: NodeName,
    address: SocketAddr,
}

struct ActiveMove {
    entry: ServiceEntry,
    judges: Vec<NodeName>,
    /// Set if this node has been a candidate for the lease of the move.
    owner: Option<Owner>,
}

fn now_unix_ms() -> u64 {
    units::unix_ms(SystemTime::now())
}

impl Moves {
    /// Creates the actor without moves and starts its tick.
    pub fn init(cx: CX![], parts: MovesParts) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            parts,
            roles: Arc::new(Roles::default()),
            nodes: Vec::new(),
            nodes_changed: false,
            in_progress: Vec::new(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = now_unix_ms();
        if self.nodes_changed {
            self.nodes_changed = false;
            for index in 0..self.in_progress.len() {
                self.update_rank(index, now);
            }
        }
        let node_moves = self.parts.node_moves.rw(cx);
        let actions = node_moves.tick(now);
        self.perform(cx, actions, now);
        for index in 0..self.in_progress.len() {
            let owner = self.in_progress[index].owner.as_mut();
            let actions = owner.map_or_else(Vec::new, |owner| owner.tick(now));
            self.perform(cx, actions, now);
        }
    }

    /// Handles an output of the control actor.
    pub fn handle_control_output(&mut self, cx: CX![], output: ControlOutput) {
        match output {
            ControlOutput::InForce(snapshot) => self.apply_snapshot(cx, &snapshot),
            ControlOutput::Endpoint(record) => self.handle_endpoint(&record),
            ControlOutput::Removed(node) => {
                if let Ok(index) = self.position_of_node(&node) {
                    self.nodes.remove(index);
                    self.nodes_changed = true;
                }
            }
            ControlOutput::Item { item, .. } => self.handle_item(cx, item),
            ControlOutput::Roles(roles) => self.roles = roles,
            ControlOutput::StoreDownSince(since_unix_ms) => {
                let node_moves = self.parts.node_moves.rw(cx);
                node_moves.handle(
                    node_moves::Input::StoreDownSince(since_unix_ms),
                    now_unix_ms(),
                );
            }
        }
    }

    fn apply_snapshot(&mut self, cx: CX![], snapshot: &Arc<Snapshot>) {
        let now = now_unix_ms();
        let entries: Vec<ServiceEntry> = snapshot
            .configuration()
            .entries
            .iter()
            .filter(|entry| entry.move_state.is_some())
            .cloned()
            .collect();
        let node_moves = self.parts.node_moves.rw(cx);
        node_moves.handle(node_moves::Input::Entries(entries.clone()), now);
        let mut previous_moves = std::mem::take(&mut self.in_progress);
        for entry in entries {
            let previous = previous_moves
                .iter()
                .position(|active_move| active_move.entry.service == entry.service)
                .map(|index| previous_moves.swap_remove(index));
            let is_final = entry
                .move_state
                .as_ref()
                .is_some_and(|state| state.status.is_final());
            let (judges, owner) = previous.map_or((Vec::new(), None), |m| (m.judges, m.owner));
            // A final move is kept only if this node has its owner, which writes the result.
            if is_final && owner.is_none() {
                continue;
            }
            self.in_progress.push(ActiveMove {
                entry,
                judges,
                owner,
            });
        }
        for index in 0..self.in_progress.len() {
            self.update_rank(index, now);
            let active_move = &mut self.in_progress[index];
            let Some(owner) = &mut active_move.owner else {
                continue;
            };
            let input = owner::Input::Entry(Box::new(active_move.entry.clone()));
            let actions = owner.handle(input, now);
            self.perform(cx, actions, now);
        }
    }

    /// Determines the candidates for the lease of a move, and creates or updates the owner of this
    /// node.
    fn update_rank(&mut self, index: usize, now_unix_ms: u64) {
        let active_move = &mut self.in_progress[index];
        let nodes = self.nodes.iter().map(|live| &live.node);
        let judges = owner::candidates(&active_move.entry.service, nodes);
        active_move.judges = judges.into_iter().cloned().collect();
        let own = &self.parts.node;
        let rank = active_move.judges.iter().position(|node| node == own);
        if active_move.owner.is_none() && rank.is_some() {
            let mut owner = Owner::new(
                own.clone(),
                active_move.entry.service.clone(),
                self.parts.options.clone(),
                rand::random(),
            );
            let input = owner::Input::Entry(Box::new(active_move.entry.clone()));
            owner.handle(input, now_unix_ms);
            active_move.owner = Some(owner);
        }
        if let Some(owner) = &mut active_move.owner {
            owner.handle(owner::Input::Rank(rank), now_unix_ms);
        }
    }

    fn handle_endpoint(&mut self, record: &EndpointRecord) {
        // Draining nodes hand over their roles before they stop.
        let can_judge = record.state < EndpointState::Leaving;
        match (self.position_of_node(&record.node), can_judge) {
            (Ok(index), true) => self.nodes[index].address = record.peer_address,
            (Ok(index), false) => {
                self.nodes.remove(index);
                self.nodes_changed = true;
            }
            (Err(index), true) => {
                let (node, address) = (record.node.clone(), record.peer_address);
                self.nodes.insert(index, LiveNode { node, address });
                self.nodes_changed = true;
            }
            (Err(_), false) => {}
        }
    }

    fn position_of_node(&self, node: &str) -> Result<usize, usize> {
        self.nodes
            .binary_search_by(|live| live.node.as_str().cmp(node))
    }

    fn handle_item(&mut self, cx: CX![], item: GossipItem) {
        match item {
            GossipItem::StopMove {
                service,
                move_id,
                reason,
            } => self.apply_stop(cx, service, move_id, reason),
            GossipItem::StoreDown { .. } | GossipItem::Fingerprint { .. } => {}
        }
    }

    fn apply_stop(&mut self, cx: CX![], service: ServiceName, move_id: MoveId, reason: SmolStr) {
        let now = now_unix_ms();
        if let Some(owner) = self.owner(&service) {
            let input = owner::Input::Stop { move_id, reason };
            let actions = owner.handle(input, now);
            self.perform(cx, actions, now);
        }
        let node_moves = self.parts.node_moves.rw(cx);
        node_moves.handle(node_moves::Input::Stop { service, move_id }, now);
    }

    fn owner(&mut self, service: &str) -> Option<&mut Owner> {
        let index = self.position(service).ok()?;
        self.in_progress[index].owner.as_mut()
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.in_progress
            .binary_search_by(|active_move| active_move.entry.service.as_str().cmp(service))
    }

    /// Handles the result of an attempt for a caller of this node.
    #[expect(clippy::boxed_local, reason = "stakker's queue copies arguments")]
    pub fn handle_attempt_result(&mut self, cx: CX![], result: Box<AttemptResult>) {
        let now = now_unix_ms();
        let node_moves = self.parts.node_moves.rw(cx);
        let actions = node_moves.handle(node_moves::Input::Attempt(*result), now);
        self.perform(cx, actions, now);
    }

    /// Handles evidence of another node.
    #[expect(clippy::boxed_local, reason = "stakker's queue copies arguments")]
    pub fn receive_evidence(&mut self, cx: CX![], to: Recipient, message: Box<EvidenceMessage>) {
        self.handle_evidence(cx, to, *message, now_unix_ms());
    }

    fn handle_evidence(&mut self, cx: CX![], to: Recipient, message: EvidenceMessage, now: u64) {
        match to {
            Recipient::Aggregator => {
                let node_moves = self.parts.node_moves.rw(cx);
                node_moves.handle(node_moves::Input::Evidence(message), now);
            }
            Recipient::Judges => {
                if let Some(owner) = self.owner(&message.service) {
                    let actions = owner.handle(owner::Input::Evidence(message), now);
                    self.perform(cx, actions, now);
                }
            }
        }
    }

    /// Handles the result of a store call.
    pub fn handle_store_answer(&mut self, cx: CX![], answer: StoreAnswer) {
        let now = now_unix_ms();
        let StoreAnswer {
            service,
            input,
            committed,
        } = answer;
        if let Some(stored) = committed {
            if let owner::Input::Commit { operation_id, .. } = &input {
                metrics::counter!("hemlockfall_move_verdicts_total").increment(1);
                spdlog::info!("move decision committed", kv: {
                    service = service.as_str(),
                    decision_id = operation_id.to_string(),
                    revision = stored.configuration.revision,
                });
            }
            // The number of copies is not used.
            let (copies, _) = mpsc::sync_channel(1);
            call!(
                [self.parts.control],
                handle_accepted_change(AcceptedChange { stored, copies })
            );
        }
        if let Some(owner) = self.owner(&service) {
            let actions = owner.handle(input, now);
            self.perform(cx, actions, now);
        }
    }

    fn perform(&mut self, cx: CX![], actions: Vec<Action>, now: u64) {
        for action in actions {
            match action {
                Action::SendEvidence { to, message } => self.send_evidence(cx, to, message, now),
                Action::StopMove {
                    service,
                    move_id,
                    reason,
                } => self.stop_move(cx, service, move_id, reason),
                Action::Log(line) => log_decision(&line),
                Action::ReadLease { service } => self.submit(service, StoreJob::ReadLease),
                Action::AcquireLease {
                    service,
                    lease,
                    if_version,
                }
                | Action::RenewLease {
                    service,
                    lease,
                    if_version,
                } => self.submit(service, StoreJob::WriteLease { lease, if_version }),
                Action::Commit {
                    operation_id,
                    edit,
                    seen_revision,
                } => {
                    let service = edit.service().clone();
                    let job = StoreJob::Commit {
                        operation_id,
                        edit: Box::new(edit),
                        seen_revision,
                    };
                    self.submit(service, job);
                }
                Action::ReadBack {
                    service,
                    operation_id,
                } => self.submit(service, StoreJob::ReadBack { operation_id }),
                Action::WriteResult { key, result } => {
                    let service = result.service.clone();
                    self.submit(service, StoreJob::WriteResult { key, result });
                }
            }
        }
    }

    fn submit(&self, service: ServiceName, job: StoreJob) {
        self.parts.store.submit(service, job);
    }

    fn send_evidence(&mut self, cx: CX![], to: Recipient, message: EvidenceMessage, now: u64) {
        match to {
            Recipient::Aggregator => {
                let other = self.roles.aggregator.filter(|a| *a != self.parts.address);
                match other {
                    Some(address) => {
                        call!([self.parts.control], send_evidence(address, to, message));
                    }
                    None => self.handle_evidence(cx, to, message, now),
                }
            }
            Recipient::Judges => self.send_to_judges(cx, &message, now),
        }
    }

    fn send_to_judges(&mut self, cx: CX![], message: &EvidenceMessage, now: u64) {
        let to = Recipient::Judges;
        let judges = self.position(&message.service).map_or_else(
            |_| Vec::new(),
            |index| self.in_progress[index].judges.clone(),
        );
        for judge in judges {
            let copy = message.clone();
            if judge == self.parts.node {
                self.handle_evidence(cx, to, copy, now);
            } else if let Ok(index) = self.position_of_node(&judge) {
                let address = self.nodes[index].address;
                call!([self.parts.control], send_evidence(address, to, copy));
            }
        }
    }

    fn stop_move(&mut self, cx: CX![], service: ServiceName, move_id: MoveId, reason: SmolStr) {
        let item = GossipItem::StopMove {
            service: service.clone(),
            move_id,
            reason: truncate_reason(&reason),
        };
        call!([self.parts.control], disseminate(item, STOP_LIFETIME_MS));
        self.apply_stop(cx, service, move_id, reason);
    }
}

fn log_decision(line: &LogLine) {
    if line.decision == CUT {
        metrics::counter!("hemlockfall_guard_cuts_total").increment(1);
    }
    let decision_id = line.decision_id.map(|id| id.to_string());
    spdlog::info!("move decision", kv: {
        service = line.service.as_str(),
        move_id = line.move_id.to_string(),
        route = line.route.as_ref().map_or("", |route| route.as_str()),
        decision = line.decision.as_str(),
        reason = line.reason.as_str(),
        decision_id = decision_id.unwrap_or_default(),
        at_unix_ms = line.at_unix_ms,
    });
}

fn truncate_reason(reason: &SmolStr) -> SmolStr {
    let end = reason.floor_char_boundary(MAX_REASON_BYTES);
    reason[..end].into()
}
