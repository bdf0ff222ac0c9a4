//! Requests that arrive before the node knows a configuration and targets.
//!
//! A node that starts knows both within some hundred milliseconds. Callers often ask no more than
//! twice, so such requests are kept for a short part of their time.

use std::time::Duration;

use hemlockfall_http::http::HttpRequest;

use crate::clock::Time;
use crate::model::Route;
use crate::node::Node;

/// Rounds after its start in which a node learns of targets.
const STARTING_TICKS: u64 = 12;
/// Longest time that a request is kept, and the part of its own time, in percent.
const MAX_DEFERRAL: Duration = Duration::from_millis(500);
const DEFERRAL_PERCENT: u32 = 20;
/// Requests that are kept at once.
const MAX_DEFERRED_REQUESTS: usize = 256;

/// `DeferredRequest` is a request that waits.
pub(crate) struct DeferredRequest {
    caller: u64,
    token: u64,
    request: HttpRequest,
    arrived: Time,
}

impl Node {
    /// Tells whether a request that arrived at a time may be kept.
    pub(super) fn can_defer(&self, request: &HttpRequest, arrived: Time) -> bool {
        let caller_timeout = self.caller_timeout(request).unwrap_or(MAX_DEFERRAL);
        let deferral = (caller_timeout * DEFERRAL_PERCENT / 100).min(MAX_DEFERRAL);
        self.now < arrived + deferral && self.deferred.len() < MAX_DEFERRED_REQUESTS
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

    /// Tells whether a target for a route may become known at any moment.
    pub(super) fn awaits_targets(&self, route: &Route) -> bool {
        self.ticks < STARTING_TICKS
            && !route
                .services
                .iter()
                .any(|entry| self.has_ready_target(&entry.service))
    }

    /// Begins the kept requests if the node knows enough by now; the others are kept on or, when
    /// their time is over, refused.
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

    /// The caller of a kept request has left.
    pub(super) fn discard_deferred(&mut self, token: u64) {
        self.deferred.retain(|deferred| deferred.token != token);
    }
}
