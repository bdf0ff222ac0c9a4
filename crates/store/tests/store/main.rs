//! Tests of the store client against a fake store over HTTP.

mod catalogue;
mod contract;
mod support;
