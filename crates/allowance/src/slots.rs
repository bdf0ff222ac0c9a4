//! Assignment of allowances to holder nodes.
//!
//! Allowances are distributed over a fixed number of slots, and each slot is held by the node with
//! the highest hash (rendezvous hashing) among those taken to be live. The number of slots is a
//! constant, since nodes that know different numbers of nodes must still agree on the slot of an
//! allowance.

use std::time::Duration;

use crate::AllowanceKey;
use crate::NodeName;

/// Number of slots, and so the largest number of holder nodes. Each holder gets two messages a
/// second from every node, and its part of the requests for tokens; with twelve, a holder in a mesh with
/// 2,000 requests per second gets about 170 of them.
pub const SLOTS: u8 = 12;
/// Time for which the support of a node for a holder counts. A slot has no holder for up to this
/// time after its holder is lost.
pub const SUPPORT_TIME: Duration = Duration::from_millis(1500);
/// Interval of the messages that keep up the support; two may be lost before it ends.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(450);
/// Time for which a node may use its share without contact to the holder. A new holder withholds
/// the shares that it does not know for as long, so that a longer time costs callers more after a
/// restart of all nodes than it gains them at a node that is cut off.
pub const SHARE_TIME: Duration = Duration::from_secs(8);

/// Number of a slot.
pub type Slot = u8;
/// Set of slots, one bit for each.
pub type SlotSet = u16;

/// Returns the set that holds one slot.
#[must_use]
pub fn set_of(slot: Slot) -> SlotSet {
    1 << slot
}

/// Returns the slots of a set in ascending order.
pub fn slots_in(set: SlotSet) -> impl Iterator<Item = Slot> {
    (0..SLOTS).filter(move |slot| set & set_of(*slot) != 0)
}

/// Returns the slot of an allowance.
#[must_use]
pub fn slot_of(key: &AllowanceKey) -> Slot {
    let slot = hash(key.as_bytes(), 0) % u64::from(SLOTS);
    u8::try_from(slot).unwrap_or_default()
}

/// Returns the holder of each slot, or `None` if there are no live nodes.
#[must_use]
pub fn holders(live: &[NodeName]) -> Option<Vec<NodeName>> {
    (0..SLOTS)
        .map(|slot| {
            let rank = |node: &NodeName| hash(node.as_bytes(), u64::from(slot) + 1);
            live.iter()
                .max_by(|a, b| (rank(a), a).cmp(&(rank(b), b)))
                .cloned()
        })
        .collect()
}

/// FNV-1a with a seed and the finalizer of `SplitMix64`. All nodes must agree on it, so it must not
/// depend on the version of a library.
fn hash(bytes: &[u8], seed: u64) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
