//! The state of the node as operators see it, shared with the thread that answers them.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::operator::request::NodeStatus;

/// `StatusBoard` is written by the control actor and read by the operator's thread.
#[derive(Clone, Debug)]
pub struct StatusBoard {
    status: Arc<Mutex<NodeStatus>>,
}

impl StatusBoard {
    /// `new` starts with a first state.
    #[must_use]
    pub fn new(status: NodeStatus) -> Self {
        Self {
            status: Arc::new(Mutex::new(status)),
        }
    }

    /// `update` changes the state.
    pub fn update<F: FnOnce(&mut NodeStatus)>(&self, change: F) {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut status);
    }

    /// `get` returns a copy of the state.
    #[must_use]
    pub fn get(&self) -> NodeStatus {
        self.status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// `hexadecimal` writes bytes as hexadecimal digits.
#[must_use]
pub fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
