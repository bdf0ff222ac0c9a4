//! Tests of a node process without a store: hostile peers and operators, and the log.

mod logs;
mod operators;
mod peers;
mod support;
