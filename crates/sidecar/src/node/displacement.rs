//! Makes room at the full target for callers with few requests.

use crate::admission::AdmissionDecision;
use crate::admission::AdmissionRequest;
use crate::admission::RejectReason;
use crate::admission::WorkId;
use crate::edge::frame::Refusal;
use crate::fair_queue;
use crate::fair_queue::WaitingRequest;
use crate::node::Node;
use crate::node::targets::WorkItem;
use crate::node::targets::WorkOrigin;
use crate::node::targets::WorkState;
use crate::order::Order;

impl Node {
    /// Gives a request a slot, queues it or rejects it. While there is no room, requests of connections
    /// with more of them in progress are refused in its place; the order by cost has rules of its own.
    pub(super) fn admit_work(
        &mut self,
        id: WorkId,
        request: &AdmissionRequest,
    ) -> AdmissionDecision {
        let standing = self.standing(id);
        loop {
            let admission = &mut self.target.admission;
            let decision = admission.admit_with(request.clone(), standing.clone(), self.now);
            let AdmissionDecision::Reject {
                reason: RejectReason::QueueFull | RejectReason::TooLate,
                retry_after,
                ..
            } = decision
            else {
                return decision;
            };
            let Some(displaced) = self.request_to_displace(id) else {
                return decision;
            };
            self.target.admission.cancel(displaced);
            self.reject_work(displaced, Refusal::QueueFull, retry_after);
        }
    }

    fn request_to_displace(&self, id: WorkId) -> Option<WorkId> {
        if self.settings.order != Order::Arrival {
            return None;
        }
        let new = self.waiting_request(id, self.target.work_items.get(id)?)?;
        let work_items = self.target.work_items.iter();
        let waiting = work_items
            .filter(|(other, work)| *other != id && work.state == WorkState::Waiting)
            .filter_map(|(other, work)| self.waiting_request(other, work));
        fair_queue::request_to_displace(waiting, new)
    }

    /// Returns a request of a caller on this VM with the number of requests on its connection. Those of
    /// other nodes don't tell their connections.
    fn waiting_request(&self, id: WorkId, work: &WorkItem) -> Option<WaitingRequest> {
        let WorkOrigin::Call(call) = work.origin else {
            return None;
        };
        let caller = self.callers.get(self.calls.get(call)?.caller)?;
        Some(WaitingRequest {
            id,
            in_progress: caller.requests_in_progress(),
            priority: work.priority,
        })
    }
}
