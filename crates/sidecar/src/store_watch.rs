//! Which nodes follow the store.
//!
//! Each waiting call to the store is charged, so a few nodes follow it and tell the others. The
//! first ones in an order that all nodes share do so. When fewer than two of them are heard, since
//! the others are cut off from the store or refused by it, further nodes follow as well, each a
//! little later than the one before it.

use std::time::Duration;

use crate::clock::Time;

/// Nodes that follow whatever they hear.
pub const WATCHERS: usize = 3;
/// Followers to be heard. With a single one, the next change is late when it loses the store.
const MIN_ACTIVE_WATCHERS: usize = 2;
/// Time beyond the interval of its signs after which a follower counts as silent.
const HEARTBEAT_MARGIN: Duration = Duration::from_millis(800);
/// Lead of a node over the next one in the order, so that not all call a store that is away.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Nodes that come to follow one after the other by that lead. When none of them reaches the store
/// it is most likely away for all, and further nodes only add failed calls, each of which is
/// charged: they come by a longer lead.
const SUBSTITUTES: u32 = 8;
const LATER_TAKEOVER_DELAY: Duration = Duration::from_millis(1500);

/// Time that a node needs after its start to connect with those that live, and for each node that
/// it knows of. Until then it takes all of them to live.
const LINK_SETUP_TIME: Duration = Duration::from_millis(150);
const LINK_SETUP_TIME_PER_NODE: Duration = Duration::from_millis(5);

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

/// `OtherNode` is another node of the mesh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherNode {
    /// Its place in the order.
    pub rank: Rank,
    /// Whether this node is connected with it.
    pub is_linked: bool,
    /// When it last said that it follows the store.
    pub last_heartbeat_at: Option<Time>,
}

/// `StoreWatch` decides whether this node follows the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreWatch {
    started: Time,
    /// Since when too few followers are heard.
    too_few_since: Option<Time>,
    is_watcher: bool,
}

impl StoreWatch {
    /// `new` begins with a node that does not follow.
    #[must_use]
    pub fn new(started: Time) -> Self {
        Self {
            started,
            too_few_since: None,
            is_watcher: false,
        }
    }

    /// `is_watcher` returns the last decision.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// `update` decides again; `interval` is the time between two signs of a follower.
    pub fn update(&mut self, own: Rank, nodes: &[OtherNode], interval: Duration, now: Time) {
        let heartbeat_timeout = interval + HEARTBEAT_MARGIN;
        let age = now.saturating_sub(self.started);
        let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
        let is_linking = age <= LINK_SETUP_TIME + LINK_SETUP_TIME_PER_NODE.saturating_mul(count);
        let nodes_before = nodes
            .iter()
            .filter(|node| node.rank < own && (node.is_linked || is_linking))
            .count();
        let active_watchers = nodes
            .iter()
            .filter(|node| node.is_linked)
            .filter_map(|node| node.last_heartbeat_at)
            .filter(|at| now.saturating_sub(*at) <= heartbeat_timeout)
            .count();
        // A node that has just started has not had the time to hear any.
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

/// Returns how long a node waits for the ones before it to follow.
fn takeover_delay(position: u32) -> Duration {
    let later = position.saturating_sub(SUBSTITUTES);
    TAKEOVER_DELAY.saturating_mul(position.min(SUBSTITUTES))
        + LATER_TAKEOVER_DELAY.saturating_mul(later)
}
