//! Gossip items: short-lived notices of other families, spread like records.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// `MAX_ITEMS` bounds the items kept; beyond it new ones are dropped.
pub const MAX_ITEMS: usize = 256;
/// `MAX_REASON_BYTES` bounds the text of an item.
pub const MAX_REASON_BYTES: usize = 160;
/// `MAX_LIFETIME_MS` is the longest time to live of an item.
pub const MAX_LIFETIME_MS: u32 = 120_000;

/// Items per datagram.
const ITEMS_PER_DATAGRAM: usize = 2;
/// An expired item is remembered this long, so that a copy with a later expiry, caused by
/// delays on the way, does not bring it back.
const EXPIRED_RETENTION: Duration = Duration::from_secs(10);
/// A copy counts as renewed when it lives longer by more than this.
const MIN_RENEWAL: Duration = Duration::from_secs(5);
/// Times that a relay sends an item to its peers in other data centres.
const MAX_RELAY_SENDS: u32 = 3;

/// `GossipItem` is a notice that all nodes receive.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GossipItem {
    /// A target vanished while it ran a request with this fingerprint.
    Fingerprint {
        /// Service of the target.
        service: ServiceName,
        /// Fingerprint of the request.
        fingerprint: Digest,
        /// Node of the target.
        node: NodeName,
        /// When the target announced itself, in unix milliseconds; tells apart its lives.
        ready_unix_ms: u64,
    },
    /// The share of a move is 0 until its state is committed.
    StopMove {
        /// Service of the move.
        service: ServiceName,
        /// The move.
        move_id: MoveId,
        /// Why.
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

    /// Two items with the same subject are copies, whatever their text.
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

/// `CarriedItem` is an item in a message.
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

/// `Channel` is a way by which items spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// With probes.
    Gossip,
    /// At once, to some members.
    Push,
    /// To relays of other data centres and regions.
    Relay,
}

/// `Items` are the gossip items that a node knows.
#[derive(Default)]
pub struct Items {
    stored: Vec<StoredItem>,
}

impl Items {
    /// `merge` records an item and tells whether it is new or renewed.
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

    /// `next_batch` returns items to send on a channel; `gossip_limit` bounds the sends with probes.
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

    /// `expire` forgets items some time after their end.
    pub fn expire(&mut self, now: Instant) {
        self.stored
            .retain(|stored| stored.expires + EXPIRED_RETENTION > now);
    }

    /// `len` returns the number of items remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// `is_empty` tells whether no item is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }
}
