//! Refusals of requests that no node is asked for.

use serde_json::json;

use crate::log::LogCategory;
use crate::model::RequestId;
use crate::node::Node;
use crate::node::callers::own_answer;
use crate::node::calls::CODE_NO_ROUTE;
use crate::node::calls::RETRY_AFTER;

const CODE_LONG_ID: &str = "HF-3710";

impl Node {
    /// Refuses a request whose id is too long to be carried on a link and echoed whole.
    pub(super) fn refuse_long_id(&mut self, caller: u64, token: u64, id_bytes: usize) {
        metrics::counter!("hemlockfall_sidecar_requests_total", "outcome" => "bad_id").increment(1);
        if self.log.admits(LogCategory::Failure, self.now) {
            self.log.write(
                "request",
                json!({ "status": 400, "code": CODE_LONG_ID, "id_bytes": id_bytes }),
            );
        }
        self.answer_caller(caller, token, own_answer(400, CODE_LONG_ID, None));
    }

    pub(super) fn refuse_request(
        &mut self,
        caller: u64,
        token: u64,
        id: &RequestId,
        status: u16,
        code: &str,
    ) {
        if self.log.admits(LogCategory::Failure, self.now) {
            let config = self.mesh.config().map(|config| config.version);
            self.log.write(
                "request",
                json!({ "id": id, "status": status, "code": code, "config": config }),
            );
        }
        metrics::counter!("hemlockfall_sidecar_requests_total", "outcome" => "refused")
            .increment(1);
        self.answer_caller(caller, token, own_answer(status, code, Some(RETRY_AFTER)));
    }

    pub(super) fn log_unrouted(&mut self, id: &RequestId, host: &str, path: &str, version: u64) {
        metrics::counter!("hemlockfall_sidecar_requests_total", "outcome" => "no_route")
            .increment(1);
        if self.log.admits(LogCategory::Failure, self.now) {
            self.log.write(
                "request",
                json!({
                    "id": id, "status": 404, "code": CODE_NO_ROUTE, "host": host, "path": path,
                    "config": version,
                }),
            );
        }
    }
}
