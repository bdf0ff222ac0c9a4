//! Closing listeners without aborting accepted connections.

use std::io;
use std::os::fd::AsFd;

use socket2::SockFilter;
use socket2::SockRef;

/// Drops the first segment (SYN) of each new connection, so that no connection is established
/// between the last `accept` and the close of a listener. The caller retransmits the segment a
/// second later and is refused then.
///
/// # Errors
/// The filter cannot be attached. Connections that are established between the last `accept` and
/// the close, a span of some microseconds, are then aborted.
pub fn refuse_new_connections(listener: &impl AsFd) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&drop_syn_filter())
}

/// Returns a socket filter that drops segments with SYN and without ACK and passes all others.
fn drop_syn_filter() -> [SockFilter; 5] {
    const LOAD_BYTE: u16 = 0x30;
    const AND: u16 = 0x54;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const TCP_FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ]
}
