//! The hemlockfall binary.

fn main() {}
