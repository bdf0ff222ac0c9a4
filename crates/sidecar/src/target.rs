//! State of the target beside a node, from its heartbeats and deregistrations.
//!
//! Heartbeats may arrive late, twice, or from an earlier process of the target. They are ordered
//! by the start of the process and the sequence number within it. A deregistered incarnation never
//! returns to service.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::model::Heartbeat;
use crate::model::TargetKey;
use crate::model::TargetRecord;
use crate::model::TargetState;

/// Largest number of deregistered targets that are kept.
const DEREGISTERED_CAPACITY: usize = 32;
/// Number of heartbeat periods without a heartbeat after which the target counts as unresponsive.
const MISSED_HEARTBEATS: u32 = 4;

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Nothing changed that other nodes or requests depend on.
    Unchanged,
    /// The target is new, or its service, version, slots or address changed.
    Changed,
    /// The target has begun to drain.
    Draining,
    /// The heartbeat is not newer than the last one, or is from a deregistered incarnation.
    Stale,
}

/// Returns whether a heartbeat is of another writer than the target beside this node, which the
/// settings name by its service and address.
#[must_use]
pub fn is_foreign(heartbeat: &Heartbeat, service: &str, address: SocketAddr) -> bool {
    heartbeat.service != service || heartbeat.address != address
}

/// Target beside this node.
#[derive(Debug, Default)]
pub struct OwnTarget {
    current: Option<CurrentTarget>,
    /// Sorted by id.
    deregistered: Vec<TargetKey>,
}

#[derive(Debug)]
struct CurrentTarget {
    heartbeat: Heartbeat,
    /// When the first heartbeat of this process of the target was received.
    known_at: Time,
    received_at: Time,
    is_draining: bool,
}

