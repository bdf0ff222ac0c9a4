//! Health of the node.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hemlockfall_core::ids::Revision;

/// Health flags. Written by the actors and read by the local edge.
#[derive(Debug, Default)]
pub struct Health {
    serving: AtomicBool,
    stopping: AtomicBool,
    has_target: AtomicBool,
    had_target: AtomicBool,
    revision: AtomicU64,
}

impl Health {
    /// Sets the revision in force. The node serves requests from then on.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.store(revision, Ordering::Relaxed);
        self.serving.store(true, Ordering::Relaxed);
    }

    /// Marks the node as shutting down.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Sets whether a target has announced itself and is not lost.
    pub fn set_target(&self, is_available: bool) {
        self.has_target.store(is_available, Ordering::Relaxed);
        self.had_target.fetch_or(is_available, Ordering::Relaxed);
    }

    /// Returns whether a target has ever announced itself to this process.
    #[must_use]
    pub fn had_target(&self) -> bool {
        self.had_target.load(Ordering::Relaxed)
    }

    /// Returns whether a target has announced itself and is not lost.
    #[must_use]
    pub fn has_target(&self) -> bool {
        self.has_target.load(Ordering::Relaxed)
    }

    /// Returns whether the node accepts requests.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the revision in force, or 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision.load(Ordering::Relaxed)
    }

    /// Returns the JSON text of the health page.
    #[must_use]
    pub fn describe(&self) -> String {
        format!(
            "{{\"serving\":{},\"revision\":{}}}\n",
            self.is_serving(),
            self.revision()
        )
    }
}
