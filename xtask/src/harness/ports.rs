//! Free loopback ports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

use rand::RngExt;

use crate::errors::Error;
use crate::errors::Result;

/// Ports below the range that systems use for outgoing connections, so that a connection
/// cannot take a port between its choice and its use.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 30_000;
const TRIES: usize = 1_000;

/// `free_address` finds a loopback address whose port is free for TCP and UDP.
///
/// # Errors
/// [`Error::Resource`] when no free port was found.
pub fn free_address() -> Result<SocketAddr> {
    let mut random = rand::rng();
    for _ in 0..TRIES {
        let port = random.random_range(FIRST_PORT..LAST_PORT);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(Error::resource("loopback port", "no free port was found"))
}
