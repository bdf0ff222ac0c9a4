//! Objects, limits and counters of the store stand-in.

use std::collections::BTreeMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::units::MIB;
use serde::Deserialize;
use serde::Serialize;

use crate::store::fault::FaultChange;
use crate::store::fault::Faults;

/// Size of the largest object, in bytes.
pub const MAX_OBJECT_BYTES: usize = MIB;

/// Rate limit that a call counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read, list or watch.
    Read,
    /// Conditional put or delete.
    Write,
}

/// Counts of calls since the start of the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads, lists and watches admitted.
    pub reads: u64,
    /// Writes admitted, including those whose condition did not hold.
    pub writes: u64,
    /// Watches begun; each also counts as a read.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// Calls refused by a rate limit.
    pub refused: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Bytes of object bodies returned.
    pub body_bytes: u64,
}

/// Object in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
}

/// Result of a write that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteResult {
    /// New version; for a delete, the version that marks the deletion.
    pub version: u64,
    /// Whether a fault requires that the answer is lost.
    pub is_answer_lost: bool,
}

/// Failure of a write whose condition did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionConflict {
    /// Current version, 0 when the object does not exist.
    pub current_version: u64,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// A newer version and its body.
    Newer(u64, Vec<u8>),
    /// The wait has ended without a newer version.
    Unchanged,
    /// The watch was cut by a fault.
    Cut,
}

/// Object, or the last version of a deleted one: versions continue after a deletion, so a
/// re-created object never repeats an old version.
#[derive(Debug, Default)]
struct Object {
    version: u64,
    body: Option<Vec<u8>>,
}

impl Object {
    fn current_version(&self) -> u64 {
        self.body.as_ref().map_or(0, |_| self.version)
    }
}

#[derive(Debug)]
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(per_s: u32, now: Instant) -> Self {
        Self {
            per_s: f64::from(per_s),
            tokens: f64::from(per_s),
            refilled_at: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_s).min(self.per_s);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct Inner {
    objects: BTreeMap<String, Object>,
    counters: Counters,
    faults: Faults,
    reads: TokenBucket,
    writes: TokenBucket,
    watch_cuts: u64,
}

/// Shared state of the stand-in.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl State {
    /// Creates an empty store with rate limits.
    #[must_use]
    pub fn new(writes_per_s: u32, reads_per_s: u32) -> Self {
        let now = Instant::now();
        Self {
            inner: Mutex::new(Inner {
                objects: BTreeMap::new(),
                counters: Counters::default(),
                faults: Faults::default(),
                reads: TokenBucket::new(reads_per_s, now),
                writes: TokenBucket::new(writes_per_s, now),
                watch_cuts: 0,
            }),
            changed: Condvar::new(),
        }
    }

    /// Counts a call and returns whether its rate limit admits it.
    pub fn admit(&self, kind: CallKind, now: Instant) -> bool {
        let mut inner = self.lock();
        let admitted = match kind {
            CallKind::Read => inner.reads.take(now),
            CallKind::Write => inner.writes.take(now),
        };
        match (admitted, kind) {
            (false, _) => inner.counters.refused += 1,
            (true, CallKind::Read) => inner.counters.reads += 1,
            (true, CallKind::Write) => inner.counters.writes += 1,
        }
        admitted
    }

    /// Returns the faults in force.
    pub fn faults(&self, now: Instant) -> Faults {
        self.lock().faults.at(now)
    }

    /// Applies a change of the faults.
    pub fn apply_fault_change(&self, change: &FaultChange, now: Instant) {
        let mut inner = self.lock();
        inner.faults = inner.faults.change(change, now);
        if change.down.is_some() || change.cut_watches {
            inner.watch_cuts += 1;
            self.changed.notify_all();
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Lists the objects whose key has a prefix, sorted by key.
    pub fn list(&self, prefix: &str) -> Vec<ListEntry> {
        self.lock()
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, object)| object.body.is_some())
            .map(|(key, object)| ListEntry {
                key: key.clone(),
                version: object.version,
            })
            .collect()
    }

    /// Returns version and body of an object.
    pub fn read(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let mut inner = self.lock();
        let (version, body) = read_newer(&inner, key, 0)?;
        inner.counters.body_bytes += body.len() as u64;
        Some((version, body))
    }

    /// Waits until the version of an object exceeds `after`.
    pub fn watch(&self, key: &str, after: u64, wait: Duration) -> WatchResult {
        let ends_at = Instant::now() + wait;
        let mut inner = self.lock();
        inner.counters.watches += 1;
        inner.counters.waiting_watches += 1;
        let cuts = inner.watch_cuts;
        let result = loop {
            if inner.watch_cuts != cuts {
                break WatchResult::Cut;
            }
            if let Some((version, body)) = read_newer(&inner, key, after) {
                inner.counters.body_bytes += body.len() as u64;
                break WatchResult::Newer(version, body);
            }
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break WatchResult::Unchanged;
            }
            let waited = self.changed.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        };
        inner.counters.waiting_watches -= 1;
        result
    }

    /// Writes an object when its version is `expected` (0: it does not exist).
    ///
    /// # Errors
    /// [`VersionConflict`] with the current version when the condition does not hold.
    pub fn put(
        &self,
        key: &str,
        expected: u64,
        body: Vec<u8>,
    ) -> Result<WriteResult, VersionConflict> {
        self.write(key, expected, Some(body))
    }

    /// Removes an object when its version is `expected`.
    ///
    /// # Errors
    /// [`VersionConflict`] with the current version when the condition does not hold.
    pub fn delete(&self, key: &str, expected: u64) -> Result<WriteResult, VersionConflict> {
        self.write(key, expected, None)
    }

    fn write(
        &self,
        key: &str,
        expected: u64,
        body: Option<Vec<u8>>,
    ) -> Result<WriteResult, VersionConflict> {
        let mut inner = self.lock();
        let current_version = inner.objects.get(key).map_or(0, Object::current_version);
        let deletes_nothing = body.is_none() && current_version == 0;
        if current_version != expected || deletes_nothing {
            inner.counters.conflicts += 1;
            return Err(VersionConflict { current_version });
        }
        let object = inner.objects.entry(key.to_owned()).or_default();
        object.version += 1;
        object.body = body;
        let version = object.version;
        let is_answer_lost = inner.faults.consume_lost_answer(Instant::now());
        if is_answer_lost {
            inner.counters.lost_answers += 1;
        }
        self.changed.notify_all();
        Ok(WriteResult {
            version,
            is_answer_lost,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn read_newer(inner: &Inner, key: &str, after: u64) -> Option<(u64, Vec<u8>)> {
    let object = inner.objects.get(key)?;
    let body = object.body.as_ref()?;
    (object.version > after).then(|| (object.version, body.clone()))
}
