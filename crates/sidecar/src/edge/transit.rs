//! Measurement of how long frames were queued on the way from another node.
//!
//! The clocks of two VMs differ by an unknown offset. The smallest recent difference between the
//! sending and arrival times is the sum of this offset and the network delay without queuing.
//! Whatever a frame takes beyond it was spent waiting, on a full uplink or for a paused process.

use std::time::Duration;

use crate::clock::Time;

/// Length of a window over which the smallest difference is taken. The current and the previous
/// window are kept, so a smallest difference counts for at least this long. Two clocks that differ
/// in speed by 50 ppm drift apart by 3 ms in two windows.
const WINDOW: Duration = Duration::from_secs(30);

/// Measurement for the frames that arrive on one link.
#[derive(Debug, Default)]
pub struct Transit {
    window_start: Time,
    /// Smallest difference in the current window, in milliseconds.
    current: Option<i32>,
    /// Smallest difference in the previous window, in milliseconds.
    previous: Option<i32>,
}

impl Transit {
    /// Returns how long a frame has waited, and records its difference. The sending time is by the
    /// clock of the sender, as [`clock_ms`] returns it.
    pub fn delay(&mut self, sent_ms: u32, now: Time) -> Duration {
        if now.saturating_sub(self.window_start) >= WINDOW {
            self.window_start = now;
            self.previous = self.current.take();
        }
        let difference = clock_ms(now).wrapping_sub(sent_ms).cast_signed();
        let current = min_wrapping(self.current, difference);
        self.current = Some(current);
        let smallest = min_wrapping(self.previous, current);
        let delay_ms = difference.wrapping_sub(smallest);
        Duration::from_millis(u64::try_from(delay_ms).unwrap_or(0))
    }
}

/// Returns a time in milliseconds, modulo 2^32.
#[must_use]
pub fn clock_ms(now: Time) -> u32 {
    let low = now.as_millis() & u128::from(u32::MAX);
    u32::try_from(low).unwrap_or(u32::MAX)
}

/// Returns the smaller of two differences, where the values may have wrapped around.
fn min_wrapping(current: Option<i32>, other: i32) -> i32 {
    match current {
        Some(current) if other.wrapping_sub(current) >= 0 => current,
        _ => other,
    }
}
