//! Settings of the request family (section `request`).

use std::time::Duration;

use serde::Deserialize;

/// `Options` holds the settings; the defaults equal the registered ones.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Targets per service version and level that one node uses.
    pub subset_size: usize,
    /// Share of usable nearer targets below which farther ones are used, in permille.
    pub nearer_usable_permille: u32,
    /// Time over which the weight of a new target rises to 100%.
    pub cold_start_ms: u32,
    /// Failures in a row that eject a target.
    pub ejection_failures: u32,
    /// Attempts in 10 s from which the failure rate counts.
    pub ejection_min_attempts: u32,
    /// Failure rate above which a target is ejected, in permille.
    pub ejection_rate_permille: u32,
    /// First ejection time; it doubles with each further ejection.
    pub ejection_first_ms: u32,
    /// Longest ejection time.
    pub ejection_max_ms: u32,
    /// Retries of one request.
    pub max_retries: u32,
    /// First backoff before a retry.
    pub backoff_ms: u32,
    /// Time to wait for the answer to a fence.
    pub fence_timeout_ms: u32,
    /// Life of a key record.
    pub key_life_ms: u32,
    /// Key records kept by one node.
    pub key_max_records: usize,
    /// Bytes of key records kept by one node.
    pub key_max_bytes: usize,
    /// Largest answer kept in a key record, in bytes.
    pub key_answer_max_bytes: usize,
    /// Time for which nodes may disagree about the members of a service.
    pub key_view_lag_ms: u32,
    /// Time that a runner waits for acknowledgements of key nodes.
    pub key_claim_timeout_ms: u32,
    /// Time for which a fingerprint is refused, and over which vanished targets count.
    pub fingerprint_refusal_ms: u32,
    /// Attempt ids that a target's node remembers.
    pub seen_max_attempts: usize,
    /// Time for which a target's node remembers an attempt id.
    pub seen_life_ms: u32,
    /// Silence of a link with a call outstanding after which it is probed, then suspected.
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
    /// `cold_start` returns the cold-start time as a duration.
    #[must_use]
    pub fn cold_start(&self) -> Duration {
        crate::clock::millis(self.cold_start_ms)
    }
}
