//! Drill of client accounts, home regions, cold targets and evacuations, in runs whose seed asks for
//! it: a key is revoked, a target turns cold, and a data centre is evacuated and reopened.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::target::Run;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

use crate::soak::accounts::ACCOUNTS;
use crate::soak::accounts::Account;
use crate::soak::accounts::HAS_QUOTAS;
use crate::soak::accounts::HOME_BOUND;
use crate::soak::accounts::HOME_PREFIX;
use crate::soak::accounts::HOME_REGION;
use crate::soak::accounts::KeyUses;
use crate::soak::accounts::METERED;
use crate::soak::accounts::QUOTA_BURST;
use crate::soak::accounts::QUOTA_PER_S;
use crate::soak::testbed::Testbed;

/// Data centre that is evacuated. Its region is not the home region, so that nothing is refused for
/// want of a target there.
const EVACUATED: &str = "b";
/// Time after the store's answer from which on an evacuation binds connected nodes.
const EVACUATE: Duration = Duration::from_secs(5);
/// Time after which a configuration is in force at connected nodes.
const CONFIG_APPLY: Duration = Duration::from_secs(3);
/// Time within which a node that was cut off must know a revocation, after it is connected again.
const REVOKE: Duration = Duration::from_secs(5);
/// Time for which a target is cold, and the most requests that may reach it in a window: 13 per second
/// times 1.5, and 8 more.
const COLD_TIME: Duration = Duration::from_secs(4);
const COLD_WINDOW: Duration = Duration::from_secs(1);
const COLD_ALLOWED: usize = 27;
/// Window over which requests count for a quota.
const QUOTA_WINDOW_S: u32 = 5;
/// Time without faults during which an evacuation is observed before it ends, and the time before
/// its end at which the targets turn cold.
const CALM_TIME: Duration = Duration::from_secs(8);
const COLD_BEFORE_REOPENING: Duration = Duration::from_secs(1);
/// Fewest nodes of a run with this drill: each data centre has a target of each service.
const MIN_NODES: usize = 6;
/// Added to the seed for the choices of this drill. With it, the seeds that tests and pages name
/// (1, 7, 11, 12, 37214, 319957, 577608, 678564) stand for runs without the drill, as before.
const CHOICE_OFFSET: u64 = 45_000_000;

/// Returns whether a run has this drill, and the source of its random choices.
#[must_use]
pub fn random_of(seed: u64, nodes: usize) -> Option<SmallRng> {
    let mut random = SmallRng::seed_from_u64(seed + CHOICE_OFFSET);
    let is_chosen = random.random_bool(0.4);
    (is_chosen && nodes >= MIN_NODES).then_some(random)
}

/// Step of the drill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Evacuate,
    RevokeKey,
    TurnCold,
}

/// Target that is cold, from the acknowledged report until its end.
#[derive(Debug)]
struct ColdSpan {
    instance: String,
    from: Instant,
    until: Instant,
}

/// Drill of one run.
#[derive(Debug)]
pub struct LimitDrill {
    random: SmallRng,
    uses: Arc<KeyUses>,
    due: Vec<(Instant, Step)>,
    revoked: Option<Instant>,
    evacuated: Option<Instant>,
    reopened: Option<Instant>,
    /// Targets that turned cold and have not reported it yet, with the end of the cold time.
    turned_cold: Vec<(usize, String, Instant)>,
    cold: Vec<ColdSpan>,
}

impl LimitDrill {
    /// Starts the callers and plans the steps within `time`.
    pub fn begin(testbed: &mut Testbed, mut random: SmallRng, time: Duration) -> Self {
        let uses = testbed.start_account_callers();
        let now = Instant::now();
        let steps = [Step::Evacuate, Step::RevokeKey, Step::TurnCold];
        let due = steps
            .map(|step| (now + time.mul_f64(random.random_range(0.1..0.7)), step))
            .to_vec();
        Self {
            random,
            uses,
            due,
            revoked: None,
            evacuated: None,
            reopened: None,
            turned_cold: Vec::new(),
            cold: Vec::new(),
        }
    }

