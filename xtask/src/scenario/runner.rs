//! Runs a scenario against real processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use hemlockfall_core::units::unix_ms;

use crate::caller;
use crate::caller::CallerReport;
use crate::caller::KeyMode;
use crate::caller::RequestKind;
use crate::errors::Error;
use crate::errors::Result;
use crate::harness::Cluster;
use crate::harness::CommandResult;
use crate::harness::calls;
use crate::harness::process::Signal;
use crate::harness::programs::Programs;
use crate::harness::wait;
use crate::scenario::model::Edit;
use crate::scenario::model::EditOutcome;
use crate::scenario::model::Lifecycle;
use crate::scenario::model::NumberedStep;
use crate::scenario::model::Scenario;
use crate::scenario::model::SendStep;
use crate::scenario::model::Step;
use crate::scenario::moves;

mod expect;
mod malformed;

/// Longest time that a `send` step in the foreground may take.
const FOREGROUND_SEND_TIMEOUT: Duration = Duration::from_mins(1);
const PROBE_TIMEOUT_MS: u64 = 1_000;
const LOG_TAIL_LINES: usize = 5;
/// Number of probes of a `wait for keyed answers` step. Each key is held by three nodes, so an
/// answer for one key says little about the others.
const KEYED_PROBES: usize = 20;
/// Prefix of the request ids of probes, which are not counted as runs.
const PROBE_PREFIX: &str = "probe";

