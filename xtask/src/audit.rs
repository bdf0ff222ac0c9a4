//! Audit: compares the outcomes that callers got with the runs at the targets.

use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::caller::CallerReport;
use crate::caller::Outcome;
use crate::caller::SendRecord;
use crate::errors::Error;
use crate::errors::Result;
use crate::target::state::Run;

/// Counts of requests and of violated guarantees.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Requests, counted by their first send.
    pub requests: usize,
    /// Requests with a complete answer of their own.
    pub answered_whole: usize,
    /// Sends whose answer was incomplete or belonged to another request.
    pub wrong_answers: usize,
    /// Requests that must run at most once and ran more often.
    pub double_runs: usize,
    /// Requests that ran although the caller was told that they did not.
    pub told_not_run_but_ran: usize,
    /// Requests whose last outcome was unknown.
    pub unknown: usize,
    /// Requests whose last outcome was not-run.
    pub not_run: usize,
    /// Messages about the first violated guarantees.
    pub findings: Vec<String>,
}

const MAX_FINDINGS: usize = 10;

impl Audit {
    /// Compares the reports of callers with the runs of all targets.
    #[must_use]
    pub fn of(reports: &[CallerReport], runs: &[Run]) -> Self {
        let mut run_ids: Vec<&str> = runs.iter().map(|run| run.request_id.as_str()).collect();
        run_ids.sort_unstable();
        let mut audit = Self::default();
        for report in reports {
            for sends in report.sends.chunk_by(|a, b| base_id(a) == base_id(b)) {
                audit.add(sends, &run_ids);
            }
        }
        audit
    }

    /// Returns whether no guarantee was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.wrong_answers == 0 && self.double_runs == 0 && self.told_not_run_but_ran == 0
    }

    fn add(&mut self, sends: &[SendRecord], run_ids: &[&str]) {
        let mut runs_so_far = 0;
        let mut false_not_run = false;
        for send in sends {
            let own_runs = count(run_ids, &send.request_id);
            runs_so_far += own_runs;
            // With a key, a resend is the same request; without one it is a new request.
            let runs = if send.key.is_some() {
                runs_so_far
            } else {
                own_runs
            };
            false_not_run |= send.outcome == Outcome::NotRun && runs > 0;
            if send.wrong {
                self.wrong_answers += 1;
                self.add_finding(format!("wrong answer to {}", send.request_id));
            }
        }
        self.requests += 1;
        self.answered_whole += usize::from(sends.iter().any(|send| send.whole));
        let Some(last) = sends.last() else {
            return;
        };
        if false_not_run {
            self.told_not_run_but_ran += 1;
            self.add_finding(format!("told not-run, but ran: {}", describe(sends)));
        }
        // Without a key, a resend is a new request, so only its own runs count.
        let max_runs = if last.key.is_some() {
            runs_so_far
        } else {
            sends
                .iter()
                .map(|send| count(run_ids, &send.request_id))
                .max()
                .unwrap_or(0)
        };
        if last.once && max_runs > 1 {
            self.double_runs += 1;
            self.add_finding(format!("{max_runs} runs of {}", describe(sends)));
        }
        match last.outcome {
            Outcome::Ran => {}
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
    }

    fn add_finding(&mut self, finding: String) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(finding);
        }
    }
}

/// Reads the file of runs of one target. A last line that was truncated by a kill is ignored,
/// because its run had not started. A missing file counts as no runs.
///
/// # Errors
/// [`Error::Resource`] when the file cannot be read or another line is damaged.
pub fn read_runs(path: &Path) -> Result<Vec<Run>> {
    let name = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(Error::resource(name, error)),
    };
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    complete
        .lines()
        .map(|line| serde_json::from_str(line).map_err(|error| Error::resource(&name, error)))
        .collect()
}

fn describe(sends: &[SendRecord]) -> String {
    let sends = sends.iter().map(|send| {
        let code = send.code.as_deref().unwrap_or("-");
        format!("{} {:?} {code}", send.request_id, send.outcome)
    });
    sends.collect::<Vec<_>>().join(", ")
}

fn base_id(send: &SendRecord) -> &str {
    send.request_id
        .rsplit_once('.')
        .map_or(send.request_id.as_str(), |(base_id, _)| base_id)
}

fn count(sorted: &[&str], id: &str) -> usize {
    let first = sorted.partition_point(|candidate| *candidate < id);
    sorted[first..]
        .iter()
        .take_while(|candidate| **candidate == id)
        .count()
}
