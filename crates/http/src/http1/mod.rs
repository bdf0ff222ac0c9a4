//! HTTP/1.1 message parsing on byte buffers, on top of `httparse`.
//!
//! Only whole messages leave this module: a message whose framing is ambiguous, incomplete or
//! too large is an error and never shortened.

pub mod body;
pub mod errors;
pub mod request;
pub mod response;

pub use errors::HttpError;
pub use errors::Result;

/// `HttpLimits` bound one message.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Largest start line with headers, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
}

/// `MAX_HEADERS` is the largest number of header fields of a message.
pub const MAX_HEADERS: usize = 100;
