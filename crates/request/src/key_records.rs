//! Records of idempotency keys at one keeper, a node that holds a replica of a key's record. They
//! are bounded by count, bytes and time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Now;
use crate::options::Options;
use crate::placement::Key;
use crate::placement::MAX_CLOCK_LEAD_MS;
use crate::placement::key_record_lifetime;
use crate::seen::AttemptId;

/// Estimated bytes of a record besides its key and answer.
const RECORD_BYTES: usize = 160;

/// Answer of a request that ran, as kept in the record of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Encoded headers and body; `None` when they exceed the limit of a record.
    pub content: Option<Vec<u8>>,
}

/// State of a key in its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// An attempt may be running or may have run.
    Started,
    /// The request ran, with this answer.
    Finished(RecordedAnswer),
}

/// A keeper's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The key was new here and is now recorded for the claimant.
    Granted,
    /// Another claimant has claimed the key.
    AlreadyClaimed(KeyState),
    /// The keeper's records are not complete back to the key's time. The claimant is recorded
    /// nevertheless.
    CannotKnow,
}

#[derive(Clone, Debug)]
struct Record {
    claimant: AttemptId,
    state: KeyState,
    recorded_at: Instant,
    /// Whether the keeper could confirm that the key was new when it was claimed.
    is_confirmed_new: bool,
}

/// Key records of one keeper.
#[derive(Clone, Debug)]
pub struct KeyRecords {
    records: HashMap<Key, Record>,
    /// Monotonic and wall-clock time of each record, oldest first.
    order: VecDeque<(Now, Key)>,
    bytes: usize,
    /// Time from which on the records are complete. Earlier keys may have been recorded by other
    /// keepers only, or evicted here.
    complete_since_unix_ms: u64,
}

impl KeyRecords {
    /// Creates empty records. They are complete only from `key_view_lag_ms` after the start on,
    /// because until then other nodes may not have counted this one among a key's keepers.
    #[must_use]
    pub fn new(now: Now, options: &Options) -> Self {
        Self {
            records: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            complete_since_unix_ms: now.unix_ms + u64::from(options.key_view_lag_ms),
        }
    }

    /// Keeps the records, but treats them as complete only from `key_view_lag_ms` after `now` on.
    pub fn reset_complete_since(&mut self, now: Now, options: &Options) {
        self.complete_since_unix_ms = now.unix_ms + u64::from(options.key_view_lag_ms);
    }

    /// Returns whether this node has known the members of its service since before any use of the
    /// key. The result is also correct if the caller's clock is ahead by up to
    /// [`MAX_CLOCK_LEAD_MS`].
    #[must_use]
    pub fn has_history(&self, key: &Key, now: Now, options: &Options) -> bool {
        let key_unix_ms = key.time_unix_ms(now.unix_ms, options);
        key_unix_ms >= self.complete_since_unix_ms + MAX_CLOCK_LEAD_MS
    }

    /// Records a key for a claimant, unless another one has claimed it. Claimants in `voided` are
    /// known not to have run, so their claims are ignored.
    pub fn claim(
        &mut self,
        key: &Key,
        claimant: AttemptId,
        voided: &[AttemptId],
        now: Now,
        options: &Options,
    ) -> ClaimVerdict {
        self.expire(now, options);
        let verdict = |is_confirmed_new: bool| {
            if is_confirmed_new {
                ClaimVerdict::Granted
            } else {
                ClaimVerdict::CannotKnow
            }
        };
        match self.records.get_mut(key) {
            Some(record) if record.claimant == claimant && record.state == KeyState::Started => {
                verdict(record.is_confirmed_new)
            }
            Some(record)
                if record.state == KeyState::Started && voided.contains(&record.claimant) =>
            {
                record.claimant = claimant;
                verdict(record.is_confirmed_new)
            }
            Some(record) => ClaimVerdict::AlreadyClaimed(record.state.clone()),
            None => {
                let is_confirmed_new =
                    key.time_unix_ms(now.unix_ms, options) >= self.complete_since_unix_ms;
                self.insert(
                    key.clone(),
                    claimant,
                    KeyState::Started,
                    is_confirmed_new,
                    now,
                    options,
                );
                verdict(is_confirmed_new)
            }
        }
    }

    /// Returns what is recorded for a key.
    #[must_use]
    pub fn state(&self, key: &Key) -> Option<(AttemptId, &KeyState)> {
        let record = self.records.get(key)?;
        Some((record.claimant, &record.state))
    }

