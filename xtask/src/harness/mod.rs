//! Harness that runs store, nodes, targets and callers as real processes on loopback.
//!
//! Dropping a [`Cluster`] kills every process that it started and removes its directory.

use std::ffi::OsStr;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::audit;
use crate::caller::CallerOptions;
use crate::caller::CallerReport;
use crate::errors::Error;
use crate::errors::Result;
use crate::http;
use crate::store::fault::FaultChange as StoreFault;
use crate::store::state::Counters;
use crate::target::fault::FaultChange as TargetFault;
use crate::target::state::Run;
use crate::target::state::Summary;

pub mod calls;
pub mod node;
pub mod ports;
pub mod process;
pub mod programs;
pub mod target;
pub mod wait;

use node::NodeSpec;
use process::Process;
use process::Signal;
use programs::Programs;
use target::TargetSpec;

const START_BOUND: Duration = Duration::from_secs(15);
const STOP_BOUND: Duration = Duration::from_secs(40);
const STORE: &str = "store";

static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// Rate limits of the store stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Writes per second.
    pub writes_per_s: u32,
    /// Reads per second.
    pub reads_per_s: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            writes_per_s: 300,
            reads_per_s: 2_000,
        }
    }
}

/// Result of an operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandResult {
    /// Whether the command reported acceptance.
    pub accepted: bool,
    /// Standard output and standard error of the command.
    pub output: String,
}

/// Set of running processes.
#[derive(Debug)]
pub struct Cluster {
    programs: Programs,
    directory: PathBuf,
    extra_settings: String,
    store: Option<SocketAddr>,
    nodes: Vec<NodeSpec>,
    targets: Vec<TargetSpec>,
    processes: Vec<Process>,
}

