//! How long a frame was on its way, beyond the shortest way seen lately.
//!
//! The clocks of two VMs differ by an unknown offset. The smallest difference between sending and
//! arrival that was seen lately holds this offset and the shortest way. What a frame takes beyond
//! it, it has waited: on a full link, or at a process that stood still.

use std::time::Duration;

use crate::clock::Time;

/// Time for which a smallest difference counts, at least. Two clocks that differ in speed by
/// 50 ppm drift apart by 3 ms in the two spans that are kept.
const WINDOW: Duration = Duration::from_secs(30);

/// `Transit` measures the frames that arrive on one link.
#[derive(Debug, Default)]
pub struct Transit {
    window_start: Time,
    /// Smallest difference in the current span and in the one before, in milliseconds.
    current: Option<i32>,
    previous: Option<i32>,
}

impl Transit {
    /// `delay` takes in a frame's sending time by the clock of its sender, as [`clock_ms`] gives
    /// it, and returns how long the frame has waited.
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

/// `clock_ms` is a time in milliseconds, counted modulo 2^32.
#[must_use]
pub fn clock_ms(now: Time) -> u32 {
    let low = now.as_millis() & u128::from(u32::MAX);
    u32::try_from(low).unwrap_or(u32::MAX)
}

fn min_wrapping(current: Option<i32>, other: i32) -> i32 {
    match current {
        Some(current) if other.wrapping_sub(current) >= 0 => current,
        _ => other,
    }
}
