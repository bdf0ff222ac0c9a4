//! Owner of a move (rollout): acquires the lease, asks the judge for verdicts and commits them.
//!
//! One owner per service runs on each of the two candidates. Both receive all evidence, so none
//! is lost when the other one takes over. Only the holder of the lease commits.

use hemlockfall_core::catalogue::MoveState;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::rendezvous;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::action::Action;
use crate::action::LogLine;
use crate::evidence::EvidenceMessage;
use crate::judge::Verdict;
use crate::lease::LeaseChange;
use crate::lease::LeaseRead;
use crate::lease::LeaseState;
use crate::lease::LeaseWrite;
use crate::options::Options;
use crate::record::MoveResult;
use crate::record::Point;
use crate::tracked::CommitStep;
use crate::tracked::PendingCommit;
use crate::tracked::TrackedMove;
use crate::tracked::edit_for;
use crate::tracked::new_judge;

/// Number of nodes that compete for a lease. With a fixed number, the load on the store does not
/// grow with the number of nodes.
pub const CANDIDATES: usize = 2;
/// Time between verdicts.
const DECIDE_INTERVAL_MS: u64 = 1_000;
/// Minimum time between verdicts while evidence with failures arrives.
const DECIDE_ON_FAILURES_INTERVAL_MS: u64 = 200;
/// Time after which a commit without an answer is read back.
const ANSWER_TIMEOUT_MS: u64 = 2_000;
/// Delay before the next store call after a failed one.
const RETRY_MS: u64 = 500;
/// Delay before a candidate that never held the lease writes the result. The record of the holder
/// is preferred because it names the decision.
const RESULT_DELAY_MS: u64 = 5_000;

/// Returns the nodes that compete for the lease of a service, highest rank first.
pub fn candidates<'a>(
    service: &str,
    nodes: impl IntoIterator<Item = &'a NodeName>,
) -> Vec<&'a NodeName> {
    let purpose = format!("moves/lease/{service}");
    rendezvous::rank(purpose.as_bytes(), nodes, |node| node.as_str(), CANDIDATES)
}

/// Answer to [`Action::Commit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// The edit is in the catalogue.
    Accepted {
        /// Revision that it made.
        revision: Revision,
    },
    /// The edit does not apply: the entry changed or the move is final.
    Refused {
        /// Reason for the refusal.
        reason: SmolStr,
    },
    /// The write may or may not have taken effect.
    Unknown,
}

/// Answer to [`Action::ReadBack`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBackAnswer {
    /// The operation is in the change records.
    Found {
        /// Revision that it made.
        revision: Revision,
    },
    /// The operation is not in the change records.
    Missing,
    /// The store did not answer.
    Unavailable,
}

/// Message to the owner.
#[derive(Clone, Debug)]
pub enum Input {
    /// The entry in force on this node changed.
    Entry(Box<ServiceEntry>),
    /// Rank of this node among the candidates; `None` if it is not a candidate.
    Rank(Option<usize>),
    /// Evidence arrived.
    Evidence(EvidenceMessage),
    /// An advisory stop by another judge arrived.
    Stop {
        /// Move to stop.
        move_id: MoveId,
        /// Reason for the stop.
        reason: SmolStr,
    },
    /// Answer to a read of the lease.
    LeaseRead(LeaseRead),
    /// Answer to a write of the lease.
    LeaseWrite(LeaseWrite),
    /// Answer to a commit.
    Commit {
        /// Operation id of the write.
        operation_id: OperationId,
        /// Answer.
        answer: CommitAnswer,
    },
    /// Answer to the reading back of a commit.
    ReadBack {
        /// Operation id of the write.
        operation_id: OperationId,
        /// Answer.
        answer: ReadBackAnswer,
    },
    /// Answer to the write of a result; `true` when the object exists now.
    Result(bool),
}

/// State of one candidate for one service.
#[derive(Clone, Debug)]
pub struct Owner {
    node: NodeName,
    service: ServiceName,
    options: Options,
    random: SmallRng,
    rank: Option<usize>,
    lease: LeaseState,
    tracked: Option<TrackedMove>,
    last_tick_unix_ms: Option<u64>,
    next_decision_unix_ms: u64,
    last_decision_unix_ms: u64,
}

