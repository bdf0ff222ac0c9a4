//! Tests of the election of the store watchers.

use std::time::Duration;

use hemlockfall_sidecar::store_watch::OtherNode;
use hemlockfall_sidecar::store_watch::Rank;
use hemlockfall_sidecar::store_watch::StoreWatch;

const INTERVAL: Duration = Duration::from_millis(500);
const STARTED: Duration = Duration::from_secs(100);
/// Time in which a changed configuration must be in force at the smaller sites.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

fn rank(position: u8) -> Rank {
    [position; 8]
}

/// Mesh of nodes in the order of their ranks.
struct Nodes {
    store_watch: Vec<StoreWatch>,
    last_heartbeat_at: Vec<Option<Duration>>,
    /// Whether each node can reach the store.
    has_store: Vec<bool>,
    /// Time from which all links are connected.
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
    /// Advances the time in ticks of 100 ms; watchers that can reach the store send heartbeats.
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
                        is_live: self.now >= self.linked_at,
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

    /// The store refuses a node, and the node announces this to the others.
    fn lose_store(&mut self, position: usize) {
        self.has_store[position] = false;
        self.last_heartbeat_at[position] = None;
    }

    fn watchers(&self) -> Vec<usize> {
        let all = 0..self.store_watch.len();
        all.filter(|index| self.store_watch[*index].is_watcher())
            .collect()
    }

    /// Returns the number of watchers that can reach the store.
    fn active_watchers(&self) -> usize {
        let watchers = self.watchers();
        watchers
            .iter()
            .filter(|index| self.has_store[**index])
            .count()
    }
}

/// Guards against more calls to the store than needed, since each is charged.
#[test]
fn three_nodes_watch_the_store_while_their_heartbeats_arrive() {
    let mut nodes = nodes(16);

    nodes.advance(Duration::from_secs(20));

    assert_eq!(nodes.watchers(), [0, 1, 2]);
}

/// Guards against a mesh that depends on a single watcher: the store refuses two of three, and the
/// third becomes unresponsive right before a change.
#[test]
fn a_refused_watcher_is_replaced_before_the_last_one_is_lost() {
    let mut nodes = nodes(16);
    nodes.advance(Duration::from_secs(5));
    nodes.lose_store(0);
    nodes.lose_store(1);

    nodes.advance(Duration::from_millis(500));
    let active_watchers = nodes.active_watchers();

    assert!(
        active_watchers >= 2,
        "{active_watchers} watchers reach the store"
    );
}

/// Guards against a late change because all watchers were lost at once.
#[test]
fn all_watchers_are_replaced_in_time() {
    let mut nodes = nodes(16);
    nodes.advance(Duration::from_secs(5));
    for position in 0..3 {
        nodes.has_store[position] = false;
    }

    nodes.advance(CONFIG_APPLY * 85 / 100);
    let active_watchers = nodes.active_watchers();

    assert!(
        active_watchers >= 1,
        "{active_watchers} watchers reach the store"
    );
}

/// Guards against substitutes that keep watching after the first watchers have recovered, and
/// against two nodes that alternate.
#[test]
fn substitutes_stop_when_the_first_watchers_recover() {
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

/// Load: the store is unavailable for twelve seconds. Guards against a quarter of the mesh calling
/// it meanwhile, since each failed call is charged.
#[test]
fn few_nodes_call_an_unavailable_store() {
    let mut nodes = nodes(200);
    nodes.advance(Duration::from_secs(5));
    for position in 0..200 {
        nodes.lose_store(position);
    }

    nodes.advance(Duration::from_secs(12));
    let watchers = nodes.watchers().len();

    assert!(watchers <= 20, "{watchers} nodes call the store");
}

/// Load: all nodes start at once and need a while to connect. Guards against all nodes reading the
/// store because none of them is connected with any other yet.
#[test]
fn nodes_without_links_do_not_all_watch_at_the_start() {
    let mut nodes = nodes(70);
    nodes.linked_at = STARTED + Duration::from_millis(400);

    nodes.advance(Duration::from_millis(300));
    let while_linking = nodes.watchers();
    nodes.advance(Duration::from_millis(500));
    let linked = nodes.watchers();

    assert_eq!((while_linking, linked), (vec![0, 1, 2], vec![0, 1, 2]));
}

/// Guards against waiting after a restart for removed nodes whose entries are still in the store.
#[test]
fn removed_nodes_are_not_waited_for() {
    let mut store_watch = StoreWatch::new(STARTED);
    let removed: Vec<OtherNode> = (0..5)
        .map(|position| OtherNode {
            rank: rank(position),
            is_live: false,
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
