//! Edits: pure functions from one stored catalogue to the next.
//!
//! Every edit checks that the entry has not changed since the writer read it, raises the revision
//! by one, validates the whole result and records the change. The caller writes the result
//! conditionally; on a version conflict it reads the catalogue again and retries the edit.

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::catalogue::file::ServiceFile;
use crate::catalogue::model::ChangeRecord;
use crate::catalogue::model::MAX_CHANGES;
use crate::catalogue::model::MoveState;
use crate::catalogue::model::MoveStatus;
use crate::catalogue::model::ServiceEntry;
use crate::catalogue::model::StoredCatalogue;
use crate::catalogue::plan;
use crate::catalogue::validate;
use crate::errors::Error;
use crate::errors::Result;
use crate::ids::MoveId;
use crate::ids::OperationId;
use crate::ids::Revision;
use crate::ids::VersionName;
use crate::units::FULL_PERMILLE;

/// Change of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Creates or changes an entry; a new version starts a move.
    Apply(Box<ServiceFile>),
    /// Removes an entry.
    Remove {
        /// Name of the service.
        service: SmolStr,
        /// Revision of the last change that the operator saw.
        seen_revision: Option<Revision>,
    },
    /// Changes the state of a move.
    Move {
        /// Name of the service.
        service: SmolStr,
        /// Move that the edit applies to; `None` for the current one.
        move_id: Option<MoveId>,
        /// Requested change.
        action: MoveAction,
        /// Lease term of the judge; 0 for operators.
        lease_term: u64,
        /// Reason for the change.
        reason: SmolStr,
    },
}

/// Change of a move's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveAction {
    /// Holds the share that the plan has reached.
    Pause,
    /// Follows the plan again, with the remaining steps fitted to the deadline.
    Resume,
    /// Sends all traffic to the new version; final.
    Finish,
    /// Rolls back: sends all traffic to the old version; final.
    TakeBack,
}

/// Identity, author and time of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// Id of the write.
    pub operation_id: OperationId,
    /// Operator or node that writes.
    pub who: SmolStr,
    /// Time of the write, in unix milliseconds.
    pub at_unix_ms: u64,
}

impl Edit {
    /// Returns the name of the entry that the edit changes.
    #[must_use]
    pub fn service(&self) -> &SmolStr {
        match self {
            Self::Apply(file) => &file.name,
            Self::Remove { service, .. } | Self::Move { service, .. } => service,
        }
    }

    /// Returns the catalogue after the edit.
    ///
    /// # Errors
    /// [`Error::Conflict`] when the entry changed since the writer read it,
    /// [`Error::EntryNotFound`], [`Error::MoveRefused`] and [`Error::CatalogueInvalid`].
    pub fn apply(&self, before: &StoredCatalogue, author: &Author) -> Result<StoredCatalogue> {
        let mut after = before.clone();
        after.configuration.revision += 1;
        let summary = match self {
            Self::Apply(file) => apply_file(before, &mut after, file, author)?,
            Self::Remove {
                service,
                seen_revision,
            } => remove(before, &mut after, service, *seen_revision)?,
            Self::Move {
                service,
                move_id,
                action,
                lease_term,
                reason,
            } => {
                let entry = entry_mut(&mut after, service)?;
                let request = MoveRequest {
                    move_id: *move_id,
                    action: *action,
                    lease_term: *lease_term,
                    reason,
                };
                change_move(entry, &request, author.at_unix_ms)?
            }
        };
        let revision = after.configuration.revision;
        if let Ok(entry) = entry_mut(&mut after, self.service()) {
            entry.changed_revision = revision;
        }
        validate::check(&after.configuration)?;
        after.changes.push(ChangeRecord {
            revision,
            operation_id: author.operation_id,
            who: author.who.clone(),
            at_unix_ms: author.at_unix_ms,
            service: self.service().clone(),
            summary,
        });
        let surplus = after.changes.len().saturating_sub(MAX_CHANGES);
        after.changes.drain(..surplus);
        Ok(after)
    }
}