impl OwnTarget {
    /// Applies a heartbeat, unless it is stale.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> HeartbeatOutcome {
        let key = key_of(&heartbeat);
        if self.is_deregistered(&key) && self.key().as_ref() != Some(&key) {
            return HeartbeatOutcome::Stale;
        }
        if let Some(current) = &mut self.current {
            let last = &current.heartbeat;
            if heartbeat.instance == last.instance {
                let order = (heartbeat.started_unix_ms, heartbeat.sequence);
                if order <= (last.started_unix_ms, last.sequence) {
                    return HeartbeatOutcome::Stale;
                }
                if heartbeat.started_unix_ms == last.started_unix_ms {
                    return current.update(heartbeat, now);
                }
            } else if heartbeat.started_unix_ms < last.started_unix_ms {
                return HeartbeatOutcome::Stale;
            }
        }
        let is_draining = heartbeat.state == TargetState::Draining;
        self.current = Some(CurrentTarget {
            heartbeat,
            known_at: now,
            received_at: now,
            is_draining,
        });
        if is_draining {
            return HeartbeatOutcome::Draining;
        }
        HeartbeatOutcome::Changed
    }

    /// Deregisters a target and returns the deregistered incarnation. A target that has sent no
    /// heartbeat to this process is deregistered as well, since its heartbeats may have gone to an
    /// earlier process of the node. If its start is unknown, `now_unix_ms` stands for it, which
    /// covers every incarnation until now.
    pub fn deregister(
        &mut self,
        instance: &str,
        started_unix_ms: Option<u64>,
        now_unix_ms: u64,
    ) -> TargetKey {
        let last = self
            .current()
            .filter(|heartbeat| heartbeat.instance == instance)
            .map(|heartbeat| heartbeat.started_unix_ms);
        let key = TargetKey {
            instance: instance.into(),
            started_unix_ms: started_unix_ms.or(last).unwrap_or(now_unix_ms),
        };
        self.add_deregistered(key.clone());
        key
    }

    /// Deregisters the target after it has announced that it leaves, in its answer to a request that
    /// was sent at `sent_at`. Returns whether it took requests until now; an answer of an earlier
    /// process changes nothing.
    pub fn announce_leaving(&mut self, sent_at: Time) -> bool {
        let leaving = self
            .current
            .as_ref()
            .filter(|current| !current.is_draining && sent_at >= current.known_at)
            .map(|current| key_of(&current.heartbeat));
        let Some(key) = leaving else {
            return false;
        };
        self.add_deregistered(key);
        true
    }

    /// Records a deregistered incarnation, so that no late heartbeat brings it back into service.
    /// Above the capacity, the key with the earliest start is discarded.
    pub fn add_deregistered(&mut self, key: TargetKey) {
        if let Some(current) = &mut self.current
            && covers(&key, &key_of(&current.heartbeat))
        {
            current.is_draining = true;
        }
        let found = self
            .deregistered
            .binary_search_by(|deregistered| deregistered.instance.cmp(&key.instance));
        match found {
            Ok(index) => {
                let deregistered = &mut self.deregistered[index];
                deregistered.started_unix_ms =
                    deregistered.started_unix_ms.max(key.started_unix_ms);
            }
            Err(index) => self.deregistered.insert(index, key),
        }
        if self.deregistered.len() > DEREGISTERED_CAPACITY {
            let oldest = self
                .deregistered
                .iter()
                .enumerate()
                .min_by_key(|(_, key)| key.started_unix_ms);
            if let Some((index, _)) = oldest {
                self.deregistered.remove(index);
            }
        }
    }

    /// Returns the deregistered targets, sorted by id.
    #[must_use]
    pub fn deregistered(&self) -> &[TargetKey] {
        &self.deregistered
    }

    /// Returns the target's last heartbeat.
    #[must_use]
    pub fn current(&self) -> Option<&Heartbeat> {
        self.current.as_ref().map(|current| &current.heartbeat)
    }

    /// Returns the current incarnation of the target.
    #[must_use]
    pub fn key(&self) -> Option<TargetKey> {
        self.current().map(key_of)
    }

    /// Returns whether the target may be given new requests.
    #[must_use]
    pub fn is_admitting(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| !current.is_draining)
    }

    /// Returns whether the last heartbeat is older than `MISSED_HEARTBEATS` periods.
    #[must_use]
    pub fn is_unresponsive(&self, period: Duration, now: Time) -> bool {
        self.current.as_ref().is_some_and(|current| {
            now.saturating_sub(current.received_at) > period * MISSED_HEARTBEATS
        })
    }

    /// Returns the age of the last heartbeat.
    #[must_use]
    pub fn heartbeat_age(&self, now: Time) -> Option<Duration> {
        let current = self.current.as_ref()?;
        Some(now.saturating_sub(current.received_at))
    }

    /// Returns whether the target is still slow from its start.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        self.current.as_ref().is_some_and(|current| {
            now.saturating_sub(current.received_at) < current.heartbeat.cold_remaining
        })
    }

    /// Returns the record that is published to other nodes.
    #[must_use]
    pub fn record(&self, is_reachable: bool) -> Option<TargetRecord> {
        let current = self.current.as_ref()?;
        let heartbeat = &current.heartbeat;
        Some(TargetRecord {
            key: key_of(heartbeat),
            service: heartbeat.service.clone(),
            version: heartbeat.version.clone(),
            slots: heartbeat.slots,
            is_ready: is_reachable && !current.is_draining,
        })
    }

    fn is_deregistered(&self, key: &TargetKey) -> bool {
        self.deregistered
            .iter()
            .any(|deregistered| covers(deregistered, key))
    }
}

impl CurrentTarget {
    fn update(&mut self, heartbeat: Heartbeat, now: Time) -> HeartbeatOutcome {
        let starts_draining = heartbeat.state == TargetState::Draining && !self.is_draining;
        let last = &self.heartbeat;
        let has_changed = (&heartbeat.service, &heartbeat.version, heartbeat.slots)
            != (&last.service, &last.version, last.slots)
            || heartbeat.address != last.address;
        self.heartbeat = heartbeat;
        self.received_at = now;
        if starts_draining {
            self.is_draining = true;
            return HeartbeatOutcome::Draining;
        }
        if has_changed {
            return HeartbeatOutcome::Changed;
        }
        HeartbeatOutcome::Unchanged
    }
}

/// Returns whether a deregistration applies to an incarnation.
fn covers(deregistered: &TargetKey, key: &TargetKey) -> bool {
    deregistered.instance == key.instance && key.started_unix_ms <= deregistered.started_unix_ms
}

fn key_of(heartbeat: &Heartbeat) -> TargetKey {
    TargetKey {
        instance: heartbeat.instance.clone(),
        started_unix_ms: heartbeat.started_unix_ms,
    }
}