impl Owner {
    /// Creates an owner that tracks no move; `seed` initializes the generator of its operation ids.
    #[must_use]
    pub fn new(node: NodeName, service: ServiceName, options: Options, seed: u64) -> Self {
        let lease = LeaseState::new(node.clone(), service.clone(), &options);
        Self {
            node,
            service,
            options,
            random: SmallRng::seed_from_u64(seed),
            rank: None,
            lease,
            tracked: None,
            last_tick_unix_ms: None,
            next_decision_unix_ms: 0,
            last_decision_unix_ms: 0,
        }
    }

    /// Returns whether this node may commit.
    #[must_use]
    pub fn is_holder(&self, now_unix_ms: u64) -> bool {
        self.lease.term(now_unix_ms).is_some()
    }

    /// Handles one message.
    pub fn handle(&mut self, input: Input, now_unix_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.reset_after_pause(now_unix_ms);
        match input {
            Input::Entry(entry) => self.on_entry(*entry, now_unix_ms),
            Input::Rank(rank) => self.on_rank(rank, now_unix_ms),
            Input::Evidence(message) => self.on_evidence(&message, now_unix_ms),
            Input::Stop { move_id, reason } => self.on_stop(move_id, reason),
            Input::LeaseRead(answer) => self.on_lease_read(answer, now_unix_ms, &mut actions),
            Input::LeaseWrite(answer) => {
                let change = self.lease.on_write(answer, now_unix_ms);
                self.on_lease_change(change);
            }
            Input::Commit {
                operation_id,
                answer,
            } => self.on_commit(operation_id, &answer, now_unix_ms, &mut actions),
            Input::ReadBack {
                operation_id,
                answer,
            } => self.on_read_back(operation_id, answer, now_unix_ms),
            Input::Result(exists) => {
                if let Some(tracked) = &mut self.tracked {
                    tracked.result_written |= exists;
                }
            }
        }
        actions
    }

    /// Performs the work that is due; has to be called at least every 500 ms.
    pub fn tick(&mut self, now_unix_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.reset_after_pause(now_unix_ms);
        let (Some(_), Some(move_id)) = (self.rank, self.move_id()) else {
            return actions;
        };
        if self.has_ended() {
            self.write_result(now_unix_ms, &mut actions);
            return actions;
        }
        actions.extend(self.lease.tick(move_id, now_unix_ms));
        if now_unix_ms >= self.next_decision_unix_ms {
            self.next_decision_unix_ms = now_unix_ms + DECIDE_INTERVAL_MS;
            self.last_decision_unix_ms = now_unix_ms;
            self.record_point(now_unix_ms);
            self.decide(now_unix_ms, &mut actions);
        }
        self.look_up_overdue_commit(now_unix_ms, &mut actions);
        actions
    }

    /// Discards the lease, the evidence and a pending commit if the process was paused for longer
    /// than the lease: the state from before the pause is outdated.
    fn reset_after_pause(&mut self, now_unix_ms: u64) {
        let last_unix_ms = self.last_tick_unix_ms.replace(now_unix_ms);
        let paused =
            last_unix_ms.is_some_and(|last| now_unix_ms >= last + self.options.lease_duration_ms);
        if !paused {
            return;
        }
        self.lease.reset(now_unix_ms);
        if let Some(tracked) = &mut self.tracked {
            tracked.judge = new_judge(&tracked.entry, &self.options);
            tracked.commit = None;
        }
    }

    fn move_id(&self) -> Option<MoveId> {
        let state = self.tracked.as_ref()?.entry.move_state.as_ref()?;
        Some(state.move_id)
    }

    fn has_ended(&self) -> bool {
        self.tracked
            .as_ref()
            .is_some_and(|tracked| tracked.ended_unix_ms.is_some())
    }

