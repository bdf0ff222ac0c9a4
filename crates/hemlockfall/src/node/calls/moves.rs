//! What the moves learn of attempts.

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
    /// Tells the moves about the end of the current attempt of a call, if a move shifts the
    /// traffic of its route.
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
        let proxy = self.proxy.ro(cx);
        let side = proxy.side(call.service(), call.route_name(), call.version());
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

/// The cap that makes the request path follow the guard's choice.
pub fn cap_permille(choice: Choice, in_share: bool) -> u16 {
    match choice {
        Choice::Old => 0,
        Choice::New | Choice::Probe if in_share => FULL_PERMILLE,
        Choice::New | Choice::Probe => CONFIRM_PERMILLE,
    }
}

/// What an attempt says about the version that ran it; `None` when it did not run or when only
/// the way to it failed.
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
