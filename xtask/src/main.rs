//! Development tasks: stand-ins, demo, benches and scenarios.

fn main() {}
