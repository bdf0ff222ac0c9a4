//! Idempotency keys: performs the actions of the key store.

use hemlockfall_core::codec;
use hemlockfall_request::idempotency::KeyAction;
use hemlockfall_request::idempotency::KeyDecision;
use hemlockfall_request::key_records::RecordedAnswer;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::seen::AttemptId;
use stakker::CX;

use crate::edge::frame::MESSAGE_LIMIT_BYTES;
use crate::edge::http::HttpAnswer;
use crate::node::calls::Calls;
use crate::wire::AttemptEnd;
use crate::wire::LinkMessage;

impl Calls {
    pub(super) fn perform_keys(&mut self, cx: CX![], actions: Vec<KeyAction>) {
        for action in actions {
            match action {
                KeyAction::Send { to, message } => {
                    // A keeper without an address has been removed from the member table; the
                    // majority of the other keepers decides.
                    if let Ok(index) = self.address_position(&to) {
                        let message = LinkMessage::Key {
                            from: self.own.clone(),
                            message,
                        };
                        self.send_link(self.addresses[index].address, 0, &message);
                    }
                }
                KeyAction::Decide { claimant, decision } => {
                    self.handle_key_decision(cx, claimant, decision);
                }
            }
        }
    }

    fn handle_key_decision(&mut self, cx: CX![], attempt_id: AttemptId, decision: KeyDecision) {
        match decision {
            KeyDecision::Run => self.request_slot(cx, attempt_id),
            KeyDecision::Recorded(recorded) => {
                let end = match decode(&recorded) {
                    Some(answer) => AttemptEnd::Answered(answer),
                    None => refused(Reason::KeyAnswerNotKept),
                };
                self.end_local(cx, attempt_id, end);
            }
            KeyDecision::Refused(reason) => self.end_local(cx, attempt_id, refused(reason)),
        }
    }
}

/// Creates the result of an attempt without an answer.
pub(super) fn refused(reason: Reason) -> AttemptEnd {
    AttemptEnd::Refused {
        reason,
        retry_after_ms: reason.retry_after_ms(),
    }
}

/// Creates the key record of an answer.
pub(super) fn record(answer: &HttpAnswer) -> RecordedAnswer {
    RecordedAnswer {
        status: answer.status,
        content: codec::encode(answer).ok(),
    }
}

fn decode(recorded: &RecordedAnswer) -> Option<HttpAnswer> {
    codec::decode(recorded.content.as_ref()?, MESSAGE_LIMIT_BYTES).ok()
}
