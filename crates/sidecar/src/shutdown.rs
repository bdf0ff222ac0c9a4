//! Schedule of a graceful shutdown.
//!
//! The node first reports that it is not ready, and callers go elsewhere within some seconds. During
//! this time the target next to it still runs, so other nodes may use it; otherwise the slots of all
//! targets whose nodes restart together would be idle. Then new connections are refused, and the
//! process ends when all accepted requests are answered. Requests that are still in progress shortly
//! before the grace time ends are interrupted, since the process would otherwise be killed with
//! answers in hand that wait behind them on their connections.

use std::time::Duration;

use crate::clock::Time;

/// Time in which callers notice that the node is not ready and go elsewhere.
const NOT_READY_NOTICE: Duration = Duration::from_millis(2600);
/// Longest time for which other nodes may send requests to the target. The rest of
/// `NOT_READY_NOTICE` is left for runs that have begun.
const TARGET_NOTICE: Duration = Duration::from_secs(2);
/// Share of the grace time up to which other nodes may send requests to the target, in percent.
const TARGET_NOTICE_PERCENT: u32 = 35;
/// Share of the grace time after which a request is started only if its deadline passes before the
/// interruption, in percent. The target could still be at work on any other one by then.
const OPEN_START_PERCENT: u32 = 45;
/// Share of the grace time after which requests in progress are interrupted, in percent. The rest is
/// left for writing the answers that are ready.
const INTERRUPTION_PERCENT: u32 = 90;
/// Share of the grace time after which the node ends in any case, in percent.
const FORCED_EXIT_PERCENT: u32 = 95;

/// Graceful shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    begun: Time,
    grace: Duration,
}

impl Shutdown {
    /// Begins a shutdown; the platform kills the process after the grace time.
    #[must_use]
    pub fn new(begun: Time, grace: Duration) -> Self {
        Self { begun, grace }
    }

    /// Returns whether other nodes may send requests to the target.
    #[must_use]
    pub fn accepts_peer_calls(&self, now: Time) -> bool {
        self.elapsed(now) < TARGET_NOTICE.min(self.grace * TARGET_NOTICE_PERCENT / 100)
    }

    /// Returns whether new connections of callers are to be refused.
    #[must_use]
    pub fn refuses_connections(&self, now: Time) -> bool {
        self.elapsed(now) >= NOT_READY_NOTICE
    }

    /// Returns whether a request with a deadline may be started.
    #[must_use]
    pub fn may_start(&self, now: Time, deadline: Time) -> bool {
        let interruption = self.begun + self.grace * INTERRUPTION_PERCENT / 100;
        self.elapsed(now) < self.grace * OPEN_START_PERCENT / 100 || deadline <= interruption
    }

    /// Returns whether requests in progress are to be answered without waiting for their targets.
    #[must_use]
    pub fn interrupts_calls(&self, now: Time) -> bool {
        self.elapsed(now) >= self.grace * INTERRUPTION_PERCENT / 100
    }

    /// Returns whether the process has to end although answers are not written yet.
    #[must_use]
    pub fn is_exit_forced(&self, now: Time) -> bool {
        self.elapsed(now) >= self.grace * FORCED_EXIT_PERCENT / 100
    }

    fn elapsed(&self, now: Time) -> Duration {
        now.saturating_sub(self.begun)
    }
}
