//! Which nodes follow the store.

/// `Rank` is a node's place in an order that all nodes share.
pub type Rank = [u8; 8];

/// `rank_of` ranks a node by a hash of its name, which spreads the first ones over the data
/// centres.
#[must_use]
pub fn rank_of(name: &str) -> Rank {
    let mut rank = [0; 8];
    rank.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    rank
}
