//! Limits of the edges: the settings section `edge`.

use std::time::Duration;

use serde::Deserialize;

use crate::edge::http1::HttpLimits;

/// Limits on the input of callers, targets and peers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EdgeOptions {
    /// Largest start line with headers, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request or answer, in bytes.
    pub max_body_bytes: usize,
    /// Largest number of open connections of callers.
    pub max_caller_connections: usize,
    /// Time limit for receiving a complete request, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Largest number of links that peers have opened to this node.
    pub max_incoming_links: usize,
    /// Largest number of bytes queued on one link.
    pub link_queue_bytes: usize,
    /// Time limit for a link to become usable, in milliseconds.
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
    /// Returns the limits of one HTTP message.
    #[must_use]
    pub fn http_limits(&self) -> HttpLimits {
        HttpLimits {
            max_head_bytes: self.max_head_bytes,
            max_body_bytes: self.max_body_bytes,
        }
    }

    /// Returns the time limit for receiving a complete request.
    #[must_use]
    pub fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.read_timeout_ms)
    }

    /// Returns the time after which an idle connection is closed.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// Returns the time limit for a link to become usable.
    #[must_use]
    pub fn link_connect_timeout(&self) -> Duration {
        Duration::from_millis(self.link_connect_timeout_ms)
    }
}