    fn on_entry(&mut self, entry: ServiceEntry, now_unix_ms: u64) {
        let Some(state) = &entry.move_state else {
            return;
        };
        let is_final = state.status.is_final();
        let is_current = self.move_id() == Some(state.move_id);
        match &mut self.tracked {
            Some(tracked) if is_current => {
                if entry.changed_revision < tracked.entry.changed_revision {
                    return;
                }
                if is_final && tracked.ended_unix_ms.is_none() {
                    tracked.ended_unix_ms = Some(now_unix_ms);
                    let delay_ms = if tracked.was_holder {
                        0
                    } else {
                        RESULT_DELAY_MS
                    };
                    tracked.result_next_unix_ms = now_unix_ms + delay_ms;
                }
                tracked.entry = entry;
            }
            _ if is_final => {}
            _ => self.tracked = Some(TrackedMove::new(entry, &self.options)),
        }
    }

    fn on_rank(&mut self, rank: Option<usize>, now_unix_ms: u64) {
        if rank.is_none() && self.rank.is_some() {
            self.lease.reset(now_unix_ms);
        }
        self.rank = rank;
    }

    fn on_evidence(&mut self, message: &EvidenceMessage, now_unix_ms: u64) {
        let matches = self.move_id() == Some(message.move_id) && message.service == self.service;
        if let Some(tracked) = &mut self.tracked
            && matches
            && tracked
                .sources
                .record_if_newer(&message.source, message.sequence)
        {
            tracked.judge.record(&message.summary, now_unix_ms);
            let shows_failures = message
                .summary
                .cells()
                .iter()
                .any(|cell| cell.new.failures > 0);
            if shows_failures {
                self.next_decision_unix_ms = self
                    .next_decision_unix_ms
                    .min(self.last_decision_unix_ms + DECIDE_ON_FAILURES_INTERVAL_MS);
            }
        }
    }

    /// Records an advisory stop. It binds every judge, because nodes that received it send no more
    /// requests to the new version.
    fn on_stop(&mut self, move_id: MoveId, reason: SmolStr) {
        let is_current = self.move_id() == Some(move_id);
        if let Some(tracked) = self.tracked.as_mut().filter(|_| is_current) {
            tracked.roll_back_reason.get_or_insert(reason);
        }
    }

    fn on_lease_read(&mut self, answer: LeaseRead, now_unix_ms: u64, actions: &mut Vec<Action>) {
        let (Some(rank), Some(move_id)) = (self.rank, self.move_id()) else {
            return;
        };
        let (change, action) = self.lease.on_read(answer, move_id, rank, now_unix_ms);
        self.on_lease_change(change);
        actions.extend(action);
    }

    fn on_lease_change(&mut self, change: LeaseChange) {
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        match change {
            LeaseChange::None => {}
            LeaseChange::Acquired { took_over } => {
                tracked.was_holder = true;
                tracked.needs_term_write |= took_over;
            }
            LeaseChange::Lost => tracked.commit = None,
        }
    }

    fn decide(&mut self, now_unix_ms: u64, actions: &mut Vec<Action>) {
        let term = self.lease.term(now_unix_ms);
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        let Some(state) = tracked.entry.move_state.clone() else {
            return;
        };
        // A candidate without the lease evaluates the evidence as well: after a stop the window
        // empties, and a candidate that takes over later must still roll the version back.
        let verdict = tracked.verdict(&state, now_unix_ms);
        if let Verdict::TakeBack(reason) = &verdict {
            tracked.roll_back_reason.get_or_insert(reason.clone());
        }
        // A previous holder and a candidate that cannot reach the store send advisory stops, which
        // only lower the share, but commit nothing.
        let sends_stops = tracked.was_holder || self.lease.is_store_unreachable();
        if term.is_none() && !sends_stops {
            return;
        }
        if let Verdict::TakeBack(reason) = &verdict {
            tracked.stopped_unix_ms.get_or_insert(now_unix_ms);
            actions.push(Action::StopMove {
                service: self.service.clone(),
                move_id: state.move_id,
                reason: reason.clone(),
            });
        }
        if let Some(term) = term {
            self.commit(&state, &verdict, term, now_unix_ms, actions);
        }
    }