impl Cluster {
    /// Creates an empty cluster with a directory of its own; `extra_settings` is appended
    /// to the settings file of every node.
    ///
    /// # Errors
    /// [`Error::Resource`] when the directory cannot be made.
    pub fn new(programs: Programs, extra_settings: &str) -> Result<Self> {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("hemlockfall-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)
            .map_err(|error| Error::resource(directory.display().to_string(), error))?;
        Ok(Self {
            programs,
            directory,
            extra_settings: extra_settings.to_owned(),
            store: None,
            nodes: Vec::new(),
            targets: Vec::new(),
            processes: Vec::new(),
        })
    }

    /// Adds a line to a section of the settings of nodes that start later.
    pub fn add_setting(&mut self, section: &str, line: &str) {
        let header = format!("[{section}]\n");
        if !self.extra_settings.contains(&header) {
            self.extra_settings.push_str(&header);
        }
        let with_line = format!("{header}{line}\n");
        self.extra_settings = self.extra_settings.replacen(&header, &with_line, 1);
    }

    /// Returns the directory of settings, logs and run records.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Returns all nodes, running or not, in the order of their start.
    #[must_use]
    pub fn nodes(&self) -> &[NodeSpec] {
        &self.nodes
    }

    /// Returns all targets, running or not, in the order of their start.
    #[must_use]
    pub fn targets(&self) -> &[TargetSpec] {
        &self.targets
    }

    /// Finds a node by name.
    ///
    /// # Errors
    /// [`Error::Process`] when there is none.
    pub fn node(&self, name: &str) -> Result<&NodeSpec> {
        self.nodes
            .iter()
            .find(|node| node.name == name)
            .ok_or_else(|| Error::process(name, "no such node"))
    }

    /// Starts the store stand-in.
    ///
    /// # Errors
    /// Errors of starting a process, and [`Error::NotReached`] when it does not answer.
    pub fn start_store(&mut self, limits: StoreLimits) -> Result<SocketAddr> {
        let address = ports::free_address()?;
        let arguments = [
            "store".to_owned(),
            format!("--listen={address}"),
            format!("--writes-per-s={}", limits.writes_per_s),
            format!("--reads-per-s={}", limits.reads_per_s),
        ];
        let program = self.programs.xtask.clone();
        self.start(STORE, &program, arguments.map(OsString::from).to_vec())?;
        self.store = Some(address);
        wait::until("store answers", START_BOUND, || {
            self.counters().map_err(|error| error.to_string())
        })?;
        Ok(address)
    }

    /// Writes the settings of a node, starts it and waits until it answers.
    ///
    /// # Errors
    /// Errors of starting a process, and [`Error::NotReached`] when it does not answer.
    pub fn start_node(&mut self, name: &str, region: &str, data_centre: &str) -> Result<()> {
        let store = self.store_address()?;
        let node = NodeSpec::new(name, region, data_centre)?;
        let settings = self.directory.join(format!("{name}.toml"));
        // The store is in the region of the first node.
        let store_region = self
            .nodes
            .first()
            .map_or(region, |first| first.region.as_str());
        std::fs::write(
            &settings,
            node.settings(store, store_region, &self.extra_settings),
        )
        .map_err(|error| Error::resource(settings.display().to_string(), error))?;
        let program = self.programs.hemlockfall.clone();
        let arguments = vec!["node".into(), "--settings".into(), settings.into()];
        self.start(name, &program, arguments)?;
        self.nodes.push(node);
        self.wait_node(name)
    }

    /// Waits until a node answers on its local address.
    ///
    /// # Errors
    /// [`Error::Process`] when it ended, [`Error::NotReached`] when it does not answer.
    pub fn wait_node(&mut self, name: &str) -> Result<()> {
        let node = self.node(name)?.clone();
        let process = self.process(name)?;
        let ended = wait::until(&format!("node {name} answers"), START_BOUND, || {
            if let Some(status) = process.exited() {
                return Ok(Some(status));
            }
            if node.answers() {
                return Ok(None);
            }
            Err(process.log_tail(3))
        })?;
        match ended {
            Some(status) => {
                let log = self.process(name)?.log_tail(5);
                Err(Error::process(name, format!("ended with {status}: {log}")))
            }
            None => Ok(()),
        }
    }

    /// Starts a target stand-in and waits until its node accepted it.
    ///
    /// # Errors
    /// Errors of starting a process, and [`Error::NotReached`] when it is not accepted.
    pub fn start_target(&mut self, mut spec: TargetSpec) -> Result<()> {
        spec.address = Some(ports::free_address()?);
        let local = spec
            .node
            .as_deref()
            .map(|node| self.node(node).map(|node| node.local_address))
            .transpose()?;
        let arguments = spec.arguments(local, &self.directory);
        let program = self.programs.xtask.clone();
        let name = spec.name.clone();
        self.start(&name, &program, arguments)?;
        self.targets.push(spec);
        self.wait_target(&name)
    }

    /// Waits until a target answers and, if it has a node, was accepted by it.
    ///
    /// # Errors
    /// [`Error::NotReached`] when it is not accepted.
    pub fn wait_target(&self, name: &str) -> Result<()> {
        let spec = self.target(name)?;
        wait::until(&format!("target {name} accepted"), START_BOUND, || {
            let summary = self.target_state(name).map_err(|error| error.to_string())?;
            let ready = summary.accepted || spec.node.is_none();
            ready.then_some(()).ok_or_else(|| format!("{summary:?}"))
        })
    }

    /// Finds a target by name.
    ///
    /// # Errors
    /// [`Error::Process`] when there is none.
    pub fn target(&self, name: &str) -> Result<&TargetSpec> {
        self.targets
            .iter()
            .find(|target| target.name == name)
            .ok_or_else(|| Error::process(name, "no such target"))
    }

    /// Reads the state of a target.
    ///
    /// # Errors
    /// [`Error::Http`] when it does not answer.
    pub fn target_state(&self, name: &str) -> Result<Summary> {
        http::get_json(self.target_address(name)?, "/control/state")
    }

    /// Sets the fault of a target.
    ///
    /// # Errors
    /// [`Error::Http`] when it does not answer.
    pub fn target_fault(&self, name: &str, fault: &TargetFault) -> Result<()> {
        http::post_json(self.target_address(name)?, "/control/fault", fault).map(|_| ())
    }

    /// Makes a target deregister at its node and go on running.
    ///
    /// # Errors
    /// [`Error::Http`] when it does not answer.
    pub fn deregister_target(&self, name: &str) -> Result<()> {
        let empty = serde_json::json!({});
        http::post_json(self.target_address(name)?, "/control/leave", &empty).map(|_| ())
    }

    /// Returns whether the log of a process contains a text.
    ///
    /// # Errors
    /// [`Error::Process`] when there is no such process.
    pub fn log_contains(&mut self, name: &str, text: &str) -> Result<bool> {
        let log = self.process(name)?.log_tail(usize::MAX);
        Ok(log.contains(text))
    }

    /// Counts the target processes that have ended.
    ///
    /// # Errors
    /// [`Error::Process`] when there is no such process.
    pub fn exited_targets(&mut self) -> Result<usize> {
        let names: Vec<String> = self
            .targets
            .iter()
            .map(|target| target.name.clone())
            .collect();
        let mut ended = 0;
        for name in names {
            ended += usize::from(!self.is_running(&name)?);
        }
        Ok(ended)
    }

    /// Changes the faults of the store.
    ///
    /// # Errors
    /// [`Error::Http`] when it does not answer.
    pub fn store_fault(&self, fault: &StoreFault) -> Result<()> {
        http::post_json(self.store_address()?, "/control/fault", fault).map(|_| ())
    }

    /// Reads the counters of the store.
    ///
    /// # Errors
    /// [`Error::Http`] when it does not answer.
    pub fn counters(&self) -> Result<Counters> {
        http::get_json(self.store_address()?, "/control/counters")
    }

    /// Reads the JSON value of an object in the store.
    ///
    /// # Errors
    /// [`Error::Http`] when the store does not answer with such a value.
    pub fn store_value<T: DeserializeOwned>(&self, key: &str) -> Result<T> {
        http::get_json(self.store_address()?, &format!("/v1/objects/{key}"))
    }

    /// Starts a caller stand-in; [`Cluster::finish_caller`] returns its report.
    ///
    /// # Errors
    /// [`Error::Process`] when it cannot be started.
    pub fn start_caller(&mut self, name: &str, options: &CallerOptions) -> Result<()> {
        let program = self.programs.xtask.clone();
        self.start(name, &program, calls::arguments(options))
    }

    /// Waits for a caller and returns its report.
    ///
    /// # Errors
    /// [`Error::NotReached`] when it still runs, [`Error::Process`] when it failed.
    pub fn finish_caller(&mut self, name: &str, bound: Duration) -> Result<CallerReport> {
        let process = self.process(name)?;
        let status = process.wait_exit(bound)?;
        if !status.success() {
            let log = process.log_tail(5);
            return Err(Error::process(name, format!("ended with {status}: {log}")));
        }
        crate::caller::parse_report(&process.output())
    }

    /// Runs `hemlockfall catalogue apply` against a node.
    ///
    /// # Errors
    /// [`Error::Process`] when the command cannot be started.
    pub fn apply_catalogue(&self, file: &Path, node: &str) -> Result<CommandResult> {
        self.command(&["catalogue", "apply"], node, &[file])
    }

    /// Runs an operator's command against a node.
    ///
    /// # Errors
    /// [`Error::Process`] when the command cannot be started.
    pub fn command<A: AsRef<OsStr>>(
        &self,
        command: &[&str],
        node: &str,
        arguments: &[A],
    ) -> Result<CommandResult> {
        let operator_address = self.node(node)?.operator_address.to_string();
        let output = Command::new(&self.programs.hemlockfall)
            .args(command)
            .args(["--node", operator_address.as_str()])
            .args(arguments)
            .output()
            .map_err(|error| Error::process(command.join(" "), error))?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok(CommandResult {
            accepted: output.status.success(),
            output: text,
        })
    }

    /// Sends a signal to a process by name.
    ///
    /// # Errors
    /// [`Error::Process`] when there is no such process.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        self.process(name)?.signal(signal)
    }