struct MoveRequest<'a> {
    move_id: Option<MoveId>,
    action: MoveAction,
    lease_term: u64,
    reason: &'a SmolStr,
}

fn entry_mut<'a>(
    catalogue: &'a mut StoredCatalogue,
    service: &str,
) -> Result<&'a mut ServiceEntry> {
    let not_found = || Error::EntryNotFound {
        service: service.to_owned(),
    };
    let index = catalogue
        .configuration
        .position(service)
        .map_err(|_| not_found())?;
    catalogue
        .configuration
        .entries
        .get_mut(index)
        .ok_or_else(not_found)
}

/// Checks that an entry has not changed since `seen_revision`; `None` skips the check.
///
/// # Errors
/// [`Error::Conflict`] with the changes since.
pub fn check_seen(
    before: &StoredCatalogue,
    service: &str,
    seen_revision: Option<Revision>,
) -> Result<()> {
    let Some(seen_revision) = seen_revision else {
        return Ok(());
    };
    let current_revision = before
        .configuration
        .entry(service)
        .map_or(0, |entry| entry.changed_revision);
    if current_revision == seen_revision {
        return Ok(());
    }
    let describe = |change: &&ChangeRecord| {
        format!(
            "revision {} by {}: {}",
            change.revision, change.who, change.summary
        )
    };
    let changes = before
        .changes_since(service, seen_revision)
        .iter()
        .map(describe)
        .collect();
    Err(Error::Conflict {
        service: service.to_owned(),
        seen_revision,
        current_revision,
        changes,
    })
}

fn apply_file(
    before: &StoredCatalogue,
    after: &mut StoredCatalogue,
    file: &ServiceFile,
    author: &Author,
) -> Result<SmolStr> {
    check_seen(before, &file.name, file.seen_revision)?;
    match after.configuration.position(&file.name) {
        Err(index) => {
            after.configuration.entries.insert(index, new_entry(file));
            Ok(format_smolstr!("created with version {}", file.version))
        }
        Ok(index) => {
            let entry = &mut after.configuration.entries[index];
            entry.owner = file.owner.clone();
            entry.class = file.class;
            entry.limits = file.limits.clone();
            entry.routes = file.sorted_routes();
            change_version(entry, file, author)
        }
    }
}

fn new_entry(file: &ServiceFile) -> ServiceEntry {
    ServiceEntry {
        service: file.name.clone(),
        owner: file.owner.clone(),
        class: file.class,
        active_version: file.version.clone(),
        versions: vec![file.version.clone()],
        rejected_versions: Vec::new(),
        routes: file.sorted_routes(),
        limits: file.limits.clone(),
        move_state: None,
        changed_revision: 0,
    }
}

fn change_version(
    entry: &mut ServiceEntry,
    file: &ServiceFile,
    author: &Author,
) -> Result<SmolStr> {
    let running = entry
        .move_state
        .as_ref()
        .filter(|state| !state.status.is_final());
    match running {
        Some(state) if state.to == file.version => Ok("settings changed".into()),
        Some(state) => Err(Error::move_refused(
            file.name.as_str(),
            format!("a move to `{}` is under way; abort it first", state.to),
        )),
        None if entry.active_version == file.version => Ok("settings changed".into()),
        None => start_move(entry, file, author),
    }
}

fn start_move(entry: &mut ServiceEntry, file: &ServiceFile, author: &Author) -> Result<SmolStr> {
    if entry.rejected_versions.contains(&file.version) {
        return Err(Error::move_refused(
            file.name.as_str(),
            format!(
                "version `{}` was taken back and cannot return",
                file.version
            ),
        ));
    }
    let started_unix_ms = author.at_unix_ms;
    let terms = &file.move_terms;
    let finish_in_ms = u64::from(terms.finish_in_s) * 1000;
    let deadline_unix_ms = terms
        .deadline_unix_ms
        .unwrap_or(started_unix_ms + finish_in_ms);
    if deadline_unix_ms <= started_unix_ms {
        return Err(Error::move_refused(
            file.name.as_str(),
            "the deadline is in the past",
        ));
    }
    drop_unused_versions(entry);
    insert_version(entry, &file.version);
    entry.move_state = Some(MoveState {
        move_id: author.operation_id,
        from: entry.active_version.clone(),
        to: file.version.clone(),
        status: MoveStatus::Running,
        share_permille: 0,
        plan: plan::fit(
            started_unix_ms,
            deadline_unix_ms,
            file.limits.max_share_permille,
        ),
        started_unix_ms,
        deadline_unix_ms,
        on_outage: terms.on_outage,
        reason: "started".into(),
        lease_term: 0,
    });
    Ok(format_smolstr!("move to version {} started", file.version))
}

