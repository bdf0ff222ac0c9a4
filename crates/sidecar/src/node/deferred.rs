//! Requests that arrive before the node has a configuration and targets.
//!
//! A starting node receives both within some hundred milliseconds. Callers often make no more than
//! two attempts, so such requests are not refused but deferred for a short part of their timeout.

use std::time::Duration;

use hemlockfall_http::http::HttpRequest;

use crate::clock::Time;
use crate::model::Route;
use crate::node::Node;
use crate::regions::AllowedRegions;

pub(super) const CODE_NO_CONFIG: &str = "HF-3701";
/// Time after the start in which the first target records may still arrive, in ticks.
const STARTING_TICKS: u64 = 12;
/// Longest time that a request is deferred.
const MAX_DEFERRAL: Duration = Duration::from_millis(500);
/// Part of its caller's timeout for which a request is deferred, in percent.
const DEFERRAL_PERCENT: u32 = 20;
/// Most requests that are deferred at the same time.
const MAX_DEFERRED_REQUESTS: usize = 256;

/// Request that waits for the first configuration or target.
pub(crate) struct DeferredRequest {
    caller: u64,
    token: u64,
    request: HttpRequest,
    arrived: Time,
}

impl DeferredRequest {
    /// Returns the memory of the request.
    pub(super) fn held_bytes(&self) -> usize {
        self.request.body.capacity()
    }
}

impl Node {
    /// Returns whether a request that arrived at a given time may be deferred at present.
    pub(super) fn can_defer(&self, request: &HttpRequest, arrived: Time) -> bool {
        let caller_timeout = self.caller_timeout(request).unwrap_or(MAX_DEFERRAL);
        let deferral = (caller_timeout * DEFERRAL_PERCENT / 100).min(MAX_DEFERRAL);
        self.now < arrived + deferral
            && self.deferred.len() < MAX_DEFERRED_REQUESTS
            && self.has_memory_to_defer(request.body.len())
            && !self.is_interrupting()
    }

    pub(super) fn defer_request(
        &mut self,
        caller: u64,
        token: u64,
        request: HttpRequest,
        arrived: Time,
    ) {
        self.deferred.push(DeferredRequest {
            caller,
            token,
            request,
            arrived,
        });
    }

    /// Defers a request for which there is no configuration yet, or refuses it.
    pub(super) fn defer_or_refuse(
        &mut self,
        caller: u64,
        token: u64,
        request: HttpRequest,
        arrived: Time,
    ) {
        if self.can_defer(&request, arrived) {
            self.defer_request(caller, token, request, arrived);
        } else {
            let id = self.request_id(&request);
            self.refuse_request(caller, token, &id, 503, CODE_NO_CONFIG);
        }
    }

    /// Returns whether a starting node lacks a ready target for a route in the allowed regions but
    /// may soon receive one.
    pub(super) fn awaits_targets(&self, route: &Route, regions: &AllowedRegions) -> bool {
        self.ticks < STARTING_TICKS
            && !route
                .services
                .iter()
                .any(|entry| self.has_ready_target(&entry.service, regions))
    }

    /// Starts the deferred requests. Those that still lack a configuration or targets are deferred
    /// again or, once `MAX_DEFERRAL` or their part of the timeout has passed, refused.
    pub(super) fn begin_deferred(&mut self) {
        for deferred in std::mem::take(&mut self.deferred) {
            self.begin_call(
                deferred.caller,
                deferred.token,
                deferred.request,
                deferred.arrived,
            );
        }
    }

    /// Discards a deferred request whose caller has disconnected.
    pub(super) fn discard_deferred(&mut self, token: u64) {
        self.deferred.retain(|deferred| deferred.token != token);
    }
}
