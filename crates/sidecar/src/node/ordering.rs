//! Order by cost at this node's target: the standing of requests, and reports on what it refuses.

use std::time::Duration;

use serde_json::json;

use crate::admission::WorkId;
use crate::admission::by_cost::GivenUp;
use crate::balance::Candidate;
use crate::edge::frame::Refusal;
use crate::log::LogCategory;
use crate::node::Node;
use crate::node::mesh::VersionRule;
use crate::node::ms;
use crate::node::placement::PlacementRequest;
use crate::order::Order;
use crate::order::RequestTimes;
use crate::order::Standing;

impl Node {
    /// Returns the properties of a request that only the order by cost uses.
    pub(super) fn standing(&self, id: WorkId) -> Standing {
        let work = match self.settings.order {
            Order::Arrival => None,
            Order::Cost => self.target.work_items.get(id),
        };
        let Some(work) = work else {
            return Standing::default();
        };
        let account = work.request.header(self.header_names.account_name);
        let times = RequestTimes {
            submitted_at: work.submitted_at,
            due: work.due,
            deadline: work.deadline,
            target_latency: work.target_latency,
        };
        self.standing_of(account, work.is_retry, times)
    }

    /// Returns the standing of a request of an account under the order by cost.
    pub(super) fn standing_of(
        &self,
        account: Option<&str>,
        is_retry: bool,
        times: RequestTimes,
    ) -> Standing {
        if self.settings.order == Order::Arrival {
            return Standing::default();
        }
        // Without accounts, callers may set the header themselves.
        let has_accounts = self
            .mesh
            .config()
            .is_some_and(|config| config.accounts.is_some());
        Standing {
            account: account.filter(|_| has_accounts).map(Into::into),
            has_spent_work: is_retry || times.has_come_back() || times.is_nested(),
        }
    }

    /// Returns a node to ask for a request although all are reported to be full: its queue may hold
    /// less urgent requests, which reports of the load do not tell. One node is asked.
    pub(super) fn full_node_to_ask(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &[Candidate],
    ) -> Option<u64> {
        let is_first = request.tried.is_empty();
        let is_canary = matches!(request.version, VersionRule::Only(_));
        if self.settings.order == Order::Arrival || !is_first || is_canary {
            return None;
        }
        let config = self.mesh.config()?;
        let has_less_urgent = config
            .routes
            .iter()
            .filter(|route| route.priority > request.priority)
            .flat_map(|route| &route.services)
            .any(|weighted| weighted.service == *request.service);
        if !has_less_urgent {
            return None;
        }
        candidates
            .iter()
            .min_by(|a, b| {
                let wait_ms = |candidate: &Candidate| candidate.expected_wait_ms(self.now);
                wait_ms(a).total_cmp(&wait_ms(b))
            })
            .map(|candidate| candidate.node)
    }

    /// Rejects waiting requests that a newly planned one has displaced.
    pub(super) fn reject_displaced(&mut self, displaced: Vec<WorkId>, given_up: &[GivenUp]) {
        for work in displaced {
            let retry_after = retry_after_of(given_up, work);
            self.reject_work(work, Refusal::TooLate, retry_after);
        }
    }

    /// Runs waiting requests that a newly planned one goes before or makes way for.
    pub(super) fn dispatch_newly_planned(&mut self) {
        match self.settings.order {
            Order::Arrival => {}
            Order::Cost => self.dispatch_work(),
        }
    }

    /// Counts and logs the requests that the order by cost has refused, and returns them.
    pub(super) fn record_given_up(&mut self) -> Vec<GivenUp> {
        let given_up = self.target.admission.take_given_up();
        if given_up.is_empty() {
            return given_up;
        }
        let reserved_slots = self.target.admission.reserved_slots(self.now);
        for refused in &given_up {
            let reason = refused.reason.name();
            metrics::counter!(
                "hemlockfall_sidecar_given_up_total",
                "reason" => reason, "priority" => refused.priority.to_string()
            )
            .increment(1);
            let Some(work) = self.target.work_items.get(refused.id) else {
                continue;
            };
            if !self.log.admits(LogCategory::Failure, self.now) {
                continue;
            }
            let fields = json!({
                "id": work.request_id, "route": work.route, "priority": refused.priority,
                "reason": reason, "retry_after_ms": ms(refused.retry_after),
                "held_ms": ms(self.now.saturating_sub(work.submitted_at)),
                "reserved_slots": reserved_slots,
            });
            self.log.write("given_up", fields);
        }
        given_up
    }

    /// Updates the metric of the reserved slots.
    pub(super) fn report_reserved_slots(&self) {
        let reserved = self.target.admission.reserved_slots(self.now);
        let reserved = u32::try_from(reserved).unwrap_or(u32::MAX);
        metrics::gauge!("hemlockfall_sidecar_slots_reserved").set(f64::from(reserved));
    }
}

/// Returns the time after which the caller of a refused request may come back; zero if the request is
/// not among those that the order by cost has refused.
pub(super) fn retry_after_of(given_up: &[GivenUp], id: WorkId) -> Duration {
    given_up
        .iter()
        .find(|refused| refused.id == id)
        .map_or(Duration::ZERO, |refused| refused.retry_after)
}
