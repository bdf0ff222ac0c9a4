//! Limits of the edges; they are the settings section `edge`.

use std::time::Duration;

use serde::Deserialize;

use crate::edge::http1::HttpLimits;

/// `EdgeOptions` bounds what callers, targets and peers may send.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EdgeOptions {
    /// Largest start line with headers, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request or answer, in bytes.
    pub max_body_bytes: usize,
    /// Connections of callers at once.
    pub max_caller_connections: usize,
    /// Time for a request to arrive whole, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Links that peers may open.
    pub max_incoming_links: usize,
    /// Bytes that may wait on one link.
    pub link_queue_bytes: usize,
    /// Time for a link to become usable, in milliseconds.
    pub link_connect_timeout_ms: u64,
}

impl Default for EdgeOptions {
    fn default() -> Self {
        Self {
            max_head_bytes: 32_768,
            max_body_bytes: 8_388_608,
            max_caller_connections: 2_000,
            read_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
            max_incoming_links: 4_096,
            link_queue_bytes: 33_554_432,
            link_connect_timeout_ms: 1_000,
        }
    }
}

impl EdgeOptions {
    /// `http_limits` returns the limits of one HTTP message.
    #[must_use]
    pub fn http_limits(&self) -> HttpLimits {
        HttpLimits {
            max_head_bytes: self.max_head_bytes,
            max_body_bytes: self.max_body_bytes,
        }
    }

    /// `read_timeout` returns the time for a request to arrive whole.
    #[must_use]
    pub fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.read_timeout_ms)
    }

    /// `idle_timeout` returns the time that a connection may be idle.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// `link_connect_timeout` returns the time for a link to become usable.
    #[must_use]
    pub fn link_connect_timeout(&self) -> Duration {
        Duration::from_millis(self.link_connect_timeout_ms)
    }
}
