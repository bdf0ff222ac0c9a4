//! HTTP messages and their HTTP/1.1 form, shared by all edges of the product.

pub mod http;
pub mod http1;
pub mod listening;
