//! Tests of a node process without a store: malformed input of peers and operators, and the log.

mod logs;
mod operators;
mod peers;
mod support;
