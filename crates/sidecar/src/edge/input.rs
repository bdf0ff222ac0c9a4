//! Buffer of the input of a connection.

/// Memory that an empty buffer keeps, in bytes.
const KEPT_BYTES: usize = 16 * 1024;

/// Input that has been read from a connection and not been used yet.
///
/// Used input is removed in large steps, so that many small messages in a large input are not moved
/// once for each of them.
#[derive(Debug, Default)]
pub struct InputBuffer {
    bytes: Vec<u8>,
    /// Length of the used part at the start of `bytes`, at most half of them.
    used: usize,
}

impl InputBuffer {
    /// Returns the unused input.
    #[must_use]
    pub fn unused(&self) -> &[u8] {
        &self.bytes[self.used..]
    }

    /// Returns the length of the unused input.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len() - self.used
    }

    /// Returns whether all input has been used.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory of the buffer.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the vector to which further input is appended.
    pub fn end_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Removes the first bytes of the unused input.
    pub fn consume(&mut self, count: usize) {
        self.used = (self.used + count).min(self.bytes.len());
        if self.is_empty() {
            self.clear();
        } else if self.used > self.bytes.len() / 2 {
            self.bytes.drain(..self.used);
            self.used = 0;
        }
    }

    /// Removes all input, and the memory of a large one.
    pub fn clear(&mut self) {
        self.used = 0;
        if self.bytes.capacity() > KEPT_BYTES {
            self.bytes = Vec::new();
        } else {
            self.bytes.clear();
        }
    }
}
