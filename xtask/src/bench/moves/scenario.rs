//! Scenarios: the fault of a version and the disturbance of the system during its move.

use hemlockfall_core::catalogue::OnOutage;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Start of every move, in Unix milliseconds.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Regions; the store is in the first one.
pub const REGIONS: [&str; 2] = ["east", "west"];
/// Proxies in each region.
pub const PROXIES_PER_REGION: usize = 3;
/// Routes of the service.
pub const ROUTES: [&str; 3] = ["book", "lookup", "orders"];

/// Fault of a bad version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Fails from the start.
    FailsAtOnce,
    /// Answers slowly from the start.
    SlowsAtOnce {
        /// Factor on the latency without the fault.
        factor: f64,
    },
    /// Starts to fail at a later time.
    TurnsBadLater,
    /// Fails while its share of the requests is high.
    UnderLoad {
        /// Share from which the version fails, in permille.
        share_permille: u16,
    },
    /// Fails on one route.
    OneRoute {
        /// Index of the route.
        route: usize,
    },
    /// Fails in one region.
    OneRegion {
        /// Index of the region.
        region: usize,
    },
    /// Crashes while it runs requests and restarts cold.
    Crashes,
    /// Fails although its target reports that it is healthy.
    FailsButReportsHealthy,
}

/// Disturbance of the system during a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// The store is down.
    StoreOutage,
    /// The node that holds the lease is killed.
    JudgeKilled,
    /// The node that holds the lease is paused and continues later.
    JudgeFrozen,
    /// The regions are disconnected from each other.
    RegionsCut,
    /// Some routes have little traffic.
    LittleTraffic,
    /// Targets of the new version repeatedly have cold starts.
    ColdStarts,
}

const DISTURBANCES: [Disturbance; 7] = [
    Disturbance::None,
    Disturbance::StoreOutage,
    Disturbance::JudgeKilled,
    Disturbance::JudgeFrozen,
    Disturbance::RegionsCut,
    Disturbance::LittleTraffic,
    Disturbance::ColdStarts,
];

/// Scenario of one move.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Fault of the new version; `None` for a good one.
    pub fault: Option<Fault>,
    /// Whether the target reports that it is failing; such reports are not used as evidence.
    pub reports_failing: bool,
    /// Probability that a request within the scope of the fault fails.
    pub fault_rate: f64,
    /// Start of the fault after the start of the move, in milliseconds.
    pub fault_from_ms: u64,
    /// Disturbance of the system.
    pub disturbance: Disturbance,
    /// Start of the disturbance after the start of the move, in milliseconds.
    pub disturbed_from_ms: u64,
    /// Length of the disturbance, in milliseconds.
    pub disturbed_for_ms: u64,
    /// Time from start to deadline, in milliseconds.
    pub duration_ms: u64,
    /// Behaviour of the move in a store outage.
    pub on_outage: OnOutage,
    /// Requests per second of each route on each proxy.
    pub rates_per_s: [f64; ROUTES.len()],
    /// Mean latency of each route without a fault, in milliseconds.
    pub latencies_ms: [f64; ROUTES.len()],
    /// Failure rate of both versions without a fault.
    pub usual_failure_rate: f64,
    /// Latency of a healthy new version relative to the old one.
    pub healthy_factor: f64,
}

impl Scenario {
    /// Generates the scenario of a move. The kinds of fault and disturbance follow from the
    /// index, so that all of them occur; the numbers are random.
    pub fn draw(index: u32, random: &mut SmallRng) -> Self {
        let duration_ms = random.random_range(120_000..300_000);
        let kind = index % 16;
        let disturbance = DISTURBANCES[(index / 16) as usize % DISTURBANCES.len()];
        let mut rates_per_s = [0.0; ROUTES.len()].map(|_: f64| random.random_range(5.0..40.0));
        if disturbance == Disturbance::LittleTraffic {
            let busy = random.random_range(0..ROUTES.len());
            for (route, rate) in rates_per_s.iter_mut().enumerate() {
                if route != busy {
                    *rate = random.random_range(0.05..0.5);
                }
            }
        }
        Self {
            fault: draw_fault(kind, random),
            reports_failing: kind % 4 == 3,
            fault_rate: random.random_range(0.2..1.0),
            fault_from_ms: if kind == 4 {
                duration_ms * random.random_range(200..800) / 1000
            } else {
                0
            },
            disturbance,
            disturbed_from_ms: duration_ms * random.random_range(50..800) / 1000,
            disturbed_for_ms: random.random_range(8_000..60_000),
            duration_ms,
            on_outage: if random.random_bool(0.3) {
                OnOutage::Freeze
            } else {
                OnOutage::Advance
            },
            rates_per_s,
            latencies_ms: [0.0; ROUTES.len()].map(|_: f64| random.random_range(8.0..60.0)),
            usual_failure_rate: random.random_range(0.0..0.008),
            healthy_factor: random.random_range(0.8..1.25),
        }
    }

    /// Returns whether the version is bad.
    pub fn is_bad(&self) -> bool {
        self.fault.is_some()
    }

    /// Returns whether the fault can affect requests of a route in a region.
    pub fn affects(&self, route: usize, region: usize) -> bool {
        match self.fault {
            None => false,
            Some(Fault::OneRoute { route: bad }) => bad == route,
            Some(Fault::OneRegion { region: bad }) => bad == region,
            Some(_) => true,
        }
    }

    /// Returns whether a disturbance of this kind is active.
    pub fn is_disturbed(&self, kind: Disturbance, now_ms: u64) -> bool {
        let end_ms = self.disturbed_from_ms + self.disturbed_for_ms;
        self.disturbance == kind && (self.disturbed_from_ms..end_ms).contains(&now_ms)
    }
}

/// Generates the fault of a kind of version. Each even kind has its own fault; odd kinds have none.
fn draw_fault(kind: u32, random: &mut SmallRng) -> Option<Fault> {
    match kind {
        0 => Some(Fault::FailsAtOnce),
        2 => Some(Fault::SlowsAtOnce {
            factor: random.random_range(4.0..15.0),
        }),
        4 => Some(Fault::TurnsBadLater),
        6 => Some(Fault::UnderLoad {
            share_permille: random.random_range(100..700),
        }),
        8 => Some(Fault::OneRoute {
            route: random.random_range(0..ROUTES.len()),
        }),
        10 => Some(Fault::OneRegion {
            region: random.random_range(0..REGIONS.len()),
        }),
        12 => Some(Fault::Crashes),
        14 => Some(Fault::FailsButReportsHealthy),
        _ => None,
    }
}
