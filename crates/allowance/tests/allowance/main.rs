//! Spenders and holders of shared allowances on a simulated network.

mod bound;
mod exchange;
mod mesh;
mod use_in_calm;
