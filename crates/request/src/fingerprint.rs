//! Fingerprints of requests that make targets vanish.

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

/// `FINGERPRINT_LIMIT` bounds the fingerprints a node remembers; the oldest is dropped.
pub const FINGERPRINT_LIMIT: usize = 4_096;

/// Vanished targets after which a fingerprint is refused.
const REFUSAL_COUNT: usize = 2;
/// Vanished targets listed in one report; more do not change the verdict.
const MAX_LISTED: usize = 4;

/// `fingerprint` identifies requests with the same content.
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

/// `Vanished` is a life of a target that ended while it ran a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Vanished {
    /// Node of the target.
    pub node: NodeName,
    /// When its target announced itself, in unix milliseconds; tells apart its lives.
    pub ready_unix_ms: Incarnation,
    /// Time since it vanished, in milliseconds.
    pub age_ms: u32,
}

/// `FingerprintReport` is what nodes tell each other about one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FingerprintReport {
    /// The fingerprint.
    pub fingerprint: Digest,
    /// Targets that vanished while running it.
    pub vanished: Vec<Vanished>,
}

#[derive(Clone, Debug)]
struct Life {
    node: NodeName,
    ready_unix_ms: u64,
    at: Instant,
}

/// `Fingerprints` counts vanished targets per fingerprint.
#[derive(Clone, Debug)]
pub struct Fingerprints {
    refusal: Duration,
    lives: BTreeMap<Digest, Vec<Life>>,
}

impl Fingerprints {
    /// `new` makes an empty table.
    #[must_use]
    pub fn new(options: &Options) -> Self {
        Self {
            refusal: millis(options.fingerprint_refusal_ms),
            lives: BTreeMap::new(),
        }
    }

    /// `vanished` counts a target that vanished while running a fingerprint, and returns the
    /// report to disseminate when it is new.
    pub fn vanished(
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

    /// `merge` takes in a peer's report and returns what to pass on when it held news.
    pub fn merge(&mut self, report: &FingerprintReport, now: Instant) -> Option<FingerprintReport> {
        let mut is_news = false;
        for vanished in report.vanished.iter().take(MAX_LISTED) {
            let age = millis(vanished.age_ms);
            let Some(at) = now.checked_sub(age).filter(|_| age < self.refusal * 2) else {
                continue;
            };
            is_news |= self.insert(
                report.fingerprint,
                &vanished.node,
                vanished.ready_unix_ms,
                at,
            );
        }
        is_news
            .then(|| self.report(report.fingerprint, now))
            .flatten()
    }

    /// `refused_for` returns how long a fingerprint is still refused: for the refusal time after
    /// the second target vanished.
    #[must_use]
    pub fn refused_for(&self, fingerprint: &Digest, now: Instant) -> Option<Duration> {
        // The table is empty in ordinary operation, which keeps this off the fresh path.
        let lives = self.lives.get(fingerprint)?;
        let second = lives.get(REFUSAL_COUNT - 1)?;
        let left = self
            .refusal
            .checked_sub(now.saturating_duration_since(second.at))?;
        (left > Duration::ZERO).then_some(left)
    }

    /// `is_empty` tells whether nothing is counted, so that no fingerprint need be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// `expire` forgets what no longer counts.
    pub fn expire(&mut self, now: Instant) {
        let refusal = self.refusal;
        self.lives.retain(|_, lives| {
            lives
                .last()
                .is_some_and(|life| is_recent(life, refusal, now))
        });
    }

    /// Counts a life. Lives count together when they ended within the refusal time of each
    /// other; the first one after a refusal starts a new count.
    fn insert(
        &mut self,
        fingerprint: Digest,
        node: &NodeName,
        ready_unix_ms: u64,
        at: Instant,
    ) -> bool {
        self.make_room(fingerprint, at);
        let refusal = self.refusal;
        let lives = self.lives.entry(fingerprint).or_default();
        let newest = lives.last().map_or(at, |life| life.at.max(at));
        if lives
            .get(REFUSAL_COUNT - 1)
            .is_some_and(|second| second.at + refusal <= at)
        {
            lives.clear();
        } else if lives.len() < REFUSAL_COUNT {
            lives.retain(|life| is_recent(life, refusal, newest));
        }
        if newest.saturating_duration_since(at) >= refusal {
            return false;
        }
        let is_known = lives
            .iter()
            .any(|life| life.node == *node && life.ready_unix_ms == ready_unix_ms);
        if is_known || lives.len() >= MAX_LISTED {
            return false;
        }
        let index = lives.partition_point(|life| life.at <= at);
        let life = Life {
            node: node.clone(),
            ready_unix_ms,
            at,
        };
        lives.insert(index, life);
        true
    }

    fn make_room(&mut self, fingerprint: Digest, now: Instant) {
        if self.lives.len() < FINGERPRINT_LIMIT || self.lives.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        let oldest = self
            .lives
            .iter()
            .min_by_key(|(_, lives)| (lives.len(), lives.last().map(|life| life.at)))
            .map(|(known, _)| *known);
        if let Some(oldest) = oldest.filter(|_| self.lives.len() >= FINGERPRINT_LIMIT) {
            self.lives.remove(&oldest);
        }
    }

    fn report(&self, fingerprint: Digest, now: Instant) -> Option<FingerprintReport> {
        let lives = self.lives.get(&fingerprint)?;
        let vanished = lives
            .iter()
            .map(|life| Vanished {
                node: life.node.clone(),
                ready_unix_ms: life.ready_unix_ms,
                age_ms: u32::try_from(duration_ms(now.saturating_duration_since(life.at)))
                    .unwrap_or(u32::MAX),
            })
            .collect();
        Some(FingerprintReport {
            fingerprint,
            vanished,
        })
    }
}

fn is_recent(life: &Life, refusal: Duration, now: Instant) -> bool {
    now.saturating_duration_since(life.at) < refusal
}