    /// Pauses a process and resumes it after `time`, in the background.
    ///
    /// # Errors
    /// [`Error::Process`] when there is no such process.
    pub fn freeze_for(&mut self, name: &str, time: Duration) -> Result<()> {
        self.process(name)?.freeze_for(time)
    }

    /// Kills a node and its targets at once.
    ///
    /// # Errors
    /// [`Error::Process`] when there is no such node.
    pub fn kill_vm(&mut self, node: &str) -> Result<()> {
        self.signal(node, Signal::Kill)?;
        let targets: Vec<String> = self
            .targets
            .iter()
            .filter(|target| target.node.as_deref() == Some(node))
            .map(|target| target.name.clone())
            .collect();
        targets
            .iter()
            .try_for_each(|target| self.signal(target, Signal::Kill))
    }

    /// Asks a process to shut down gracefully and waits for its end.
    ///
    /// # Errors
    /// [`Error::NotReached`] when it still runs after 40 s.
    pub fn stop(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::Term)?;
        self.process(name)?.wait_exit(STOP_BOUND).map(|_| ())
    }

    /// Starts a process again with the same arguments, without waiting for it.
    ///
    /// # Errors
    /// [`Error::Process`] when it cannot be started.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        self.process(name)?.restart()
    }

    /// Returns whether a process runs.
    ///
    /// # Errors
    /// [`Error::Process`] when there is no such process.
    pub fn is_running(&mut self, name: &str) -> Result<bool> {
        Ok(self.process(name)?.exited().is_none())
    }

    /// Reads the runs of all targets, including those that were killed.
    ///
    /// # Errors
    /// [`Error::Resource`] when a record is damaged.
    pub fn runs(&self) -> Result<Vec<Run>> {
        let mut runs = Vec::new();
        for target in &self.targets {
            runs.extend(audit::read_runs(&target.runs_file(&self.directory))?);
        }
        Ok(runs)
    }

    /// Returns the last log lines of every process, for failure messages.
    #[must_use]
    pub fn log_tails(&self, lines: usize) -> String {
        let tails = self.processes.iter().map(|process| {
            let tail = process.log_tail(lines);
            format!("--- {}\n{tail}\n", process.name())
        });
        tails.collect()
    }

    fn store_address(&self) -> Result<SocketAddr> {
        self.store
            .ok_or_else(|| Error::process(STORE, "it was not started"))
    }

    fn target_address(&self, name: &str) -> Result<SocketAddr> {
        self.target(name)?
            .address
            .ok_or_else(|| Error::process(name, "it has no address"))
    }

    fn start(&mut self, name: &str, program: &Path, arguments: Vec<OsString>) -> Result<()> {
        if self.processes.iter().any(|process| process.name() == name) {
            return Err(Error::process(name, "the name is in use"));
        }
        let process = Process::start(name, program, arguments, &self.directory)?;
        self.processes.push(process);
        Ok(())
    }

    fn process(&mut self, name: &str) -> Result<&mut Process> {
        self.processes
            .iter_mut()
            .find(|process| process.name() == name)
            .ok_or_else(|| Error::process(name, "no such process"))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
