//! Election of the store watchers.
//!
//! Each long-polling call to the store is charged, so only a few nodes watch the store and publish
//! its changes to the others. These are the first nodes in an order that all nodes share. When
//! fewer than two watchers send heartbeats, since the others cannot reach the store or are refused
//! by it, further nodes start to watch, each a little later than the one before it.

use std::time::Duration;

use crate::clock::Time;

/// Number of nodes that always watch the store.
pub const WATCHERS: usize = 3;
/// Number of other watchers with a current heartbeat below which substitutes start to watch. With a
/// single watcher, the next change would be late if that one lost the store.
const MIN_ACTIVE_WATCHERS: usize = 2;
/// Time beyond the heartbeat interval after which a watcher counts as unresponsive.
const HEARTBEAT_MARGIN: Duration = Duration::from_millis(800);
/// Delay between one substitute and the next in the order, so that not all nodes call a store that
/// is unavailable.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Number of substitutes that use the short delay. If none of them reaches the store, it is most
/// likely unavailable to all, and more substitutes only add failed calls, each of which is charged.
const SUBSTITUTES: u32 = 8;
/// Delay between one substitute and the next beyond the first `SUBSTITUTES`.
const LATER_TAKEOVER_DELAY: Duration = Duration::from_millis(1500);

/// Time that a node needs after its start to connect with the running nodes, besides the time for
/// each of the other nodes. Until then it treats all other nodes as running.
const LINK_SETUP_TIME: Duration = Duration::from_millis(150);
/// Additional time for each of the other nodes.
const LINK_SETUP_TIME_PER_NODE: Duration = Duration::from_millis(5);

/// Sort key of a node in an order that all nodes share.
pub type Rank = [u8; 8];

/// Returns the rank of a node: a hash of its name, so that the first nodes are distributed over the
/// data centres.
#[must_use]
pub fn rank_of(name: &str) -> Rank {
    let mut rank = [0; 8];
    rank.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    rank
}

/// Another node of the mesh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherNode {
    /// Rank of the node.
    pub rank: Rank,
    /// Whether that node is taken to be running. A node of the same data centre must be connected;
    /// one of another data centre may also be unconnected if no attempt to connect failed.
    pub is_live: bool,
    /// Time of its last heartbeat as a store watcher.
    pub last_heartbeat_at: Option<Time>,
}

/// Decision whether this node watches the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreWatch {
    started: Time,
    /// Start of the period in which fewer than `MIN_ACTIVE_WATCHERS` were active.
    too_few_since: Option<Time>,
    is_watcher: bool,
}

impl StoreWatch {
    /// Creates the state of a node that does not watch the store yet.
    #[must_use]
    pub fn new(started: Time) -> Self {
        Self {
            started,
            too_few_since: None,
            is_watcher: false,
        }
    }

    /// Returns the result of the last update.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Decides again whether this node watches the store; `interval` is the heartbeat interval of
    /// watchers.
    pub fn update(&mut self, own: Rank, nodes: &[OtherNode], interval: Duration, now: Time) {
        let heartbeat_timeout = interval + HEARTBEAT_MARGIN;
        let age = now.saturating_sub(self.started);
        let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
        let is_linking = age <= LINK_SETUP_TIME + LINK_SETUP_TIME_PER_NODE.saturating_mul(count);
        let nodes_before = nodes
            .iter()
            .filter(|node| node.rank < own && (node.is_live || is_linking))
            .count();
        let active_watchers = nodes
            .iter()
            .filter(|node| node.is_live)
            .filter_map(|node| node.last_heartbeat_at)
            .filter(|at| now.saturating_sub(*at) <= heartbeat_timeout)
            .count();
        // Just after the start, no watcher had time to send a heartbeat yet.
        let is_new = age <= heartbeat_timeout;
        if nodes_before < WATCHERS || active_watchers >= MIN_ACTIVE_WATCHERS || is_new {
            self.too_few_since = None;
            self.is_watcher = nodes_before < WATCHERS;
            return;
        }
        let since = *self.too_few_since.get_or_insert(now);
        let position = u32::try_from(nodes_before - WATCHERS).unwrap_or(u32::MAX);
        self.is_watcher = now.saturating_sub(since) >= takeover_delay(position);
    }
}

/// Returns how long a substitute waits before it starts to watch the store.
fn takeover_delay(position: u32) -> Duration {
    let later = position.saturating_sub(SUBSTITUTES);
    TAKEOVER_DELAY.saturating_mul(position.min(SUBSTITUTES))
        + LATER_TAKEOVER_DELAY.saturating_mul(later)
}
