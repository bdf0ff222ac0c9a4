//! HTTP messages and their HTTP/1.1 form, for connections to callers, targets and the store.

pub mod http;
pub mod http1;
pub mod listening;
