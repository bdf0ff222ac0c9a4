//! Report on moves (rollouts), built from the stored catalogue and the decision records.
//!
//! Every line names the catalogue revisions and decision ids that it is based on.

use hemlockfall_core::catalogue::ChangeRecord;
use hemlockfall_core::catalogue::MoveState;
use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;
use serde::Serialize;
use smol_str::SmolStr;

use crate::errors::Error;
use crate::errors::Result;
use crate::judge::HOLD_PREFIX;
use crate::page;
use crate::record::CellRecord;
use crate::record::MoveResult;
use crate::record::Point;

/// Outcome of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Outcome {
    /// The new version has all traffic; this was decided before the deadline.
    OnTime {
        /// Time left at the decision, in milliseconds.
        margin_ms: u64,
    },
    /// The plan gave all traffic to the new version at the deadline; the decision was recorded
    /// later.
    DoneAtDeadline,
    /// The old version has all traffic again.
    TakenBack {
        /// Time from the first evidence of the fault to the stop, in milliseconds.
        fault_to_stop_ms: Option<u64>,
        /// Failed attempts of the new version; `None` without a decision record.
        faulty_requests: Option<u64>,
    },
    /// The move has no final status.
    UnderWay {
        /// Event that the move waits for.
        waiting_for: SmolStr,
    },
}

/// Report line of one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Service.
    pub service: ServiceName,
    /// Move.
    pub move_id: MoveId,
    /// Old version.
    pub from: VersionName,
    /// New version.
    pub to: VersionName,
    /// Outcome of the move.
    pub outcome: Outcome,
    /// Reason from the catalogue or the decision record.
    pub reason: SmolStr,
    /// Start, in unix milliseconds.
    pub started_unix_ms: u64,
    /// Deadline, in unix milliseconds.
    pub deadline_unix_ms: u64,
    /// Revisions that the line is based on, ascending.
    pub revisions: Vec<Revision>,
    /// Operation ids of those revisions and of the decision.
    pub decision_ids: Vec<OperationId>,
    /// When the evidence first showed the fault, in unix milliseconds.
    pub fault_seen_unix_ms: Option<u64>,
    /// When the advisory stop was first sent, in unix milliseconds.
    pub stopped_unix_ms: Option<u64>,
    /// Evidence at the verdict.
    pub evidence: Vec<CellRecord>,
    /// Share, failures and latency over the time of the move.
    pub points: Vec<Point>,
}

/// Report on all moves in the catalogue and the decision records, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Revision of the catalogue that the report was made from.
    pub revision: Revision,
    /// When the report was made, in unix milliseconds.
    pub made_unix_ms: u64,
    /// Moves.
    pub lines: Vec<Line>,
}

impl Report {
    /// Builds the report from the stored catalogue and the decision records.
    #[must_use]
    pub fn build(catalogue: &StoredCatalogue, results: &[MoveResult], now_unix_ms: u64) -> Self {
        let changes = &catalogue.changes;
        let mut lines: Vec<Line> = results
            .iter()
            .map(|result| line_of_result(result, changes))
            .collect();
        for entry in &catalogue.configuration.entries {
            if let Some(state) = &entry.move_state
                && !lines.iter().any(|line| line.move_id == state.move_id)
            {
                lines.push(line_of_entry(entry, state, changes, now_unix_ms));
            }
        }
        lines.sort_by(|a, b| (a.started_unix_ms, &a.service).cmp(&(b.started_unix_ms, &b.service)));
        Self {
            revision: catalogue.configuration.revision,
            made_unix_ms: now_unix_ms,
            lines,
        }
    }

    /// Renders the report as one JSON document.
    ///
    /// # Errors
    /// [`Error::ReportFailed`] when a value cannot be represented.
    pub fn to_json(&self) -> Result<String> {
        serde_json::to_string_pretty(self).map_err(|error| Error::render_error(&error))
    }

    /// Renders the report as a text table with one move per line.
    #[must_use]
    pub fn to_table(&self) -> String {
        let rows: Vec<[String; 6]> = self.lines.iter().map(Line::cells).collect();
        let mut widths = HEADINGS.map(str::len);
        for row in &rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut text = table_row(&HEADINGS.map(str::to_owned), &widths);
        for row in &rows {
            text.push_str(&table_row(row, &widths));
        }
        text
    }

    /// Renders the report as an HTML page that loads no external resources.
    ///
    /// # Errors
    /// [`Error::ReportFailed`] when a plot cannot be drawn.
    pub fn to_html(&self) -> Result<String> {
        page::render(self)
    }
}

pub(crate) const HEADINGS: [&str; 6] = [
    "service",
    "versions",
    "outcome",
    "reason",
    "revisions",
    "decisions",
];

impl Line {
    pub(crate) fn outcome_text(&self) -> String {
        self.outcome.text()
    }

    pub(crate) fn cells(&self) -> [String; 6] {
        let join = |items: Vec<String>| items.join(" ");
        [
            self.service.to_string(),
            format!("{} to {}", self.from, self.to),
            self.outcome.text(),
            self.reason.to_string(),
            join(self.revisions.iter().map(ToString::to_string).collect()),
            join(self.decision_ids.iter().map(ToString::to_string).collect()),
        ]
    }
}

