//! Shares of the rate of one allowance that nodes may spend on their own.

use crate::NodeName;
use crate::Time;
use crate::limits::Budget;
use crate::slots::SHARE_TIME;

/// Part of the rate at which a node has recently spent that its share covers, in percent. Tokens
/// of a share that its node does not need are lost to the others; requests that come at random use
/// nearly all of a share of this size.
const SHARE_PERCENT: u64 = 70;
/// Smallest share, in tokens per 1000 seconds: five tokens in the time of a share. Smaller ones
/// would use the slack of the bound without serving anything while their node is cut off.
const MIN_SHARE_MILLI: u64 = 250;
/// Difference from the wanted share, in percent, up to which a share stays as it is.
const TOLERANCE_PERCENT: u64 = 25;

/// Share as the holder records it.
#[derive(Clone, Debug)]
struct Record {
    node: NodeName,
    /// Highest rate that the node may use, in tokens per 1000 seconds.
    milli_per_s: u64,
    offered_milli_per_s: u64,
    /// Number of the latest offer; 0 if another holder made it.
    offer: u32,
    until: Time,
}

/// Offer of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Offer {
    pub(crate) milli_per_s: u64,
    pub(crate) number: u32,
}

/// What can be offered to a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    /// Rate that no share uses, in tokens per 1000 seconds.
    pub(crate) free_milli_per_s: u64,
    /// Whether shares that save up whole tokens may be added.
    pub(crate) allows_small: bool,
    /// Whether the bucket is rather empty, so that other nodes need what a share loses.
    pub(crate) is_scarce: bool,
    pub(crate) nodes: usize,
}

/// Shares of all nodes in one allowance.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Sorted by node.
    records: Vec<Record>,
}

impl Shares {
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn total_milli(&self) -> u64 {
        self.records.iter().map(|record| record.milli_per_s).sum()
    }

    /// Removes shares that their nodes can no longer use.
    pub(crate) fn expire(&mut self, now: Time) {
        self.records.retain(|record| now < record.until);
    }

    pub(crate) fn remove(&mut self, node: &NodeName) {
        self.records.retain(|record| record.node != *node);
    }

    /// Records a share that another holder may have offered.
    pub(crate) fn register(&mut self, node: &NodeName, milli_per_s: u64, now: Time) {
        let until = now + SHARE_TIME;
        match self.index(node) {
            Ok(index) => {
                let record = &mut self.records[index];
                record.milli_per_s = record.milli_per_s.max(milli_per_s);
                record.until = until;
            }
            Err(index) => {
                let record = Record {
                    node: node.clone(),
                    milli_per_s,
                    offered_milli_per_s: milli_per_s,
                    offer: 0,
                    until,
                };
                self.records.insert(index, record);
            }
        }
    }

    /// Records the share that a node says it uses. A statement made before the latest offer reached
    /// the node does not count.
    pub(crate) fn confirm(&mut self, node: &NodeName, milli_per_s: u64, offer: u32) {
        let Ok(index) = self.index(node) else {
            return;
        };
        let record = &mut self.records[index];
        if record.offer == offer {
            record.milli_per_s = record.milli_per_s.min(milli_per_s);
        }
    }

    /// Offers a node a share for the rate at which it has spent.
    pub(crate) fn offer(
        &mut self,
        node: &NodeName,
        spent_milli_per_s: u64,
        budget: &Budget,
        room: Room,
        next_offer: &mut u32,
        now: Time,
    ) -> Option<Offer> {
        let largest = budget.max_share_milli(room.nodes);
        let mut wanted = (spent_milli_per_s * SHARE_PERCENT / 100).min(largest);
        if wanted < MIN_SHARE_MILLI {
            wanted = 0;
        }
        let index = self.index(node);
        let current = index.map_or(0, |index| self.records[index].milli_per_s);
        if wanted > current {
            wanted = wanted.min(current.saturating_add(room.free_milli_per_s));
        }
        if room.is_scarce && budget.is_wasteful_share(wanted) {
            wanted = 0;
        } else if wanted != current {
            let slack = budget.share_slack_micro(wanted);
            let is_over = self.slack_micro(budget, node) + slack > budget.slack_micro;
            if slack > 0 && (is_over || !room.allows_small) {
                wanted = if wanted > current { current } else { 0 };
            }
        }
        let index = match index {
            Ok(index) => index,
            Err(_) if wanted == 0 => return None,
            Err(index) => {
                let record = Record {
                    node: node.clone(),
                    milli_per_s: 0,
                    offered_milli_per_s: 0,
                    offer: 0,
                    until: now,
                };
                self.records.insert(index, record);
                index
            }
        };
        let record = &mut self.records[index];
        let is_current = record.offer > 0 && record.milli_per_s == record.offered_milli_per_s;
        if is_current && wanted == 0 && current == 0 {
            self.records.remove(index);
            return None;
        }
        record.until = now + SHARE_TIME;
        let is_close = wanted.abs_diff(current) * 100 <= current * TOLERANCE_PERCENT && wanted > 0;
        if !is_current || !is_close {
            *next_offer += 1;
            record.offer = *next_offer;
            record.offered_milli_per_s = wanted;
            record.milli_per_s = record.milli_per_s.max(wanted);
        }
        Some(Offer {
            milli_per_s: record.offered_milli_per_s,
            number: record.offer,
        })
    }

    /// Returns the slack of the bound that the shares of the other nodes use.
    fn slack_micro(&self, budget: &Budget, except: &NodeName) -> u64 {
        let others = self.records.iter().filter(|record| record.node != *except);
        others
            .map(|record| {
                let used = budget.share_slack_micro(record.milli_per_s);
                used.max(budget.share_slack_micro(record.offered_milli_per_s))
            })
            .sum()
    }

    fn index(&self, node: &NodeName) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.node.cmp(node))
    }
}
