//! Commands that send a request to a node.

use std::net::SocketAddr;
use std::time::SystemTime;

use hemlockfall_core::catalogue::ChangeRecord;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_core::catalogue::file::ServiceFile;
use hemlockfall_core::units;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::cli::arguments::ApplyOptions;
use crate::cli::arguments::CatalogueCommand;
use crate::cli::arguments::CatalogueOptions;
use crate::cli::arguments::Format;
use crate::cli::arguments::MoveChange;
use crate::cli::arguments::MoveOptions;
use crate::cli::arguments::RemoteOptions;
use crate::cli::arguments::ReportOptions;
use crate::cli::check;
use crate::cli::failure::Failure;
use crate::cli::failure::Result;
use crate::cli::output;
use crate::cli::tables;
use crate::operator::client;
use crate::operator::errors;
use crate::operator::errors::OperatorError;
use crate::operator::request::Acceptance;
use crate::operator::request::EntryLine;
use crate::operator::request::EntryList;
use crate::operator::request::MoveCommand;
use crate::operator::request::NodeStatus;
use crate::operator::request::OperationState;
use crate::operator::request::OperationSummary;
use crate::operator::request::OperatorReply;
use crate::operator::request::OperatorRequest;

/// Minimum number of copies on other VMs with which a change reaches the other nodes even if the
/// store fails.
const MIN_SAFE_COPIES: usize = 2;

pub(crate) fn catalogue(options: CatalogueOptions) -> Result<()> {
    let Some(command) = options.command else {
        return Err(Failure::usage("a command after `catalogue` is missing"));
    };
    match command {
        CatalogueCommand::Apply(options) => apply(&options),
        CatalogueCommand::Get(options) => {
            let service = options.entry.into();
            let request = OperatorRequest::Get { service };
            call_and_print(options.node.0, request, options.format)
        }
        CatalogueCommand::List(options) => {
            call_and_print(options.node.0, OperatorRequest::List, options.format)
        }
        CatalogueCommand::History(options) => {
            let request = OperatorRequest::History {
                service: options.entry.into(),
                limit: options.limit,
            };
            call_and_print(options.node.0, request, options.format)
        }
        CatalogueCommand::Remove(options) => {
            let request = OperatorRequest::Remove {
                service: options.entry.into(),
                seen_revision: options.seen_revision,
                author: author(options.who),
            };
            call_and_print(options.node.0, request, options.format)
        }
    }
}

/// Applies the entries one by one. The accepted ones are printed, so a failure shows which entries
/// were applied before it.
fn apply(options: &ApplyOptions) -> Result<()> {
    let services = check::load_catalogue(&options.file)?;
    for service in services {
        let request = OperatorRequest::Apply {
            service: Box::new(service),
            author: author(options.who.clone()),
        };
        call_and_print(options.node.0, request, options.format)?;
    }
    Ok(())
}

pub(crate) fn change_move(options: MoveOptions) -> Result<()> {
    let Some(command) = options.command else {
        return Err(Failure::usage("a command after `move` is missing"));
    };
    let (action, options) = match command {
        MoveChange::Abort(options) => (MoveCommand::Abort, options),
        MoveChange::Pause(options) => (MoveCommand::Pause, options),
        MoveChange::Resume(options) => (MoveCommand::Resume, options),
    };
    let request = OperatorRequest::Move {
        service: options.service.into(),
        move_id: None,
        action,
        reason: options.reason.into(),
        author: author(options.who),
    };
    call_and_print(options.node.0, request, options.format)
}

pub(crate) fn status(options: &RemoteOptions) -> Result<()> {
    call_and_print(options.node.0, OperatorRequest::Status, options.format)
}

pub(crate) fn report(options: &ReportOptions) -> Result<()> {
    let request = OperatorRequest::Report {
        format: options.format,
    };
    let OperatorReply::Report(text) = client::call(options.node.0, request)? else {
        let error = OperatorError::failed(errors::ANSWER_MALFORMED, "the answer is not a report");
        return Err(error.into());
    };
    match &options.output {
        Some(path) => output::write_file(path, &text),
        None => output::print(&text),
    }
}

