//! State of the node for operators, shared with the thread that answers their requests.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::operator::request::NodeStatus;

/// Shared node status. Written by the control actor and read by the operator thread.
#[derive(Clone, Debug)]
pub struct StatusBoard {
    status: Arc<Mutex<NodeStatus>>,
}

impl StatusBoard {
    /// Creates a board with an initial status.
    #[must_use]
    pub fn new(status: NodeStatus) -> Self {
        Self {
            status: Arc::new(Mutex::new(status)),
        }
    }

    /// Changes the status.
    pub fn update<F: FnOnce(&mut NodeStatus)>(&self, change: F) {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut status);
    }

    /// Returns a copy of the status.
    #[must_use]
    pub fn get(&self) -> NodeStatus {
        self.status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Formats bytes as hexadecimal digits.
#[must_use]
pub fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
