//! What a node believes of the target beside it.
//!
//! Heartbeats may be late, repeated or of an earlier life. The start of a life and the sequence
//! within it order them, and a life that has left never returns.

use std::time::Duration;

use crate::clock::Time;
use crate::model::Heartbeat;
use crate::model::TargetKey;
use crate::model::TargetRecord;
use crate::model::TargetState;

/// Lives that have left and are remembered.
const LEFT_CAPACITY: usize = 32;
/// Heartbeats that may be missing before the target counts as silent.
const MISSED_HEARTBEATS: u32 = 4;

/// `HeartbeatOutcome` is what a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Nothing that other nodes or requests depend on.
    Unchanged,
    /// The target is new, or its announced facts changed.
    Changed,
    /// The target leaves.
    Leaves,
    /// The heartbeat is older than what is known.
    Stale,
}

/// `OwnTarget` is the target beside this node.
#[derive(Debug, Default)]
pub struct OwnTarget {
    current: Option<Current>,
    /// Sorted by id.
    left: Vec<TargetKey>,
}

#[derive(Debug)]
struct Current {
    heartbeat: Heartbeat,
    heard_at: Time,
    is_leaving: bool,
}

impl OwnTarget {
    /// `apply_heartbeat` takes in what the target says of itself.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> HeartbeatOutcome {
        let key = key_of(&heartbeat);
        if self.has_left(&key) && self.key().as_ref() != Some(&key) {
            return HeartbeatOutcome::Stale;
        }
        if let Some(current) = &mut self.current {
            let known = &current.heartbeat;
            if heartbeat.instance == known.instance {
                let order = (heartbeat.born_unix_ms, heartbeat.sequence);
                if order <= (known.born_unix_ms, known.sequence) {
                    return HeartbeatOutcome::Stale;
                }
                if heartbeat.born_unix_ms == known.born_unix_ms {
                    return current.renew(heartbeat, now);
                }
            } else if heartbeat.born_unix_ms < known.born_unix_ms {
                return HeartbeatOutcome::Stale;
            }
        }
        let is_leaving = heartbeat.state == TargetState::Draining;
        self.current = Some(Current {
            heartbeat,
            heard_at: now,
            is_leaving,
        });
        if is_leaving {
            return HeartbeatOutcome::Leaves;
        }
        HeartbeatOutcome::Changed
    }

    /// `leave` takes in that a target has gone, and returns the life that has left. A target that
    /// this process has not heard of may have left as well: its heartbeats went to an earlier
    /// process. It was born before `now_unix_ms`.
    pub fn leave(
        &mut self,
        instance: &str,
        born_unix_ms: Option<u64>,
        now_unix_ms: u64,
    ) -> TargetKey {
        let known = self
            .current()
            .filter(|heartbeat| heartbeat.instance == instance)
            .map(|heartbeat| heartbeat.born_unix_ms);
        let key = TargetKey {
            instance: instance.into(),
            born_unix_ms: born_unix_ms.or(known).unwrap_or(now_unix_ms),
        };
        self.remember_left(key.clone());
        key
    }

    /// `remember_left` keeps a life that has left, so that no old heartbeat brings it back.
    pub fn remember_left(&mut self, key: TargetKey) {
        if let Some(current) = &mut self.current
            && covers(&key, &key_of(&current.heartbeat))
        {
            current.is_leaving = true;
        }
        let found = self
            .left
            .binary_search_by(|left| left.instance.cmp(&key.instance));
        match found {
            Ok(index) => {
                let left = &mut self.left[index];
                left.born_unix_ms = left.born_unix_ms.max(key.born_unix_ms);
            }
            Err(index) => self.left.insert(index, key),
        }
        if self.left.len() > LEFT_CAPACITY {
            let oldest = self
                .left
                .iter()
                .enumerate()
                .min_by_key(|(_, key)| key.born_unix_ms);
            if let Some((index, _)) = oldest {
                self.left.remove(index);
            }
        }
    }

    /// `left` lists the lives that have left.
    #[must_use]
    pub fn left(&self) -> &[TargetKey] {
        &self.left
    }

    /// `current` returns the target's last heartbeat.
    #[must_use]
    pub fn current(&self) -> Option<&Heartbeat> {
        self.current.as_ref().map(|current| &current.heartbeat)
    }

    /// `key` names the life of the target.
    #[must_use]
    pub fn key(&self) -> Option<TargetKey> {
        self.current().map(key_of)
    }

    /// `is_admitting` tells whether the target may be given new requests.
    #[must_use]
    pub fn is_admitting(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| !current.is_leaving)
    }

    /// `is_silent` tells whether several heartbeats of the target are missing.
    #[must_use]
    pub fn is_silent(&self, period: Duration, now: Time) -> bool {
        self.current.as_ref().is_some_and(|current| {
            now.saturating_sub(current.heard_at) > period * MISSED_HEARTBEATS
        })
    }

    /// `heard_ago` is the age of the last heartbeat.
    #[must_use]
    pub fn heard_ago(&self, now: Time) -> Option<Duration> {
        let current = self.current.as_ref()?;
        Some(now.saturating_sub(current.heard_at))
    }

    /// `is_cold` tells whether the target is still slow after its start.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        self.current.as_ref().is_some_and(|current| {
            now.saturating_sub(current.heard_at) < current.heartbeat.cold_remaining
        })
    }

    /// `record` is what other nodes are told.
    #[must_use]
    pub fn record(&self, is_reachable: bool) -> Option<TargetRecord> {
        let current = self.current.as_ref()?;
        let heartbeat = &current.heartbeat;
        Some(TargetRecord {
            key: key_of(heartbeat),
            service: heartbeat.service.clone(),
            version: heartbeat.version.clone(),
            slots: heartbeat.slots,
            is_ready: is_reachable && !current.is_leaving,
        })
    }

    fn has_left(&self, key: &TargetKey) -> bool {
        self.left.iter().any(|left| covers(left, key))
    }
}

impl Current {
    fn renew(&mut self, heartbeat: Heartbeat, now: Time) -> HeartbeatOutcome {
        let starts_leaving = heartbeat.state == TargetState::Draining && !self.is_leaving;
        let known = &self.heartbeat;
        let has_changed = (&heartbeat.service, &heartbeat.version, heartbeat.slots)
            != (&known.service, &known.version, known.slots)
            || heartbeat.address != known.address;
        self.heartbeat = heartbeat;
        self.heard_at = now;
        if starts_leaving {
            self.is_leaving = true;
            return HeartbeatOutcome::Leaves;
        }
        if has_changed {
            return HeartbeatOutcome::Changed;
        }
        HeartbeatOutcome::Unchanged
    }
}

fn covers(left: &TargetKey, key: &TargetKey) -> bool {
    left.instance == key.instance && key.born_unix_ms <= left.born_unix_ms
}

fn key_of(heartbeat: &Heartbeat) -> TargetKey {
    TargetKey {
        instance: heartbeat.instance.clone(),
        born_unix_ms: heartbeat.born_unix_ms,
    }
}
