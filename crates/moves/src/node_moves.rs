//! Moves (rollouts) on one node's request path: shares, guards, advisory stops, and the evidence
//! that the node sends.

use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;

use crate::action::Action;
use crate::action::Recipient;
use crate::evidence::EvidenceMessage;
use crate::evidence::Sequences;
use crate::evidence::Summary;
use crate::guard;
use crate::guard::AttemptResult;
use crate::guard::Choice;
use crate::guard::Guard;
use crate::guard::Side;
use crate::options::Options;

/// Time between evidence messages.
pub const EVIDENCE_INTERVAL_MS: u64 = 1_000;

/// Message to [`NodeMoves`].
#[derive(Clone, Debug)]
pub enum Input {
    /// The catalogue entries in force changed.
    Entries(Vec<ServiceEntry>),
    /// The store became reachable (`None`), or unreachable since this time in unix milliseconds.
    StoreDownSince(Option<u64>),
    /// An attempt ended.
    Attempt(AttemptResult),
    /// An advisory stop arrived.
    Stop {
        /// Service.
        service: ServiceName,
        /// Move to stop.
        move_id: MoveId,
    },
    /// A target reported its own state. Reports can be late or wrong, so they are not used as
    /// evidence and change no share.
    Report {
        /// Service of the target.
        service: ServiceName,
        /// Version of the target.
        version: VersionName,
        /// Health as reported by the target itself.
        healthy: bool,
    },
    /// Evidence of a node of the local data centre arrived; this node is its aggregator.
    Evidence(EvidenceMessage),
}

#[derive(Clone, Debug)]
struct ActiveMove {
    entry: ServiceEntry,
    guard: Guard,
    /// Evidence of this node's own attempts since the last message.
    own: Summary,
    /// Evidence received as aggregator of the data centre since the last message.
    aggregated: Summary,
    sources: Sequences,
}

/// State of the moves of all services on one node.
#[derive(Clone, Debug)]
pub struct NodeMoves {
    node: NodeName,
    region: RegionName,
    options: Options,
    store_down_since_unix_ms: Option<u64>,
    last_sent_unix_ms: u64,
    last_sequence: u64,
    active_moves: Vec<ActiveMove>,
}

impl NodeMoves {
    /// Creates the state of a node without moves.
    #[must_use]
    pub fn new(node: NodeName, region: RegionName, options: Options) -> Self {
        Self {
            node,
            region,
            options,
            store_down_since_unix_ms: None,
            last_sent_unix_ms: 0,
            last_sequence: 0,
            active_moves: Vec::new(),
        }
    }

    /// Selects the version for a request. Callers don't ask for services without an active move
    /// or for routes with a pinned version.
    pub fn choose(
        &mut self,
        service: &str,
        route: &str,
        hash_permille: u16,
        now_unix_ms: u64,
    ) -> Choice {
        let down_since = self.store_down_since_unix_ms;
        let Some(active) = self.find(service) else {
            return Choice::Old;
        };
        let share_permille = active.entry.share_permille(now_unix_ms, down_since);
        active
            .guard
            .choose(route, share_permille, hash_permille, now_unix_ms)
    }

    /// Returns the side of a version in the active move of the service. `None` if the service has
    /// no active move, the version has no part in it, or the route has a pinned version, whose
    /// traffic the move does not shift.
    #[must_use]
    pub fn side(&self, service: &str, route: &str, version: &str) -> Option<Side> {
        let active = self.active_moves.get(self.position(service).ok()?)?;
        if !active.guard.watches(route) {
            return None;
        }
        let state = active.entry.move_state.as_ref()?;
        if state.to == version {
            Some(Side::New)
        } else if state.from == version {
            Some(Side::Old)
        } else {
            None
        }
    }

    /// Selects the version for a request that the plan assigns to the new version (`in_share`) or
    /// to the old one. A call uses up a probe or confirmation request that is due, so it is made
    /// once per request.
    pub fn permit(
        &mut self,
        service: &str,
        route: &str,
        in_share: bool,
        now_unix_ms: u64,
    ) -> Choice {
        let full = hemlockfall_core::units::FULL_PERMILLE;
        match self.find(service) {
            Some(active) => {
                let hash_permille = if in_share { 0 } else { full };
                active.guard.choose(route, full, hash_permille, now_unix_ms)
            }
            None if in_share => Choice::New,
            None => Choice::Old,
        }
    }

    /// Returns since when the store is unreachable, in unix milliseconds.
    #[must_use]
    pub fn store_down_since_unix_ms(&self) -> Option<u64> {
        self.store_down_since_unix_ms
    }

    /// Returns the largest share that the guard permits on a route.
    #[must_use]
    pub fn cap_permille(&self, service: &str, route: &str) -> u16 {
        self.position(service)
            .ok()
            .and_then(|index| self.active_moves.get(index))
            .map_or(hemlockfall_core::units::FULL_PERMILLE, |active| {
                active.guard.cap_permille(route)
            })
    }

