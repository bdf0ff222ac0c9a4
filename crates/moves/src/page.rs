//! HTML page of the report: a summary, one row per move (rollout), and a section per move with
//! its plot and evidence. The page loads no external resources.

use std::fmt::Write;

use crate::errors::Result;
use crate::plot;
use crate::record::CellRecord;
use crate::report::HEADINGS;
use crate::report::Line;
use crate::report::Outcome;
use crate::report::Report;
use crate::window::Counts;

const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:80em}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px 8px;\
    text-align:left;vertical-align:top}td.number{text-align:right}\
    section{margin-top:2em;border-top:1px solid #ccc}";
const EVIDENCE_HEADINGS: [&str; 9] = [
    "route",
    "region",
    "attempts, old",
    "failures, old",
    "mean ms, old",
    "attempts, new",
    "failures, new",
    "mean ms, new",
    "guards that cut",
];

/// Renders the page.
pub fn render(report: &Report) -> Result<String> {
    let mut rows = String::new();
    let mut sections = String::new();
    for line in &report.lines {
        let cells = line.cells().map(|cell| escape(&cell)).join("</td><td>");
        // Writing to a string cannot fail.
        let _ = writeln!(rows, "<tr><td>{cells}</td></tr>");
        sections.push_str(&section(line, report.made_unix_ms)?);
    }
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Moves</title>\
         <style>{STYLE}</style></head><body>\n<h1>Moves at revision {}</h1>\n<p>{}</p>\n\
         <table><tr><th>{}</th></tr>\n{rows}</table>\n{sections}</body></html>\n",
        report.revision,
        summary(report),
        HEADINGS.join("</th><th>"),
    ))
}

fn summary(report: &Report) -> String {
    let count = |wanted: fn(&Outcome) -> bool| {
        let lines = report.lines.iter();
        lines.filter(|line| wanted(&line.outcome)).count()
    };
    format!(
        "{} completed on time, {} done by plan at the deadline, {} taken back, {} under way.",
        count(|outcome| matches!(outcome, Outcome::OnTime { .. })),
        count(|outcome| matches!(outcome, Outcome::DoneAtDeadline)),
        count(|outcome| matches!(outcome, Outcome::TakenBack { .. })),
        count(|outcome| matches!(outcome, Outcome::UnderWay { .. })),
    )
}

fn section(line: &Line, made_unix_ms: u64) -> Result<String> {
    let title = format!("{}: {} to {}", line.service, line.from, line.to);
    let mut text = format!(
        "<section><h2>{}</h2>\n<p>{}. Started {} before this report, with {} to the deadline.</p>\n",
        escape(&title),
        escape(&line.outcome_text()),
        seconds(made_unix_ms.saturating_sub(line.started_unix_ms)),
        seconds(line.deadline_unix_ms.saturating_sub(line.started_unix_ms)),
    );
    if !line.points.is_empty() {
        text.push_str("<p>Time in seconds since the judge began.</p>\n");
        text.push_str(&plot::svg(&line.points)?);
    }
    if !line.evidence.is_empty() {
        text.push_str(&evidence(&line.evidence));
    }
    text.push_str("</section>\n");
    Ok(text)
}

fn evidence(cells: &[CellRecord]) -> String {
    let headings = EVIDENCE_HEADINGS.join("</th><th>");
    let mut text = format!("<h3>Evidence</h3>\n<table><tr><th>{headings}</th></tr>\n");
    for cell in cells {
        let _ = writeln!(
            text,
            "<tr><td>{}</td><td>{}</td>{}{}<td class=\"number\">{}</td></tr>",
            escape(&cell.route),
            escape(&cell.region),
            counts(&cell.old),
            counts(&cell.new),
            cell.guards_tripped,
        );
    }
    text.push_str("</table>\n");
    text
}

fn counts(counts: &Counts) -> String {
    let mean_ms = if counts.timed() == 0 {
        "-".to_owned()
    } else {
        format!("{:.1}", counts.mean_ms())
    };
    let cells = [
        counts.attempts.to_string(),
        counts.failures.to_string(),
        mean_ms,
    ];
    cells
        .map(|cell| format!("<td class=\"number\">{cell}</td>"))
        .concat()
}

fn seconds(time_ms: u64) -> String {
    format!("{} s", time_ms / 1000)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
