//! Evaluation of expectations.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::units::duration_ms;

use crate::audit::Audit;
use crate::errors::Error;
use crate::errors::Result;
use crate::harness::node::NodeSpec;
use crate::harness::wait;
use crate::scenario::model::Counted;
use crate::scenario::model::Expectation;
use crate::scenario::model::MetricBound;
use crate::scenario::model::Scope;
use crate::scenario::runner::Runner;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Runner<'_> {
    pub(super) fn expect(&mut self, expectation: &Expectation) -> Result<()> {
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
            Expectation::AtLeastCode(count, code) => self.expect_code(*count, code),
            Expectation::Metric { name, scope, bound } => self.expect_metric(name, scope, *bound),
            Expectation::Log { text, node, within } => self.expect_log(text, node, *within),
            Expectation::NoLog { text, node } => {
                if self.cluster.log_contains(node, text)? {
                    return Err(Error::unmet(format!("`{text}` in the log of {node}")));
                }
                Ok(())
            }
            Expectation::Running(scope) => self.expect_running(scope),
            Expectation::NoRunsAfterLeave { target, after } => self.expect_no_runs(target, *after),
            Expectation::NeverBelow {
                revision,
                node,
                time,
            } => self.expect_never_below(*revision, node, *time),
            Expectation::AtLeastAnswered(count) => {
                let audit = self.audit()?;
                if audit.answered_whole >= *count {
                    return Ok(());
                }
                Err(Error::unmet(format!(
                    "{count} answered, measured {audit:?}; {}",
                    self.describe_sends()
                )))
            }
            Expectation::AtMost(count, counted) => {
                let audit = self.audit()?;
                match counted {
                    Counted::Unknown => at_most("unknown", audit.unknown, *count, &audit),
                    Counted::NotRun => at_most("not-run", audit.not_run, *count, &audit),
                    Counted::EndedTargets => {
                        let ended = self.cluster.exited_targets()?;
                        at_most("ended targets", ended, *count, &audit)
                    }
                    Counted::StoreWrites => {
                        let writes = self.cluster.counters()?.writes;
                        let writes = usize::try_from(writes).unwrap_or(usize::MAX);
                        at_most("store writes", writes, *count, &audit)
                    }
                }
            }
        }
    }

    /// Describes the number of sends per outcome and code, for failure messages.
    fn describe_sends(&self) -> String {
        let sends = self.reports.iter().flat_map(|report| &report.sends);
        let mut outcomes: Vec<String> = sends
            .map(|send| {
                let code = send.code.as_deref().unwrap_or("without code");
                format!("{:?} {} {code}", send.outcome, send.status)
            })
            .collect();
        outcomes.sort_unstable();
        let counted = outcomes
            .chunk_by(|a, b| a == b)
            .map(|same| format!("{} sends {}", same.len(), same[0]));
        counted.collect::<Vec<_>>().join(", ")
    }

    fn audit(&self) -> Result<Audit> {
        if !self.running_callers.is_empty() {
            return Err(Error::unmet(
                "callers still run: add `wait for sends` before this expectation",
            ));
        }
        Ok(Audit::of(&self.reports, &self.cluster.runs()?))
    }

    fn expect_revision(&mut self, revision: u64, scope: &Scope, within: Duration) -> Result<()> {
        let nodes = self.nodes_of(scope)?;
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

    /// Returns the running nodes, or the named node.
    fn nodes_of(&mut self, scope: &Scope) -> Result<Vec<NodeSpec>> {
        if let Scope::Node(name) = scope {
            return Ok(vec![self.cluster.node(name)?.clone()]);
        }
        let mut nodes = self.cluster.nodes().to_vec();
        let mut running = Vec::new();
        for node in nodes.drain(..) {
            if self.cluster.is_running(&node.name)? {
                running.push(node);
            }
        }
        Ok(running)
    }

    fn expect_code(&self, count: usize, code: &str) -> Result<()> {
        let sends = self.reports.iter().flat_map(|report| &report.sends);
        let measured = sends
            .filter(|send| send.code.as_deref() == Some(code))
            .count();
        if measured >= count {
            return Ok(());
        }
        Err(Error::unmet(format!(
            "at least {count} answers with {code}, measured {measured}; {}",
            self.describe_sends()
        )))
    }

    fn expect_metric(&mut self, name: &str, scope: &Scope, bound: MetricBound) -> Result<()> {
        let nodes = self.nodes_of(scope)?;
        let read = |violates: &dyn Fn(f64) -> bool| {
            let outside: Vec<String> = nodes
                .iter()
                .map(|node| (node, node.metric_sum(name)))
                .filter(|(_, value)| value.is_none_or(violates))
                .map(|(node, value)| format!("{}: {value:?}", node.name))
                .collect();
            outside.is_empty().then_some(()).ok_or(outside.join(", "))
        };
        match bound {
            MetricBound::AtLeast(least, within) => wait::until(name, within, || {
                read(&|value| value < f64::from(u32::try_from(least).unwrap_or(u32::MAX)))
            }),
            MetricBound::AtMost(most) => {
                read(&|value| value > f64::from(u32::try_from(most).unwrap_or(u32::MAX)))
                    .map_err(|seen| Error::unmet(format!("{name} at most {most}, {seen}")))
            }
        }
    }

    fn expect_log(&mut self, text: &str, node: &str, within: Duration) -> Result<()> {
        wait::until(
            &format!("`{text}` in the log of {node}"),
            within,
            || match self.cluster.log_contains(node, text) {
                Ok(true) => Ok(()),
                Ok(false) => Err("text not found".to_owned()),
                Err(error) => Err(error.to_string()),
            },
        )
    }

    fn expect_running(&mut self, scope: &Scope) -> Result<()> {
        let names: Vec<String> = match scope {
            Scope::Node(name) => vec![name.clone()],
            Scope::All => {
                let nodes = self.cluster.nodes().iter();
                nodes.map(|node| node.name.clone()).collect()
            }
        };
        for name in names {
            if !self.cluster.is_running(&name)? || !self.cluster.node(&name)?.answers() {
                return Err(Error::unmet(format!(
                    "{name} is not running or does not answer"
                )));
            }
        }
        Ok(())
    }

    fn expect_no_runs(&self, target: &str, after: Duration) -> Result<()> {
        let deregistered = self.deregistered.iter().find(|(name, _)| name == target);
        let Some((_, deregistered_unix_ms)) = deregistered else {
            return Err(Error::unmet(format!(
                "no `leave {target}` step before this expectation"
            )));
        };
        let latest_unix_ms = deregistered_unix_ms + duration_ms(after);
        let late = self
            .cluster
            .runs()?
            .into_iter()
            .find(|run| run.target == target && run.at_unix_ms > latest_unix_ms);
        match late {
            None => Ok(()),
            Some(run) => Err(Error::unmet(format!(
                "run {} ms after the deregistration: {run:?}",
                run.at_unix_ms - deregistered_unix_ms
            ))),
        }
    }

    fn expect_never_below(&self, revision: u64, node: &str, time: Duration) -> Result<()> {
        let node = self.cluster.node(node)?;
        let end = Instant::now() + time;
        while Instant::now() < end {
            let served = node.served_revision();
            if served.is_some_and(|served| served < revision) {
                return Err(Error::unmet(format!("{} serves {served:?}", node.name)));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
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
