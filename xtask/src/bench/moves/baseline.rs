//! Baseline: fixed linear steps with one global error threshold.
//!
//! A single controller raises the share by a tenth in each tenth of the time, rolls the version
//! back when its errors over all routes and regions exceed the threshold, and needs the store
//! for each step. It has no local guards, no stop messages and no plan that proxies follow by
//! the clock.

use std::collections::BTreeMap;

use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_core::catalogue::plan::COMMIT_MARGIN_MS;
use hemlockfall_moves::guard::Outcome as AttemptOutcome;
use hemlockfall_moves::guard::Side;
use hemlockfall_moves::window::Counts;
use hemlockfall_moves::window::Window;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::figures::Outcome;
use super::scenario::Disturbance;
use super::scenario::START_UNIX_MS;
use super::scenario::Scenario;
use super::simulation::SIMULATED_AFTER_DEADLINE_MS;
use super::traffic::Answer;
use super::traffic::PROXIES;
use super::traffic::Traffic;
use super::traffic::region_of;

const STEP_MS: u64 = 50;
const CHECK_INTERVAL_MS: u64 = 1_000;
const STEPS: u64 = 10;
/// Failures of the new version above which it is rolled back, in permille. The threshold is well
/// above the failure rate of a good version, so that no good version is rolled back by chance.
const ERROR_THRESHOLD_PERMILLE: u32 = 50;
/// Minimum number of attempts in 10 s for the threshold to apply.
const MIN_ATTEMPTS: u32 = 50;
/// Time until a killed controller has been replaced.
const CONTROLLER_RESTART_MS: u64 = 15_000;

struct Controller {
    window: Window,
    shares: [u16; PROXIES],
    written_permille: u16,
    status: MoveStatus,
    decided_ms: u64,
    first_fault_ms: Option<u64>,
    last_affected_ms: u64,
    faulty_requests: u64,
}

/// Runs one move to its end.
pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let mut traffic = Traffic::new(scenario, seed);
    let mut random = SmallRng::seed_from_u64(seed ^ 0x6261_7365);
    let mut answers: BTreeMap<(u64, u64), (usize, Side, Answer)> = BTreeMap::new();
    let mut shares: BTreeMap<(u64, u64), (usize, u16)> = BTreeMap::new();
    let mut event_count = 0;
    let mut controller = Controller {
        window: Window::default(),
        shares: [0; PROXIES],
        written_permille: 0,
        status: MoveStatus::Running,
        decided_ms: 0,
        first_fault_ms: None,
        last_affected_ms: 0,
        faulty_requests: 0,
    };
    let end_ms = scenario.duration_ms + SIMULATED_AFTER_DEADLINE_MS;
    let mut now_ms = 0;
    while now_ms < end_ms {
        now_ms += STEP_MS;
        while let Some(next) = shares.first_entry().filter(|next| next.key().0 <= now_ms) {
            let (proxy, share_permille) = next.remove();
            controller.shares[proxy] = share_permille;
        }
        while let Some(next) = answers.first_entry().filter(|next| next.key().0 <= now_ms) {
            let (proxy, side, answer) = next.remove();
            controller.on_answer(scenario, proxy, side, answer, now_ms);
        }
        for request in traffic.due(scenario, now_ms) {
            let share_permille = controller.shares[request.proxy];
            let side = if request.hash_permille < share_permille {
                Side::New
            } else {
                Side::Old
            };
            if side == Side::New && scenario.affects(request.route, region_of(request.proxy)) {
                controller.last_affected_ms = now_ms;
            }
            let answer = traffic.answer(scenario, request, side, share_permille, now_ms);
            event_count += 1;
            answers.insert(
                (now_ms + u64::from(answer.latency_ms), event_count),
                (request.proxy, side, answer),
            );
        }
        if now_ms % CHECK_INTERVAL_MS == 0 && controller.check(scenario, now_ms) {
            for proxy in 0..PROXIES {
                event_count += 1;
                let mut arrives_ms = now_ms + random.random_range(20..1_500);
                if region_of(proxy) != 0 && scenario.is_disturbed(Disturbance::RegionsCut, now_ms) {
                    let cut_end_ms = scenario.disturbed_from_ms + scenario.disturbed_for_ms;
                    arrives_ms = cut_end_ms + random.random_range(20..1_500);
                }
                shares.insert(
                    (arrives_ms, event_count),
                    (proxy, controller.written_permille),
                );
            }
        }
    }
    controller.outcome(scenario, end_ms)
}

impl Controller {
    fn on_answer(
        &mut self,
        scenario: &Scenario,
        proxy: usize,
        side: Side,
        answer: Answer,
        now_ms: u64,
    ) {
        if answer.faulty {
            self.faulty_requests += 1;
            self.first_fault_ms.get_or_insert(now_ms);
        }
        let is_unobserved =
            region_of(proxy) != 0 && scenario.is_disturbed(Disturbance::RegionsCut, now_ms);
        if side == Side::Old || is_unobserved {
            return;
        }
        let mut counts = Counts::default();
        if answer.outcome == AttemptOutcome::Succeeded {
            counts.success(Some(answer.latency_ms));
        } else {
            counts.failure();
        }
        self.window.add(&counts, START_UNIX_MS + now_ms);
    }

    /// Decides on the next share or the final status; returns whether something was written.
    fn check(&mut self, scenario: &Scenario, now_ms: u64) -> bool {
        let down = scenario.is_disturbed(Disturbance::StoreOutage, now_ms);
        let frozen = scenario.is_disturbed(Disturbance::JudgeFrozen, now_ms);
        let restart_ms = scenario.disturbed_from_ms + CONTROLLER_RESTART_MS;
        let killed = scenario.disturbance == Disturbance::JudgeKilled
            && (scenario.disturbed_from_ms..restart_ms).contains(&now_ms);
        if self.status.is_final() || down || frozen || killed {
            return false;
        }
        let counts = *self.window.total(START_UNIX_MS + now_ms);
        if counts.attempts >= MIN_ATTEMPTS && counts.failure_permille() > ERROR_THRESHOLD_PERMILLE {
            self.decide(MoveStatus::TakenBack, 0, now_ms);
            return true;
        }
        if now_ms + COMMIT_MARGIN_MS >= scenario.duration_ms {
            self.decide(MoveStatus::Done, 1000, now_ms);
            return true;
        }
        let usable_ms = scenario.duration_ms - COMMIT_MARGIN_MS;
        let step = now_ms * STEPS / usable_ms + 1;
        let wanted_permille = u16::try_from(step.min(STEPS) * 1000 / STEPS).unwrap_or(1000);
        if wanted_permille > self.written_permille {
            self.written_permille = wanted_permille;
            return true;
        }
        false
    }

    fn decide(&mut self, status: MoveStatus, share_permille: u16, now_ms: u64) {
        self.status = status;
        self.written_permille = share_permille;
        self.decided_ms = now_ms;
    }

    fn outcome(&self, scenario: &Scenario, end_ms: u64) -> Outcome {
        let last_ms = if self.status == MoveStatus::TakenBack {
            self.last_affected_ms
        } else {
            end_ms
        };
        Outcome {
            status: self.status,
            on_time: self.status.is_final() && self.decided_ms <= scenario.duration_ms,
            reason: String::new(),
            decided_ms: self.decided_ms,
            faulty_requests: self.faulty_requests,
            fault_to_zero_ms: self
                .first_fault_ms
                .map(|first| last_ms.saturating_sub(first)),
        }
    }
}