    /// Handles one message.
    pub fn handle(&mut self, input: Input, now_unix_ms: u64) -> Vec<Action> {
        match input {
            Input::Entries(entries) => self.on_entries(entries),
            Input::StoreDownSince(since_unix_ms) => self.store_down_since_unix_ms = since_unix_ms,
            Input::Attempt(result) => return self.on_attempt(&result, now_unix_ms),
            Input::Stop { service, move_id } => self.on_stop(&service, move_id),
            Input::Evidence(message) => self.on_evidence(&message),
            Input::Report { .. } => {}
        }
        Vec::new()
    }

    /// Sends evidence if the last message is at least a second old.
    pub fn tick(&mut self, now_unix_ms: u64) -> Vec<Action> {
        if now_unix_ms < self.last_sent_unix_ms + EVIDENCE_INTERVAL_MS {
            return Vec::new();
        }
        self.last_sent_unix_ms = now_unix_ms;
        let mut actions = Vec::new();
        for index in 0..self.active_moves.len() {
            let own = std::mem::take(&mut self.active_moves[index].own);
            self.send(index, own, Recipient::Aggregator, now_unix_ms, &mut actions);
            let aggregated = std::mem::take(&mut self.active_moves[index].aggregated);
            self.send(
                index,
                aggregated,
                Recipient::Judges,
                now_unix_ms,
                &mut actions,
            );
        }
        actions
    }

    fn send(
        &mut self,
        index: usize,
        summary: Summary,
        to: Recipient,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if summary.is_empty() {
            return;
        }
        let active = &self.active_moves[index];
        let message = EvidenceMessage {
            service: active.entry.service.clone(),
            move_id: active.guard.move_id(),
            source: self.node.clone(),
            sequence: 0,
            summary,
        };
        // A message that cannot be encoded is dropped; its counts of one second are lost.
        for mut part in message.split().unwrap_or_default() {
            // Sequences start at the current time, so they increase across a restart of the node.
            self.last_sequence = now_unix_ms.max(self.last_sequence + 1);
            part.sequence = self.last_sequence;
            actions.push(Action::SendEvidence { to, message: part });
        }
    }

    fn on_entries(&mut self, entries: Vec<ServiceEntry>) {
        let mut previous = std::mem::take(&mut self.active_moves);
        for entry in entries {
            let is_active = entry
                .move_state
                .as_ref()
                .is_some_and(|state| !state.status.is_final());
            if !is_active {
                continue;
            }
            let Some(guard) = Guard::new(&entry, &self.options) else {
                continue;
            };
            let existing = previous
                .iter()
                .position(|active| active.guard.move_id() == guard.move_id())
                .map(|index| previous.swap_remove(index));
            self.active_moves.push(match existing {
                Some(active) => ActiveMove { entry, ..active },
                None => ActiveMove {
                    entry,
                    guard,
                    own: Summary::default(),
                    aggregated: Summary::default(),
                    sources: Sequences::default(),
                },
            });
        }
        self.active_moves
            .sort_by(|a, b| a.entry.service.cmp(&b.entry.service));
    }

    fn on_attempt(&mut self, result: &AttemptResult, now_unix_ms: u64) -> Vec<Action> {
        let region = self.region.clone();
        let Some(active) = self.find(&result.service) else {
            return Vec::new();
        };
        let line = active.guard.on_result(result, now_unix_ms);
        let is_cut = line
            .as_ref()
            .is_some_and(|line| line.decision == guard::CUT);
        if (is_cut || result.is_evidence())
            && let Some(cell) = active.own.cell(&result.route, &region)
        {
            cell.guards_tripped += u32::from(is_cut);
            let counts = match result.side {
                Side::Old => &mut cell.old,
                Side::New => &mut cell.new,
            };
            if result.is_evidence() {
                result.count(counts);
            }
        }
        line.into_iter().map(Action::Log).collect()
    }

    fn on_stop(&mut self, service: &str, move_id: MoveId) {
        if let Some(active) = self.find(service)
            && active.guard.move_id() == move_id
        {
            active.guard.stop();
        }
    }

    fn on_evidence(&mut self, message: &EvidenceMessage) {
        if let Some(active) = self.find(&message.service)
            && active.guard.move_id() == message.move_id
            && active
                .sources
                .record_if_newer(&message.source, message.sequence)
        {
            active.aggregated.add(&message.summary);
        }
    }

    /// Returns the status of a service's move as this node derives it, also after the deadline.
    #[must_use]
    pub fn status(&self, service: &str, now_unix_ms: u64) -> Option<MoveStatus> {
        let active = self.active_moves.get(self.position(service).ok()?)?;
        let state = active.entry.move_state.as_ref()?;
        if now_unix_ms < state.deadline_unix_ms {
            return Some(state.status);
        }
        if active.guard.is_stopped() {
            return Some(MoveStatus::TakenBack);
        }
        Some(state.status_at_deadline())
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.active_moves
            .binary_search_by(|active| active.entry.service.as_str().cmp(service))
    }

    fn find(&mut self, service: &str) -> Option<&mut ActiveMove> {
        let index = self.position(service).ok()?;
        self.active_moves.get_mut(index)
    }
}
