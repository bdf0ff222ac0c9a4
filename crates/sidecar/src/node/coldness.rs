//! Cold rate of the target beside this node, and the health checks that find out whether it is cold.

use std::rc::Rc;
use std::time::Duration;

use hemlockfall_http::http::Header;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http::HttpRequest;
use serde_json::json;

use crate::admission::WorkId;
use crate::clock::Time;
use crate::cold_rate::ColdLimit;
use crate::edge::frame::Failure;
use crate::fingerprint;
use crate::model::Service;
use crate::node::Node;
use crate::node::calls::AttemptEnd;
use crate::node::targets::WorkItem;
use crate::node::targets::WorkOrigin;
use crate::node::targets::WorkState;
use crate::rate_limit;

/// Time for the answer to a health check. At the target it waits for a slot like a request.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

impl Node {
    /// Returns whether the cold rate of the target's service may be unknown, as there is no
    /// configuration yet.
    pub(super) fn lacks_cold_rate(&self) -> bool {
        self.settings.has_cold_rates() && self.mesh.config().is_none()
    }

    fn target_service(&self) -> Option<&Service> {
        let config = self.mesh.config()?;
        config.service(&self.target.own.current()?.service)
    }

    fn cold_limit(&self) -> Option<ColdLimit> {
        let service = self.target_service()?;
        let per_s = rate_limit::from_milli(service.cold_milli_per_s);
        (per_s > 0.0).then(|| ColdLimit {
            per_s,
            max_per_window: self.settings.max_cold_requests(per_s),
        })
    }

    /// Puts the cold rate in force while the target is cold or may be cold.
    pub(super) fn update_coldness(&mut self) {
        let now = self.now;
        let is_cold = self.target.own.is_cold(now);
        let is_in_doubt = self.target.cold_doubt.is_open();
        let limit = self.cold_limit();
        let admission = &mut self.target.admission;
        let before = admission.cold_limit_per_s();
        admission.set_cold(is_cold);
        admission.set_cold_limit(limit, is_cold || is_in_doubt, now);
        let per_s = admission.cold_limit_per_s();
        if per_s == before {
            return;
        }
        metrics::gauge!("hemlockfall_sidecar_cold_rate_per_s").set(per_s.unwrap_or(-1.0));
        self.log_event(
            "target_cold",
            json!({ "rate_per_s": per_s, "is_reported": is_cold, "is_in_doubt": is_in_doubt }),
        );
        if per_s.is_none() {
            self.dispatch_work();
        }
    }

    /// Treats the target as cold until it reports that it is not.
    pub(super) fn doubt_coldness(&mut self) {
        self.target.cold_doubt.begin(self.now);
        self.update_coldness();
    }

    /// Sends a health check to a target that may be cold, if one is due. It takes a slot.
    pub(super) fn check_coldness(&mut self) {
        let is_due = self.target.cold_doubt.is_check_due(self.now) && self.accepts_peer_calls();
        if !is_due || self.cold_limit().is_none() {
            return;
        }
        let path = self.target_service().map(|service| &service.health_path);
        let Some(path) = path.filter(|path| !path.is_empty()).cloned() else {
            return;
        };
        let works = self.target.work_items.iter();
        let is_checking = works
            .into_iter()
            .any(|(_, work)| work.origin == WorkOrigin::HealthCheck);
        if is_checking || !self.target.admission.admit_check(self.now) {
            return;
        }
        let service = self.settings.service.clone();
        let request = HttpRequest {
            method: "GET".into(),
            target: path,
            headers: vec![Header::new("host", service.clone())],
            body: Vec::new(),
        };
        let deadline = self.now + CHECK_TIMEOUT;
        let work = WorkItem {
            origin: WorkOrigin::HealthCheck,
            fingerprint: fingerprint::fingerprint(&service, &service, &request),
            request: Rc::new(request),
            request_id: "".into(),
            caller_service: service,
            route: "".into(),
            is_idempotent: true,
            is_retry: false,
            priority: 0,
            due: deadline,
            deadline,
            target_latency: CHECK_TIMEOUT,
            submitted_at: self.now,
            answer_bytes: 0,
            state: WorkState::Waiting,
        };
        self.target.cold_doubt.check_sent(self.now);
        metrics::counter!("hemlockfall_sidecar_health_checks_total").increment(1);
        let work = self.target.work_items.insert(work);
        self.run_work(work);
    }

    /// Handles the target's answer to a health check.
    pub(super) fn check_answered(&mut self, id: WorkId, started: Time, answer: &HttpAnswer) {
        let is_cold = self.platform.is_cold(answer);
        self.target.cold_doubt.check_answered(is_cold, started);
        self.log_event(
            "health_checked",
            json!({ "status": answer.status, "is_cold": is_cold }),
        );
        self.update_coldness();
        // No caller waits for the result.
        self.run_ended(id, started, AttemptEnd::Failed(Failure::BadAnswer));
    }
}
