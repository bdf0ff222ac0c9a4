//! State of the move (rollout) that an owner tracks.

use hemlockfall_core::catalogue::MoveState;
use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::edit::MoveAction;
use hemlockfall_core::catalogue::plan::COMMIT_MARGIN_MS;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::evidence::Sequences;
use crate::judge::Judge;
use crate::judge::Verdict;
use crate::options::Options;
use crate::record::MoveResult;
use crate::record::Series;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitStep {
    Sent { at_unix_ms: u64 },
    LookupSent { at_unix_ms: u64 },
    LookupDue { from_unix_ms: u64 },
}

#[derive(Clone, Debug)]
pub struct PendingCommit {
    pub operation_id: OperationId,
    pub step: CommitStep,
}

#[derive(Clone, Debug)]
pub struct TrackedMove {
    pub entry: ServiceEntry,
    pub judge: Judge,
    pub sources: Sequences,
    pub series: Series,
    pub commit: Option<PendingCommit>,
    pub committed_revision: Revision,
    pub last_decision_id: Option<OperationId>,
    pub needs_term_write: bool,
    pub was_holder: bool,
    pub roll_back_reason: Option<SmolStr>,
    pub stopped_unix_ms: Option<u64>,
    pub ended_unix_ms: Option<u64>,
    pub result_next_unix_ms: u64,
    pub result_written: bool,
}

impl TrackedMove {
    pub fn new(entry: ServiceEntry, options: &Options) -> Self {
        Self {
            judge: new_judge(&entry, options),
            entry,
            sources: Sequences::default(),
            series: Series::default(),
            commit: None,
            committed_revision: 0,
            last_decision_id: None,
            needs_term_write: false,
            was_holder: false,
            roll_back_reason: None,
            stopped_unix_ms: None,
            ended_unix_ms: None,
            result_next_unix_ms: 0,
            result_written: false,
        }
    }

    pub fn verdict(&mut self, state: &MoveState, now_unix_ms: u64) -> Verdict {
        let verdict = self.judge.decide(state, now_unix_ms);
        if let Some(reason) = &self.roll_back_reason {
            return Verdict::TakeBack(reason.clone());
        }
        if now_unix_ms >= state.deadline_unix_ms {
            return match state.status_at_deadline() {
                MoveStatus::Done => Verdict::Finish("deadline passed at full share".into()),
                _ => Verdict::TakeBack("deadline passed below half of the traffic".into()),
            };
        }
        let is_past_commit_margin = now_unix_ms + COMMIT_MARGIN_MS > state.deadline_unix_ms;
        let is_done_by_plan = state.status_at_deadline() == MoveStatus::Done;
        match verdict {
            // A commit would no longer reach every node before the deadline. Only the outcome that
            // the nodes derive from the plan by themselves is safe.
            Verdict::Finish(_) if is_past_commit_margin && !is_done_by_plan => Verdict::Continue,
            Verdict::Hold(_) | Verdict::Resume if is_past_commit_margin => Verdict::Continue,
            other => other,
        }
    }

    pub fn record_commit(&mut self, revision: Revision) {
        self.needs_term_write = false;
        self.committed_revision = revision;
        let Some(commit) = self.commit.take() else {
            return;
        };
        self.last_decision_id = Some(commit.operation_id);
    }

    pub fn result(&self, judge: NodeName) -> Option<MoveResult> {
        let state = self.entry.move_state.as_ref()?;
        Some(MoveResult {
            service: self.entry.service.clone(),
            move_id: state.move_id,
            from: state.from.clone(),
            to: state.to.clone(),
            status: state.status,
            reason: state.reason.clone(),
            judge,
            started_unix_ms: state.started_unix_ms,
            deadline_unix_ms: state.deadline_unix_ms,
            ended_unix_ms: self.ended_unix_ms.unwrap_or(state.deadline_unix_ms),
            revision: self.entry.changed_revision,
            decision_id: self.last_decision_id,
            fault_seen_unix_ms: self.judge.suspect_since_unix_ms(),
            stopped_unix_ms: self.stopped_unix_ms,
            evidence: self.judge.records(),
            series: self.series.clone(),
        })
    }
}

pub fn new_judge(entry: &ServiceEntry, options: &Options) -> Judge {
    Judge::new(entry.limits.max_failure_permille, options.clone())
}

/// Returns the change of the move's state that a verdict or a takeover of the lease requires.
pub fn edit_for(
    verdict: &Verdict,
    state: &MoveState,
    needs_term_write: bool,
    term: u64,
) -> Option<(MoveAction, SmolStr)> {
    let paused = state.status == MoveStatus::Paused;
    match verdict {
        Verdict::TakeBack(reason) => Some((MoveAction::TakeBack, reason.clone())),
        Verdict::Finish(reason) => Some((MoveAction::Finish, reason.clone())),
        Verdict::Hold(reason) => Some((MoveAction::Pause, reason.clone())),
        Verdict::Resume => Some((MoveAction::Resume, "resumed by judge".into())),
        // Writing the current state again puts the new lease term into the entry, which fences off
        // the previous holder.
        Verdict::Continue if needs_term_write && paused => {
            Some((MoveAction::Pause, state.reason.clone()))
        }
        Verdict::Continue if needs_term_write => Some((
            MoveAction::Resume,
            format_smolstr!("judge changed, lease term {term}"),
        )),
        Verdict::Continue => None,
    }
}