    fn commit(
        &mut self,
        state: &MoveState,
        verdict: &Verdict,
        term: u64,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        // The next commit waits until the entry contains the last one.
        let entry_is_behind = tracked.entry.changed_revision < tracked.committed_revision;
        if tracked.commit.is_some() || entry_is_behind {
            return;
        }
        let Some((action, reason)) = edit_for(verdict, state, tracked.needs_term_write, term)
        else {
            return;
        };
        let operation_id = uuid::Builder::from_random_bytes(self.random.random()).into_uuid();
        let seen_revision = tracked.entry.changed_revision;
        tracked.commit = Some(PendingCommit {
            operation_id,
            step: CommitStep::Sent {
                at_unix_ms: now_unix_ms,
            },
        });
        actions.push(Action::Log(LogLine {
            at_unix_ms: now_unix_ms,
            service: self.service.clone(),
            move_id: state.move_id,
            route: None,
            decision: format_smolstr!("{action:?}"),
            reason: reason.clone(),
            decision_id: Some(operation_id),
        }));
        actions.push(Action::Commit {
            operation_id,
            edit: Edit::Move {
                service: self.service.clone(),
                move_id: Some(state.move_id),
                action,
                lease_term: term,
                reason,
            },
            seen_revision,
        });
    }

    fn on_commit(
        &mut self,
        operation_id: OperationId,
        answer: &CommitAnswer,
        now_unix_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        let Some(commit) = &mut tracked.commit else {
            return;
        };
        if commit.operation_id != operation_id {
            return;
        }
        match answer {
            CommitAnswer::Accepted { revision } => tracked.record_commit(*revision),
            CommitAnswer::Refused { .. } => tracked.commit = None,
            CommitAnswer::Unknown => {
                commit.step = CommitStep::LookupSent {
                    at_unix_ms: now_unix_ms,
                };
                actions.push(Action::ReadBack {
                    service: self.service.clone(),
                    operation_id,
                });
            }
        }
    }

    fn on_read_back(
        &mut self,
        operation_id: OperationId,
        answer: ReadBackAnswer,
        now_unix_ms: u64,
    ) {
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        let Some(commit) = &mut tracked.commit else {
            return;
        };
        if commit.operation_id != operation_id {
            return;
        }
        match answer {
            ReadBackAnswer::Found { revision } => tracked.record_commit(revision),
            // Deciding again is safe: if the missing write still arrives after a new commit took
            // effect, it fails on the changed revision of the entry.
            ReadBackAnswer::Missing => tracked.commit = None,
            ReadBackAnswer::Unavailable => {
                commit.step = CommitStep::LookupDue {
                    from_unix_ms: now_unix_ms + RETRY_MS,
                };
            }
        }
    }

    /// Reads back a commit whose answer is overdue.
    fn look_up_overdue_commit(&mut self, now_unix_ms: u64, actions: &mut Vec<Action>) {
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        let Some(commit) = &mut tracked.commit else {
            return;
        };
        let due = match commit.step {
            CommitStep::Sent { at_unix_ms } | CommitStep::LookupSent { at_unix_ms } => {
                now_unix_ms >= at_unix_ms + ANSWER_TIMEOUT_MS
            }
            CommitStep::LookupDue { from_unix_ms } => now_unix_ms >= from_unix_ms,
        };
        if due {
            commit.step = CommitStep::LookupSent {
                at_unix_ms: now_unix_ms,
            };
            actions.push(Action::ReadBack {
                service: self.service.clone(),
                operation_id: commit.operation_id,
            });
        }
    }

    fn record_point(&mut self, now_unix_ms: u64) {
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        let share_permille = tracked.entry.share_permille(now_unix_ms, None);
        let counts = tracked.judge.window_total(now_unix_ms);
        let mean_ms = counts.latency_sum_ms / u64::from(counts.timed().max(1));
        tracked.series.push(Point {
            at_unix_ms: now_unix_ms,
            share_permille,
            failure_permille: counts.failure_permille(),
            latency_ms: u32::try_from(mean_ms).unwrap_or(u32::MAX),
        });
    }

    fn write_result(&mut self, now_unix_ms: u64, actions: &mut Vec<Action>) {
        let node = self.node.clone();
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        if tracked.result_written || now_unix_ms < tracked.result_next_unix_ms {
            return;
        }
        tracked.result_next_unix_ms = now_unix_ms + ANSWER_TIMEOUT_MS;
        if let Some(result) = tracked.result(node) {
            actions.push(Action::WriteResult {
                key: MoveResult::key(result.move_id),
                result: Box::new(result),
            });
        }
    }
}
