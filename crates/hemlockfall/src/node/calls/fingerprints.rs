//! Fingerprints of crashing requests as gossip.

use std::collections::VecDeque;

use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_membership::items::GossipItem;
use hemlockfall_request::fingerprint::FingerprintReport;
use hemlockfall_request::fingerprint::Vanished;

/// `LIFETIME_MS` is how long a notice about a vanished target spreads and counts.
pub const LIFETIME_MS: u32 = 60_000;

/// Fingerprints of completed requests that are remembered.
const MAX_COMPLETED_FINGERPRINTS: usize = 1024;

/// `items_of` makes the gossip items of a report.
pub fn items_of(service: &ServiceName, report: &FingerprintReport) -> Vec<GossipItem> {
    report
        .vanished
        .iter()
        .map(|vanished| GossipItem::Fingerprint {
            service: service.clone(),
            fingerprint: report.fingerprint,
            node: vanished.node.clone(),
            ready_unix_ms: vanished.ready_unix_ms,
        })
        .collect()
}

/// `report_of` reads a gossip item; `None` for items of other families.
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
    let vanished = Vanished {
        node: node.clone(),
        ready_unix_ms: *ready_unix_ms,
        age_ms: LIFETIME_MS.saturating_sub(lifetime_ms),
    };
    Some(FingerprintReport {
        fingerprint: *fingerprint,
        vanished: vec![vanished],
    })
}

/// `CompletedFingerprints` remembers the fingerprints of requests that the local target completed lately.
///
/// When a target vanishes, everything that it ran is suspect. A request that it completed before
/// is not what made it vanish, however often it is sent.
#[derive(Debug, Default)]
pub struct CompletedFingerprints {
    fingerprints: VecDeque<Digest>,
}

impl CompletedFingerprints {
    /// `add` notes a completed request.
    pub fn add(&mut self, fingerprint: Digest) {
        if self.fingerprints.len() >= MAX_COMPLETED_FINGERPRINTS {
            self.fingerprints.pop_front();
        }
        self.fingerprints.push_back(fingerprint);
    }

    /// `contains` tells whether such a request was completed lately.
    pub fn contains(&self, fingerprint: &Digest) -> bool {
        self.fingerprints.contains(fingerprint)
    }
}
