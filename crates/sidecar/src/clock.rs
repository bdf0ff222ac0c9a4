//! Time that also counts while the VM is suspended.

use std::time::Duration;

use rustix::time::ClockId;

/// `Time` is the time since the VM started. The steady clock stands still while a VM is
/// suspended, so deadlines are kept in this time.
pub type Time = Duration;

/// `now` reads the clock.
#[must_use]
pub fn now() -> Time {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
