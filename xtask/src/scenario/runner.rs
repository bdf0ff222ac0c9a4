//! Runs a scenario against real processes.

use std::path::PathBuf;
use std::time::Duration;

use crate::audit::Audit;
use crate::caller;
use crate::caller::CallerReport;
use crate::caller::KeyMode;
use crate::caller::RequestKind;
use crate::errors::Error;
use crate::errors::Result;
use crate::harness::Applied;
use crate::harness::Cluster;
use crate::harness::calls;
use crate::harness::process::Signal;
use crate::harness::programs::Programs;
use crate::harness::wait;
use crate::scenario::model::Counted;
use crate::scenario::model::Edit;
use crate::scenario::model::Expectation;
use crate::scenario::model::Life;
use crate::scenario::model::NumberedStep;
use crate::scenario::model::Scenario;
use crate::scenario::model::Scope;
use crate::scenario::model::SendStep;
use crate::scenario::model::Step;
use crate::scenario::moves;

/// A caller that sends in the foreground may take this long.
const SEND_BOUND: Duration = Duration::from_mins(1);
const PROBE_TIMEOUT_MS: u64 = 1_000;
const LOG_LINES: usize = 5;

/// `run` runs a scenario; `progress` is told every step before it begins.
///
/// # Errors
/// The error of the step that failed, with file, line and the last log lines.
pub fn run(
    scenario: &Scenario,
    programs: &Programs,
    progress: impl Fn(&NumberedStep),
) -> Result<()> {
    let mut runner = Runner {
        cluster: Cluster::new(programs.clone(), "")?,
        scenario,
        reports: Vec::new(),
        sending: Vec::new(),
        callers: 0,
    };
    for numbered in &scenario.steps {
        progress(numbered);
        if let Err(error) = runner.step(&numbered.step) {
            return Err(Error::unmet(format!(
                "{}:{}: {}: {error}\n{}",
                scenario.file.display(),
                numbered.line,
                numbered.text,
                runner.cluster.log_tails(LOG_LINES),
            )));
        }
    }
    if runner.sending.is_empty() {
        return Ok(());
    }
    Err(Error::unmet(format!(
        "{}: the scenario ends without `wait for sends`",
        scenario.file.display()
    )))
}

struct Runner<'a> {
    cluster: Cluster,
    scenario: &'a Scenario,
    reports: Vec<CallerReport>,
    sending: Vec<String>,
    callers: usize,
}

