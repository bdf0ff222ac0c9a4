//! HTTP/1.1 message parsing on byte buffers, on top of `httparse`.
//!
//! Only complete messages are returned: a message that is incomplete, too large or ambiguously
//! framed is an error and is never truncated.

pub mod body;
pub mod errors;
pub mod request;
pub mod response;

pub use errors::HttpError;
pub use errors::Result;

/// Size limits of a message.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum size of the start line with headers, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub max_body_bytes: usize,
}

/// Maximum number of header fields of a message.
pub const MAX_HEADERS: usize = 100;
