//! Tests of the limits on connections.

use hemlockfall_sidecar::connection_limits::ConnectionLimits;
use quickcheck::quickcheck;

/// Ports with a limit for checks.
const CHECK_PORTS: usize = 3;

quickcheck! {
    /// Guards against limits that together leave no descriptor for links, the store and the target.
    fn the_limits_leave_descriptors_free(more: u16) -> bool {
        let descriptors = 128 + usize::from(more);

        let limits = ConnectionLimits::for_descriptors(descriptors);

        let most = limits.callers + CHECK_PORTS * limits.checks + limits.unnamed_links;
        most + descriptors / 8 <= descriptors
    }
}
