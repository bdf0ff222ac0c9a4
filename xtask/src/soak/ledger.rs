//! What targets ran and what callers were told; broken promises are collected here.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::target::Run;

/// Runs of a version under trial beyond its share.
const CANARY_ALLOWANCE: usize = 50;
/// Share of a version under trial, as one in so many.
const CANARY_SHARE_DIVISOR: usize = 10;

/// `Ledger` collects what is seen during one run of the soak.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by request: id, whether it may run once at most, and its number of runs.
    runs: Vec<(String, bool, u32)>,
    /// Ids of requests whose callers were told that they have not run.
    not_run: Vec<String>,
    /// Sorted by target: when it must not get requests any more.
    deregistered: Vec<(String, Instant)>,
    /// Since the order for a roll-out: runs of the service, and of its bad version.
    rollout_runs: (usize, usize),
    bad_version: Option<String>,
    served: u32,
    ended: u32,
    violations: Vec<String>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a target began to run a request.
    pub fn record_run(&self, run: &Run) {
        let mut state = self.lock();
        if let Some(bad) = &state.bad_version {
            let is_bad = *bad == run.version;
            state.rollout_runs.0 += 1;
            state.rollout_runs.1 += usize::from(is_bad);
        }
        if let Ok(index) = state
            .deregistered
            .binary_search_by(|(instance, _)| instance.as_str().cmp(&run.instance))
        {
            let late = Instant::now().saturating_duration_since(state.deregistered[index].1);
            if late > Duration::ZERO {
                let text = format!(
                    "LEAVING: {} ran {} {} ms after its leave was to be in force",
                    run.instance,
                    run.request_id,
                    late.as_millis()
                );
                state.violations.push(text);
            }
        }
        let found = state
            .runs
            .binary_search_by(|(id, ..)| id.as_str().cmp(&run.request_id));
        match found {
            Ok(index) => state.runs[index].2 += 1,
            Err(index) => {
                let entry = (run.request_id.clone(), run.is_at_most_once, 1);
                state.runs.insert(index, entry);
            }
        }
    }

    /// Returns how often a request has run.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> u32 {
        let state = self.lock();
        let found = state
            .runs
            .binary_search_by(|(stored, ..)| stored.as_str().cmp(id));
        found.map_or(0, |index| state.runs[index].2)
    }

    /// Takes in that a caller was told that its request has not run.
    pub fn record_not_run(&self, id: &str) {
        self.lock().not_run.push(id.to_owned());
    }

    /// Counts a request and whether it was served.
    pub fn record_end(&self, is_served: bool) {
        let mut state = self.lock();
        state.ended += 1;
        state.served += u32::from(is_served);
    }

    /// Returns the requests that ended and were served since the last call.
    pub fn take_counts(&self) -> (u32, u32) {
        let mut state = self.lock();
        (
            std::mem::take(&mut state.ended),
            std::mem::take(&mut state.served),
        )
    }

    /// Forbids runs of a target from a time on.
    pub fn record_deregistration(&self, instance: &str, from: Instant) {
        let mut state = self.lock();
        let found = state
            .deregistered
            .binary_search_by(|(stored, _)| stored.as_str().cmp(instance));
        if let Err(index) = found {
            state
                .deregistered
                .insert(index, (instance.to_owned(), from));
        }
    }

    /// Counts the runs of a service and of its bad version from now on.
    pub fn record_rollout(&self, version: &str) {
        let mut state = self.lock();
        state.bad_version = Some(version.to_owned());
        state.rollout_runs = (0, 0);
    }

    /// `bad_version_runs` is how often the bad version ran since its order.
    #[must_use]
    pub fn bad_version_runs(&self) -> usize {
        self.lock().rollout_runs.1
    }

    /// Adds a broken promise.
    pub fn report(&self, text: String) {
        self.lock().violations.push(text);
    }

    /// Makes the checks that need the whole run and returns all broken promises.
    #[must_use]
    pub fn finish(&self) -> Vec<String> {
        let state = self.lock();
        let mut violations = state.violations.clone();
        for (id, is_at_most_once, runs) in &state.runs {
            if *is_at_most_once && *runs > 1 {
                violations.push(format!("ONCE: {id} ran {runs} times"));
            }
        }
        for id in &state.not_run {
            let found = state.runs.binary_search_by(|(stored, ..)| stored.cmp(id));
            // An idempotent request promises the same: a refusal means that it has not run.
            if found.is_ok() {
                violations.push(format!(
                    "NOT RUN: {id} ran although its caller was told otherwise"
                ));
            }
        }
        let (all, bad) = state.rollout_runs;
        if bad > all / CANARY_SHARE_DIVISOR + CANARY_ALLOWANCE {
            violations.push(format!(
                "EXPOSURE: the bad version ran {bad} of {all} requests"
            ));
        }
        violations
    }
}
