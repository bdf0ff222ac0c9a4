//! Heartbeats and deregistrations of the target, the platform's readiness check, and the metrics
//! page.

use std::time::SystemTime;

use hemlockfall_core::units;
use hemlockfall_http::http::Header;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http::HttpRequest;
use serde_json::json;

use crate::model::Heartbeat;
use crate::model::TargetState;
use crate::node::Node;
use crate::node::callers::own_answer;
use crate::platform::ControlCall;
use crate::target;
use crate::target::HeartbeatOutcome;

const METRICS_PATH: &str = "/metrics";
const JSON_TYPE: &str = "application/json";
const TEXT_TYPE: &str = "text/plain; version=0.0.4";

impl Node {
    /// Answers the readiness check and the metrics page.
    pub(super) fn handle_check(&mut self, caller: u64, token: u64, request: &HttpRequest) {
        let answer = if request.path() == METRICS_PATH {
            let page = self.metrics.render();
            let headers = vec![Header::new("content-type", TEXT_TYPE)];
            HttpAnswer::new(200, headers, page.into_bytes())
        } else if self.platform.is_readiness_check(request) {
            let is_ready = self.mesh.config().is_some() && !self.is_stopping();
            own_answer(if is_ready { 200 } else { 503 }, "", None)
        } else {
            own_answer(404, "", None)
        };
        self.answer_caller(caller, token, answer);
    }

    pub(super) fn handle_control_call(&mut self, caller: u64, token: u64, request: &HttpRequest) {
        match self.platform.control_call(request) {
            ControlCall::Heartbeat(heartbeat) => self.handle_heartbeat(caller, token, *heartbeat),
            ControlCall::Deregister {
                instance,
                started_unix_ms,
            } => self.handle_deregistration(caller, token, &instance, started_unix_ms),
            ControlCall::Unreadable { reason } => {
                self.log_event("heartbeat_unreadable", json!({ "reason": reason }));
                self.answer_caller(caller, token, own_answer(400, "", None));
            }
            ControlCall::Unknown => self.answer_caller(caller, token, own_answer(404, "", None)),
        }
    }

    fn handle_heartbeat(&mut self, caller: u64, token: u64, heartbeat: Heartbeat) {
        let before = self.target.own.current().cloned();
        let slots = usize::try_from(heartbeat.slots).unwrap_or(usize::MAX);
        let fields = json!({
            "instance": heartbeat.instance, "born_unix_ms": heartbeat.started_unix_ms,
            "sequence": heartbeat.sequence, "service": heartbeat.service,
            "address": heartbeat.address, "version": heartbeat.version,
            "state": format!("{:?}", heartbeat.state),
        });
        if target::is_foreign(
            &heartbeat,
            &self.settings.service,
            self.settings.target_address,
        ) {
            metrics::counter!("hemlockfall_sidecar_heartbeats_refused_total").increment(1);
            self.log_event("heartbeat_foreign", fields);
            self.answer_caller(caller, token, own_answer(400, "", None));
            return;
        }
        let is_draining = heartbeat.state == TargetState::Draining;
        let outcome = self.target.own.apply_heartbeat(heartbeat, self.now);
        self.check_target_process(before.as_ref());
        if outcome != HeartbeatOutcome::Stale {
            self.target.cold_doubt.heartbeat(self.now);
            self.update_coldness();
        }
        match outcome {
            HeartbeatOutcome::Stale => {
                self.log_event("heartbeat_stale", fields);
                self.answer_caller(caller, token, own_answer(409, "", None));
                return;
            }
            HeartbeatOutcome::Unchanged if !self.target.is_unreachable => {}
            HeartbeatOutcome::Unchanged => {
                self.target.is_unreachable = false;
                self.log_event("target_regained", fields);
                self.record_changed();
            }
            HeartbeatOutcome::Changed => {
                self.target.is_unreachable = false;
                self.target.admission.set_slots(slots);
                self.target.clear_counts();
                if let Some(before) = before {
                    self.drop_old_connections(before.address);
                    self.drain_queue_of_other_target(&before);
                }
                self.log_event("target_known", fields);
                self.record_changed();
            }
            HeartbeatOutcome::Draining => {
                self.log_event("target_leaves", fields);
                if let Some(key) = self.target.own.key() {
                    self.target.own.add_deregistered(key);
                }
                self.begin_deregistration(caller, token);
                return;
            }
        }
        if is_draining {
            self.acknowledge_when_stored(caller, token);
        } else {
            self.acknowledge(caller, token);
        }
    }

    /// Forgets the rate limit when another process of the target than that of the last heartbeat
    /// has started.
    fn check_target_process(&mut self, before: Option<&Heartbeat>) {
        let Some(current) = self.target.own.current() else {
            return;
        };
        let process =
            |heartbeat: &Heartbeat| (heartbeat.instance.clone(), heartbeat.started_unix_ms);
        if before.map(process) == Some(process(current)) {
            return;
        }
        self.target.admission.replace_target(self.now);
    }

    /// Rejects queued requests if they were admitted for another service or version than that of the
    /// current target.
    fn drain_queue_of_other_target(&mut self, before: &Heartbeat) {
        let is_same = self.target.own.current().is_some_and(|current| {
            current.service == before.service && current.version == before.version
        });
        if !is_same {
            self.drain_queue();
        }
    }

    fn handle_deregistration(
        &mut self,
        caller: u64,
        token: u64,
        instance: &str,
        started_unix_ms: Option<u64>,
    ) {
        let before = self.target.own.deregistered().to_vec();
        let now_unix_ms = units::unix_ms(SystemTime::now());
        let key = self
            .target
            .own
            .deregister(instance, started_unix_ms, now_unix_ms);
        self.log_event(
            "target_left",
            json!({
                "instance": instance, "born_unix_ms": key.started_unix_ms,
                "told": started_unix_ms,
            }),
        );
        if self.target.own.deregistered() == before {
            // The deregistration was recorded before, for example when the target began to drain.
            self.acknowledge_when_stored(caller, token);
        } else {
            self.begin_deregistration(caller, token);
        }
    }

    /// Acknowledges a heartbeat or a deregistration.
    pub(super) fn acknowledge(&mut self, caller: u64, token: u64) {
        let headers = vec![Header::new("content-type", JSON_TYPE)];
        let answer = HttpAnswer::new(200, headers, b"{}".to_vec());
        self.answer_caller(caller, token, answer);
    }
}
