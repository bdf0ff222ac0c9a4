//! Requests that crash the targets that run them.
//!
//! A request that was running when a target vanished is suspected. One that was running at
//! several vanishing targets is refused for a while; a whole answer clears it.

use std::time::Duration;

use hemlockfall_http::http::HttpRequest;

use crate::clock::Time;

/// Vanished targets after which a request is refused. The first two may be chance: every
/// request that runs at a crashing target is suspected with the one that crashes it.
const CRASH_LIMIT: u8 = 2;
/// How long a suspicion lasts after the last crash.
const SUSPICION_TTL: Duration = Duration::from_mins(1);
/// Suspected requests that are remembered.
const CAPACITY: usize = 512;

/// `Fingerprint` identifies requests with the same service, caller, method, path and body.
pub type Fingerprint = u64;

/// `fingerprint` computes the fingerprint of a request.
#[must_use]
pub fn fingerprint(service: &str, caller: &str, request: &HttpRequest) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let texts = [service, caller, &request.method, &request.target];
    for text in texts {
        hasher.update(text.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&request.body);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// `Suspects` remembers the requests that ran at vanished targets.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Sorted by fingerprint.
    entries: Vec<Suspect>,
}

#[derive(Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    crashes: u8,
    last_crash: Time,
}

impl Suspects {
    /// `add` counts one vanished target and returns the number counted so far.
    pub fn add(&mut self, fingerprint: Fingerprint, now: Time) -> u8 {
        self.entries
            .retain(|entry| entry.last_crash + SUSPICION_TTL > now);
        let found = self
            .entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint);
        match found {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.crashes = entry.crashes.saturating_add(1);
                entry.last_crash = now;
                entry.crashes
            }
            Err(index) => {
                if self.entries.len() < CAPACITY {
                    let entry = Suspect {
                        fingerprint,
                        crashes: 1,
                        last_crash: now,
                    };
                    self.entries.insert(index, entry);
                }
                1
            }
        }
    }

    /// `clear` forgets a request that was answered whole.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Ok(index) = self
            .entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
        {
            self.entries.remove(index);
        }
    }

    /// `is_refused` tells whether a request has crashed too many targets.
    #[must_use]
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
            .ok()
            .and_then(|index| self.entries.get(index))
            .is_some_and(|entry| {
                entry.crashes >= CRASH_LIMIT && entry.last_crash + SUSPICION_TTL > now
            })
    }

    /// `is_empty` tells whether nothing is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
