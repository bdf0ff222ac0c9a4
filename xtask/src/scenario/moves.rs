//! Steps about moves: what operators do, what happens to the judge, and what must hold.

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

/// `MoveStep` is a step about the move of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveStep {
    /// The service.
    pub service: String,
    /// What is done or checked.
    pub kind: MoveStepKind,
}

/// `MoveStepKind` is the content of a step about a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveStepKind {
    /// An operator aborts the move; fails when the command is refused.
    Abort {
        /// Node.
        through: String,
    },
    /// The node that holds the lease dies.
    KillJudge,
    /// The node that holds the lease is frozen for a time, in the background.
    FreezeJudge(Duration),
    /// A line of the report on the service contains a text.
    Reports {
        /// The text.
        text: String,
        /// Nodes, asked in turn until one renders the report.
        through: Vec<String>,
        /// Bound of the wait.
        within: Duration,
    },
    /// The lease is held by a node.
    HasJudge {
        /// Bound of the wait.
        within: Duration,
    },
    /// A version ran at most this number of requests since the start.
    RunsAtMost {
        /// Bound.
        count: usize,
        /// The version.
        version: String,
    },
    /// From now on, a version runs at most this share of the requests.
    ShareAtMost {
        /// Bound, in permille.
        permille: usize,
        /// The version.
        version: String,
        /// Length of the observation.
        time: Duration,
    },
    /// From now on, a version runs at least this share of the requests.
    ShareAtLeast {
        /// Bound, in permille.
        permille: usize,
        /// The version.
        version: String,
        /// Length of the observation.
        time: Duration,
    },
}

/// `step` parses a step behind the verb `move`.
///
/// # Errors
/// What was expected, as a parser's error.
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

/// `run` carries out a step.
///
/// # Errors
/// [`Error::Unmet`] and [`Error::NotReached`] for what does not hold.
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

/// Returns the share of a version in permille, and the figures. Runs before the observation and
/// an observation without any run do not count.
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
