//! Fingerprints of suspected crash requests: gossip items and completed requests.

use std::collections::VecDeque;

use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_membership::items::GossipItem;
use hemlockfall_request::fingerprint::FingerprintReport;
use hemlockfall_request::fingerprint::TargetCrash;

/// Lifetime of a notice about a lost target.
pub const LIFETIME_MS: u32 = 60_000;

/// Maximum number of fingerprints in [`CompletedFingerprints`]; the oldest is evicted.
const MAX_COMPLETED_FINGERPRINTS: usize = 1024;

/// Converts a report to gossip items.
pub fn items_of(service: &ServiceName, report: &FingerprintReport) -> Vec<GossipItem> {
    report
        .crashes
        .iter()
        .map(|crash| GossipItem::Fingerprint {
            service: service.clone(),
            fingerprint: report.fingerprint,
            node: crash.node.clone(),
            ready_unix_ms: crash.ready_unix_ms,
        })
        .collect()
}

/// Converts a gossip item to a report; `None` for other kinds of items.
pub fn report_of(item: &GossipItem, lifetime_ms: u32) -> Option<FingerprintReport> {
    let GossipItem::Fingerprint {
        fingerprint,
        node,
        ready_unix_ms,
        ..
    } = item
    else {
        return None;
    };
    let crash = TargetCrash {
        node: node.clone(),
        ready_unix_ms: *ready_unix_ms,
        age_ms: LIFETIME_MS.saturating_sub(lifetime_ms),
    };
    Some(FingerprintReport {
        fingerprint: *fingerprint,
        crashes: vec![crash],
    })
}

/// Fingerprints of requests that the local target completed recently.
///
/// When a target is lost, all requests that it ran are suspected of crashing it. A request that it
/// has completed before is not the cause, however often it is sent.
#[derive(Debug, Default)]
pub struct CompletedFingerprints {
    fingerprints: VecDeque<Digest>,
}

impl CompletedFingerprints {
    /// Adds the fingerprint of a completed request.
    pub fn add(&mut self, fingerprint: Digest) {
        if self.fingerprints.len() >= MAX_COMPLETED_FINGERPRINTS {
            self.fingerprints.pop_front();
        }
        self.fingerprints.push_back(fingerprint);
    }

    /// Returns whether a request with the fingerprint was completed recently.
    pub fn contains(&self, fingerprint: &Digest) -> bool {
        self.fingerprints.contains(fingerprint)
    }
}
