//! Interface of the request path to moves (rollouts): results of attempts, and the share cap.

use hemlockfall_core::units::FULL_PERMILLE;
use hemlockfall_core::units::duration_ms;
use hemlockfall_moves::guard;
use hemlockfall_moves::guard::Choice;
use hemlockfall_request::clock::Now;
use hemlockfall_request::outcome::AttemptResult;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::route::CONFIRM_PERMILLE;
use stakker::CX;
use stakker::call;

use crate::node::calls::Calls;

impl Calls {
    /// Reports the result of the current attempt of a call to the moves actor if a move affects the
    /// route of the call.
    pub(super) fn report_attempt(
        &mut self,
        cx: CX![],
        index: usize,
        result: AttemptResult,
        now: Now,
    ) {
        let Some(outcome) = outcome_of(result) else {
            return;
        };
        let entry = &self.entry.calls[index];
        let call = &entry.call;
        let node_moves = self.node_moves.ro(cx);
        let side = node_moves.side(call.service(), call.route_name(), call.version());
        let (Some(side), Some(current)) = (side, &entry.attempt) else {
            return;
        };
        let latency = now.at.saturating_duration_since(current.sent_at);
        let report = guard::AttemptResult {
            service: call.service().clone(),
            route: call.route_name().clone(),
            side,
            outcome,
            latency_ms: u32::try_from(duration_ms(latency)).unwrap_or(u32::MAX),
            cold: self.router.is_cold(&current.node, now),
        };
        call!([self.moves], handle_attempt_result(Box::new(report)));
    }
}

/// Returns the share cap that makes the request path follow the choice of the guard.
pub fn cap_permille(choice: Choice, in_share: bool) -> u16 {
    match choice {
        Choice::Old => 0,
        Choice::New | Choice::Probe if in_share => FULL_PERMILLE,
        Choice::New | Choice::Probe => CONFIRM_PERMILLE,
    }
}

/// Returns what the result of an attempt means for the version that ran it; `None` if the attempt
/// did not run or only the connection to it failed.
fn outcome_of(result: AttemptResult) -> Option<guard::Outcome> {
    match result {
        AttemptResult::Answered { is_failure: false } => Some(guard::Outcome::Succeeded),
        AttemptResult::Answered { is_failure: true } => Some(guard::Outcome::Failed),
        AttemptResult::Unknown { reason } => match reason {
            Reason::TargetLost => Some(guard::Outcome::Lost),
            Reason::TimedOut | Reason::IncompleteAnswer => Some(guard::Outcome::Failed),
            _ => None,
        },
        AttemptResult::NotRun { .. } | AttemptResult::KeyRefused { .. } => None,
    }
}
