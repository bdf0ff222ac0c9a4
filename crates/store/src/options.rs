//! Options of the store client, read from the settings section `store`.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

/// Options of a [`crate::Client`].
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Options {
    /// Address of the store; required in settings files.
    pub address: SocketAddr,
    /// Region of the store; required in settings files.
    pub region: SmolStr,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout of one request, in milliseconds.
    pub request_timeout_ms: u64,
    /// Time that a watch waits for a change, in milliseconds.
    pub watch_wait_ms: u64,
    /// Timeout of one operation with all its retries, in milliseconds.
    pub total_timeout_ms: u64,
    /// First wait between retries, in milliseconds.
    pub backoff_first_ms: u64,
    /// Longest wait between retries, in milliseconds.
    pub backoff_max_ms: u64,
    /// Time after its expiry during which a lease is not taken over, in milliseconds.
    pub lease_clock_skew_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            region: SmolStr::default(),
            connect_timeout_ms: 500,
            request_timeout_ms: 2_000,
            watch_wait_ms: 20_000,
            total_timeout_ms: 5_000,
            backoff_first_ms: 20,
            backoff_max_ms: 2_000,
            lease_clock_skew_ms: 500,
        }
    }
}

impl Options {
    /// Returns the timeout for opening a connection.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns the timeout of one request.
    #[must_use]
    pub fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.request_timeout_ms)
    }

    /// Returns the timeout of one operation with all its retries.
    #[must_use]
    pub fn total_timeout(&self) -> Duration {
        Duration::from_millis(self.total_timeout_ms)
    }
}