    /// Records the answer of a key. A finished record never changes again.
    pub fn finish(
        &mut self,
        key: &Key,
        claimant: AttemptId,
        answer: RecordedAnswer,
        now: Now,
        options: &Options,
    ) {
        let answer = bounded(answer, options);
        let added = answer_bytes(&answer);
        match self.records.get_mut(key) {
            Some(Record {
                state: KeyState::Finished(_),
                ..
            }) => {}
            Some(record) => {
                record.claimant = claimant;
                record.state = KeyState::Finished(answer);
                self.bytes += added;
                self.evict_over_limits(options);
            }
            None => self.insert(
                key.clone(),
                claimant,
                KeyState::Finished(answer),
                true,
                now,
                options,
            ),
        }
    }

    /// Removes the record of a claimant that is known not to have run.
    pub fn release(&mut self, key: &Key, claimant: AttemptId) {
        let is_own = self
            .records
            .get(key)
            .is_some_and(|record| record.claimant == claimant && record.state == KeyState::Started);
        if is_own {
            self.remove(key);
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the estimated size of the records, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes records at the end of their lifetime.
    pub fn expire(&mut self, now: Now, options: &Options) {
        // The time of a key may be up to `MAX_CLOCK_LEAD_MS` in the future; its record must still
        // last for the full lifetime after that time.
        let lifetime = key_record_lifetime(options) + Duration::from_millis(MAX_CLOCK_LEAD_MS);
        while let Some((recorded_at, _)) = self.order.front() {
            if now.at.saturating_duration_since(recorded_at.at) < lifetime {
                break;
            }
            self.pop_oldest();
        }
        let oldest_unix_ms = now.unix_ms.saturating_sub(u64::from(options.key_life_ms));
        self.complete_since_unix_ms = self.complete_since_unix_ms.max(oldest_unix_ms);
    }

    fn insert(
        &mut self,
        key: Key,
        claimant: AttemptId,
        state: KeyState,
        is_confirmed_new: bool,
        now: Now,
        options: &Options,
    ) {
        self.bytes += key_bytes(&key) + state_bytes(&state);
        self.order.push_back((now, key.clone()));
        let recorded_at = now.at;
        self.records.insert(
            key,
            Record {
                claimant,
                state,
                recorded_at,
                is_confirmed_new,
            },
        );
        self.evict_over_limits(options);
    }

    /// Evicts the oldest records above the limits. The records then are complete only for keys that
    /// are younger than the evicted ones.
    fn evict_over_limits(&mut self, options: &Options) {
        while self.records.len() > options.key_max_records || self.bytes > options.key_max_bytes {
            let Some(recorded_at) = self.pop_oldest() else {
                return;
            };
            let evicted_unix_ms = recorded_at.unix_ms + MAX_CLOCK_LEAD_MS + 1;
            self.complete_since_unix_ms = self.complete_since_unix_ms.max(evicted_unix_ms);
        }
    }

    /// Removes the oldest entry of the order, and its record unless that was replaced since.
    fn pop_oldest(&mut self) -> Option<Now> {
        let (recorded_at, key) = self.order.pop_front()?;
        let is_same = |record: &Record| record.recorded_at == recorded_at.at;
        if self.records.get(&key).is_some_and(is_same) {
            self.remove(&key);
        }
        Some(recorded_at)
    }

    fn remove(&mut self, key: &Key) {
        if let Some(record) = self.records.remove(key) {
            self.bytes -= key_bytes(key) + state_bytes(&record.state);
        }
    }
}

/// Removes the content of an answer that is too large for a record.
#[must_use]
pub fn bounded(answer: RecordedAnswer, options: &Options) -> RecordedAnswer {
    let limit = options.key_answer_max_bytes;
    RecordedAnswer {
        content: answer.content.filter(|content| content.len() <= limit),
        ..answer
    }
}

fn key_bytes(key: &Key) -> usize {
    RECORD_BYTES + 2 * (key.service.len() + key.text.len())
}

fn state_bytes(state: &KeyState) -> usize {
    match state {
        KeyState::Started => 0,
        KeyState::Finished(answer) => answer_bytes(answer),
    }
}

fn answer_bytes(answer: &RecordedAnswer) -> usize {
    answer.content.as_ref().map_or(0, Vec::len)
}