impl Outcome {
    fn text(&self) -> String {
        let seconds = |time_ms: u64| format!("{}.{:03} s", time_ms / 1000, time_ms % 1000);
        match self {
            Self::OnTime { margin_ms } => {
                format!("on time, {} before the deadline", seconds(*margin_ms))
            }
            Self::DoneAtDeadline => "done by plan at the deadline".to_owned(),
            Self::TakenBack {
                fault_to_stop_ms,
                faulty_requests,
            } => {
                // The judge often detects the fault and sends the stop in the same verdict.
                let stop = match fault_to_stop_ms {
                    None => String::new(),
                    Some(0) => ", stopped as soon as the evidence showed the fault".to_owned(),
                    Some(ms) => format!(", {} from fault to stop", seconds(*ms)),
                };
                let requests = faulty_requests.map_or_else(
                    || ", no decision record yet".to_owned(),
                    |count| format!(", {count} requests met the fault"),
                );
                format!("taken back{stop}{requests}")
            }
            Self::UnderWay { waiting_for } => format!("under way, waiting for {waiting_for}"),
        }
    }
}

fn line_of_result(result: &MoveResult, changes: &[ChangeRecord]) -> Line {
    let (mut revisions, mut decision_ids) = supporting_changes(
        changes,
        &result.service,
        result.move_id,
        result.started_unix_ms,
        result.revision,
    );
    insert_sorted(&mut revisions, result.revision);
    if let Some(decision_id) = result.decision_id
        && !decision_ids.contains(&decision_id)
    {
        decision_ids.push(decision_id);
    }
    let fault_to_stop_ms = result
        .fault_seen_unix_ms
        .zip(result.stopped_unix_ms)
        .map(|(seen, stopped)| stopped.saturating_sub(seen));
    let decided_unix_ms = changes
        .iter()
        .find(|change| change.revision == result.revision)
        .map_or(result.ended_unix_ms, |change| change.at_unix_ms);
    let faulty_requests = Some(result.faulty_requests());
    Line {
        service: result.service.clone(),
        move_id: result.move_id,
        from: result.from.clone(),
        to: result.to.clone(),
        outcome: match result.status {
            MoveStatus::Done => done(decided_unix_ms, result.deadline_unix_ms),
            _ => Outcome::TakenBack {
                fault_to_stop_ms,
                faulty_requests,
            },
        },
        reason: result.reason.clone(),
        started_unix_ms: result.started_unix_ms,
        deadline_unix_ms: result.deadline_unix_ms,
        revisions,
        decision_ids,
        fault_seen_unix_ms: result.fault_seen_unix_ms,
        stopped_unix_ms: result.stopped_unix_ms,
        evidence: result.evidence.clone(),
        points: result.series.points().to_vec(),
    }
}

fn line_of_entry(
    entry: &ServiceEntry,
    state: &MoveState,
    changes: &[ChangeRecord],
    now_unix_ms: u64,
) -> Line {
    let (revisions, decision_ids) = supporting_changes(
        changes,
        &entry.service,
        state.move_id,
        state.started_unix_ms,
        entry.changed_revision,
    );
    let decided_unix_ms = changes
        .iter()
        .rfind(|change| change.service == entry.service)
        .map_or(now_unix_ms, |change| change.at_unix_ms);
    let outcome = match state.status {
        MoveStatus::Done => done(decided_unix_ms, state.deadline_unix_ms),
        MoveStatus::TakenBack => Outcome::TakenBack {
            fault_to_stop_ms: None,
            faulty_requests: None,
        },
        MoveStatus::Running | MoveStatus::Paused => Outcome::UnderWay {
            waiting_for: waiting_for(state, now_unix_ms),
        },
    };
    Line {
        service: entry.service.clone(),
        move_id: state.move_id,
        from: state.from.clone(),
        to: state.to.clone(),
        outcome,
        reason: state.reason.clone(),
        started_unix_ms: state.started_unix_ms,
        deadline_unix_ms: state.deadline_unix_ms,
        revisions,
        decision_ids,
        fault_seen_unix_ms: None,
        stopped_unix_ms: None,
        evidence: Vec::new(),
        points: Vec::new(),
    }
}

fn done(decided_unix_ms: u64, deadline_unix_ms: u64) -> Outcome {
    deadline_unix_ms
        .checked_sub(decided_unix_ms)
        .map_or(Outcome::DoneAtDeadline, |margin_ms| Outcome::OnTime {
            margin_ms,
        })
}

fn waiting_for(state: &MoveState, now_unix_ms: u64) -> SmolStr {
    let held_by_judge = state.reason.starts_with(HOLD_PREFIX);
    match state.status {
        MoveStatus::Paused if held_by_judge => "evidence on a suspected fault".into(),
        MoveStatus::Paused => "an operator to resume or abort it".into(),
        _ if now_unix_ms >= state.deadline_unix_ms => {
            "the record of the deadline's decision".into()
        }
        _ if state.planned_permille_at(now_unix_ms) >= hemlockfall_core::units::FULL_PERMILLE => {
            "the judge's verdict at full share".into()
        }
        _ => "the next step of the plan".into(),
    }
}

/// Collects the changes of the service from the start of the move to its last revision.
fn supporting_changes(
    changes: &[ChangeRecord],
    service: &str,
    move_id: MoveId,
    started_unix_ms: u64,
    last_revision: Revision,
) -> (Vec<Revision>, Vec<OperationId>) {
    let start = changes
        .iter()
        .find(|change| change.operation_id == move_id)
        .map(|change| change.revision);
    let is_relevant = |change: &&ChangeRecord| {
        // The record of the start may have been trimmed already; the time is used then.
        let of_move = start.map_or(change.at_unix_ms >= started_unix_ms, |revision| {
            change.revision >= revision
        });
        change.service == service && of_move && change.revision <= last_revision
    };
    changes
        .iter()
        .filter(is_relevant)
        .map(|change| (change.revision, change.operation_id))
        .unzip()
}

fn insert_sorted(revisions: &mut Vec<Revision>, revision: Revision) {
    if let Err(index) = revisions.binary_search(&revision) {
        revisions.insert(index, revision);
    }
}

fn table_row(cells: &[String; 6], widths: &[usize; 6]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
