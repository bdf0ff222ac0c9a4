//! The share of a service's requests that a version under trial may get.

/// Requests of a service that one node sends to the new version, in permille of its own.
const SHARE_PERMILLE: u64 = 80;
/// Part of the fixed allowance that the nodes use together, in percent.
const ALLOWANCE_PERCENT: u64 = 40;

/// `Exposure` counts what one node sends during one roll-out. Every node keeps to the share of
/// its own requests, so that the sum keeps to it without agreement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exposure {
    requests: u64,
    trials: u64,
}

impl Exposure {
    /// `next_is_trial` counts a request and tells whether it goes to the new version.
    pub fn next_is_trial(&mut self, allowance: u64, nodes: usize) -> bool {
        self.requests += 1;
        let nodes = u64::try_from(nodes.max(1)).unwrap_or(u64::MAX);
        let extra = allowance * ALLOWANCE_PERCENT / 100 / nodes;
        let is_trial = self.trials < self.requests * SHARE_PERMILLE / 1000 + extra;
        self.trials += u64::from(is_trial);
        is_trial
    }

    /// `trials` counts the requests for the new version.
    #[must_use]
    pub fn trials(&self) -> u64 {
        self.trials
    }
}
