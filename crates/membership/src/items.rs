//! Gossip items: short-lived notices of other families, disseminated like records.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Maximum number of items kept; further new items are dropped.
pub const MAX_ITEMS: usize = 256;
/// Maximum size of an item's text.
pub const MAX_REASON_BYTES: usize = 160;
/// Maximum time to live of an item.
pub const MAX_LIFETIME_MS: u32 = 120_000;

/// Items that one datagram carries at most.
const ITEMS_PER_DATAGRAM: usize = 2;
/// Time for which an expired item stays stored, so that a copy whose expiry is later because it was
/// delayed in the network is not taken for a new item.
const EXPIRED_RETENTION: Duration = Duration::from_secs(10);
/// A copy renews an item when its expiry is later by more than this.
const MIN_RENEWAL: Duration = Duration::from_secs(5);
/// Number of times that a relay sends an item to its peers in other data centres.
const MAX_RELAY_SENDS: u32 = 3;

/// Notice that is sent to all nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GossipItem {
    /// A target failed while it ran a request with this fingerprint.
    Fingerprint {
        /// Service of the target.
        service: ServiceName,
        /// Fingerprint of the request.
        fingerprint: Digest,
        /// Node of the target.
        node: NodeName,
        /// When the target announced itself, in unix milliseconds; distinguishes its incarnations.
        ready_unix_ms: u64,
    },
    /// A move is stopped: its share is 0 until the new state is committed to the store.
    StopMove {
        /// Service of the move.
        service: ServiceName,
        /// The move.
        move_id: MoveId,
        /// Reason of the stop.
        reason: SmolStr,
    },
    /// The store does not answer the nodes that read it; moves that freeze in an outage hold
    /// their share.
    StoreDown {
        /// When the first read failed, in unix milliseconds.
        since_unix_ms: u64,
    },
}

impl GossipItem {
    fn is_valid(&self) -> bool {
        let (service, reason) = match self {
            Self::Fingerprint { service, .. } => (service, ""),
            Self::StopMove {
                service, reason, ..
            } => (service, reason.as_str()),
            Self::StoreDown { .. } => return true,
        };
        hemlockfall_core::catalogue::validate::is_name(service) && reason.len() <= MAX_REASON_BYTES
    }

    /// Returns whether both items have the same subject; their texts and times may differ.
    fn is_copy_of(&self, other: &Self) -> bool {
        match (self, other) {
            (
                Self::StopMove {
                    service, move_id, ..
                },
                Self::StopMove {
                    service: other_service,
                    move_id: other_move,
                    ..
                },
            ) => service == other_service && move_id == other_move,
            (Self::StoreDown { .. }, Self::StoreDown { .. }) => true,
            _ => self == other,
        }
    }
}

/// Item in a message, with its remaining lifetime.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedItem {
    /// The item.
    pub item: GossipItem,
    /// Time left to live, in milliseconds.
    pub lifetime_ms: u32,
}

struct StoredItem {
    item: GossipItem,
    expires: Instant,
    gossip_sends: u32,
    push_sends: u32,
    relay_sends: u32,
}

/// Way in which items are disseminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// With probes and their answers.
    Gossip,
    /// With the pushes of the next tick, to some members.
    Push,
    /// From a relay to the relays of other data centres and regions.
    Relay,
}

/// Gossip items that a node has received.
#[derive(Default)]
pub struct Items {
    stored: Vec<StoredItem>,
}

impl Items {
    /// Stores an item and returns whether it is new or renewed.
    pub fn merge(&mut self, carried: &CarriedItem, now: Instant) -> bool {
        if !carried.item.is_valid() || carried.lifetime_ms == 0 {
            return false;
        }
        let lifetime_ms = carried.lifetime_ms.min(MAX_LIFETIME_MS);
        let expires = now + Duration::from_millis(u64::from(lifetime_ms));
        let stored = StoredItem {
            item: carried.item.clone(),
            expires,
            gossip_sends: 0,
            push_sends: 0,
            relay_sends: 0,
        };
        let is_copy = |existing: &StoredItem| existing.item.is_copy_of(&carried.item);
        let Some(index) = self.stored.iter().position(is_copy) else {
            let has_room = self.stored.len() < MAX_ITEMS;
            if has_room {
                self.stored.push(stored);
            }
            return has_room;
        };
        let is_renewed = expires > self.stored[index].expires + MIN_RENEWAL;
        if is_renewed {
            self.stored[index] = stored;
        }
        is_renewed
    }

    /// Returns the next items to send on a channel and counts them as sent; `gossip_limit` bounds
    /// the sends with probes.
    pub fn next_batch(
        &mut self,
        channel: Channel,
        gossip_limit: u32,
        now: Instant,
    ) -> Vec<CarriedItem> {
        let mut batch = Vec::new();
        for stored in &mut self.stored {
            let (sends, limit) = match channel {
                Channel::Gossip => (&mut stored.gossip_sends, gossip_limit),
                Channel::Push => (&mut stored.push_sends, 1),
                Channel::Relay => (&mut stored.relay_sends, MAX_RELAY_SENDS),
            };
            let left_ms = stored.expires.saturating_duration_since(now).as_millis();
            if *sends >= limit || left_ms == 0 || batch.len() >= ITEMS_PER_DATAGRAM {
                continue;
            }
            *sends += 1;
            batch.push(CarriedItem {
                item: stored.item.clone(),
                lifetime_ms: u32::try_from(left_ms).unwrap_or(MAX_LIFETIME_MS),
            });
        }
        batch
    }

    /// Removes items whose expiry is longer ago than `EXPIRED_RETENTION`.
    pub fn expire(&mut self, now: Instant) {
        self.stored
            .retain(|stored| stored.expires + EXPIRED_RETENTION > now);
    }

    /// Returns the number of stored items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// Returns whether no item is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }
}
