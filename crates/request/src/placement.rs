//! Placement of idempotency keys: which nodes may run a key and which keep its record.

use std::time::Duration;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::rendezvous;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::options::Options;

/// `KEEPERS_PER_KEY` is the number of nodes that keep the record of one key: the runner and two
/// witnesses.
pub const KEEPERS_PER_KEY: usize = 3;

/// `MAX_CLOCK_LEAD_MS` is the time by which a caller's clock may be ahead. A key from farther in
/// the future carries no usable time.
pub const MAX_CLOCK_LEAD_MS: u64 = 3_000;

/// Time by which refutations may have raised an incarnation above the start of its node.
const MAX_REFUTATION_MS: u64 = 1_000;

/// `Key` is the idempotency key of a request, scoped to its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Service that the key belongs to.
    pub service: SmolStr,
    /// Text that the caller chose, or a version 7 UUID generated at entry.
    pub text: SmolStr,
}

impl Key {
    /// `new` makes a key.
    #[must_use]
    pub fn new(service: impl Into<SmolStr>, text: impl Into<SmolStr>) -> Self {
        Self {
            service: service.into(),
            text: text.into(),
        }
    }

    /// `time_unix_ms` returns the earliest time at which the key can have been used. A key that
    /// is no version 7 UUID, or lies in the future, is taken to be as old as a record's life.
    #[must_use]
    pub fn time_unix_ms(&self, now_unix_ms: u64, options: &Options) -> u64 {
        let oldest_unix_ms = now_unix_ms.saturating_sub(u64::from(options.key_life_ms));
        Uuid::try_parse(&self.text)
            .ok()
            .and_then(uuid_time_unix_ms)
            .filter(|time_unix_ms| *time_unix_ms <= now_unix_ms + MAX_CLOCK_LEAD_MS)
            .unwrap_or(oldest_unix_ms)
    }

    fn hash(&self) -> u64 {
        rendezvous::score(self.service.as_bytes(), self.text.as_bytes())
    }
}