    /// Performs the steps that are due.
    pub fn step(&mut self, testbed: &mut Testbed) {
        let now = Instant::now();
        let due: Vec<Step> = self
            .due
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, step)| *step)
            .collect();
        self.due.retain(|(at, _)| *at > now);
        for step in due {
            match step {
                Step::Evacuate => {
                    testbed.store.put("evacuations", EVACUATED, json!({}));
                    self.evacuated = Some(Instant::now());
                }
                Step::RevokeKey => {
                    testbed.is_key_revoked = true;
                    testbed.write_config();
                    self.revoked = Some(testbed.config.1);
                }
                Step::TurnCold => {
                    let open: Vec<usize> = (0..testbed.vms.len())
                        .filter(|vm| testbed.vms[*vm].data_centre() != EVACUATED)
                        .collect();
                    let vm = open[self.random.random_range(0..open.len())];
                    self.turn_cold(testbed, vm);
                }
            }
        }
        self.note_reports(testbed);
    }

    fn turn_cold(&mut self, testbed: &Testbed, vm: usize) {
        if let Some(target) = &testbed.vms[vm].target {
            target.set_cold(COLD_TIME);
            let until = Instant::now() + COLD_TIME;
            let instance = target.instance().to_owned();
            self.turned_cold.push((vm, instance, until));
        }
    }

    /// Notes which of the targets that turned cold have reported it.
    fn note_reports(&mut self, testbed: &Testbed) {
        let cold = &mut self.cold;
        self.turned_cold.retain(|(vm, instance, until)| {
            let target = testbed.vms[*vm].target.as_ref();
            let Some(target) = target.filter(|target| target.instance() == instance) else {
                return false;
            };
            let Some(from) = target.cold_reported() else {
                return true;
            };
            cold.push(ColdSpan {
                instance: instance.clone(),
                from,
                until: *until,
            });
            false
        });
    }

    /// Watches the evacuation without faults, and ends it with targets that are cold.
    pub fn reopen(&mut self, testbed: &mut Testbed) {
        thread::sleep(CALM_TIME.saturating_sub(COLD_BEFORE_REOPENING));
        for vm in 0..testbed.vms.len() {
            if testbed.vms[vm].data_centre() == EVACUATED {
                self.turn_cold(testbed, vm);
            }
        }
        thread::sleep(COLD_BEFORE_REOPENING);
        self.reopened = Some(Instant::now());
        testbed.store.delete("evacuations", EVACUATED);
    }

    /// Checks what targets and callers have seen.
    pub fn check(&mut self, testbed: &Testbed) {
        self.note_reports(testbed);
        let runs = testbed.ledger.take_kept_runs();
        for (at, run) in &runs {
            self.check_place(testbed, *at, run);
            check_headers(testbed, run);
        }
        for span in &self.cold {
            let at_target = runs.iter().filter(|(at, run)| {
                run.instance == span.instance && (span.from..span.until).contains(at)
            });
            let times: Vec<Instant> = at_target.map(|(at, _)| *at).collect();
            let most = busiest(&times, COLD_WINDOW);
            if most > COLD_ALLOWED {
                let instance = &span.instance;
                testbed.ledger.report(format!(
                    "COLD: {instance} got {most} requests in {COLD_WINDOW:?}, allowed {COLD_ALLOWED}"
                ));
            }
        }
        self.check_revocation(testbed);
        self.print_observed(testbed, &runs);
        if HAS_QUOTAS {
            check_quota(testbed, &runs);
        }
    }

    /// Prints how much the checks could observe, so that a run in which they saw nothing shows.
    fn print_observed(&self, testbed: &Testbed, runs: &[(Instant, Run)]) {
        let uses = self.uses.all();
        let served = uses.iter().filter(|key_use| key_use.is_served).count();
        let is_homebound = |run: &Run| HOME_BOUND.has_sent(&run.request_id);
        let homebound = runs.iter().filter(|(_, run)| is_homebound(run)).count();
        let in_evacuated = |run: &Run| {
            let vm = vm_of(testbed, &run.instance);
            vm.is_some_and(|vm| testbed.vms[vm].data_centre() == EVACUATED)
        };
        let evacuated = runs.iter().filter(|(_, run)| in_evacuated(run)).count();
        println!(
            "  {} runs, {homebound} of them bound to a region, {evacuated} in the data centre that was \
             evacuated, {} cold targets, key served {served} and refused {} times",
            runs.len(),
            self.cold.len(),
            uses.len() - served
        );
    }

    fn check_place(&self, testbed: &Testbed, at: Instant, run: &Run) {
        let Some(vm) = vm_of(testbed, &run.instance) else {
            return;
        };
        let (id, instance) = (&run.request_id, &run.instance);
        let is_home_bound = run.path.starts_with(HOME_PREFIX) || HOME_BOUND.has_sent(id);
        if is_home_bound && testbed.vms[vm].region() != HOME_REGION {
            let text = format!("REGION: {id} {} reached {instance}", run.path);
            testbed.ledger.report(text);
        }
        let (Some(evacuated), Some(reopened)) = (self.evacuated, self.reopened) else {
            return;
        };
        if testbed.vms[vm].data_centre() == EVACUATED
            && (evacuated + EVACUATE..reopened).contains(&at)
            && testbed.disturbances.is_connected(vm, at)
        {
            let late_ms = (at - evacuated).as_millis();
            testbed.ledger.report(format!(
                "EVACUATION: {id} reached {instance} {late_ms} ms after the evacuation"
            ));
        }
    }

    /// Checks that the key is not served once it must be known as revoked, nor by a process that has
    /// refused it before.
    fn check_revocation(&self, testbed: &Testbed) {
        let Some(revoked) = self.revoked else {
            return;
        };
        let disturbances = &testbed.disturbances;
        let uses = self.uses.all();
        for (index, served) in uses.iter().enumerate() {
            if !served.is_served {
                continue;
            }
            let (vm, sent) = (served.vm, served.sent);
            let name = &testbed.vms[vm].name;
            let late_ms = sent.saturating_duration_since(revoked).as_millis();
            let was_connected = disturbances.is_connected(vm, revoked)
                && disturbances.is_undisturbed(vm, revoked, sent);
            let is_connected_again =
                disturbances.is_undisturbed(vm, sent.checked_sub(REVOKE).unwrap_or(sent), sent);
            if sent > revoked + CONFIG_APPLY && (was_connected || is_connected_again) {
                testbed.ledger.report(format!(
                    "REVOKED: {name} served the key {late_ms} ms after its removal"
                ));
            }
            let has_refused = uses[..index].iter().any(|earlier| {
                !earlier.is_served
                    && earlier.vm == vm
                    && earlier.node_starts.is_some()
                    && earlier.node_starts == served.node_starts
                    && earlier.sent < sent
            });
            if has_refused {
                testbed.ledger.report(format!(
                    "REVOKED: {name} refused the key and served it {late_ms} ms after its removal"
                ));
            }
        }
    }
}

