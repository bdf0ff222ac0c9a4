//! A planned stop: no new work is asked for, and what has been read is answered.

use std::time::Duration;

use serde_json::json;

use crate::node::Node;

/// Time in which callers notice that the node is not ready and stay away.
const NOTICE: Duration = Duration::from_millis(2600);
/// Part of the grace time after which a request is no longer begun, in percent: what begins later
/// could be cut off by the end of the process.
const LAST_BEGIN_PERCENT: u32 = 60;
/// Part of the grace time after which the node ends in any case, in percent.
const LAST_MOMENT_PERCENT: u32 = 92;

impl Node {
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// Tells whether the process ends too soon for a new request.
    pub(super) fn is_closing(&self) -> bool {
        self.stopping_since.is_some_and(|since| {
            self.now.saturating_sub(since) >= self.settings.grace() * LAST_BEGIN_PERCENT / 100
        })
    }

    pub(super) fn begin_stop(&mut self) {
        if self.is_stopping() {
            return;
        }
        self.stopping_since = Some(self.now);
        self.state_line("stop_begun", json!({ "calls": self.calls.len() }));
        self.record_changed();
    }

    pub(super) fn check_stop(&mut self) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if self.now.saturating_sub(since) >= NOTICE {
            self.close_idle_callers();
        }
    }

    /// Tells whether the process may end.
    pub(super) fn is_stopped(&self) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let elapsed = self.now.saturating_sub(since);
        let is_idle = self.calls.is_empty()
            && self.early.is_empty()
            && self.target.works.is_empty()
            && !self.has_answers();
        let is_over = elapsed >= self.settings.grace() * LAST_MOMENT_PERCENT / 100;
        (elapsed >= NOTICE && is_idle) || is_over
    }
}
