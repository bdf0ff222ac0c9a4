//! Monotonic time that includes the time in which the VM is suspended.

use std::time::Duration;

use rustix::time::ClockId;

/// Time since the VM started. Deadlines use it because the ordinary monotonic clock stops while a
/// VM is suspended.
pub type Time = Duration;

/// Returns the current time.
#[must_use]
pub fn now() -> Time {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