/// Returns the VM of a target.
fn vm_of(testbed: &Testbed, instance: &str) -> Option<usize> {
    let (name, _) = instance.strip_prefix("i-")?.rsplit_once('-')?;
    testbed.vms.iter().position(|vm| vm.name == name)
}

/// Checks that the target got the name of the caller's account, and no key.
fn check_headers(testbed: &Testbed, run: &Run) {
    let id = &run.request_id;
    let account = ACCOUNTS.iter().find(|account| account.has_sent(id));
    let names: Vec<&str> = run
        .headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("X-Tenant"))
        .map(|header| header.value.as_ref())
        .collect();
    let expected: Vec<&str> = account.iter().map(|account| account.name).collect();
    if names != expected {
        let text = format!("ACCOUNT: a target got {id} of {names:?}, not of {expected:?}");
        testbed.ledger.report(text);
    }
    let has_key = run.headers.iter().any(|header| {
        let is_key = |account: &Account| header.value.contains(account.key);
        header.name.eq_ignore_ascii_case("X-Key") || ACCOUNTS.iter().any(is_key)
    });
    if has_key {
        testbed
            .ledger
            .report(format!("KEY: a target got the key of {id}"));
    }
}

/// Checks the bound on the requests of the account with a quota, with an overshoot of a tenth and 20
/// more.
fn check_quota(testbed: &Testbed, runs: &[(Instant, Run)]) {
    let allowed = (QUOTA_PER_S * QUOTA_WINDOW_S + QUOTA_BURST) * 11 / 10 + 20;
    let metered = runs
        .iter()
        .filter(|(_, run)| METERED.has_sent(&run.request_id));
    let times: Vec<Instant> = metered.map(|(at, _)| *at).collect();
    let window = Duration::from_secs(QUOTA_WINDOW_S.into());
    let most = busiest(&times, window);
    if u32::try_from(most).unwrap_or(u32::MAX) > allowed {
        testbed.ledger.report(format!(
            "QUOTA: {most} requests in {window:?} reached targets, allowed {allowed}"
        ));
    }
}

/// Returns the largest number of the times, which are in order, in any window.
fn busiest(times: &[Instant], window: Duration) -> usize {
    let in_window = |first: usize| times.partition_point(|at| *at <= times[first] + window) - first;
    (0..times.len()).map(in_window).max().unwrap_or(0)
}
