//! Simulated traffic: seeded random requests and the answers of the versions.

use hemlockfall_moves::guard::Outcome;
use hemlockfall_moves::guard::Side;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::scenario::Disturbance;
use super::scenario::Fault;
use super::scenario::PROXIES_PER_REGION;
use super::scenario::REGIONS;
use super::scenario::ROUTES;
use super::scenario::Scenario;

/// Number of proxies.
pub const PROXIES: usize = REGIONS.len() * PROXIES_PER_REGION;
/// Length of a cold start, in milliseconds.
const COLD_START_MS: u64 = 10_000;
/// Factor on the latency during a cold start.
const COLD_FACTOR: f64 = 6.0;
/// Interval of cold starts in [`Disturbance::ColdStarts`], in milliseconds.
const COLD_START_INTERVAL_MS: u64 = 40_000;
/// Timeout of a request, in milliseconds.
const TIMEOUT_MS: f64 = 2_000.0;

/// Request that arrives at a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of the proxy.
    pub proxy: usize,
    /// Index of the route.
    pub route: usize,
    /// Hash of the request in 0..1000, which decides its version.
    pub hash_permille: u16,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Result.
    pub outcome: Outcome,
    /// Time to the answer, in milliseconds.
    pub latency_ms: u32,
    /// Whether the target was in a cold start.
    pub cold: bool,
    /// Whether the fault of the version affected the request.
    pub faulty: bool,
}

/// Generator of requests and answers.
pub struct Traffic {
    random: SmallRng,
    next_ms: [[f64; ROUTES.len()]; PROXIES],
    cold_until_ms: [u64; REGIONS.len()],
}

impl Traffic {
    /// Creates the traffic of a scenario.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut traffic = Self {
            random: SmallRng::seed_from_u64(seed ^ 0x7261_6666),
            next_ms: [[0.0; ROUTES.len()]; PROXIES],
            cold_until_ms: [0; REGIONS.len()],
        };
        for proxy in 0..PROXIES {
            for route in 0..ROUTES.len() {
                traffic.schedule(scenario, proxy, route);
            }
        }
        traffic
    }

    /// Returns the requests that arrive before a time and were not returned yet.
    pub fn due(&mut self, scenario: &Scenario, until_ms: u64) -> Vec<Request> {
        let until_ms = hemlockfall_moves::stats::to_float(until_ms);
        let mut requests = Vec::new();
        for proxy in 0..PROXIES {
            for route in 0..ROUTES.len() {
                while self.next_ms[proxy][route] < until_ms {
                    self.schedule(scenario, proxy, route);
                    requests.push(Request {
                        proxy,
                        route,
                        hash_permille: self.random.random_range(0..1000),
                    });
                }
            }
        }
        requests
    }

    fn schedule(&mut self, scenario: &Scenario, proxy: usize, route: usize) {
        let gap_s = -(1.0 - self.random.random::<f64>()).ln() / scenario.rates_per_s[route];
        self.next_ms[proxy][route] += gap_s * 1000.0;
    }

    /// Generates the answer of a version to a request.
    pub fn answer(
        &mut self,
        scenario: &Scenario,
        request: Request,
        side: Side,
        share_permille: u16,
        now_ms: u64,
    ) -> Answer {
        let region = region_of(request.proxy);
        let cold = side == Side::New && self.is_cold(scenario, region, now_ms);
        let spread = 0.5 - (1.0 - self.random.random::<f64>()).ln() * 0.5;
        let mut latency_ms = scenario.latencies_ms[request.route] * spread;
        let mut outcome = if self.random.random_bool(scenario.usual_failure_rate) {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        let mut faulty = false;
        if side == Side::New {
            latency_ms *= scenario.healthy_factor;
            if cold {
                latency_ms *= COLD_FACTOR;
            }
            match self.fault(scenario, request.route, region, share_permille, now_ms) {
                Some(Fault::SlowsAtOnce { factor }) => {
                    latency_ms = (latency_ms * factor).max(60.0);
                    faulty = true;
                }
                Some(Fault::Crashes) => {
                    outcome = Outcome::Lost;
                    faulty = true;
                    self.cold_until_ms[region] = now_ms + COLD_START_MS;
                }
                Some(_) => {
                    outcome = Outcome::Failed;
                    faulty = true;
                }
                None => {}
            }
        }
        Answer {
            outcome,
            latency_ms: to_ms(latency_ms),
            cold,
            faulty,
        }
    }

    fn fault(
        &mut self,
        scenario: &Scenario,
        route: usize,
        region: usize,
        share_permille: u16,
        now_ms: u64,
    ) -> Option<Fault> {
        let fault = scenario.fault?;
        let under_load = match fault {
            Fault::UnderLoad {
                share_permille: bound,
            } => share_permille >= bound,
            _ => true,
        };
        let is_drawn = match fault {
            Fault::SlowsAtOnce { .. } => true,
            _ => self.random.random_bool(scenario.fault_rate),
        };
        let is_active = under_load && is_drawn && now_ms >= scenario.fault_from_ms;
        (is_active && scenario.affects(route, region)).then_some(fault)
    }

    fn is_cold(&self, scenario: &Scenario, region: usize, now_ms: u64) -> bool {
        let has_cold_starts = scenario.disturbance == Disturbance::ColdStarts;
        now_ms < self.cold_until_ms[region]
            || (has_cold_starts && now_ms % COLD_START_INTERVAL_MS < COLD_START_MS)
    }
}

/// Returns the index of a proxy's region.
pub fn region_of(proxy: usize) -> usize {
    proxy / PROXIES_PER_REGION
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to 1..=2000"
)]
fn to_ms(latency_ms: f64) -> u32 {
    latency_ms.clamp(1.0, TIMEOUT_MS) as u32
}
