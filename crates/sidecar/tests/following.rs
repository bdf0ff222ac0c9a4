//! Tests of who follows the store.

use std::time::Duration;

use hemlockfall_sidecar::following::Following;
use hemlockfall_sidecar::following::KnownNode;
use hemlockfall_sidecar::following::Rank;

const INTERVAL: Duration = Duration::from_millis(500);
const STARTED: Duration = Duration::from_secs(100);
/// Time in which a changed configuration must be in force, of the smaller sites.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

fn rank(place: u8) -> Rank {
    [place; 8]
}

/// A mesh of nodes in the order of their ranks; `has_store` tells who can reach the store.
struct Nodes {
    following: Vec<Following>,
    heard_at: Vec<Option<Duration>>,
    has_store: Vec<bool>,
    /// When all links stand.
    linked_at: Duration,
    now: Duration,
}

fn nodes(count: u8) -> Nodes {
    Nodes {
        following: vec![Following::new(STARTED); count.into()],
        heard_at: vec![None; count.into()],
        has_store: vec![true; count.into()],
        linked_at: STARTED,
        now: STARTED,
    }
}

impl Nodes {
    /// Lets time pass in rounds of 100 ms; followers with a store give signs.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for index in 0..self.following.len() {
                let own = u8::try_from(index).expect("few nodes");
                let known: Vec<KnownNode> = (0_u8..)
                    .zip(&self.heard_at)
                    .filter(|(place, _)| *place != own)
                    .map(|(place, heard_at)| KnownNode {
                        rank: rank(place),
                        is_linked: self.now >= self.linked_at,
                        heard_at: *heard_at,
                    })
                    .collect();
                let following = &mut self.following[index];
                let was_follower = following.is_follower();
                following.update(rank(own), &known, INTERVAL, self.now);
                let is_beat = self.now.as_millis().is_multiple_of(INTERVAL.as_millis());
                let is_heard = following.is_follower() && self.has_store[index];
                if is_heard && (is_beat || !was_follower) {
                    self.heard_at[index] = Some(self.now);
                }
            }
        }
    }

    /// A node that is refused says so.
    fn lose_store(&mut self, place: usize) {
        self.has_store[place] = false;
        self.heard_at[place] = None;
    }

    fn followers(&self) -> Vec<usize> {
        let all = 0..self.following.len();
        all.filter(|index| self.following[*index].is_follower())
            .collect()
    }

    fn working(&self) -> usize {
        let followers = self.followers();
        followers
            .iter()
            .filter(|index| self.has_store[**index])
            .count()
    }
}

/// Guards against a herd of watches, each of which is charged.
#[test]
fn three_nodes_follow_while_they_are_heard() {
    let mut nodes = nodes(16);

    nodes.pass(Duration::from_secs(20));

    assert_eq!(nodes.followers(), [0, 1, 2]);
}

/// Guards against a mesh that hangs on a single follower: of three, the store refuses two, and
/// the third falls silent right before a change.
#[test]
fn a_refused_follower_is_replaced_before_the_last_one_is_lost() {
    let mut nodes = nodes(16);
    nodes.pass(Duration::from_secs(5));
    nodes.lose_store(0);
    nodes.lose_store(1);

    nodes.pass(Duration::from_millis(500));
    let working = nodes.working();

    assert!(working >= 2, "{working} followers work");
}

/// Guards against a change that is late because every follower was lost at once.
#[test]
fn all_followers_are_replaced_in_time() {
    let mut nodes = nodes(16);
    nodes.pass(Duration::from_secs(5));
    for place in 0..3 {
        nodes.has_store[place] = false;
    }

    nodes.pass(CONFIG_APPLY * 85 / 100);
    let working = nodes.working();

    assert!(working >= 1, "{working} followers work");
}

/// Guards against substitutes that go on when the first ones are back, and against two nodes
/// that take turns.
#[test]
fn substitutes_stop_when_the_first_ones_are_back() {
    let mut nodes = nodes(16);
    nodes.pass(Duration::from_secs(5));
    nodes.lose_store(0);
    nodes.lose_store(1);
    nodes.pass(Duration::from_secs(10));
    let while_refused = nodes.followers();
    nodes.has_store = vec![true; 16];

    nodes.pass(Duration::from_secs(3));
    let after = nodes.followers();

    assert_eq!((while_refused, after), (vec![0, 1, 2, 3], vec![0, 1, 2]));
}

/// Load: the store is away for twelve seconds. Guards against a mesh of which a fourth calls it
/// meanwhile, each failed call being charged.
#[test]
fn few_nodes_call_a_store_that_is_away() {
    let mut nodes = nodes(200);
    nodes.pass(Duration::from_secs(5));
    for place in 0..200 {
        nodes.lose_store(place);
    }

    nodes.pass(Duration::from_secs(12));
    let following = nodes.followers().len();

    assert!(following <= 20, "{following} nodes call the store");
}

/// Load: all nodes start at once and need a while to connect. Guards against a herd that reads
/// the store, each because it sees no other node.
#[test]
fn nodes_without_links_do_not_all_follow_at_the_start() {
    let mut nodes = nodes(70);
    nodes.linked_at = STARTED + Duration::from_millis(400);

    nodes.pass(Duration::from_millis(300));
    let while_linking = nodes.followers();
    nodes.pass(Duration::from_millis(500));
    let linked = nodes.followers();

    assert_eq!((while_linking, linked), (vec![0, 1, 2], vec![0, 1, 2]));
}

/// Guards against a mesh that waits after a restart for nodes that are gone for good: their
/// entries are still in the store.
#[test]
fn nodes_that_are_gone_are_not_waited_for() {
    let mut following = Following::new(STARTED);
    let gone: Vec<KnownNode> = (0..5)
        .map(|place| KnownNode {
            rank: rank(place),
            is_linked: false,
            heard_at: None,
        })
        .collect();

    following.update(
        rank(9),
        &gone,
        INTERVAL,
        STARTED + Duration::from_millis(300),
    );

    assert!(following.is_follower());
}
