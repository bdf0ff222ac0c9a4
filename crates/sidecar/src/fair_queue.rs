//! Choice of a waiting request that makes room for one of another caller at a full target.
//!
//! A caller may keep many requests in progress on its connection, and its next one begins as soon as
//! one of them ends. Without this choice the places in the queue stay with such callers. As in
//! longest-queue drop, the connection with the most requests in progress loses one.

use crate::admission::WorkId;

/// Request of a caller that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifier of the request.
    pub id: WorkId,
    /// Requests in progress on its connection.
    pub in_progress: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Returns the waiting request that is refused so that a new one finds room: the newest one of the
/// connection with the most requests in progress; `None` if none is less urgent or as urgent, or if the
/// others have no more requests in progress than the new one's connection.
#[must_use]
pub fn request_to_displace(
    waiting: impl Iterator<Item = WaitingRequest>,
    new: WaitingRequest,
) -> Option<WorkId> {
    waiting
        // A difference of one would let two connections displace each other in turn.
        .filter(|other| other.in_progress > new.in_progress + 1)
        .filter(|other| other.priority >= new.priority)
        .max_by_key(|other| (other.in_progress, other.id))
        .map(|other| other.id)
}
