//! Log of routing decisions, rate-limited by a setting.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_request::call::Decision;

const SECOND: Duration = Duration::from_secs(1);

/// Rate-limited writer of one log line per routing decision.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    /// Maximum number of lines per second; 0 for no limit.
    limit_per_s: u32,
    window_start: Instant,
    written: u32,
}

impl DecisionLog {
    /// Creates a log with a maximum number of lines per second; 0 for no limit.
    #[must_use]
    pub fn new(limit_per_s: u32, now: Instant) -> Self {
        Self {
            limit_per_s,
            window_start: now,
            written: 0,
        }
    }

    /// Logs a decision, or only counts it if the limit of the current second is reached.
    pub fn write(&mut self, decision: &Decision, now: Instant) {
        if !self.has_room(now) {
            metrics::counter!("hemlockfall_decisions_not_logged_total").increment(1);
            return;
        }
        let request = decision.request_id.to_string();
        spdlog::info!("route", kv: {
            request = request.as_str(),
            service = decision.service.as_str(),
            route = decision.route.as_str(),
            version = decision.version.as_str(),
            node = decision.node.as_ref().map_or("", |node| node.as_str()),
            attempt = decision.attempt,
        });
    }

    fn has_room(&mut self, now: Instant) -> bool {
        if self.limit_per_s == 0 {
            return true;
        }
        if now.duration_since(self.window_start) >= SECOND {
            self.window_start = now;
            self.written = 0;
        }
        self.written += 1;
        self.written <= self.limit_per_s
    }
}
