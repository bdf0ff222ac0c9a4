//! Current time as a value: monotonic for durations, unix milliseconds for ids and plans.

use std::time::Duration;
use std::time::Instant;

/// One reading of the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time.
    pub at: Instant,
    /// Wall-clock time in unix milliseconds.
    pub unix_ms: u64,
}

impl Now {
    /// Returns the reading of both clocks after a duration.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        Self {
            at: self.at + duration,
            unix_ms: self.unix_ms + hemlockfall_core::units::duration_ms(duration),
        }
    }
}

/// Converts milliseconds to a duration.
#[must_use]
pub fn millis(time_ms: u32) -> Duration {
    Duration::from_millis(u64::from(time_ms))
}
