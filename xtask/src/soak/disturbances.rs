//! Times at which a node counts as not connected: its process was disturbed, the store was not stable,
//! or it had no path to the store.

use std::time::Duration;
use std::time::Instant;

/// Time without a disturbance after which a node counts as connected.
const CONNECTED_AFTER: Duration = Duration::from_secs(4);

/// Disturbance of one node, or of all.
#[derive(Debug)]
struct Disturbance {
    vm: Option<usize>,
    from: Instant,
    /// `None` while it lasts.
    until: Option<Instant>,
}

/// Disturbances of a run so far.
#[derive(Debug, Default)]
pub struct Disturbances {
    all: Vec<Disturbance>,
}

impl Disturbances {
    /// Records a disturbance of a node, or of all, that is over at once.
    pub fn note(&mut self, vm: Option<usize>) {
        let now = Instant::now();
        self.all.push(Disturbance {
            vm,
            from: now,
            until: Some(now),
        });
    }

    /// Records the begin of a disturbance of a node, or of all.
    pub fn begin(&mut self, vm: Option<usize>) {
        self.all.push(Disturbance {
            vm,
            from: Instant::now(),
            until: None,
        });
    }

    /// Ends the disturbances of a node, or those of all, and records one that is over at once.
    pub fn end(&mut self, vm: Option<usize>) {
        let now = Instant::now();
        for disturbance in &mut self.all {
            if disturbance.vm == vm {
                disturbance.until.get_or_insert(now);
            }
        }
        self.note(vm);
    }

    /// Returns whether a node had no disturbance in a span of time.
    #[must_use]
    pub fn is_undisturbed(&self, vm: usize, from: Instant, until: Instant) -> bool {
        !self.all.iter().any(|disturbance| {
            let is_concerned = disturbance.vm.is_none_or(|other| other == vm);
            let is_before = disturbance.until.is_some_and(|end| end < from);
            is_concerned && !is_before && disturbance.from <= until
        })
    }

    /// Returns whether a node counts as connected at a moment.
    #[must_use]
    pub fn is_connected(&self, vm: usize, at: Instant) -> bool {
        self.is_undisturbed(vm, at.checked_sub(CONNECTED_AFTER).unwrap_or(at), at)
    }
}
