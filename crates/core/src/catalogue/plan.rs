//! The plan of a move: the new version's share of traffic over time.

use crate::catalogue::model::MoveState;
use crate::catalogue::model::MoveStatus;
use crate::catalogue::model::OnOutage;
use crate::catalogue::model::PlanStep;
use crate::units::FULL_PERMILLE;

/// Time before the deadline at which the verdict must be committed. A committed change is in force
/// on all nodes within 7 s, so the verdict is known everywhere when the deadline passes.
pub const COMMIT_MARGIN_MS: u64 = 8_000;

/// Minimum planned share at which a move without a verdict counts as done when its deadline passes.
pub const DONE_AT_DEADLINE_PERMILLE: u16 = 500;

/// Shares of the steps after the first one, in permille; each is at least double the previous one.
const LATER_STEPS_PERMILLE: [u16; 5] = [50, 125, 250, 500, FULL_PERMILLE];

/// Length of the first step, in parts of the available time out of [`TOTAL_TIME_PARTS`]. Evidence
/// accumulates slowly at a small share, so the first step is the longest.
const FIRST_STEP_TIME_PARTS: u64 = 4;
const TOTAL_TIME_PARTS: u64 = 10;

/// Returns the plan of a move from its start, deadline and first share.
///
/// The last step (all traffic) begins one step length before the verdict must be committed, so that
/// evidence at full share can be collected. Moves shorter than twice the commit margin use half of
/// their time as margin.
#[must_use]
pub fn fit(
    started_unix_ms: u64,
    deadline_unix_ms: u64,
    first_share_permille: u16,
) -> Vec<PlanStep> {
    let total_ms = deadline_unix_ms.saturating_sub(started_unix_ms);
    let margin_ms = COMMIT_MARGIN_MS.min(total_ms / 2);
    let usable_ms = total_ms - margin_ms;
    let first_ms = usable_ms * FIRST_STEP_TIME_PARTS / TOTAL_TIME_PARTS;
    let first = PlanStep {
        at_unix_ms: started_unix_ms,
        share_permille: first_share_permille,
    };
    let later: Vec<u16> = LATER_STEPS_PERMILLE
        .into_iter()
        .filter(|share| *share > first_share_permille)
        .collect();
    let step_ms = (usable_ms - first_ms) / (later.len() as u64).max(1);
    let mut plan = vec![first];
    let mut at_unix_ms = started_unix_ms + first_ms;
    for share_permille in later {
        plan.push(PlanStep {
            at_unix_ms,
            share_permille,
        });
        at_unix_ms += step_ms;
    }
    plan
}

impl MoveState {
    /// Returns the planned share at a time.
    #[must_use]
    pub fn planned_permille_at(&self, now_unix_ms: u64) -> u16 {
        let passed = self
            .plan
            .partition_point(|step| step.at_unix_ms <= now_unix_ms);
        passed
            .checked_sub(1)
            .and_then(|index| self.plan.get(index))
            .map_or(0, |s| s.share_permille)
    }

    /// Returns the share in force at a time, for a move without a final status.
    ///
    /// After the deadline the share is all or nothing and depends only on the committed entry,
    /// so that all nodes with that entry use the same share.
    #[must_use]
    pub fn share_permille_at(
        &self,
        now_unix_ms: u64,
        store_down_since_unix_ms: Option<u64>,
    ) -> u16 {
        if now_unix_ms >= self.deadline_unix_ms {
            return match self.status_at_deadline() {
                MoveStatus::Done => FULL_PERMILLE,
                MoveStatus::TakenBack | MoveStatus::Running | MoveStatus::Paused => 0,
            };
        }
        if self.status == MoveStatus::Paused {
            return self.share_permille;
        }
        match (self.on_outage, store_down_since_unix_ms) {
            (OnOutage::Freeze, Some(since_unix_ms)) => self.planned_permille_at(since_unix_ms),
            (OnOutage::Freeze | OnOutage::Advance, _) => self.planned_permille_at(now_unix_ms),
        }
    }

    /// Returns the final status of a move whose deadline passed without a verdict.
    ///
    /// The decision uses a share that every node is certain to have reached: the held share of a
    /// paused move, and 0 for a move that freezes on outages, since nodes may have noticed an
    /// outage at different times.
    #[must_use]
    pub fn status_at_deadline(&self) -> MoveStatus {
        if self.status.is_final() {
            return self.status;
        }
        let reached_permille = match (self.status, self.on_outage) {
            (MoveStatus::Paused, _) => self.share_permille,
            (_, OnOutage::Advance) => self.planned_permille_at(self.deadline_unix_ms),
            (_, OnOutage::Freeze) => 0,
        };
        if reached_permille >= DONE_AT_DEADLINE_PERMILLE {
            MoveStatus::Done
        } else {
            MoveStatus::TakenBack
        }
    }
}
