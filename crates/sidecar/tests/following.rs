//! Tests of who follows the store.

use std::time::Duration;

use hemlockfall_sidecar::store_watch::OtherNode;
use hemlockfall_sidecar::store_watch::Rank;
use hemlockfall_sidecar::store_watch::StoreWatch;

const INTERVAL: Duration = Duration::from_millis(500);
const STARTED: Duration = Duration::from_secs(100);
/// Time in which a changed configuration must be in force, of the smaller sites.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

fn rank(position: u8) -> Rank {
    [position; 8]
}

/// A mesh of nodes in the order of their ranks; `has_store` tells who can reach the store.
struct Nodes {
    store_watch: Vec<StoreWatch>,
    last_heartbeat_at: Vec<Option<Duration>>,
    has_store: Vec<bool>,
    /// When all links stand.
    linked_at: Duration,
    now: Duration,
}

fn nodes(count: u8) -> Nodes {
    Nodes {
        store_watch: vec![StoreWatch::new(STARTED); count.into()],
        last_heartbeat_at: vec![None; count.into()],
        has_store: vec![true; count.into()],
        linked_at: STARTED,
        now: STARTED,
    }
}

impl Nodes {
    /// Lets time pass in rounds of 100 ms; followers with a store give signs.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for index in 0..self.store_watch.len() {
                let own = u8::try_from(index).expect("few nodes");
                let others: Vec<OtherNode> = (0_u8..)
                    .zip(&self.last_heartbeat_at)
                    .filter(|(position, _)| *position != own)
                    .map(|(position, last_heartbeat_at)| OtherNode {
                        rank: rank(position),
                        is_linked: self.now >= self.linked_at,
                        last_heartbeat_at: *last_heartbeat_at,
                    })
                    .collect();
                let store_watch = &mut self.store_watch[index];
                let was_watcher = store_watch.is_watcher();
                store_watch.update(rank(own), &others, INTERVAL, self.now);
                let is_heartbeat = self.now.as_millis().is_multiple_of(INTERVAL.as_millis());
                let sends_heartbeat = store_watch.is_watcher() && self.has_store[index];
                if sends_heartbeat && (is_heartbeat || !was_watcher) {
                    self.last_heartbeat_at[index] = Some(self.now);
                }
            }
        }
    }

    /// A node that is refused says so.
    fn lose_store(&mut self, position: usize) {
        self.has_store[position] = false;
        self.last_heartbeat_at[position] = None;
    }

    fn watchers(&self) -> Vec<usize> {
        let all = 0..self.store_watch.len();
        all.filter(|index| self.store_watch[*index].is_watcher())
            .collect()
    }

    fn active_watchers(&self) -> usize {
        let watchers = self.watchers();
        watchers
            .iter()
            .filter(|index| self.has_store[**index])
            .count()
    }
}

/// Guards against a herd of watches, each of which is charged.
#[test]
fn three_nodes_follow_while_they_are_heard() {
    let mut nodes = nodes(16);

    nodes.advance(Duration::from_secs(20));

    assert_eq!(nodes.watchers(), [0, 1, 2]);
}

/// Guards against a mesh that hangs on a single follower: of three, the store refuses two, and
/// the third falls silent right before a change.
#[test]
fn a_refused_follower_is_replaced_before_the_last_one_is_lost() {
    let mut nodes = nodes(16);
    nodes.advance(Duration::from_secs(5));
    nodes.lose_store(0);
    nodes.lose_store(1);

    nodes.advance(Duration::from_millis(500));
    let active_watchers = nodes.active_watchers();

    assert!(active_watchers >= 2, "{active_watchers} followers work");
}

/// Guards against a change that is late because every follower was lost at once.
#[test]
fn all_followers_are_replaced_in_time() {
    let mut nodes = nodes(16);
    nodes.advance(Duration::from_secs(5));
    for position in 0..3 {
        nodes.has_store[position] = false;
    }

    nodes.advance(CONFIG_APPLY * 85 / 100);
    let active_watchers = nodes.active_watchers();

    assert!(active_watchers >= 1, "{active_watchers} followers work");
}

/// Guards against substitutes that go on when the first ones are back, and against two nodes
/// that take turns.
#[test]
fn substitutes_stop_when_the_first_ones_are_back() {
    let mut nodes = nodes(16);
    nodes.advance(Duration::from_secs(5));
    nodes.lose_store(0);
    nodes.lose_store(1);
    nodes.advance(Duration::from_secs(10));
    let while_refused = nodes.watchers();
    nodes.has_store = vec![true; 16];

    nodes.advance(Duration::from_secs(3));
    let after = nodes.watchers();

    assert_eq!((while_refused, after), (vec![0, 1, 2, 3], vec![0, 1, 2]));
}

/// Load: the store is away for twelve seconds. Guards against a mesh of which a fourth calls it
/// meanwhile, each failed call being charged.
#[test]
fn few_nodes_call_a_store_that_is_away() {
    let mut nodes = nodes(200);
    nodes.advance(Duration::from_secs(5));
    for position in 0..200 {
        nodes.lose_store(position);
    }

    nodes.advance(Duration::from_secs(12));
    let watchers = nodes.watchers().len();

    assert!(watchers <= 20, "{watchers} nodes call the store");
}

/// Load: all nodes start at once and need a while to connect. Guards against a herd that reads
/// the store, each because it sees no other node.
#[test]
fn nodes_without_links_do_not_all_follow_at_the_start() {
    let mut nodes = nodes(70);
    nodes.linked_at = STARTED + Duration::from_millis(400);

    nodes.advance(Duration::from_millis(300));
    let while_linking = nodes.watchers();
    nodes.advance(Duration::from_millis(500));
    let linked = nodes.watchers();

    assert_eq!((while_linking, linked), (vec![0, 1, 2], vec![0, 1, 2]));
}

/// Guards against a mesh that waits after a restart for nodes that are gone for good: their
/// entries are still in the store.
#[test]
fn nodes_that_are_gone_are_not_waited_for() {
    let mut store_watch = StoreWatch::new(STARTED);
    let removed: Vec<OtherNode> = (0..5)
        .map(|position| OtherNode {
            rank: rank(position),
            is_linked: false,
            last_heartbeat_at: None,
        })
        .collect();

    store_watch.update(
        rank(9),
        &removed,
        INTERVAL,
        STARTED + Duration::from_millis(300),
    );

    assert!(store_watch.is_watcher());
}
