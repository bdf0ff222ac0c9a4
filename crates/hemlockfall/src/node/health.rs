//! What the health check tells.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hemlockfall_core::ids::Revision;

/// `Health` is written by the actors and read by the local edge.
#[derive(Debug, Default)]
pub struct Health {
    serving: AtomicBool,
    stopping: AtomicBool,
    has_target: AtomicBool,
    had_target: AtomicBool,
    revision: AtomicU64,
}

impl Health {
    /// `set_revision` notes the revision in force; from then on the node serves.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.store(revision, Ordering::Relaxed);
        self.serving.store(true, Ordering::Relaxed);
    }

    /// `set_stopping` notes that the node stops.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// `set_target` notes whether a target has announced itself and is not lost.
    pub fn set_target(&self, is_available: bool) {
        self.has_target.store(is_available, Ordering::Relaxed);
        self.had_target.fetch_or(is_available, Ordering::Relaxed);
    }

    /// `had_target` tells whether a target has ever announced itself to this process.
    #[must_use]
    pub fn had_target(&self) -> bool {
        self.had_target.load(Ordering::Relaxed)
    }

    /// `has_target` tells whether a target has announced itself and is not lost.
    #[must_use]
    pub fn has_target(&self) -> bool {
        self.has_target.load(Ordering::Relaxed)
    }

    /// `is_serving` tells whether the node takes requests.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
    }

    /// `revision` returns the revision in force, 0 when there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision.load(Ordering::Relaxed)
    }

    /// `describe` returns the JSON text of the health page.
    #[must_use]
    pub fn describe(&self) -> String {
        format!(
            "{{\"serving\":{},\"revision\":{}}}\n",
            self.is_serving(),
            self.revision()
        )
    }
}