/// Removes versions of earlier moves that no route names, so that the list stays short.
fn drop_unused_versions(entry: &mut ServiceEntry) {
    let routes = &entry.routes;
    let active_version = &entry.active_version;
    entry.versions.retain(|version| {
        version == active_version || routes.iter().any(|r| r.version.as_ref() == Some(version))
    });
}

fn insert_version(entry: &mut ServiceEntry, version: &VersionName) {
    if let Err(index) = entry.versions.binary_search(version) {
        entry.versions.insert(index, version.clone());
    }
}

fn remove(
    before: &StoredCatalogue,
    after: &mut StoredCatalogue,
    service: &SmolStr,
    seen_revision: Option<Revision>,
) -> Result<SmolStr> {
    check_seen(before, service, seen_revision)?;
    let Ok(index) = after.configuration.position(service) else {
        return Err(Error::EntryNotFound {
            service: service.to_string(),
        });
    };
    after.configuration.entries.remove(index);
    Ok("removed".into())
}

fn change_move(
    entry: &mut ServiceEntry,
    request: &MoveRequest<'_>,
    now_unix_ms: u64,
) -> Result<SmolStr> {
    let service = entry.service.clone();
    let refused = |reason: String| Error::move_refused(service.as_str(), reason);
    let Some(state) = entry.move_state.as_mut() else {
        return Err(refused("there is no move".to_owned()));
    };
    if request
        .move_id
        .is_some_and(|move_id| move_id != state.move_id)
    {
        return Err(refused("another move has taken its place".to_owned()));
    }
    if state.status.is_final() {
        return Err(refused(format!(
            "it is final: {:?}, {}",
            state.status, state.reason
        )));
    }
    if request.lease_term != 0 && request.lease_term < state.lease_term {
        return Err(refused(format!(
            "lease term {} is older than {}",
            request.lease_term, state.lease_term
        )));
    }
    state.lease_term = state.lease_term.max(request.lease_term);
    state.reason = request.reason.clone();
    let reached_permille = state.share_permille_at(now_unix_ms, None);
    match request.action {
        MoveAction::Pause => {
            state.status = MoveStatus::Paused;
            state.share_permille = reached_permille;
        }
        MoveAction::Resume => resume(state, now_unix_ms, reached_permille),
        MoveAction::Finish => {
            state.status = MoveStatus::Done;
            state.share_permille = FULL_PERMILLE;
        }
        MoveAction::TakeBack => {
            state.status = MoveStatus::TakenBack;
            state.share_permille = 0;
        }
    }
    let summary = format_smolstr!("move to {}: {:?}, {}", state.to, state.status, state.reason);
    apply_final_status(entry);
    Ok(summary)
}

fn resume(state: &mut MoveState, now_unix_ms: u64, reached_permille: u16) {
    if state.status != MoveStatus::Paused {
        return;
    }
    state.status = MoveStatus::Running;
    state.plan = plan::fit(now_unix_ms, state.deadline_unix_ms, reached_permille);
}

/// Applies a final status to the active and the rejected versions.
fn apply_final_status(entry: &mut ServiceEntry) {
    let Some(state) = &entry.move_state else {
        return;
    };
    match state.status {
        MoveStatus::Done => entry.active_version = state.to.clone(),
        MoveStatus::TakenBack => {
            if let Err(index) = entry.rejected_versions.binary_search(&state.to) {
                entry.rejected_versions.insert(index, state.to.clone());
            }
        }
        MoveStatus::Running | MoveStatus::Paused => {}
    }
}
