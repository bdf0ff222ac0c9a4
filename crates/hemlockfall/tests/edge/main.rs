//! Tests of the edges with malformed and unusual input.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

mod callers;
mod decoders;
mod http_readers;
mod local;

mod support;
mod targets;
