//! Child process that is killed when its owner is dropped.

use std::ffi::OsString;
use std::fs::File;
use std::fs::OpenOptions;
use std::os::unix::process::parent_id;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::errors::Error;
use crate::errors::Result;
use crate::harness::ports;
use crate::harness::wait;

const PARENT_POLL: Duration = Duration::from_millis(500);

/// Environment variable with the process id of the harness; stand-ins exit when that process has
/// ended without stopping them.
pub const PARENT_VARIABLE: &str = "XTASK_HARNESS_PID";

/// Signal that the harness sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Graceful shutdown.
    Term,
    /// Kill.
    Kill,
    /// Pause.
    Stop,
    /// End of a pause.
    Continue,
    /// Reload of the settings file.
    Reload,
}

impl Signal {
    fn argument(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Reload => "-HUP",
        }
    }
}

/// Child process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<OsString>,
    directory: PathBuf,
    child: Arc<Mutex<Child>>,
}

impl Process {
    /// Starts a program; its outputs go to `NAME.out` and `NAME.err` in `directory`.
    ///
    /// # Errors
    /// [`Error::Process`] when the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: Vec<OsString>,
        directory: &Path,
    ) -> Result<Self> {
        let child = spawn(name, program, &arguments, directory)?;
        Ok(Self {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments,
            directory: directory.to_owned(),
            child: Arc::new(Mutex::new(child)),
        })
    }

    /// Returns the name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        lock(&self.child).id()
    }

    /// Returns what the process has written to its standard output.
    #[must_use]
    pub fn output(&self) -> String {
        let path = self.directory.join(format!("{}.out", self.name));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the last lines of the standard error output.
    #[must_use]
    pub fn log_tail(&self, lines: usize) -> String {
        let path = self.directory.join(format!("{}.err", self.name));
        let bytes = std::fs::read(path).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }

    /// Returns whether the process runs, and the last lines of its outputs, for failure messages.
    #[must_use]
    pub fn state(&self, lines: usize) -> String {
        let state = self
            .exited()
            .map_or_else(|| "runs".to_owned(), |status| format!("ended, {status}"));
        let output = self.output();
        let all: Vec<&str> = output.lines().collect();
        let last = all[all.len().saturating_sub(lines)..].join("\n");
        let errors = self.log_tail(lines);
        format!("{} {state}\n{last}\n{errors}", self.name)
    }

    /// Returns the largest resident memory of the process so far, in KiB; `None` once it has ended.
    #[must_use]
    pub fn peak_memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().strip_suffix(" kB")?.parse().ok()
    }

    /// Returns the exit status once the process has ended.
    #[must_use]
    pub fn exited(&self) -> Option<ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Sends a signal by process id, unless the process has ended.
    ///
    /// # Errors
    /// [`Error::Process`] when the signal cannot be sent.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        send(&self.name, &mut lock(&self.child), signal)
    }

    /// Pauses the process and resumes it after `time`, in the background.
    ///
    /// # Errors
    /// [`Error::Process`] when the signal cannot be sent.
    pub fn freeze_for(&mut self, time: Duration) -> Result<()> {
        self.signal(Signal::Stop)?;
        let child = Arc::clone(&self.child);
        let name = self.name.clone();
        std::thread::spawn(move || {
            std::thread::sleep(time);
            let _ = send(&name, &mut lock(&child), Signal::Continue);
        });
        Ok(())
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    /// [`Error::NotReached`] when it still runs after the bound.
    pub fn wait_exit(&mut self, bound: Duration) -> Result<ExitStatus> {
        let what = format!("end of process {}", self.name);
        wait::until(&what, bound, || {
            self.exited().ok_or_else(|| "still running".to_owned())
        })
    }

    /// Starts the program again with the same arguments; a running one is killed.
    ///
    /// # Errors
    /// [`Error::Process`] when the program cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        self.kill();
        let child = spawn(&self.name, &self.program, &self.arguments, &self.directory)?;
        self.child = Arc::new(Mutex::new(child));
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes this process exit when the harness that started it has ended; without a harness it does
/// nothing.
pub fn exit_with_harness() {
    let Some(harness) = std::env::var(PARENT_VARIABLE)
        .ok()
        .and_then(|id| id.parse::<u32>().ok())
    else {
        return;
    };
    std::thread::spawn(move || {
        while parent_id() == harness {
            std::thread::sleep(PARENT_POLL);
        }
        std::process::exit(1);
    });
}

fn lock(child: &Mutex<Child>) -> MutexGuard<'_, Child> {
    child.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a signal unless the process has ended. The process id cannot have been reused: only a wait
/// on `child`, which needs the same lock, releases it.
fn send(name: &str, child: &mut Child, signal: Signal) -> Result<()> {
    if child.try_wait().ok().flatten().is_some() {
        return Ok(());
    }
    let mut command = Command::new("kill");
    command.arg(signal.argument()).arg(child.id().to_string());
    let status =
        ports::with_spawn_lock(|| command.status()).map_err(|error| Error::process(name, error))?;
    if status.success() {
        return Ok(());
    }
    Err(Error::process(
        name,
        format!("kill {}: {status}", signal.argument()),
    ))
}

fn spawn(name: &str, program: &Path, arguments: &[OsString], directory: &Path) -> Result<Child> {
    let mut command = Command::new(program);
    command
        .args(arguments)
        .env(PARENT_VARIABLE, std::process::id().to_string())
        .stdin(Stdio::null())
        .stdout(log_file(directory, name, "out")?)
        .stderr(log_file(directory, name, "err")?);
    ports::with_spawn_lock(|| command.spawn())
        .map_err(|error| Error::process(name, format!("{}: {error}", program.display())))
}

fn log_file(directory: &Path, name: &str, suffix: &str) -> Result<File> {
    let path = directory.join(format!("{name}.{suffix}"));
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(&path)
        .map_err(|error| Error::resource(path.display().to_string(), error))
}
