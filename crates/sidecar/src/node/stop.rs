//! Graceful shutdown: the node signals that it wants no new work, and answers what it has accepted.
//!
//! The readiness check fails, so that callers go elsewhere. Then new connections are refused, and a
//! tick later the listener is closed; connections that the kernel had accepted are still served.
//! Shortly after, the process ends.

use std::time::Duration;

use serde_json::json;

use crate::node::Node;
use crate::node::Port;

/// Time in which callers notice that the node is not ready and go elsewhere.
const NOT_READY_NOTICE: Duration = Duration::from_millis(2600);
/// Time between the close of the callers' listener and the end of an idle process. The first
/// request on the connection that was accepted last may still be under way.
const IDLE_EXIT_DELAY: Duration = Duration::from_millis(250);
/// Share of the grace time after which no request is started, in percent. The end of the process
/// could cut off a request that starts later.
const LAST_START_PERCENT: u32 = 60;
/// Share of the grace time after which the node ends in any case, in percent.
const FORCED_EXIT_PERCENT: u32 = 92;

impl Node {
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// Returns whether the process will end too soon to start a request.
    pub(super) fn is_closing(&self) -> bool {
        self.stopping_since.is_some_and(|since| {
            self.now.saturating_sub(since) >= self.settings.grace() * LAST_START_PERCENT / 100
        })
    }

    pub(super) fn begin_stop(&mut self) {
        if self.is_stopping() {
            return;
        }
        self.stopping_since = Some(self.now);
        self.log_event("stop_begun", json!({ "calls": self.calls.len() }));
        self.record_changed();
    }

    pub(super) fn check_stop(&mut self) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if self.now.saturating_sub(since) < NOT_READY_NOTICE {
            return;
        }
        if self.connections_refused_at.is_none() {
            self.refuse_connections(Port::Callers);
            self.connections_refused_at = Some(self.now);
            return;
        }
        if self.listener_closed_at.is_none() {
            // The handshake of a connection that was under way at the refusal is complete by now.
            self.close_listener(Port::Callers);
            self.listener_closed_at = Some(self.now);
        }
        if self.is_listener_closed_for(IDLE_EXIT_DELAY) {
            self.close_idle_callers();
        }
    }

    fn is_listener_closed_for(&self, time: Duration) -> bool {
        self.listener_closed_at
            .is_some_and(|at| self.now.saturating_sub(at) >= time)
    }

    /// Returns whether the process may end.
    pub(super) fn is_stopped(&self) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let elapsed = self.now.saturating_sub(since);
        let is_idle = self.calls.is_empty()
            && self.deferred.is_empty()
            && self.target.work_items.is_empty()
            && !self.has_answers()
            && !self.has_begun_requests();
        let is_exit_forced = elapsed >= self.settings.grace() * FORCED_EXIT_PERCENT / 100;
        (is_idle && self.is_listener_closed_for(IDLE_EXIT_DELAY)) || is_exit_forced
    }
}
