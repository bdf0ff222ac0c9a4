//! Last deltas of a node, each based on the result of the one before.

use std::collections::VecDeque;

use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Revision;

use crate::delta::Delta;

/// Maximum number of deltas kept.
pub const MAX_DELTAS: usize = 64;

/// The last deltas, at most [`MAX_DELTAS`].
#[derive(Clone, Debug, Default)]
pub struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    /// Appends a delta. If it is not based on the last one, the earlier deltas are discarded.
    pub fn push(&mut self, delta: Delta) {
        let continues = self.deltas.back().is_none_or(|last| {
            last.revision == delta.base_revision && last.digest == delta.base_digest
        });
        if !continues {
            self.deltas.clear();
        }
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Returns the deltas from a base to the newest revision, or `None` if the base, given by its
    /// revision and digest, is not in the history.
    #[must_use]
    pub fn since(&self, revision: Revision, digest: Digest) -> Option<Vec<Delta>> {
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.base_revision == revision && delta.base_digest == digest)?;
        Some(self.deltas.iter().skip(start).cloned().collect())
    }

    /// Returns the newest delta.
    #[must_use]
    pub fn last(&self) -> Option<&Delta> {
        self.deltas.back()
    }

    /// Returns the number of deltas kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.deltas.len()
    }

    /// Returns whether no delta is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deltas.is_empty()
    }
}
