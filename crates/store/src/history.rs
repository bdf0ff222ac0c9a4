//! Archive of change records that no longer fit into the catalogue object.
//!
//! Chunk N holds the records of revisions `N * 256 + 1` to `(N + 1) * 256`. It is written when
//! the catalogue object holds exactly these records, before the first of them is trimmed, so that
//! every record is in the catalogue object or in a chunk at any time.

use hemlockfall_core::catalogue::ChangeRecord;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::model::MAX_CHANGES;
use hemlockfall_core::codec;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::units::MIB;

use crate::backoff::Backoff;
use crate::client::Client;
use crate::client::Object;
use crate::errors::Error;
use crate::errors::Result;

const RECORDS_PER_CHUNK: u64 = MAX_CHANGES as u64;
const CHUNK_LIMIT_BYTES: usize = 4 * MIB;
/// Maximum number of chunks read for one listing, which bounds the duration of an operator's call.
const MAX_CHUNKS_PER_CALL: u64 = 32;

/// Returns the key of the chunk that holds the record of a revision.
#[must_use]
pub fn key(revision: Revision) -> String {
    format!("history/{:08}", chunk_of(revision))
}

fn chunk_of(revision: Revision) -> u64 {
    revision.saturating_sub(1) / RECORDS_PER_CHUNK
}

/// Writes the chunk whose first record the next change will trim, if there is one.
pub(crate) fn archive(
    client: &Client,
    before: &StoredCatalogue,
    backoff: &mut Backoff,
) -> Result<()> {
    let revision = before.configuration.revision;
    if before.changes.len() < MAX_CHANGES || !revision.is_multiple_of(RECORDS_PER_CHUNK) {
        return Ok(());
    }
    let body = codec::encode(&before.changes)?;
    // The records of a chunk never change, so an existing chunk has the same content.
    let exists = |_: &Object| Ok(true);
    client.put_settled(&key(revision), 0, &body, exists, backoff)?;
    Ok(())
}

fn read_chunk(client: &Client, chunk: u64) -> Result<Vec<ChangeRecord>> {
    let key = key(chunk * RECORDS_PER_CHUNK + 1);
    let Some(object) = client.get(&key)? else {
        return Ok(Vec::new());
    };
    codec::decode(&object.body, CHUNK_LIMIT_BYTES)
        .map_err(|error| Error::malformed(format!("`{key}`: {error}")))
}

/// Finds the record of a write that was based on `base_revision`: first in the catalogue, then in
/// the chunks of the records trimmed since.
///
/// # Errors
/// Failures of reading the chunks.
pub fn find_operation(
    client: &Client,
    catalogue: &StoredCatalogue,
    operation_id: OperationId,
    base_revision: Revision,
) -> Result<Option<ChangeRecord>> {
    let is_own = |change: &&ChangeRecord| change.operation_id == operation_id;
    if let Some(change) = catalogue.changes.iter().rev().find(is_own) {
        return Ok(Some(change.clone()));
    }
    let oldest = catalogue
        .changes
        .first()
        .map_or(0, |change| change.revision);
    if oldest <= base_revision + 1 {
        return Ok(None);
    }
    for chunk in chunk_of(base_revision + 1)..=chunk_of(oldest - 1) {
        let changes = read_chunk(client, chunk)?;
        if let Some(change) = changes.iter().find(is_own) {
            return Ok(Some(change.clone()));
        }
    }
    Ok(None)
}

/// Returns the latest changes of a service, newest first, at most `limit`.
///
/// # Errors
/// Failures of reading the chunks.
pub fn of_service(
    client: &Client,
    catalogue: &StoredCatalogue,
    service: &str,
    limit: usize,
) -> Result<Vec<ChangeRecord>> {
    let matching = |changes: &[ChangeRecord], before: Revision| -> Vec<ChangeRecord> {
        let wanted = |change: &&ChangeRecord| change.service == service && change.revision < before;
        changes.iter().rev().filter(wanted).cloned().collect()
    };
    let mut found = matching(&catalogue.changes, Revision::MAX);
    let oldest = catalogue
        .changes
        .first()
        .map_or(0, |change| change.revision);
    if oldest > 1 {
        let last = chunk_of(oldest - 1);
        let first = last.saturating_sub(MAX_CHUNKS_PER_CALL - 1);
        for chunk in (first..=last).rev() {
            if found.len() >= limit {
                break;
            }
            found.extend(matching(&read_chunk(client, chunk)?, oldest));
        }
    }
    found.truncate(limit);
    Ok(found)
}
