//! Slots, runs and faults of the target stand-in.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::units::duration_ms;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;
use crate::target::TargetOptions;
use crate::target::fault::FaultChange;

/// Seed of the choice of failing requests; fixed, so that repeated runs choose alike.
const FAULT_SEED: u64 = 1;

/// Record of a request that got a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the target.
    pub target: String,
    /// Version of the target.
    pub version: String,
    /// Header `x-request-id`.
    pub request_id: String,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Header `hemlockfall-attempt`.
    pub attempt: Option<String>,
    /// Path.
    pub path: String,
    /// When the run began, in unix milliseconds.
    pub at_unix_ms: u64,
}

/// Answer of `/control/state`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Whether the node accepted the announcement.
    pub accepted: bool,
    /// Whether the target is draining.
    pub draining: bool,
    /// Requests that run now.
    pub running: usize,
    /// Runs begun since the start.
    pub runs: usize,
    /// Requests shed before they ran.
    pub shed: u64,
    /// Runs that ended early because of a cancellation.
    pub cancelled: u64,
}

/// Planned course of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// Time that the run takes.
    pub duration: Duration,
    /// Whether it ends with a failure.
    pub fails: bool,
    /// Whether the process exits halfway through the answer.
    pub crashes: bool,
}

/// Whether a request got a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs.
    Started {
        /// Number that identifies the run in this process.
        slot: u64,
        /// Planned course of the run.
        plan: RunPlan,
    },
    /// The request was shed before it ran.
    Shed,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run took its planned time.
    Finished,
    /// The run was cancelled.
    Cancelled,
    /// The deadline of the request passed.
    DeadlinePassed,
}

#[derive(Debug)]
struct Running {
    slot: u64,
    attempt: Option<String>,
    cancelled: bool,
    /// Whether the run has ended and only its answer is still to be sent.
    has_ended: bool,
}

#[derive(Debug)]
struct Inner {
    running: Vec<Running>,
    runs: Vec<Run>,
    runs_file: Option<File>,
    next_slot: u64,
    summary: Summary,
    fault: FaultChange,
    fault_since: Instant,
    random: StdRng,
}