fn author(who: Option<String>) -> Author {
    let who = who.or_else(|| std::env::var("USER").ok());
    Author {
        operation_id: Uuid::now_v7(),
        who: who.map_or_else(|| SmolStr::new_static("operator"), SmolStr::from),
        at_unix_ms: units::unix_ms(SystemTime::now()),
    }
}

fn call_and_print(node: SocketAddr, request: OperatorRequest, format: Format) -> Result<()> {
    request.check()?;
    let reply = client::call(node, request)?;
    match format {
        Format::Json => output::print_json(&reply),
        Format::Text => output::print(&text(reply)?),
    }
}

fn text(reply: OperatorReply) -> Result<String> {
    Ok(match reply {
        OperatorReply::Accepted(acceptance) => acceptance_text(&acceptance),
        OperatorReply::Entry(entry) => entry_text(&entry)?,
        OperatorReply::Entries(list) => list_text(&list),
        OperatorReply::History(changes) => history_text(&changes),
        OperatorReply::Status(status) => status_text(&status),
        OperatorReply::Report(text) => text,
    })
}

fn acceptance_text(acceptance: &Acceptance) -> String {
    let mut text = format!(
        "{}: accepted as revision {}, operation {}, {} copies on other VMs\n",
        acceptance.service, acceptance.revision, acceptance.operation_id, acceptance.copies
    );
    if acceptance.copies < MIN_SAFE_COPIES {
        text.push_str(
            "note: with fewer than 2 copies, a store outage now could delay the change\n",
        );
    }
    text
}

/// Renders an entry as a catalogue file. The file holds the revision of the last change as
/// `seen_revision`, so that applying an edited copy cannot overwrite a later change.
fn entry_text(entry: &ServiceEntry) -> Result<String> {
    let file = CatalogueFile {
        service: vec![ServiceFile::from_entry(entry)],
    };
    Ok(file.to_text()?)
}

fn list_text(list: &EntryList) -> String {
    let header = [
        "service",
        "owner",
        "class",
        "version",
        "last move",
        "changed",
    ];
    let to_row = |line: &EntryLine| {
        let last_move = line.last_move.as_ref();
        vec![
            line.service.to_string(),
            line.owner.to_string(),
            format!("{:?}", line.class).to_lowercase(),
            line.active_version.to_string(),
            last_move.map_or_else(String::new, |(to, status)| {
                format!("{to} {}", format!("{status:?}").to_lowercase())
            }),
            line.changed_revision.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = list.entries.iter().map(to_row).collect();
    format!(
        "revision {}\n{}",
        list.revision,
        tables::render(&header, &rows)
    )
}

fn history_text(changes: &[ChangeRecord]) -> String {
    let header = ["revision", "unix ms", "operation", "who", "change"];
    let to_row = |change: &ChangeRecord| {
        vec![
            change.revision.to_string(),
            change.at_unix_ms.to_string(),
            change.operation_id.to_string(),
            change.who.to_string(),
            change.summary.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = changes.iter().map(to_row).collect();
    tables::render(&header, &rows)
}

fn status_text(status: &NodeStatus) -> String {
    let store = status.store_down_since_unix_ms.map_or_else(
        || "answers".to_owned(),
        |since| format!("no answer since {since} (unix ms)"),
    );
    let node = format!(
        "node         {}\nregion       {}\ndata centre  {}\nstate        {}\nrevision     {}\n\
         digest       {}\nmembers      {}\nstore        {store}\n",
        status.node,
        status.region,
        status.data_centre,
        status.state,
        status.revision,
        status.digest,
        status.members,
    );
    let operations: String = status.operations.iter().map(operation_text).collect();
    node + &operations
}

fn operation_text(operation: &OperationSummary) -> String {
    let state = match operation.state {
        OperationState::Unknown => "not known yet".to_owned(),
        OperationState::Accepted(revision) => format!("accepted as revision {revision}"),
        OperationState::NotApplied => "did not take effect".to_owned(),
    };
    format!(
        "operation {} on {}: {state}\n",
        operation.operation_id, operation.service
    )
}
