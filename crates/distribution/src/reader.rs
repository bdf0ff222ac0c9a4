//! Decides when a node watches or reads the stored catalogue: watchers watch it, a starting node
//! reads it to find its floor, and region relays read it when they receive nothing from the store's
//! region.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::peers::Peers;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::action::Action;

/// Minimum time between two reads of the same region.
const REGION_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Limits of the backoff of a starting node whose read failed.
const START_BACKOFF_MIN_MS: u64 = 500;
const START_BACKOFF_MAX_MS: u64 = 5_000;
/// A starting node reads again if no result arrives within this time.
const START_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a read or of one poll of the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The store returned this catalogue.
    Read(Box<StoredCatalogue>),
    /// The store answered that there is no catalogue yet.
    Absent,
    /// The store did not answer, or answered with an error.
    Unreachable,
}

/// Schedule of a node's reads and watches of the stored catalogue.
pub struct StoreReader {
    is_watching: bool,
    last_message_at: Instant,
    max_silence: Duration,
    next_read: Instant,
    backoff_ms: u64,
}

impl StoreReader {
    /// Creates a reader that reads the store at the first tick.
    #[must_use]
    pub fn new(max_silence: Duration, now: Instant) -> Self {
        Self {
            is_watching: false,
            last_message_at: now,
            max_silence,
            next_read: now,
            backoff_ms: START_BACKOFF_MIN_MS,
        }
    }

    /// Records the arrival of a message from the store's region.
    pub fn record_message(&mut self, now: Instant) {
        self.last_message_at = now;
    }

    /// Schedules the next read of a starting node, with backoff.
    pub fn schedule_retry(&mut self, rng: &mut StdRng, now: Instant) {
        let wait_ms = rng.random_range(self.backoff_ms / 2..=self.backoff_ms);
        self.next_read = now + Duration::from_millis(wait_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(START_BACKOFF_MAX_MS);
    }

    /// Returns the store actions that are due.
    pub fn tick(
        &mut self,
        peers: &Peers,
        is_starting: bool,
        held: Revision,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if peers.is_watcher != self.is_watching {
            self.is_watching = peers.is_watcher;
            actions.push(if self.is_watching {
                Action::WatchStore {
                    after_revision: held,
                }
            } else {
                Action::StopWatch
            });
        }
        if is_starting {
            actions.extend(self.start_read(now));
        } else {
            actions.extend(self.region_read(peers, now));
        }
        actions
    }

    fn start_read(&mut self, now: Instant) -> Option<Action> {
        if now < self.next_read {
            return None;
        }
        self.next_read = now + START_READ_TIMEOUT;
        Some(Action::ReadStore)
    }

    /// Returns a read if no message from the store's region arrived for `max_silence`. The region
    /// relays take turns, so that the region reads once per interval.
    fn region_read(&mut self, peers: &Peers, now: Instant) -> Option<Action> {
        let rank = peers.region_relay_rank?;
        let relay_count = peers.region_relay_count.max(1);
        let first_read = self.last_message_at + self.max_silence + REGION_READ_INTERVAL * rank;
        if peers.in_store_region || now < first_read || now < self.next_read {
            return None;
        }
        self.next_read = now + REGION_READ_INTERVAL * relay_count;
        Some(Action::ReadStore)
    }
}