/// Runs a scenario; `progress` is called before each step.
///
/// # Errors
/// The error of the failed step, with file, line and the last log lines of the processes.
pub fn run(
    scenario: &Scenario,
    programs: &Programs,
    progress: impl Fn(&NumberedStep),
) -> Result<()> {
    let mut runner = Runner {
        cluster: Cluster::new(programs.clone(), "")?,
        scenario,
        reports: Vec::new(),
        running_callers: Vec::new(),
        caller_count: 0,
        deregistered: Vec::new(),
    };
    for numbered in &scenario.steps {
        progress(numbered);
        if let Err(error) = runner.step(&numbered.step) {
            return Err(Error::unmet(format!(
                "{}:{}: {}: {error}\n{}",
                scenario.file.display(),
                numbered.line,
                numbered.text,
                runner.cluster.log_tails(LOG_TAIL_LINES),
            )));
        }
    }
    if runner.running_callers.is_empty() {
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
    running_callers: Vec<String>,
    caller_count: usize,
    /// Targets of `leave` steps, with the time of the step in Unix milliseconds.
    deregistered: Vec<(String, u64)>,
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
            Step::Apply { edit, outcome } => self.apply(edit, outcome),
            Step::Setting { section, line } => {
                self.cluster.add_setting(section, line);
                Ok(())
            }
            Step::Pause(time) => {
                std::thread::sleep(*time);
                Ok(())
            }
            Step::Deregister(target) => self.deregister(target),
            Step::Bytes(bytes) => {
                malformed::send(self.cluster.node(&bytes.node)?, bytes, self.scenario.seed)
            }
            Step::Race(first, second) => self.race(first, second),
            Step::Send(send) => self.send(send),
            Step::WaitRuns { count, within } => self.wait_runs(*count, *within),
            Step::WaitSends { within } => self.wait_sends(*within),
            Step::WaitAnswers {
                keyed,
                service,
                path,
                through,
                within,
            } => self.wait_answers(*keyed, service, path, through, *within),
            Step::Lifecycle(lifecycle) => self.lifecycle(lifecycle),
            Step::Freeze { name, time } => self.cluster.freeze_for(name, *time),
            Step::Store(fault) => self.cluster.store_fault(fault),
            Step::Target { name, fault } => self.cluster.target_fault(name, fault),
            Step::Move(step) => moves::run(&mut self.cluster, step),
            Step::Expect(expectation) => self.expect(expectation),
        }
    }

    fn apply_edit(&self, edit: &Edit) -> Result<CommandResult> {
        let directory = self.scenario.file.parent().map(PathBuf::from);
        let file = directory.unwrap_or_default().join(&edit.file);
        let first = self.cluster.nodes().first().map(|node| node.name.as_str());
        let node = edit
            .through
            .as_deref()
            .or(first)
            .ok_or_else(|| Error::process("node", "no node was started"))?;
        self.cluster.apply_catalogue(&file, node)
    }

    fn apply(&self, edit: &Edit, outcome: &EditOutcome) -> Result<()> {
        let applied = self.apply_edit(edit)?;
        let as_expected = match outcome {
            EditOutcome::Accepted => applied.accepted,
            EditOutcome::Refused(None) => !applied.accepted,
            EditOutcome::Refused(Some(text)) => !applied.accepted && applied.output.contains(text),
            EditOutcome::Unknown => !applied.accepted && applied.output.contains("unknown"),
        };
        if as_expected {
            return Ok(());
        }
        Err(Error::unmet(format!(
            "unexpected outcome of the catalogue command: accepted {}, output: {}",
            applied.accepted, applied.output
        )))
    }

    fn deregister(&mut self, target: &str) -> Result<()> {
        let deregistered_unix_ms = unix_ms(SystemTime::now());
        self.cluster.deregister_target(target)?;
        self.deregistered
            .push((target.to_owned(), deregistered_unix_ms));
        Ok(())
    }

    fn race(&self, first: &Edit, second: &Edit) -> Result<()> {
        let (first, second) = std::thread::scope(|scope| {
            let other = scope.spawn(|| self.apply_edit(second));
            let first = self.apply_edit(first);
            let second = other
                .join()
                .unwrap_or_else(|_| Err(Error::process("catalogue apply", "the thread panicked")));
            (first, second)
        });
        let (first, second) = (first?, second?);
        if first.accepted == second.accepted {
            return Err(Error::unmet(format!(
                "exactly one of two edits must be accepted; first: {first:?}, second: {second:?}"
            )));
        }
        Ok(())
    }

    fn send(&mut self, send: &SendStep) -> Result<()> {
        let through = self.caller_addresses(&send.through)?;
        let kind = RequestKind {
            service: send.service.clone(),
            path: send.path.clone(),
            key: send.key,
        };
        self.caller_count += 1;
        let name = format!("caller-{}", self.caller_count);
        let mut options = calls::options(through, vec![kind], send.count);
        options.prefix.clone_from(&name);
        options.seed = self.scenario.seed.wrapping_add(self.caller_count as u64);
        let overrides = &send.options;
        options.rate_per_s = overrides.rate_per_s.unwrap_or(options.rate_per_s);
        options.concurrency = overrides.concurrency.unwrap_or(options.concurrency);
        options.resends = overrides.resends.unwrap_or(options.resends);
        if let Some(pause) = overrides.resend_pause {
            options.resend_pause_ms = hemlockfall_core::units::duration_ms(pause);
        }
        if let Some(timeout) = overrides.timeout {
            options.timeout_ms = hemlockfall_core::units::duration_ms(timeout);
        }
        if let Some(body) = &overrides.body {
            options.body.clone_from(body);
        }
        self.cluster.start_caller(&name, &options)?;
        self.running_callers.push(name);
        if overrides.background {
            return Ok(());
        }
        self.wait_sends(FOREGROUND_SEND_TIMEOUT)
    }

    fn wait_sends(&mut self, within: Duration) -> Result<()> {
        for name in std::mem::take(&mut self.running_callers) {
            let report = self.cluster.finish_caller(&name, within)?;
            self.reports.push(report);
        }
        Ok(())
    }

    fn wait_runs(&self, count: usize, within: Duration) -> Result<()> {
        wait::until(&format!("{count} runs"), within, || {
            let mut runs = self.cluster.runs().map_err(|error| error.to_string())?;
            runs.retain(|run| !run.request_id.starts_with(PROBE_PREFIX));
            (runs.len() >= count)
                .then_some(())
                .ok_or_else(|| format!("{} runs", runs.len()))
        })
    }

    fn wait_answers(
        &self,
        keyed: bool,
        service: &str,
        path: &str,
        nodes: &[String],
        within: Duration,
    ) -> Result<()> {
        let kind = RequestKind {
            service: service.to_owned(),
            path: path.to_owned(),
            key: if keyed {
                KeyMode::Unique
            } else {
                KeyMode::None
            },
        };
        let probes = if keyed { KEYED_PROBES } else { nodes.len() };
        let mut options = calls::options(self.caller_addresses(nodes)?, vec![kind], probes);
        PROBE_PREFIX.clone_into(&mut options.prefix);
        options.timeout_ms = PROBE_TIMEOUT_MS;
        wait::until(&format!("answers from {service}"), within, || {
            let report = caller::send_all(options.clone()).map_err(|error| error.to_string())?;
            let failed = report.sends.iter().find(|send| !send.whole);
            failed.map_or(Ok(()), |send| Err(format!("{send:?}")))
        })
    }

    fn caller_addresses(&self, nodes: &[String]) -> Result<Vec<SocketAddr>> {
        nodes
            .iter()
            .map(|name| self.cluster.node(name).map(|node| node.caller_address))
            .collect()
    }

    fn lifecycle(&mut self, lifecycle: &Lifecycle) -> Result<()> {
        match lifecycle {
            Lifecycle::Kill(name) => self.cluster.signal(name, Signal::Kill),
            Lifecycle::KillVm(node) => self.cluster.kill_vm(node),
            Lifecycle::Stop(name) => self.cluster.stop(name),
            Lifecycle::Restart(name) => self.restart(std::slice::from_ref(name)),
            Lifecycle::RestartAllNodes => {
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
}
