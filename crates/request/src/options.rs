//! Settings of the request family (section `request`).

use std::time::Duration;

use serde::Deserialize;

/// Settings of the request path; the defaults equal the registered ones.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Number of targets per service version and distance level that one node uses.
    pub subset_size: usize,
    /// Share of usable targets at a nearer distance level below which farther ones are used, in
    /// permille.
    pub nearer_usable_permille: u32,
    /// Time over which the weight of a new target rises to 100%, in milliseconds.
    pub cold_start_ms: u32,
    /// Consecutive failures that eject a target.
    pub ejection_failures: u32,
    /// Minimum number of attempts in 10 s for the failure rate to count.
    pub ejection_min_attempts: u32,
    /// Failure rate above which a target is ejected, in permille.
    pub ejection_rate_permille: u32,
    /// First ejection time, in milliseconds; it doubles with each further ejection.
    pub ejection_first_ms: u32,
    /// Maximum ejection time, in milliseconds.
    pub ejection_max_ms: u32,
    /// Maximum number of retries of one request.
    pub max_retries: u32,
    /// Base backoff before the first retry, in milliseconds.
    pub backoff_ms: u32,
    /// Timeout for the answer to a fence, in milliseconds.
    pub fence_timeout_ms: u32,
    /// Lifetime of a key record, in milliseconds.
    pub key_life_ms: u32,
    /// Maximum number of key records kept by one node.
    pub key_max_records: usize,
    /// Maximum size of the key records kept by one node, in bytes.
    pub key_max_bytes: usize,
    /// Largest answer kept in a key record, in bytes.
    pub key_answer_max_bytes: usize,
    /// Maximum time for which nodes may disagree about the members of a service, in milliseconds.
    pub key_view_lag_ms: u32,
    /// Time for which a runner waits for the verdicts of a key's keepers, in milliseconds.
    pub key_claim_timeout_ms: u32,
    /// Time for which a fingerprint is refused, and within which crashes count together, in
    /// milliseconds.
    pub fingerprint_refusal_ms: u32,
    /// Maximum number of attempt ids that a target's node remembers.
    pub seen_max_attempts: usize,
    /// Time for which a target's node remembers an attempt id, in milliseconds.
    pub seen_life_ms: u32,
    /// Time without traffic on a link with an outstanding call after which it is pinged, and after
    /// the ping again until it is suspected, in milliseconds.
    pub link_silence_ms: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            subset_size: 8,
            nearer_usable_permille: 300,
            cold_start_ms: 10_000,
            ejection_failures: 5,
            ejection_min_attempts: 20,
            ejection_rate_permille: 500,
            ejection_first_ms: 5_000,
            ejection_max_ms: 60_000,
            max_retries: 2,
            backoff_ms: 5,
            fence_timeout_ms: 1_000,
            key_life_ms: 900_000,
            key_max_records: 100_000,
            key_max_bytes: 16_777_216,
            key_answer_max_bytes: 65_536,
            key_view_lag_ms: 10_000,
            key_claim_timeout_ms: 500,
            fingerprint_refusal_ms: 60_000,
            seen_max_attempts: 65_536,
            seen_life_ms: 600_000,
            link_silence_ms: 300,
        }
    }
}

impl Options {
    /// Returns the cold-start time as a duration.
    #[must_use]
    pub fn cold_start(&self) -> Duration {
        crate::clock::millis(self.cold_start_ms)
    }
}
