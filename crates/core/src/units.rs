//! Units and conversions.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// One kibibyte, in bytes.
pub const KIB: usize = 1024;
/// One mebibyte, in bytes.
pub const MIB: usize = 1024 * KIB;
/// A share of 100 % in permille.
pub const FULL_PERMILLE: u16 = 1000;

/// Converts a wall-clock time to milliseconds since the Unix epoch; earlier times become 0.
#[must_use]
pub fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    duration_ms(since_epoch)
}

/// Converts milliseconds since the Unix epoch to a wall-clock time.
#[must_use]
pub fn from_unix_ms(time_unix_ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(time_unix_ms)
}

/// Converts a duration to whole milliseconds; saturates at `u64::MAX`.
#[must_use]
pub fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
