//! What targets ran and what callers were told; broken promises are collected here.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::target::Run;

/// Runs of a version under trial beyond its share.
const TRIAL_ALLOWANCE: usize = 50;
/// Share of a version under trial, as one in so many.
const TRIAL_SHARE: usize = 10;

/// `Ledger` collects what is seen during one run of the soak.
#[derive(Debug, Default)]
pub struct Ledger {
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    /// Sorted by request: id, whether it may run once at most, and its number of runs.
    runs: Vec<(String, bool, u32)>,
    /// Ids of requests whose callers were told that they have not run.
    not_run: Vec<String>,
    /// Sorted by target: when it must not get requests any more.
    closed: Vec<(String, Instant)>,
    /// Since the order for a roll-out: runs of the service, and of its bad version.
    trial_runs: (usize, usize),
    bad_version: Option<String>,
    served: u32,
    ended: u32,
    broken: Vec<String>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `run` takes in that a target began to run a request.
    pub fn run(&self, run: &Run) {
        let mut seen = self.lock();
        if let Some(bad) = &seen.bad_version {
            let is_bad = *bad == run.version;
            seen.trial_runs.0 += 1;
            seen.trial_runs.1 += usize::from(is_bad);
        }
        if let Ok(index) = seen
            .closed
            .binary_search_by(|(instance, _)| instance.as_str().cmp(&run.instance))
        {
            let late = Instant::now().saturating_duration_since(seen.closed[index].1);
            if late > Duration::ZERO {
                let text = format!(
                    "LEAVING: {} ran {} {} ms after its leave was to be in force",
                    run.instance,
                    run.request_id,
                    late.as_millis()
                );
                seen.broken.push(text);
            }
        }
        let found = seen
            .runs
            .binary_search_by(|(id, ..)| id.as_str().cmp(&run.request_id));
        match found {
            Ok(index) => seen.runs[index].2 += 1,
            Err(index) => {
                let entry = (run.request_id.clone(), run.is_at_most_once, 1);
                seen.runs.insert(index, entry);
            }
        }
    }

    /// `runs_of` returns how often a request has run.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> u32 {
        let seen = self.lock();
        let found = seen
            .runs
            .binary_search_by(|(known, ..)| known.as_str().cmp(id));
        found.map_or(0, |index| seen.runs[index].2)
    }

    /// `told_not_run` takes in that a caller was told that its request has not run.
    pub fn told_not_run(&self, id: &str) {
        self.lock().not_run.push(id.to_owned());
    }

    /// `ended` counts a request and whether it was served.
    pub fn ended(&self, is_served: bool) {
        let mut seen = self.lock();
        seen.ended += 1;
        seen.served += u32::from(is_served);
    }

    /// `take_counts` returns the requests that ended and were served since the last call.
    pub fn take_counts(&self) -> (u32, u32) {
        let mut seen = self.lock();
        (
            std::mem::take(&mut seen.ended),
            std::mem::take(&mut seen.served),
        )
    }

    /// `leave_acknowledged` forbids runs of a target from a time on.
    pub fn leave_acknowledged(&self, instance: &str, from: Instant) {
        let mut seen = self.lock();
        let found = seen
            .closed
            .binary_search_by(|(known, _)| known.as_str().cmp(instance));
        if let Err(index) = found {
            seen.closed.insert(index, (instance.to_owned(), from));
        }
    }

    /// `trial_ordered` counts the runs of a service and of its bad version from now on.
    pub fn trial_ordered(&self, version: &str) {
        let mut seen = self.lock();
        seen.bad_version = Some(version.to_owned());
        seen.trial_runs = (0, 0);
    }

    /// `bad_version_runs` is how often the bad version ran since its order.
    #[must_use]
    pub fn bad_version_runs(&self) -> usize {
        self.lock().trial_runs.1
    }

    /// `broken` adds a broken promise.
    pub fn broken(&self, text: String) {
        self.lock().broken.push(text);
    }

    /// `finish` makes the checks that need the whole run and returns all broken promises.
    #[must_use]
    pub fn finish(&self) -> Vec<String> {
        let seen = self.lock();
        let mut broken = seen.broken.clone();
        for (id, is_at_most_once, runs) in &seen.runs {
            if *is_at_most_once && *runs > 1 {
                broken.push(format!("ONCE: {id} ran {runs} times"));
            }
        }
        for id in &seen.not_run {
            let found = seen.runs.binary_search_by(|(known, ..)| known.cmp(id));
            // An idempotent request promises the same: a refusal means that it has not run.
            if found.is_ok() {
                broken.push(format!(
                    "NOT RUN: {id} ran although its caller was told otherwise"
                ));
            }
        }
        let (all, bad) = seen.trial_runs;
        if bad > all / TRIAL_SHARE + TRIAL_ALLOWANCE {
            broken.push(format!(
                "EXPOSURE: the bad version ran {bad} of {all} requests"
            ));
        }
        broken
    }
}
