//! Requests of callers that end before their attempt does: the deadline passes, the caller
//! disconnects, or the node stops.

use serde_json::json;

use crate::attempts::FinalOutcome;
use crate::log::LogCategory;
use crate::node::Node;
use crate::node::callers::own_answer;
use crate::node::calls::AttemptLocation;
use crate::node::calls::CODE_NO_TARGET;
use crate::node::calls::Call;
use crate::node::ms;

const CODE_TIMED_OUT: &str = "HF-3705";

impl Node {
    /// Answers a request whose deadline, given by its caller or its route, has passed.
    pub(super) fn call_timed_out(&mut self, id: u64) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let has_not_run = self.has_not_run(call);
        self.abandon_attempt(id, "no answer in time");
        let answer = if has_not_run {
            own_answer(503, CODE_NO_TARGET, None)
        } else {
            own_answer(504, CODE_TIMED_OUT, None)
        };
        self.finish_call(id, answer, "timed_out");
    }

    /// Answers all requests in progress, since the process is about to end: without an answer, those
    /// that are answered but stand behind them on their connections would be lost as well.
    pub(super) fn interrupt_calls(&mut self) {
        self.drain_queue();
        for id in self.calls.ids() {
            let Some(call) = self.calls.get(id) else {
                continue;
            };
            let outcome = if call.last_answer.is_some() {
                FinalOutcome::Deliver
            } else if self.has_not_run(call) {
                FinalOutcome::NotRun
            } else {
                FinalOutcome::Unknown
            };
            self.abandon_attempt(id, "interrupted, since the node stops");
            self.finish(id, outcome);
        }
    }

    /// Returns whether no target has received a request. The state of a request at another node is
    /// not known.
    fn has_not_run(&self, call: &Call) -> bool {
        !call.may_have_run
            && match call.location {
                AttemptLocation::None => true,
                AttemptLocation::Own(work) => self.is_waiting(work),
                AttemptLocation::Peer { .. } => false,
            }
    }

    /// Cancels the attempt in progress of a request.
    fn abandon_attempt(&mut self, id: u64, reason: &str) {
        let Some(location) = self.calls.get(id).map(|call| call.location) else {
            return;
        };
        let name = self.location_name(location);
        if let Some(call) = self.calls.get_mut(id) {
            call.trace.push(format!("{name}: {reason}"));
        }
        self.cancel_attempt(id, location);
    }

    /// Abandons a request whose caller has closed its connection.
    pub(super) fn caller_disconnected(&mut self, token: u64) {
        self.discard_deregistration(token);
        self.discard_deferred(token);
        let found = self
            .calls
            .iter()
            .find(|(_, call)| call.token == token)
            .map(|(id, call)| (id, call.location));
        let Some((id, location)) = found else {
            return;
        };
        self.cancel_attempt(id, location);
        let Some(call) = self.calls.remove(id) else {
            return;
        };
        metrics::counter!("hemlockfall_sidecar_requests_total", "outcome" => "caller_gone")
            .increment(1);
        if self.log.admits(LogCategory::Failure, self.now) {
            let waited_ms = ms(self.now.saturating_sub(call.arrived));
            self.log.write(
                "request",
                json!({
                    "id": call.request_id, "route": call.route.name, "outcome": "caller_gone",
                    "waited_ms": waited_ms, "attempts": call.trace,
                }),
            );
        }
    }

    /// Returns the name of an attempt's node for the log.
    pub(super) fn location_name(&self, location: AttemptLocation) -> String {
        match location {
            AttemptLocation::None => "nowhere".to_owned(),
            AttemptLocation::Own(_) => "own target".to_owned(),
            AttemptLocation::Peer { peer, .. } => self.peers.get(peer).map_or_else(
                || "unknown node".to_owned(),
                |peer| peer.record.node.to_string(),
            ),
        }
    }

    fn cancel_attempt(&mut self, id: u64, location: AttemptLocation) {
        match location {
            AttemptLocation::None => {}
            AttemptLocation::Own(work) => self.cancel_work(work),
            AttemptLocation::Peer { peer, link } => self.cancel_at_peer(id, peer, link),
        }
    }
}
