//! Typed requests and replies of the operator interface. A move is the rollout of a new version.

use std::str::FromStr;

use hemlockfall_core::catalogue::ChangeRecord;
use hemlockfall_core::catalogue::Class;
use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::edit::MoveAction;
use hemlockfall_core::catalogue::file::ServiceFile;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::operator::errors;
use crate::operator::errors::OperatorError;
use crate::operator::errors::Result;

/// One call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Create or change an entry.
    Apply {
        /// Desired state of the entry.
        service: Box<ServiceFile>,
        /// Who, when, and the id of the write.
        author: Author,
    },
    /// Remove an entry.
    Remove {
        /// Name of the entry.
        service: SmolStr,
        /// Revision of the last change that the operator saw.
        seen_revision: Option<Revision>,
        /// Who, when, and the id of the write.
        author: Author,
    },
    /// Read an entry.
    Get {
        /// Name of the entry.
        service: SmolStr,
    },
    /// List all entries.
    List,
    /// List the changes of an entry.
    History {
        /// Name of the entry.
        service: SmolStr,
        /// Maximum number of changes, newest first.
        limit: usize,
    },
    /// Change the move of a service.
    Move {
        /// Name of the service.
        service: SmolStr,
        /// Id of the move; `None` for the current one.
        move_id: Option<MoveId>,
        /// Action on the move.
        action: MoveCommand,
        /// Reason for the action, stored in the change record.
        reason: SmolStr,
        /// Who, when, and the id of the write.
        author: Author,
    },
    /// Read the state of the node.
    Status,
    /// Render the report on the moves.
    Report {
        /// Format of the report.
        format: ReportFormat,
    },
}

/// Largest length of an operator's name and of a reason. They are stored in the change records of
/// the catalogue object, whose size is limited.
pub const MAX_TEXT_BYTES: usize = 256;

impl OperatorRequest {
    /// Checks the texts that are stored in the change records.
    ///
    /// # Errors
    /// [`errors::PARAMETERS_INVALID`], naming the text that is empty or too long.
    pub fn check(&self) -> Result<()> {
        match self {
            Self::Apply { author, .. } | Self::Remove { author, .. } => {
                check_text("who", &author.who)
            }
            Self::Move { author, reason, .. } => {
                check_text("who", &author.who)?;
                check_text("reason", reason)
            }
            Self::Get { .. }
            | Self::List
            | Self::History { .. }
            | Self::Status
            | Self::Report { .. } => Ok(()),
        }
    }

    /// Returns the id of the write if the request changes the catalogue.
    #[must_use]
    pub fn operation_id(&self) -> Option<OperationId> {
        match self {
            Self::Apply { author, .. }
            | Self::Remove { author, .. }
            | Self::Move { author, .. } => Some(author.operation_id),
            Self::Get { .. }
            | Self::List
            | Self::History { .. }
            | Self::Status
            | Self::Report { .. } => None,
        }
    }

    /// Returns the requested change of the catalogue, if any, and its author.
    #[must_use]
    pub fn edit(&self) -> Option<(Edit, &Author)> {
        match self {
            Self::Apply { service, author } => Some((Edit::Apply(service.clone()), author)),
            Self::Remove {
                service,
                seen_revision,
                author,
            } => {
                let edit = Edit::Remove {
                    service: service.clone(),
                    seen_revision: *seen_revision,
                };
                Some((edit, author))
            }
            Self::Move {
                service,
                move_id,
                action,
                reason,
                author,
            } => {
                let edit = Edit::Move {
                    service: service.clone(),
                    move_id: *move_id,
                    action: action.to_action(),
                    lease_term: 0,
                    reason: reason.clone(),
                };
                Some((edit, author))
            }
            Self::Get { .. }
            | Self::List
            | Self::History { .. }
            | Self::Status
            | Self::Report { .. } => None,
        }
    }
}

