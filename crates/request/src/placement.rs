//! Placement of idempotency keys: which node runs the request of a key (the runner) and which nodes
//! hold replicas of the key's record (its keepers).

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

/// Number of keepers of one key: the runner and two witnesses. A witness is a keeper that does not
/// run the request, but confirms that the key is new.
pub const KEEPERS_PER_KEY: usize = 3;

/// Maximum time by which a caller's clock may be ahead. The timestamp of a key from farther in the
/// future is not used.
pub const MAX_CLOCK_LEAD_MS: u64 = 3_000;

/// Maximum time by which refutations of a failure may have raised an incarnation above the start
/// time of its node.
const MAX_REFUTATION_MS: u64 = 1_000;

/// Idempotency key of a request, scoped to its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Service that the key belongs to.
    pub service: SmolStr,
    /// Text that the caller chose, or a version 7 UUID that the entry node generated.
    pub text: SmolStr,
}

impl Key {
    /// Creates a key.
    #[must_use]
    pub fn new(service: impl Into<SmolStr>, text: impl Into<SmolStr>) -> Self {
        Self {
            service: service.into(),
            text: text.into(),
        }
    }

    /// Returns the earliest time at which the key can have been used. A key that is no version 7
    /// UUID, or whose time is too far in the future, is taken to be as old as the lifetime of a key
    /// record.
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

/// Returns the time of a version 7 UUID, in unix milliseconds.
#[must_use]
pub fn uuid_time_unix_ms(id: Uuid) -> Option<u64> {
    let timestamp = (id.get_version_num() == 7)
        .then(|| id.get_timestamp())
        .flatten()?;
    let (seconds, nanos) = timestamp.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// Mixes the bits of a number (finalizer of splitmix64).
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
    /// Start of the incarnation in which the node was first seen as a member. It is kept across
    /// restarts and announcements, since earlier incarnations may have recorded keys.
    joined_unix_ms: u64,
    departure: Option<Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    at_unix_ms: u64,
    /// Whether the node stopped as planned or left the service. A failed node may still run behind
    /// a cut link.
    is_planned: bool,
}

/// Members of one service from which the runner and the keepers of a key are chosen, sorted by
/// name. A departed node stays listed until every key from before its departure has expired, so
/// that the two other keepers of those keys are still asked. A failed node also counts for later
/// keys: if it still runs behind a cut link, both sides must need a majority of the same keepers.
#[derive(Clone, Debug, Default)]
pub struct KeyMembers {
    members: Vec<Member>,
}

impl KeyMembers {
    /// Applies a record of a node that belongs, or belonged, to the service.
    pub fn update(&mut self, record: &EndpointRecord, belongs: bool, now_unix_ms: u64) {
        let is_planned = !belongs || record.state == EndpointState::Left;
        let is_departed = is_planned || record.state == EndpointState::Failed;
        let position = self
            .members
            .binary_search_by(|member| member.node.cmp(&record.node));
        let index = match position {
            Ok(index) => index,
            // The first record received of a member can be that of its departure; the member must
            // still count as a keeper of earlier keys.
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
        member.is_ready = belongs && record.accepts_requests();
        let at_unix_ms = member
            .departure
            .map_or(now_unix_ms, |departure| departure.at_unix_ms);
        member.departure = is_departed.then_some(Departure {
            at_unix_ms,
            is_planned,
        });
    }

    /// Marks a node that membership no longer lists as departed.
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

    /// Removes departed nodes whose keys have all expired.
    pub fn expire(&mut self, now_unix_ms: u64, options: &Options) {
        let keep_ms = u64::from(options.key_life_ms) + u64::from(options.key_view_lag_ms);
        self.members.retain(|member| {
            member
                .departure
                .is_none_or(|departure| departure.at_unix_ms + keep_ms > now_unix_ms)
        });
    }

    /// Returns the keepers of a key, highest rank first. They do not depend on versions, so that a
    /// rollout does not change them. A generated key cannot have been used before, so its keepers
    /// are chosen among the present members.
    ///
    /// A node that joined too late to confirm that the key is new is left out when `has_history`,
    /// that is, when the calling node has known the members since before the key's time. The
    /// calling node then knows that no earlier incarnation of the joined node recorded the key, and
    /// a keeper that cannot confirm the key would only take the place of one that can. Without that
    /// history the joined node is included, which can refuse a run but not cause a second one.
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

    /// Returns the highest-ranked ready node of a version that passes a filter.
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

/// Returns how many of a key's keepers must grant a claim.
#[must_use]
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}

/// Returns the lifetime of a key record.
#[must_use]
pub fn key_record_lifetime(options: &Options) -> Duration {
    crate::clock::millis(options.key_life_ms)
}

/// Creates a member from its first record. The incarnation is the start time of the node, and it
/// rises by single milliseconds when the node refutes a failure. The time subtracted for that makes
/// the node a keeper slightly too early.
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
