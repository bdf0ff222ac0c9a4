//! Fingerprints of requests that are suspected of crashing targets.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::units::duration_ms;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::millis;
use crate::options::Options;

/// Maximum number of fingerprints that a node remembers. The one with the fewest crashes is
/// evicted, and the oldest of these.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// Number of crashed targets after which a fingerprint is refused.
const REFUSAL_COUNT: usize = 2;
/// Maximum number of crashes listed in one report; more do not change whether the fingerprint is
/// refused.
const MAX_LISTED: usize = 4;

/// Returns the fingerprint of a request; requests with the same content have the same one.
#[must_use]
pub fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = Digest::default();
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    digest
}

/// End of one incarnation of a target while it ran a request with a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetCrash {
    /// Node of the target.
    pub node: NodeName,
    /// Time at which the target announced itself, in unix milliseconds; it tells the target's
    /// incarnations apart.
    pub ready_unix_ms: Incarnation,
    /// Time since the target was lost, in milliseconds.
    pub age_ms: u32,
}

/// Report on one fingerprint that nodes exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FingerprintReport {
    /// The fingerprint.
    pub fingerprint: Digest,
    /// Targets that were lost while running it.
    pub crashes: Vec<TargetCrash>,
}

#[derive(Clone, Debug)]
struct Crash {
    node: NodeName,
    ready_unix_ms: u64,
    at: Instant,
}

/// Crashes of targets per fingerprint.
#[derive(Clone, Debug)]
pub struct Fingerprints {
    refusal: Duration,
    crashes: BTreeMap<Digest, Vec<Crash>>,
}

impl Fingerprints {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        Self {
            refusal: millis(options.fingerprint_refusal_ms),
            crashes: BTreeMap::new(),
        }
    }

    /// Counts a target that was lost while running a fingerprint. Returns the report to disseminate
    /// if the crash is new.
    pub fn record_crash(
        &mut self,
        fingerprint: Digest,
        node: &NodeName,
        ready_unix_ms: u64,
        now: Instant,
    ) -> Option<FingerprintReport> {
        if !self.insert(fingerprint, node, ready_unix_ms, now) {
            return None;
        }
        self.report(fingerprint, now)
    }

    /// Merges a peer's report. Returns the report to forward if it held a new crash.
    pub fn merge(&mut self, report: &FingerprintReport, now: Instant) -> Option<FingerprintReport> {
        let mut is_new = false;
        for crash in report.crashes.iter().take(MAX_LISTED) {
            let age = millis(crash.age_ms);
            let Some(at) = now.checked_sub(age).filter(|_| age < self.refusal * 2) else {
                continue;
            };
            is_new |= self.insert(report.fingerprint, &crash.node, crash.ready_unix_ms, at);
        }
        is_new
            .then(|| self.report(report.fingerprint, now))
            .flatten()
    }

    /// Returns how long a fingerprint is still refused. The refusal time starts when the second
    /// target is lost.
    #[must_use]
    pub fn refused_for(&self, fingerprint: &Digest, now: Instant) -> Option<Duration> {
        // The table is empty in normal operation, so the look-up costs almost nothing per request.
        let crashes = self.crashes.get(fingerprint)?;
        let second = crashes.get(REFUSAL_COUNT - 1)?;
        let left = self
            .refusal
            .checked_sub(now.saturating_duration_since(second.at))?;
        (left > Duration::ZERO).then_some(left)
    }

    /// Returns whether no crash is counted, so that no fingerprint has to be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Removes fingerprints whose newest crash is older than the refusal time.
    pub fn expire(&mut self, now: Instant) {
        let refusal = self.refusal;
        self.crashes.retain(|_, crashes| {
            crashes
                .last()
                .is_some_and(|crash| is_recent(crash, refusal, now))
        });
    }

    /// Counts a crash and returns whether it is new. Crashes count together when they are within
    /// the refusal time of each other; the first one after a refusal starts a new count.
    fn insert(
        &mut self,
        fingerprint: Digest,
        node: &NodeName,
        ready_unix_ms: u64,
        at: Instant,
    ) -> bool {
        self.evict_if_full(fingerprint, at);
        let refusal = self.refusal;
        let crashes = self.crashes.entry(fingerprint).or_default();
        let newest = crashes.last().map_or(at, |crash| crash.at.max(at));
        if crashes
            .get(REFUSAL_COUNT - 1)
            .is_some_and(|second| second.at + refusal <= at)
        {
            crashes.clear();
        } else if crashes.len() < REFUSAL_COUNT {
            crashes.retain(|crash| is_recent(crash, refusal, newest));
        }
        if newest.saturating_duration_since(at) >= refusal {
            return false;
        }
        let is_counted = crashes
            .iter()
            .any(|crash| crash.node == *node && crash.ready_unix_ms == ready_unix_ms);
        if is_counted || crashes.len() >= MAX_LISTED {
            return false;
        }
        let index = crashes.partition_point(|crash| crash.at <= at);
        let crash = Crash {
            node: node.clone(),
            ready_unix_ms,
            at,
        };
        crashes.insert(index, crash);
        true
    }

    fn evict_if_full(&mut self, fingerprint: Digest, now: Instant) {
        if self.crashes.len() < MAX_FINGERPRINTS || self.crashes.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(_, crashes)| (crashes.len(), crashes.last().map(|crash| crash.at)))
            .map(|(digest, _)| *digest);
        if let Some(oldest) = oldest.filter(|_| self.crashes.len() >= MAX_FINGERPRINTS) {
            self.crashes.remove(&oldest);
        }
    }

    fn report(&self, fingerprint: Digest, now: Instant) -> Option<FingerprintReport> {
        let crashes = self.crashes.get(&fingerprint)?;
        let crashes = crashes
            .iter()
            .map(|crash| TargetCrash {
                node: crash.node.clone(),
                ready_unix_ms: crash.ready_unix_ms,
                age_ms: u32::try_from(duration_ms(now.saturating_duration_since(crash.at)))
                    .unwrap_or(u32::MAX),
            })
            .collect();
        Some(FingerprintReport {
            fingerprint,
            crashes,
        })
    }
}

fn is_recent(crash: &Crash, refusal: Duration, now: Instant) -> bool {
    now.saturating_duration_since(crash.at) < refusal
}