fn check_text(name: &str, text: &str) -> Result<()> {
    if !text.trim().is_empty() && text.len() <= MAX_TEXT_BYTES {
        return Ok(());
    }
    let size_bytes = text.len();
    let message =
        format!("`{name}` has {size_bytes} bytes, allowed: text of 1 to {MAX_TEXT_BYTES}");
    Err(OperatorError::failed(errors::PARAMETERS_INVALID, message))
}

/// Action of an operator on a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveCommand {
    /// Roll back to the old version permanently.
    Abort,
    /// Hold the current traffic share.
    Pause,
    /// Continue with the plan.
    Resume,
}

impl MoveCommand {
    fn to_action(self) -> MoveAction {
        match self {
            Self::Abort => MoveAction::TakeBack,
            Self::Pause => MoveAction::Pause,
            Self::Resume => MoveAction::Resume,
        }
    }
}

/// Output format of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportFormat {
    /// Text table.
    #[default]
    Table,
    /// JSON.
    Json,
    /// HTML with plots.
    Html,
}

impl FromStr for ReportFormat {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "html" => Ok(Self::Html),
            other => Err(format!("`{other}` is not one of table, json, html")),
        }
    }
}

/// Reply to a successful call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorReply {
    /// The change was accepted.
    Accepted(Acceptance),
    /// An entry.
    Entry(Box<ServiceEntry>),
    /// All entries.
    Entries(EntryList),
    /// Changes of an entry, newest first.
    History(Vec<ChangeRecord>),
    /// State of the node.
    Status(NodeStatus),
    /// Report in the requested format.
    Report(String),
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Name of the changed entry.
    pub service: SmolStr,
    /// Revision that the change created.
    pub revision: Revision,
    /// Id of the write.
    pub operation_id: OperationId,
    /// Number of other VMs that acknowledged a copy within 1 s.
    pub copies: usize,
}

/// Entries of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// Revision of the catalogue.
    pub revision: Revision,
    /// Entries, sorted by service.
    pub entries: Vec<EntryLine>,
}

/// Summary of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLine {
    /// Name of the service.
    pub service: SmolStr,
    /// Owner of the service.
    pub owner: SmolStr,
    /// Priority under overload.
    pub class: Class,
    /// Active version.
    pub active_version: SmolStr,
    /// New version and status of the last move.
    pub last_move: Option<(SmolStr, MoveStatus)>,
    /// Revision of the last change.
    pub changed_revision: Revision,
}

impl From<&ServiceEntry> for EntryLine {
    fn from(entry: &ServiceEntry) -> Self {
        let last_move = entry.move_state.as_ref();
        Self {
            service: entry.service.clone(),
            owner: entry.owner.clone(),
            class: entry.class,
            active_version: entry.active_version.clone(),
            last_move: last_move.map(|state| (state.to.clone(), state.status)),
            changed_revision: entry.changed_revision,
        }
    }
}

/// State of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: SmolStr,
    /// Region of the node.
    pub region: SmolStr,
    /// Data centre of the node.
    pub data_centre: SmolStr,
    /// State of the node and its target, in words.
    pub state: SmolStr,
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the configuration in force, in hexadecimal digits.
    pub digest: String,
    /// Number of live nodes that this node knows.
    pub members: usize,
    /// Time since which the store has not answered, in Unix milliseconds.
    pub store_down_since_unix_ms: Option<u64>,
    /// Changes whose answer was lost, with their outcome, oldest first; filled in by the worker.
    #[serde(default)]
    pub operations: Vec<OperationSummary>,
}

/// Outcome of a change whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationSummary {
    /// Id of the write.
    pub operation_id: OperationId,
    /// Name of the entry that it changes.
    pub service: SmolStr,
    /// Outcome, as far as it is known.
    pub state: OperationState,
}

/// Known outcome of a change whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationState {
    /// The outcome is not known yet.
    Unknown,
    /// The change took effect as this revision.
    Accepted(Revision),
    /// The change did not take effect and never will.
    NotApplied,
}
