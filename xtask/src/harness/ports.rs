//! Free loopback ports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::PoisonError;

use rand::RngExt;

use crate::errors::Error;
use crate::errors::Result;

/// Ports below the range that systems use for outgoing connections, so that a connection
/// cannot take a port between its choice and its use.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 30_000;
const MAX_ATTEMPTS: usize = 1_000;

/// Held while a port is tried and while a process is started. Between fork and exec a started
/// process holds a copy of every listener, so a port whose listener was just closed stays in use
/// until then.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Runs `start`, which starts a process or tries a port, while no other thread does either.
pub fn with_spawn_lock<T>(start: impl FnOnce() -> T) -> T {
    let _spawn_lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    start()
}

/// Ports that this process has assigned. They are not bound yet, so they would be found free again.
static ASSIGNED_PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Finds a loopback address whose port is free for TCP and UDP.
///
/// # Errors
/// [`Error::Resource`] when no free port was found.
pub fn free_address() -> Result<SocketAddr> {
    free_address_in(FIRST_PORT..LAST_PORT)
}

/// Finds a free address as [`free_address`] does, in a range of ports. A bench that needs hundreds
/// of ports uses a range of its own, since other harnesses on the machine also choose ports and
/// bind them only later.
///
/// # Errors
/// [`Error::Resource`] when no free port was found.
pub fn free_address_in(ports: Range<u16>) -> Result<SocketAddr> {
    let mut random = rand::rng();
    let mut assigned = ASSIGNED_PORTS
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    for _ in 0..MAX_ATTEMPTS {
        let port = random.random_range(ports.clone());
        if assigned.contains(&port) {
            continue;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let is_free = with_spawn_lock(|| {
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        });
        if is_free {
            assigned.push(port);
            return Ok(address);
        }
    }
    Err(Error::resource("loopback port", "no free port was found"))
}
