//! Record of what targets ran and what callers were told, and of the violations found in it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::target::Run;

/// Runs of the canary version that are allowed beyond its share.
const CANARY_ALLOWANCE: usize = 50;
/// Share of the canary version: one run in this many.
const CANARY_SHARE_DIVISOR: usize = 10;

/// Observations and violations of one run of the soak.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Request id, whether the request may run at most once, and number of runs; sorted by id.
    runs: Vec<(String, bool, u32)>,
    /// Ids of requests whose callers were told that the request has not run.
    not_run: Vec<String>,
    /// Target, and from when on it must not get requests any more; sorted by target.
    deregistered: Vec<(String, Instant)>,
    /// Runs of all services, and of the bad version, since the start of the rollout.
    rollout_runs: (usize, usize),
    bad_version: Option<String>,
    served: u32,
    ended: u32,
    violations: Vec<String>,
    /// All runs with the time of their begin, if they are kept.
    kept_runs: Option<Vec<(Instant, Run)>>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets the targets that were deregistered after a moment.
    pub fn forget_deregistrations_since(&self, moment: Instant) {
        self.lock().deregistered.retain(|(_, at)| *at < moment);
    }

    /// Records that a target has begun to run a request.
    pub fn record_run(&self, run: &Run) {
        let mut state = self.lock();
        if let Some(kept) = &mut state.kept_runs {
            kept.push((Instant::now(), run.clone()));
        }
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
                    "LEAVING: {} ran {} {} ms after its deregistration had to be in force",
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
                let entry = (run.request_id.clone(), run.is_non_idempotent, 1);
                state.runs.insert(index, entry);
            }
        }
    }

    /// Keeps all runs from now on.
    pub fn keep_runs(&self) {
        self.lock().kept_runs = Some(Vec::new());
    }

    /// Returns the runs that were kept, in the order of their begin, and keeps no more.
    #[must_use]
    pub fn take_kept_runs(&self) -> Vec<(Instant, Run)> {
        self.lock().kept_runs.take().unwrap_or_default()
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

    /// Records that a caller was told that its request has not run.
    pub fn record_not_run(&self, id: &str) {
        self.lock().not_run.push(id.to_owned());
    }

    /// Counts an ended request and whether it was served.
    pub fn record_end(&self, is_served: bool) {
        let mut state = self.lock();
        state.ended += 1;
        state.served += u32::from(is_served);
    }

    /// Returns the numbers of requests that ended and that were served since the last call.
    pub fn take_counts(&self) -> (u32, u32) {
        let mut state = self.lock();
        (
            std::mem::take(&mut state.ended),
            std::mem::take(&mut state.served),
        )
    }

    /// Records an acknowledged deregistration; a run of the target after `from` is a violation.
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

    /// Records the start of a rollout to a bad version and counts its runs from now on.
    pub fn record_rollout(&self, version: &str) {
        let mut state = self.lock();
        state.bad_version = Some(version.to_owned());
        state.rollout_runs = (0, 0);
    }

    /// Returns the number of runs of the bad version since the start of its rollout.
    #[must_use]
    pub fn bad_version_runs(&self) -> usize {
        self.lock().rollout_runs.1
    }

    /// Adds a violation.
    pub fn report(&self, text: String) {
        self.lock().violations.push(text);
    }

    /// Makes the checks that need the whole run and returns all violations.
    #[must_use]
    pub fn finish(&self) -> Vec<String> {
        let state = self.lock();
        let mut violations = state.violations.clone();
        for (id, is_non_idempotent, runs) in &state.runs {
            if *is_non_idempotent && *runs > 1 {
                violations.push(format!("ONCE: {id} ran {runs} times"));
            }
        }
        for id in &state.not_run {
            let found = state.runs.binary_search_by(|(stored, ..)| stored.cmp(id));
            // This holds for idempotent requests too: "not run" means that no target has run it.
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
