//! Tests of the limits on connections.

use hemlockfall_sidecar::connection_limits::ConnectionLimits;
use quickcheck::quickcheck;

/// Ports with a limit for checks.
const CHECK_PORTS: usize = 3;
/// Memory of the smallest VM of the users' deployments, and of a VM of the usual size, with its
/// descriptors.
const SMALLEST_VM_MB: usize = 160;
const VM_MB: usize = 260;
const VM_DESCRIPTORS: usize = 4100;
/// Connections that callers inside the limits open at one VM, at most.
const ORDINARY_CALLERS: usize = 1000;
const MEGABYTE: usize = 1024 * 1024;

quickcheck! {
    /// Guards against limits that together leave no descriptor for links, the store and the target.
    fn the_limits_leave_descriptors_free(more: u16) -> bool {
        let descriptors = 128 + usize::from(more);

        let limits = ConnectionLimits::for_process(descriptors, 0);

        let checks = CHECK_PORTS * limits.checks.connections;
        let most = limits.callers.connections + checks + limits.links.connections;
        most + descriptors / 8 <= descriptors
    }

    /// Guards against receive buffers that together take more than a quarter of the memory, however
    /// many descriptors the process has.
    fn unread_input_is_bounded_by_the_memory(more_mb: u16, descriptors: u16) -> bool {
        let memory_bytes = (64 + usize::from(more_mb)) * MEGABYTE;

        let limits = ConnectionLimits::for_process(descriptors.into(), memory_bytes);

        let unread_bytes = limits.callers.max_unread_bytes()
            + CHECK_PORTS * limits.checks.max_unread_bytes()
            + limits.links.max_unread_bytes();
        unread_bytes <= memory_bytes / 4
    }
}

/// Guards against a limit that callers inside the limits meet.
#[test]
fn a_usual_vm_takes_more_connections_than_its_callers_open() {
    let usual = ConnectionLimits::for_process(VM_DESCRIPTORS, VM_MB * MEGABYTE);
    let smallest = ConnectionLimits::for_process(VM_DESCRIPTORS, SMALLEST_VM_MB * MEGABYTE);

    assert!(usual.callers.connections > ORDINARY_CALLERS, "{usual:?}");
    assert!(
        smallest.callers.connections > ORDINARY_CALLERS,
        "{smallest:?}"
    );
}
