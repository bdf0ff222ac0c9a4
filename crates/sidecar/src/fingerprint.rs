//! Suspected crash requests ("queries of death").
//!
//! A request that was running when a target crashed is suspected. A request that was running at
//! several targets when they crashed is refused for a while. A successful answer clears the
//! suspicion.

use std::time::Duration;

use hemlockfall_http::http::HttpRequest;

use crate::clock::Time;

/// Number of crashes after which a request is refused. All requests that were running at a crashed
/// target are suspected, so a single crash may be a coincidence.
const CRASH_LIMIT: u8 = 2;
/// Time after its last crash for which a request stays suspected.
const SUSPICION_TTL: Duration = Duration::from_mins(1);
/// Maximum number of suspected requests that are kept.
const CAPACITY: usize = 512;

/// Hash that is the same for requests with the same service, caller, method, path and body.
pub type Fingerprint = u64;

/// Returns the fingerprint of a request.
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

/// Suspected requests and the number of crashes of each.
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
    /// Counts a crash for a request and returns the number of its crashes so far.
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

    /// Removes the suspicion of a request that was answered without a failure.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Ok(index) = self
            .entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
        {
            self.entries.remove(index);
        }
    }

    /// Returns whether a request is refused because of its crashes.
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

    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
