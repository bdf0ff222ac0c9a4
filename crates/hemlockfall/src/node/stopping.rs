//! Graceful shutdown: drains the node, waits for requests in flight, announces the stop and ends
//! the process.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use stakker::Actor;
use stakker::CX;
use stakker::after;
use stakker::call;
use stakker::ret_some_to;

use crate::edge::caller_server::CallerServer;
use crate::node::calls::Calls;
use crate::node::control::Control;
use crate::node::health::Health;
use crate::node::signals::StopRequested;

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for an announcement to reach the peers, which send no new requests after it.
const ANNOUNCE_TIME: Duration = Duration::from_millis(500);

/// Actor that performs the graceful shutdown.
pub struct Stopping {
    parts: StoppingParts,
    started: Option<Instant>,
    keeps_key_records: bool,
}

/// Components of the graceful shutdown.
pub struct StoppingParts {
    /// Membership and distribution.
    pub control: Actor<Control>,
    /// Request path.
    pub calls: Actor<Calls>,
    /// HTTP edge towards callers.
    pub callers: Actor<CallerServer>,
    /// Health flags.
    pub health: Arc<Health>,
    /// Maximum wait for requests in flight.
    pub timeout: Duration,
    /// Time after the announced stop during which other nodes may still place records of new keys
    /// on this node.
    pub key_lag: Duration,
}

impl Stopping {
    /// Creates the actor; [`Stopping::begin`] starts the shutdown.
    #[must_use]
    pub fn init(_: CX![], parts: StoppingParts) -> Option<Self> {
        Some(Self {
            parts,
            started: None,
            keeps_key_records: false,
        })
    }

    /// Starts the shutdown. Further requests have no effect.
    pub fn begin(&mut self, cx: CX![], _: StopRequested) {
        if self.started.is_some() {
            return;
        }
        spdlog::info!("planned stop begins");
        self.started = Some(cx.now());
        self.keeps_key_records = self.parts.health.had_target();
        self.parts.health.set_stopping();
        call!([self.parts.calls], drain());
        call!([self.parts.callers], stop_accepting());
        after!(ANNOUNCE_TIME, [cx], request_idle_report());
    }

    fn request_idle_report(&mut self, cx: CX![]) {
        let idle = ret_some_to!([cx], handle_idle_report() as (bool));
        call!([self.parts.calls], report_idle(idle));
    }

    fn handle_idle_report(&mut self, cx: CX![], is_idle: bool) {
        let waited = self
            .started
            .map_or(Duration::ZERO, |since| cx.now() - since);
        if !is_idle && waited < self.parts.timeout {
            after!(IDLE_POLL_INTERVAL, [cx], request_idle_report());
            return;
        }
        if !is_idle {
            spdlog::warn!("planned stop ends with requests in flight");
        }
        call!([self.parts.control], announce_stop());
        // For `key_lag` after the announcement, other nodes still count this node among the keepers
        // of new keys. In a service with two targets, ending earlier would leave no majority for
        // these keys.
        let linger = if self.keeps_key_records {
            self.parts.key_lag
        } else {
            Duration::ZERO
        };
        after!(linger.max(ANNOUNCE_TIME), [cx], end());
    }

    #[expect(clippy::unused_self, reason = "stakker calls methods of the actor")]
    fn end(&mut self, cx: CX![]) {
        spdlog::info!("planned stop ends");
        cx.shutdown(stakker::StopCause::Stopped);
    }
}
