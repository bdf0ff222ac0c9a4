//! Operations on the catalogue object: reads, changes, and the settling of changes whose response
//! was lost, which means finding out by a read whether they took effect.

use std::thread;
use std::time::Instant;

use hemlockfall_core::catalogue::ChangeRecord;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::edit::check_seen;
use hemlockfall_core::catalogue::validate;
use hemlockfall_core::codec;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::units::MIB;

use crate::backoff::Backoff;
use crate::client::Client;
use crate::client::Object;
use crate::client::Written;
use crate::errors::Error;
use crate::errors::PendingCommit;
use crate::errors::Result;
use crate::history;

/// Key of the object that holds the catalogue.
pub const KEY: &str = "catalogue/current";
/// Maximum size of the decompressed catalogue; the store limits the compressed size.
const CATALOGUE_LIMIT_BYTES: usize = 16 * MIB;

/// Catalogue with the version of its object (0 if the object does not exist yet).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the object.
    pub version: u64,
    /// The catalogue.
    pub stored: StoredCatalogue,
}

/// Accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// Revision that the change created.
    pub revision: Revision,
    /// Current catalogue, which may contain later changes as well.
    pub catalogue: Versioned,
}

/// Outcome of a change whose response was lost, as found by reading the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The change took effect.
    Accepted(Box<Committed>),
    /// The change did not take effect and never will.
    NotApplied,
    /// The object has not changed since, so the write may still take effect.
    Undecided,
}

/// Decodes the value of the catalogue object and validates it.
///
/// # Errors
/// [`Error::Malformed`] if it cannot be decoded or is an invalid catalogue.
pub fn decode(body: &[u8]) -> Result<StoredCatalogue> {
    let malformed = |error: hemlockfall_core::errors::Error| {
        Error::malformed(format!("`{KEY}` is not a valid catalogue: {error}"))
    };
    let stored: StoredCatalogue = codec::decode(body, CATALOGUE_LIMIT_BYTES).map_err(malformed)?;
    validate::check(&stored.configuration).map_err(malformed)?;
    Ok(stored)
}

/// Reads the catalogue; it is empty if the object does not exist.
///
/// # Errors
/// Failures of [`Client::get`], and [`Error::Malformed`].
pub fn read(client: &Client) -> Result<Versioned> {
    let mut backoff = client.backoff();
    read_within(client, &mut backoff)
}

fn read_within(client: &Client, backoff: &mut Backoff) -> Result<Versioned> {
    client
        .get_within(KEY, backoff)?
        .map_or_else(|| Ok(Versioned::default()), |object| versioned(&object))
}

fn versioned(object: &Object) -> Result<Versioned> {
    Ok(Versioned {
        version: object.version,
        stored: decode(&object.body)?,
    })
}

/// Applies an edit to the catalogue in the store.
///
/// After a conflict caused by a change of another entry, the edit is applied to the new catalogue
/// and the write is retried. If a response was lost, the operation id is looked up in the
/// catalogue. An operation id that is already in the catalogue is not applied again, so a caller
/// may retry a commit with the same author.
///
/// # Errors
/// [`Error::Refused`] if the catalogue rejects the edit, [`Error::CommitUnknown`] if a response was
/// lost and the outcome could not be read back in time, and failures without an effect.
pub fn commit(client: &Client, edit: &Edit, author: &Author) -> Result<Committed> {
    commit_seen(client, edit, author, None)
}

/// Commits an edit only if its entry has not changed since `seen_revision`. The check is made on
/// the catalogue version that the write is conditional on.
///
/// # Errors
/// As [`commit`]; [`Error::Refused`] if the entry has changed.
pub fn commit_seen(
    client: &Client,
    edit: &Edit,
    author: &Author,
    seen_revision: Option<Revision>,
) -> Result<Committed> {
    let mut backoff = client.backoff();
    let mut before = read_within(client, &mut backoff)?;
    loop {
        if let Some(committed) = committed(&before, author) {
            return Ok(committed);
        }
        check_seen(&before.stored, edit.service(), seen_revision)?;
        let after = edit.apply(&before.stored, author)?;
        history::archive(client, &before.stored, &mut backoff).map_err(as_not_committed)?;
        match write(client, &before, &after, author, &mut backoff)? {
            Written::Done(version) => return Ok(accepted(version, after)),
            Written::Found(object) => {
                // The write was conditional on `before`, so it created the revision of `after`.
                return Ok(Committed {
                    revision: after.configuration.revision,
                    catalogue: versioned(&object)?,
                });
            }
            Written::Superseded(object) => before = reread(object.as_ref())?,
        }
        let Some(wait) = backoff.next_wait(Instant::now(), None) else {
            return Err(Error::Conflict {
                key: KEY.to_owned(),
                current_version: Some(before.version),
            });
        };
        thread::sleep(wait);
    }
}

fn reread(object: Option<&Object>) -> Result<Versioned> {
    object.map_or_else(|| Ok(Versioned::default()), versioned)
}

/// Maps an error of the archive. Writing the archive does not apply the edit, so a lost response to
/// that write does not make the outcome of the edit unknown.
fn as_not_committed(error: Error) -> Error {
    match error {
        Error::OutcomeUnknown { reason } => Error::unreachable(reason),
        other => other,
    }
}

fn write(
    client: &Client,
    before: &Versioned,
    after: &StoredCatalogue,
    author: &Author,
    backoff: &mut Backoff,
) -> Result<Written> {
    let body = codec::encode(after)?;
    let pending = PendingCommit {
        operation_id: author.operation_id,
        base_version: before.version,
        base_revision: before.stored.configuration.revision,
    };
    let is_own = |object: &Object| {
        let catalogue = decode(&object.body)?;
        let id = pending.operation_id;
        let change = history::find_operation(client, &catalogue, id, pending.base_revision)?;
        Ok(change.is_some())
    };
    client
        .put_settled(KEY, before.version, &body, is_own, backoff)
        .map_err(|error| match error {
            Error::OutcomeUnknown { reason } => Error::CommitUnknown { pending, reason },
            other => other,
        })
}

fn accepted(version: u64, after: StoredCatalogue) -> Committed {
    Committed {
        revision: after.configuration.revision,
        catalogue: Versioned {
            version,
            stored: after,
        },
    }
}

fn committed(catalogue: &Versioned, author: &Author) -> Option<Committed> {
    let is_own = |change: &&ChangeRecord| change.operation_id == author.operation_id;
    let change = catalogue.stored.changes.iter().rev().find(is_own)?;
    Some(Committed {
        revision: change.revision,
        catalogue: catalogue.clone(),
    })
}

/// Finds out by a read whether a change whose response was lost took effect.
///
/// # Errors
/// Failures of reading; the outcome of the change stays unknown.
pub fn settle(client: &Client, pending: &PendingCommit) -> Result<Settled> {
    let catalogue = read(client)?;
    let found = history::find_operation(
        client,
        &catalogue.stored,
        pending.operation_id,
        pending.base_revision,
    )?;
    Ok(match found {
        Some(change) => Settled::Accepted(Box::new(Committed {
            revision: change.revision,
            catalogue,
        })),
        None if catalogue.version > pending.base_version => Settled::NotApplied,
        None => Settled::Undecided,
    })
}
