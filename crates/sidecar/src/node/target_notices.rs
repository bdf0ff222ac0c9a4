//! What the target states about itself in its answers.

use hemlockfall_http::http::HttpAnswer;
use serde_json::json;

use crate::admission::WorkId;
use crate::log::LogCategory;
use crate::node::Node;
use crate::platform::RateNotice;

impl Node {
    /// Reads the notices of an answer that belongs to a request.
    pub(super) fn read_notices(&mut self, id: WorkId, answer: &HttpAnswer) {
        let before = self.target.named_rate_per_s;
        let named = match self.platform.rate_notice(answer) {
            RateNotice::PerSecond(per_s) => Some(per_s),
            RateNotice::None => None,
            RateNotice::Unreadable { value } => {
                self.log_rate_limit(id, json!({ "unreadable": value, "before_per_s": before }));
                return;
            }
        };
        if named == before {
            return;
        }
        self.target.named_rate_per_s = named;
        metrics::gauge!("hemlockfall_sidecar_target_limit_per_s").set(named.unwrap_or(-1.0));
        self.log_rate_limit(
            id,
            json!({ "limit_per_s": named, "before_per_s": before, "status": answer.status }),
        );
    }

    fn log_rate_limit(&mut self, id: WorkId, mut fields: serde_json::Value) {
        if !self.log.admits(LogCategory::Failure, self.now) {
            return;
        }
        let request = self.target.work_items.get(id);
        let instance = self.target.own.current().map(|target| &target.instance);
        if let Some(object) = fields.as_object_mut() {
            object.insert("id".to_owned(), json!(request.map(|work| &work.request_id)));
            object.insert("instance".to_owned(), json!(instance));
        }
        self.log.write("target_limit", fields);
    }
}
