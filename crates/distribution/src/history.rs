//! The last deltas of a node, each based on the result of the one before.

use std::collections::VecDeque;

use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Revision;

use crate::delta::Delta;

/// `MAX_DELTAS` is the number of deltas kept.
pub const MAX_DELTAS: usize = 64;

/// `History` keeps the last [`MAX_DELTAS`] deltas.
#[derive(Clone, Debug, Default)]
pub struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    /// `push` appends a delta; a delta that does not continue the sequence starts a new one.
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

    /// `since` returns the deltas that lead from an exact base to the newest revision, or
    /// `None` when the base is not in the history.
    #[must_use]
    pub fn since(&self, revision: Revision, digest: Digest) -> Option<Vec<Delta>> {
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.base_revision == revision && delta.base_digest == digest)?;
        Some(self.deltas.iter().skip(start).cloned().collect())
    }

    /// `last` returns the newest delta.
    #[must_use]
    pub fn last(&self) -> Option<&Delta> {
        self.deltas.back()
    }

    /// `len` returns the number of deltas kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.deltas.len()
    }

    /// `is_empty` tells whether no delta is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deltas.is_empty()
    }
}
