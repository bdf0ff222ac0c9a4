//! Graceful shutdown: the node signals that it wants no new work, and answers what it has accepted.
//!
//! The readiness check fails, so that callers go elsewhere. Then new connections are refused, and a
//! tick later the listener is closed; connections that the kernel had accepted are still served.
//! Shortly after, the process ends. Requests that are in progress when the grace time is nearly over
//! are interrupted, so that the answers behind them on their connections can be written.

use std::time::Duration;

use serde_json::json;

use crate::clock::Time;
use crate::node::Node;
use crate::node::Port;
use crate::shutdown::Shutdown;

/// Time between the close of the callers' listener and the end of an idle process. The first
/// request on the connection that was accepted last may still be under way.
const IDLE_EXIT_DELAY: Duration = Duration::from_millis(250);

impl Node {
    pub(super) fn is_stopping(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns whether a request with a deadline may be started, as the process does not end too
    /// soon for it.
    pub(super) fn may_start(&self, deadline: Time) -> bool {
        self.shutdown
            .is_none_or(|shutdown| shutdown.may_start(self.now, deadline))
    }

    /// Returns whether other nodes may send requests to the target.
    pub(super) fn accepts_peer_calls(&self) -> bool {
        let is_allowed = self
            .shutdown
            .is_none_or(|shutdown| shutdown.accepts_peer_calls(self.now));
        is_allowed && self.is_target_open()
    }

    pub(super) fn begin_stop(&mut self) {
        if self.is_stopping() {
            return;
        }
        self.shutdown = Some(Shutdown::new(self.now, self.settings.grace()));
        self.log_event("stop_begun", json!({ "calls": self.calls.len() }));
        self.record_changed();
    }

    /// Returns whether the process is about to end, so that no request may be kept waiting.
    pub(super) fn is_interrupting(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.interrupts_calls(self.now))
    }

    pub(super) fn check_stop(&mut self) {
        let Some(shutdown) = self.shutdown else {
            return;
        };
        if self.is_interrupting() {
            self.interrupt_calls();
        }
        if !shutdown.refuses_connections(self.now) {
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
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let is_idle = self.calls.is_empty()
            && self.deferred.is_empty()
            && self.deregistrations.is_empty()
            && self.target.work_items.is_empty()
            && !self.has_answers()
            && !self.has_begun_requests();
        (is_idle && self.is_listener_closed_for(IDLE_EXIT_DELAY))
            || shutdown.is_exit_forced(self.now)
    }
}
