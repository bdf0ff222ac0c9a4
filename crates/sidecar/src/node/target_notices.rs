//! What the target states about itself in its answers.

use hemlockfall_http::http::HttpAnswer;
use serde_json::Value;
use serde_json::json;

use crate::admission::WorkId;
use crate::clock::Time;
use crate::log::LogCategory;
use crate::node::Node;
use crate::node::targets::WorkOrigin;
use crate::node::targets::WorkState;
use crate::platform::RateNotice;

impl Node {
    /// Applies the notices of an answer that belongs to a request.
    pub(super) fn read_notices(&mut self, id: WorkId, answer: &HttpAnswer) {
        let Some(work) = self.target.work_items.get(id) else {
            return;
        };
        let WorkState::Running { started, .. } = work.state else {
            return;
        };
        let is_success = (200..300).contains(&answer.status) && self.is_valid_answer(work, answer);
        // A health check is answered by a part of the target that need not know its limit.
        if work.origin != WorkOrigin::HealthCheck {
            self.target.admission.answered();
        }
        if self.platform.announces_leaving(answer) && self.target.own.announce_leaving(started) {
            self.target_leaves(id);
        }
        self.read_rate_limit(id, answer, started, is_success);
    }

    /// Rejects queued requests, and broadcasts and stores the deregistration of a target that has
    /// announced that it leaves. It binds later processes of this node as well.
    fn target_leaves(&mut self, id: WorkId) {
        let request = self.target.work_items.get(id).map(|work| &work.request_id);
        let fields =
            json!({ "id": request, "instance": self.target.own.key().map(|key| key.instance) });
        self.log_event("target_leaves", fields);
        self.publish_deregistration();
    }

    fn read_rate_limit(
        &mut self,
        id: WorkId,
        answer: &HttpAnswer,
        started: Time,
        is_success: bool,
    ) {
        let admission = &mut self.target.admission;
        let before = admission.rate_limit_per_s();
        match self.platform.rate_notice(answer) {
            RateNotice::PerSecond(per_s) => admission.set_rate_limit(per_s, started, self.now),
            // A refusal or a failure may come from a part of the target that does not know its
            // limit.
            RateNotice::None if !is_success => {}
            RateNotice::None => admission.withdraw_rate_limit(started),
            RateNotice::Unreadable { value } => {
                self.log_rate_limit(id, json!({ "unreadable": value, "limit_per_s": before }));
                return;
            }
        }
        let limit = self.target.admission.rate_limit_per_s();
        if limit != before {
            metrics::gauge!("hemlockfall_sidecar_target_limit_per_s").set(limit.unwrap_or(-1.0));
            self.log_rate_limit(
                id,
                json!({ "limit_per_s": limit, "before_per_s": before, "status": answer.status }),
            );
        }
    }

    fn log_rate_limit(&mut self, id: WorkId, mut fields: Value) {
        if !self.log.admits(LogCategory::Failure, self.now) {
            return;
        }
        let request = self.target.work_items.get(id);
        let instance = self.target.own.current().map(|target| &target.instance);
        fields["id"] = json!(request.map(|work| &work.request_id));
        fields["instance"] = json!(instance);
        self.log.write("target_limit", fields);
    }
}