/// Shared state of the stand-in.
#[derive(Debug)]
pub struct State {
    options: TargetOptions,
    started: Instant,
    deregistering: AtomicBool,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl State {
    /// Creates an idle target.
    ///
    /// # Errors
    /// [`Error::Resource`] when the file of runs cannot be opened.
    pub fn new(options: TargetOptions) -> Result<Self> {
        let runs_file = options
            .runs_file
            .as_ref()
            .map(|path| {
                OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(path)
                    .map_err(|error| Error::resource(path.display().to_string(), error))
            })
            .transpose()?;
        let now = Instant::now();
        Ok(Self {
            options,
            started: now,
            deregistering: AtomicBool::new(false),
            inner: Mutex::new(Inner {
                running: Vec::new(),
                runs: Vec::new(),
                runs_file,
                next_slot: 0,
                summary: Summary {
                    accepted: false,
                    draining: false,
                    running: 0,
                    runs: 0,
                    shed: 0,
                    cancelled: 0,
                },
                fault: FaultChange::default(),
                fault_since: now,
                random: StdRng::seed_from_u64(FAULT_SEED),
            }),
            changed: Condvar::new(),
        })
    }

    /// Returns the options of the target.
    #[must_use]
    pub fn options(&self) -> &TargetOptions {
        &self.options
    }

    /// Assigns a slot to a request, or sheds it. The run is recorded, also in the file of runs,
    /// before it starts, so that no run is missing when the target is killed.
    pub fn admit(&self, run: &Run) -> Admission {
        let mut inner = self.lock();
        let used = inner.running.iter().filter(|run| !run.has_ended).count();
        if inner.summary.draining || used >= usize::from(self.options.slots) {
            inner.summary.shed += 1;
            return Admission::Shed;
        }
        if !append(inner.runs_file.as_mut(), run) {
            inner.summary.shed += 1;
            return Admission::Shed;
        }
        inner.runs.push(run.clone());
        inner.next_slot += 1;
        let slot = inner.next_slot;
        inner.running.push(Running {
            slot,
            attempt: run.attempt.clone(),
            cancelled: false,
            has_ended: false,
        });
        let plan = self.plan(&mut inner, &run.path);
        Admission::Started { slot, plan }
    }

    /// Waits for the duration of a run, until it is cancelled, or until its deadline passes.
    pub fn wait(&self, slot: u64, duration: Duration, deadline: Option<Instant>) -> RunEnd {
        let finishes_at = Instant::now() + duration;
        let ends_at = deadline.map_or(finishes_at, |deadline| deadline.min(finishes_at));
        let mut inner = self.lock();
        loop {
            let cancelled = inner
                .running
                .iter()
                .any(|running| running.slot == slot && running.cancelled);
            if cancelled {
                inner.summary.cancelled += 1;
                return RunEnd::Cancelled;
            }
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if ends_at < finishes_at {
            RunEnd::DeadlinePassed
        } else {
            RunEnd::Finished
        }
    }

    /// Frees the slot of a run before its answer is sent, since the node may send the next request
    /// as soon as it has read the answer.
    pub fn free(&self, slot: u64) {
        let mut inner = self.lock();
        for running in &mut inner.running {
            running.has_ended |= running.slot == slot;
        }
    }

    /// Removes a run after its answer was sent.
    pub fn finish(&self, slot: u64) {
        let mut inner = self.lock();
        inner.running.retain(|running| running.slot != slot);
        self.changed.notify_all();
    }

    /// Marks an attempt as cancelled and returns whether it was running.
    pub fn cancel(&self, attempt: &str) -> bool {
        let mut inner = self.lock();
        let found = inner
            .running
            .iter_mut()
            .find(|running| running.attempt.as_deref() == Some(attempt));
        let Some(running) = found else {
            return false;
        };
        running.cancelled = true;
        self.changed.notify_all();
        true
    }

    /// Replaces the fault in force.
    pub fn replace_fault(&self, change: FaultChange) {
        let mut inner = self.lock();
        inner.fault = change;
        inner.fault_since = Instant::now();
    }

    /// Records whether the node accepted the announcement.
    pub fn set_accepted(&self, accepted: bool) {
        self.lock().summary.accepted = accepted;
    }

    /// Records that the target deregisters and must send nothing more to its node.
    pub fn set_deregistering(&self) {
        self.deregistering.store(true, Ordering::Relaxed);
    }

    /// Returns whether the target has begun its deregistration.
    #[must_use]
    pub fn is_deregistering(&self) -> bool {
        self.deregistering.load(Ordering::Relaxed)
    }

    /// Stops accepting requests and waits, at most for `bound`, for those that run.
    pub fn drain(&self, bound: Duration) {
        let ends_at = Instant::now() + bound;
        let mut inner = self.lock();
        inner.summary.draining = true;
        while !inner.running.is_empty() {
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.changed.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the record of every run.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns a summary of the state.
    pub fn summary(&self) -> Summary {
        let inner = self.lock();
        Summary {
            running: inner.running.len(),
            runs: inner.runs.len(),
            ..inner.summary
        }
    }

    fn plan(&self, inner: &mut Inner, path: &str) -> RunPlan {
        let age_ms = duration_ms(inner.fault_since.elapsed());
        let is_faulty = inner.fault.applies(path, inner.running.len(), age_ms);
        let cold = duration_ms(self.started.elapsed()) < self.options.cold_ms;
        let factor = if cold { self.options.cold_factor } else { 1 };
        let slow_ms = if is_faulty { inner.fault.slow_ms } else { 0 };
        let draw: u16 = inner.random.random_range(0..1000);
        RunPlan {
            duration: Duration::from_millis(self.options.service_time_ms * factor + slow_ms),
            fails: is_faulty && draw < inner.fault.fail_permille,
            crashes: is_faulty && inner.fault.dies_in_answer,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn append(file: Option<&mut File>, run: &Run) -> bool {
    let Some(file) = file else {
        return true;
    };
    let Ok(mut line) = serde_json::to_vec(run) else {
        return false;
    };
    line.push(b'\n');
    file.write_all(&line).is_ok()
}
