//! Steps about moves: actions of operators, faults of the judge, and conditions.
//!
//! A move is the rollout of a new version of a service; the commands and stored objects call it
//! a move.
//! In scenarios, the judge of a move is the node that holds its lease.

use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use hemlockfall_core::units;
use hemlockfall_moves::action::Lease;
use winnow::ModalResult;
use winnow::Parser;
use winnow::combinator::alt;

use super::parser::after;
use super::parser::count;
use super::parser::described;
use super::parser::duration;
use super::parser::keyword;
use super::parser::name;
use super::parser::quoted;
use crate::errors::Error;
use crate::errors::Result;
use crate::harness::Cluster;
use crate::harness::process::Signal;
use crate::harness::wait;

/// Step about the move of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveStep {
    /// The service.
    pub service: String,
    /// The action or condition.
    pub kind: MoveStepKind,
}

/// Action or condition of a [`MoveStep`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveStepKind {
    /// An operator aborts the move; the step fails if the command is refused.
    Abort {
        /// Node.
        through: String,
    },
    /// The node that holds the lease is killed.
    KillJudge,
    /// The node that holds the lease is paused for this time, in the background.
    FreezeJudge(Duration),
    /// The line of the service in the output of `hemlockfall report` contains a text.
    Reports {
        /// The text.
        text: String,
        /// Nodes, tried in order until one returns the report.
        through: Vec<String>,
        /// Longest wait.
        within: Duration,
    },
    /// A node holds the lease.
    HasJudge {
        /// Longest wait.
        within: Duration,
    },
    /// A version ran at most this number of requests since the start of the scenario.
    RunsAtMost {
        /// Maximum number of runs.
        count: usize,
        /// The version.
        version: String,
    },
    /// During an observation, a version runs at most this share of the requests.
    ShareAtMost {
        /// Maximum share, in permille.
        permille: usize,
        /// The version.
        version: String,
        /// Length of the observation.
        time: Duration,
    },
    /// During an observation, a version runs at least this share of the requests.
    ShareAtLeast {
        /// Minimum share, in permille.
        permille: usize,
        /// The version.
        version: String,
        /// Length of the observation.
        time: Duration,
    },
}

/// Parses a step after the verb `move`.
///
/// # Errors
/// A parser error with a description of what was expected.
pub fn step(input: &mut &str) -> ModalResult<MoveStep> {
    let within = || after("within", duration);
    let share = |word| {
        (
            after(word, count),
            after("permille to", name),
            after("for", duration),
        )
    };
    let judge_step = alt((
        keyword("kills judge").value(MoveStepKind::KillJudge),
        after("freezes judge for", duration).map(MoveStepKind::FreezeJudge),
        after("has judge", within()).map(|within| MoveStepKind::HasJudge { within }),
    ));
    let kind = alt((
        after("aborts through", name).map(|through| MoveStepKind::Abort { through }),
        judge_step,
        after("reports", (quoted, after("through", name), within())).map(
            |(text, through, within)| MoveStepKind::Reports {
                text,
                through: through.split(',').map(str::to_owned).collect(),
                within,
            },
        ),
        after("gave at most", (count, after("runs to", name)))
            .map(|(count, version)| MoveStepKind::RunsAtMost { count, version }),
        share("sends at most").map(|(permille, version, time)| MoveStepKind::ShareAtMost {
            permille,
            version,
            time,
        }),
        share("sends at least").map(|(permille, version, time)| MoveStepKind::ShareAtLeast {
            permille,
            version,
            time,
        }),
    ));
    let expected =
        "`aborts`, `kills judge`, `freezes judge`, `has judge`, `reports`, `gave` or `sends`";
    (name, described(kind, expected))
        .map(|(service, kind)| MoveStep { service, kind })
        .parse_next(input)
}

/// Runs a step.
///
/// # Errors
/// [`Error::Unmet`] or [`Error::NotReached`] if a condition does not hold; errors of the command
/// or the processes.
pub fn run(cluster: &mut Cluster, step: &MoveStep) -> Result<()> {
    let service = step.service.as_str();
    match &step.kind {
        MoveStepKind::Abort { through } => {
            let applied = cluster.command(
                &["move", "abort"],
                through,
                &["--reason", "by the scenario", service],
            )?;
            if applied.accepted {
                return Ok(());
            }
            Err(Error::unmet(applied.output))
        }
        MoveStepKind::KillJudge => {
            let judge = judge(cluster, service)?;
            cluster.signal(&judge, Signal::Kill)
        }
        MoveStepKind::FreezeJudge(time) => {
            let judge = judge(cluster, service)?;
            cluster.freeze_for(&judge, *time)
        }
        MoveStepKind::HasJudge { within } => wait::until("a judge", *within, || {
            judge(cluster, service).map_err(|error| error.to_string())
        })
        .map(|_| ()),
        MoveStepKind::Reports {
            text,
            through,
            within,
        } => reports(cluster, service, text, through, *within),
        MoveStepKind::RunsAtMost { count, version } => {
            let runs = cluster.runs()?;
            let runs_of_version = runs.iter().filter(|run| run.version == *version).count();
            if runs_of_version <= *count {
                return Ok(());
            }
            Err(Error::unmet(format!(
                "{runs_of_version} of {} runs by {version}",
                runs.len()
            )))
        }
        MoveStepKind::ShareAtMost {
            permille,
            version,
            time,
        } => {
            let (share, seen) = observe(cluster, version, *time)?;
            let holds = share <= *permille;
            holds.then_some(()).ok_or_else(|| Error::unmet(seen))
        }
        MoveStepKind::ShareAtLeast {
            permille,
            version,
            time,
        } => {
            let (share, seen) = observe(cluster, version, *time)?;
            let holds = share >= *permille;
            holds.then_some(()).ok_or_else(|| Error::unmet(seen))
        }
    }
}

/// Returns the name of the node that holds the lease.
fn judge(cluster: &Cluster, service: &str) -> Result<String> {
    let lease: Lease = cluster.store_value(&format!("moves/lease/{service}"))?;
    let now_unix_ms = units::unix_ms(SystemTime::now());
    if lease.expires_unix_ms <= now_unix_ms {
        return Err(Error::unmet(format!("the lease has expired: {lease:?}")));
    }
    Ok(lease.holder.to_string())
}

fn reports(
    cluster: &Cluster,
    service: &str,
    text: &str,
    through: &[String],
    within: Duration,
) -> Result<()> {
    wait::until(&format!("`{text}` in the report"), within, || {
        let mut last = String::new();
        for node in through {
            let report = cluster
                .command::<&str>(&["report"], node, &[])
                .map_err(|error| error.to_string())?;
            last = report.output;
            if report.accepted {
                break;
            }
        }
        let holds = last
            .lines()
            .any(|line| line.starts_with(service) && line.contains(text));
        holds.then_some(()).ok_or(last)
    })
}

/// Observes the runs for a time and returns the share of a version in permille, with a
/// description of the counts. Earlier runs are not counted; an observation without runs is an
/// error.
fn observe(cluster: &Cluster, version: &str, time: Duration) -> Result<(usize, String)> {
    let from_unix_ms = units::unix_ms(SystemTime::now());
    thread::sleep(time);
    let runs = cluster.runs()?;
    let recent = || runs.iter().filter(|run| run.at_unix_ms >= from_unix_ms);
    let total = recent().count();
    let runs_of_version = recent().filter(|run| run.version == version).count();
    let seen = format!("{runs_of_version} of {total} runs by {version}");
    if total == 0 {
        return Err(Error::unmet("no run was observed"));
    }
    Ok((runs_of_version * 1000 / total, seen))
}