/// `uuid_time_unix_ms` returns the time of a version 7 UUID, in unix milliseconds.
#[must_use]
pub fn uuid_time_unix_ms(id: Uuid) -> Option<u64> {
    let timestamp = (id.get_version_num() == 7)
        .then(|| id.get_timestamp())
        .flatten()?;
    let (seconds, nanos) = timestamp.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// `mix` spreads the bits of a number (finalizer of splitmix64).
#[must_use]
pub fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

#[derive(Clone, Debug)]
struct Member {
    node: NodeName,
    version: SmolStr,
    hash: u64,
    is_ready: bool,
    /// Start of the life in which the node was first heard of as a member. It is kept over
    /// restarts and announcements, since earlier lives may have recorded keys.
    joined_unix_ms: u64,
    departure: Option<Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    at_unix_ms: u64,
    /// The node left as planned. A failed one may live on behind a cut link.
    is_planned: bool,
}

/// `KeyMembers` are the nodes of one service as far as keys are concerned, sorted by name. A
/// departed node stays until every key from before its departure has expired, because the two
/// other keepers of those keys must go on being asked. A failed node counts for later keys too:
/// if it lives on behind a cut link, both sides must need a majority of the same keepers.
#[derive(Clone, Debug, Default)]
pub struct KeyMembers {
    members: Vec<Member>,
}

impl KeyMembers {
    /// `update` takes in a record of a node that belongs, or belonged, to the service.
    pub fn update(&mut self, record: &EndpointRecord, belongs: bool, now_unix_ms: u64) {
        let is_planned = !belongs || record.state == EndpointState::Left;
        let is_departed = is_planned || record.state == EndpointState::Failed;
        let position = self
            .members
            .binary_search_by(|member| member.node.cmp(&record.node));
        let index = match position {
            Ok(index) => index,
            // A departure can be the first thing a node hears of a member; it must still count
            // as a keeper of keys from before.
            Err(index) if belongs => {
                self.members.insert(index, new_member(record));
                index
            }
            Err(_) => return,
        };
        let member = &mut self.members[index];
        if let Some(target) = record.target.as_ref().filter(|_| belongs) {
            member.version = target.version.clone();
        }
        member.is_ready = belongs && record.takes_requests();
        let at_unix_ms = member
            .departure
            .map_or(now_unix_ms, |departure| departure.at_unix_ms);
        member.departure = is_departed.then_some(Departure {
            at_unix_ms,
            is_planned,
        });
    }

    /// `forget` drops a node that membership no longer lists, as departed.
    pub fn mark_removed(&mut self, node: &str, now_unix_ms: u64) {
        if let Ok(index) = self
            .members
            .binary_search_by(|member| member.node.as_str().cmp(node))
        {
            let member = &mut self.members[index];
            member.is_ready = false;
            member.departure.get_or_insert(Departure {
                at_unix_ms: now_unix_ms,
                is_planned: false,
            });
        }
    }

    /// `expire` drops departed nodes that can keep no live key.
    pub fn expire(&mut self, now_unix_ms: u64, options: &Options) {
        let keep_ms = u64::from(options.key_life_ms) + u64::from(options.key_view_lag_ms);
        self.members.retain(|member| {
            member
                .departure
                .is_none_or(|departure| departure.at_unix_ms + keep_ms > now_unix_ms)
        });
    }

    /// `keepers` returns the nodes that keep the record of a key, highest rank first. They do
    /// not depend on versions, so that a move does not change them. A generated key has no
    /// history, so its keepers are chosen among the present members.
    ///
    /// A node that joined too late to vouch for the key is left out when `has_history`: the
    /// asking node has known the members since before the key's time. It then knows that no
    /// earlier life of the joined node recorded the key, and a keeper that cannot vouch would
    /// only take the place of one that can. Without that history the joined node counts, which
    /// can refuse a run but not cause a second one.
    #[must_use]
    pub fn keepers(
        &self,
        key: &Key,
        is_generated: bool,
        has_history: bool,
        now_unix_ms: u64,
        options: &Options,
    ) -> Vec<NodeName> {
        let key_unix_ms = key.time_unix_ms(now_unix_ms, options);
        let lag_ms = u64::from(options.key_view_lag_ms);
        let was_member = |member: &&Member| {
            let can_confirm = member.joined_unix_ms + lag_ms <= key_unix_ms;
            if has_history && !is_generated && !can_confirm {
                return false;
            }
            member.departure.is_none_or(|departure| {
                let counts_for_key =
                    !departure.is_planned || departure.at_unix_ms + lag_ms > key_unix_ms;
                !is_generated && counts_for_key
            })
        };
        let mut ranked = self.ranked(key, was_member);
        ranked.truncate(KEEPERS_PER_KEY);
        ranked.into_iter().map(|(_, node)| node.clone()).collect()
    }

    /// `runner` returns the first-ranked ready node of a version that passes a filter.
    #[must_use]
    pub fn runner<F: Fn(&NodeName) -> bool>(
        &self,
        key: &Key,
        version: &str,
        is_allowed: F,
    ) -> Option<&NodeName> {
        let hash = key.hash();
        self.members
            .iter()
            .filter(|member| member.is_ready && member.version == version)
            .filter(|member| is_allowed(&member.node))
            .max_by_key(|member| mix(member.hash ^ hash))
            .map(|member| &member.node)
    }

    fn ranked<F: Fn(&&Member) -> bool>(&self, key: &Key, filter: F) -> Vec<(u64, &NodeName)> {
        let hash = key.hash();
        let mut ranked: Vec<(u64, &NodeName)> = self
            .members
            .iter()
            .filter(filter)
            .map(|member| (mix(member.hash ^ hash), &member.node))
            .collect();
        ranked.sort_by(|a, b| b.cmp(a));
        ranked
    }
}

/// `majority` returns how many keepers must acknowledge a key.
#[must_use]
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}

/// `life` returns the life of a key record.
#[must_use]
pub fn key_record_lifetime(options: &Options) -> Duration {
    crate::clock::millis(options.key_life_ms)
}

/// The incarnation is the start of the node, and it rises by single milliseconds when the node
/// refutes a failure; the time allowed for that makes the node a keeper slightly too early.
fn new_member(record: &EndpointRecord) -> Member {
    Member {
        node: record.node.clone(),
        version: SmolStr::default(),
        hash: rendezvous::score(b"key-node", record.node.as_bytes()),
        is_ready: false,
        joined_unix_ms: record.incarnation.saturating_sub(MAX_REFUTATION_MS),
        departure: None,
    }
}
