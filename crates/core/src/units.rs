//! Units and conversions.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// `KIB` is one kibibyte, in bytes.
pub const KIB: usize = 1024;
/// `MIB` is one mebibyte, in bytes.
pub const MIB: usize = 1024 * KIB;
/// `FULL_PERMILLE` is the whole of a share expressed in permille.
pub const FULL_PERMILLE: u16 = 1000;

/// `unix_ms` converts a wall-clock time to milliseconds since the Unix epoch (0 before it).
#[must_use]
pub fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    duration_ms(since_epoch)
}

/// `from_unix_ms` converts milliseconds since the Unix epoch to a wall-clock time.
#[must_use]
pub fn from_unix_ms(time_unix_ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(time_unix_ms)
}

/// `duration_ms` converts a duration to whole milliseconds, saturating.
#[must_use]
pub fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