impl Runner<'_> {
    fn step(&mut self, step: &Step) -> Result<()> {
        match step {
            Step::StartStore(limits) => self.cluster.start_store(*limits).map(|_| ()),
            Step::StartNode {
                name,
                region,
                data_centre,
            } => self.cluster.start_node(name, region, data_centre),
            Step::StartTarget(spec) => self.cluster.start_target(spec.clone()),
            Step::Apply { edit, refused } => self.apply(edit, *refused),
            Step::Race(first, second) => self.race(first, second),
            Step::Send(send) => self.send(send),
            Step::WaitRuns { count, within } => self.wait_runs(*count, *within),
            Step::WaitSends { within } => self.wait_sends(*within),
            Step::WaitAnswers {
                service,
                path,
                through,
                within,
            } => self.wait_answers(service, path, through, *within),
            Step::Life(life) => self.life(life),
            Step::Freeze { name, time } => self.cluster.freeze_for(name, *time),
            Step::Store(fault) => self.cluster.store_fault(fault),
            Step::Target { name, fault } => self.cluster.target_fault(name, fault),
            Step::Move(step) => moves::run(&mut self.cluster, step),
            Step::Expect(expectation) => self.expect(expectation),
        }
    }

    fn apply_edit(&self, edit: &Edit) -> Result<Applied> {
        let directory = self.scenario.file.parent().map(PathBuf::from);
        let file = directory.unwrap_or_default().join(&edit.file);
        let first = self.cluster.nodes().first().map(|node| node.name.as_str());
        let node = edit
            .through
            .as_deref()
            .or(first)
            .ok_or_else(|| Error::process("node", "none was started"))?;
        self.cluster.apply_catalogue(&file, node)
    }

    fn apply(&self, edit: &Edit, refused: bool) -> Result<()> {
        let applied = self.apply_edit(edit)?;
        if applied.accepted == refused {
            return Err(Error::unmet(format!(
                "accepted: {}, output: {}",
                applied.accepted, applied.output
            )));
        }
        Ok(())
    }

    fn race(&self, first: &Edit, second: &Edit) -> Result<()> {
        let (first, second) = std::thread::scope(|scope| {
            let other = scope.spawn(|| self.apply_edit(second));
            let first = self.apply_edit(first);
            let second = other
                .join()
                .unwrap_or_else(|_| Err(Error::process("catalogue apply", "it panicked")));
            (first, second)
        });
        let (first, second) = (first?, second?);
        if first.accepted == second.accepted {
            return Err(Error::unmet(format!(
                "exactly one of two edits accepted; first: {first:?}, second: {second:?}"
            )));
        }
        Ok(())
    }

    fn send(&mut self, send: &SendStep) -> Result<()> {
        let through = send
            .through
            .iter()
            .map(|name| self.cluster.node(name).map(|node| node.caller_address))
            .collect::<Result<Vec<_>>>()?;
        let kind = RequestKind {
            service: send.service.clone(),
            path: send.path.clone(),
            key: send.key,
        };
        self.callers += 1;
        let name = format!("caller-{}", self.callers);
        let mut options = calls::options(through, vec![kind], send.count);
        options.prefix.clone_from(&name);
        options.seed = self.scenario.seed.wrapping_add(self.callers as u64);
        let given = &send.options;
        options.rate_per_s = given.rate_per_s.unwrap_or(options.rate_per_s);
        options.concurrency = given.concurrency.unwrap_or(options.concurrency);
        options.resends = given.resends.unwrap_or(options.resends);
        if let Some(timeout) = given.timeout {
            options.timeout_ms = hemlockfall_core::units::duration_ms(timeout);
        }
        if let Some(body) = &given.body {
            options.body.clone_from(body);
        }
        self.cluster.start_caller(&name, &options)?;
        self.sending.push(name);
        if given.background {
            return Ok(());
        }
        self.wait_sends(SEND_BOUND)
    }

    fn wait_sends(&mut self, within: Duration) -> Result<()> {
        for name in std::mem::take(&mut self.sending) {
            let report = self.cluster.finish_caller(&name, within)?;
            self.reports.push(report);
        }
        Ok(())
    }

    fn wait_runs(&self, count: usize, within: Duration) -> Result<()> {
        wait::until(&format!("{count} runs"), within, || {
            let runs = self.cluster.runs().map_err(|error| error.to_string())?;
            (runs.len() >= count)
                .then_some(())
                .ok_or_else(|| format!("{} runs", runs.len()))
        })
    }

    fn wait_answers(&self, service: &str, path: &str, node: &str, within: Duration) -> Result<()> {
        let through = self.cluster.node(node)?.caller_address;
        let kind = RequestKind {
            service: service.to_owned(),
            path: path.to_owned(),
            key: KeyMode::None,
        };
        let mut options = calls::options(vec![through], vec![kind], 1);
        "probe".clone_into(&mut options.prefix);
        options.timeout_ms = PROBE_TIMEOUT_MS;
        wait::until(&format!("answers from {service}"), within, || {
            let report = caller::send_all(options.clone()).map_err(|error| error.to_string())?;
            let whole = report.sends.iter().any(|send| send.whole);
            whole.then_some(()).ok_or_else(|| format!("{report:?}"))
        })
    }

    fn life(&mut self, life: &Life) -> Result<()> {
        match life {
            Life::Kill(name) => self.cluster.signal(name, Signal::Kill),
            Life::KillVm(node) => self.cluster.kill_vm(node),
            Life::Stop(name) => self.cluster.stop(name),
            Life::Restart(name) => self.restart(std::slice::from_ref(name)),
            Life::RestartAllNodes => {
                let names: Vec<String> = self
                    .cluster
                    .nodes()
                    .iter()
                    .map(|node| node.name.clone())
                    .collect();
                self.restart(&names)
            }
        }
    }

    fn restart(&mut self, names: &[String]) -> Result<()> {
        for name in names {
            self.cluster.restart(name)?;
        }
        for name in names {
            if self.cluster.node(name).is_ok() {
                self.cluster.wait_node(name)?;
            } else if self.cluster.target(name).is_ok() {
                self.cluster.wait_target(name)?;
            }
        }
        Ok(())
    }

    fn expect(&mut self, expectation: &Expectation) -> Result<()> {
        match expectation {
            Expectation::Revision {
                revision,
                scope,
                within,
            } => self.expect_revision(*revision, scope, *within),
            Expectation::NoDoubleRuns => {
                let audit = self.audit()?;
                at_most("double runs", audit.double_runs, 0, &audit)
            }
            Expectation::NoWrongAnswers => {
                let audit = self.audit()?;
                at_most("wrong answers", audit.wrong_answers, 0, &audit)
            }
            Expectation::NoFalseNotRun => {
                let audit = self.audit()?;
                at_most("false not-run", audit.told_not_run_but_ran, 0, &audit)
            }
            Expectation::AtLeastAnswered(count) => {
                let audit = self.audit()?;
                if audit.answered_whole >= *count {
                    return Ok(());
                }
                Err(Error::unmet(format!(
                    "{count} answered, measured {audit:?}"
                )))
            }
            Expectation::AtMost(count, counted) => {
                let audit = self.audit()?;
                match counted {
                    Counted::Unknown => at_most("unknown", audit.unknown, *count, &audit),
                    Counted::NotRun => at_most("not-run", audit.not_run, *count, &audit),
                    Counted::StoreWrites => {
                        let writes = self.cluster.counters()?.writes;
                        let writes = usize::try_from(writes).unwrap_or(usize::MAX);
                        at_most("store writes", writes, *count, &audit)
                    }
                }
            }
        }
    }

    fn audit(&self) -> Result<Audit> {
        if !self.sending.is_empty() {
            return Err(Error::unmet("`wait for sends` before this expectation"));
        }
        Ok(Audit::of(&self.reports, &self.cluster.runs()?))
    }

    fn expect_revision(&mut self, revision: u64, scope: &Scope, within: Duration) -> Result<()> {
        let names: Vec<String> = match scope {
            Scope::Node(name) => vec![name.clone()],
            Scope::All => self
                .cluster
                .nodes()
                .iter()
                .map(|node| node.name.clone())
                .collect(),
        };
        let mut nodes = Vec::new();
        for name in names {
            let running = self.cluster.is_running(&name)?;
            if running || *scope != Scope::All {
                nodes.push(self.cluster.node(&name)?.clone());
            }
        }
        wait::until(&format!("revision {revision}"), within, || {
            let behind: Vec<String> = nodes
                .iter()
                .map(|node| (node, node.revision()))
                .filter(|(_, held)| held.is_none_or(|held| held < revision))
                .map(|(node, held)| format!("{} holds {held:?}", node.name))
                .collect();
            behind.is_empty().then_some(()).ok_or(behind.join(", "))
        })
    }
}

fn at_most(what: &str, measured: usize, bound: usize, audit: &Audit) -> Result<()> {
    if measured <= bound {
        return Ok(());
    }
    Err(Error::unmet(format!(
        "at most {bound} {what}, measured {measured}: {audit:?}"
    )))
}
