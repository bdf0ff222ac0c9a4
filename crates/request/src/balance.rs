//! Choice of a target: distance levels, subsets, weights and the power of two choices.

use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::rendezvous;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ejection::Health;
use crate::options::Options;

/// Number of distance levels: local data centre, same region, other regions.
pub const LEVELS: usize = 3;

const FULL_WEIGHT_PERMILLE: u64 = 1_000;
const COLD_WEIGHT_PERMILLE: u64 = 100;
/// Weight of a target that reports itself unhealthy. Reports can be late or wrong, so they lower a
/// weight and never exclude a target.
const UNHEALTHY_WEIGHT_PERMILLE: u64 = 100;
/// Minimum reported load that lowers the weight, in percent.
const BUSY_LOAD_PERCENT: u8 = 80;
const BUSY_WEIGHT_PERMILLE: u64 = 500;
/// Divisor of the weight of a new latency sample in the moving average.
const LATENCY_WEIGHT: u64 = 8;
/// Constant added to every average latency, so that in-flight counts decide between fast targets.
const LATENCY_FLOOR_US: u64 = 200;

/// Location of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Name of the node.
    pub node: NodeName,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
}

impl Place {
    /// Returns the distance level of a target's node, from 0 for the nearest.
    #[must_use]
    pub fn level(&self, record: &EndpointRecord) -> usize {
        match (
            self.region == record.region,
            self.data_centre == record.data_centre,
        ) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }
    }
}

/// Load and health of one target, from this node's own measurements and the target's reports.
#[derive(Clone, Debug)]
pub struct Load {
    /// Attempts that this node sent and the target has not answered.
    pub in_flight: u32,
    /// Average latency, in microseconds; 0 before the first sample.
    pub latency_us: u64,
    /// Time since which the target accepts requests.
    pub ready_since: Instant,
    /// Recent failures and ejections.
    pub health: Health,
    reported_weight_permille: u64,
}

impl Load {
    /// Creates the load of a target that became ready.
    #[must_use]
    pub fn new(ready_since: Instant, now: Instant) -> Self {
        Self {
            in_flight: 0,
            latency_us: 0,
            ready_since,
            health: Health::new(now),
            reported_weight_permille: FULL_WEIGHT_PERMILLE,
        }
    }

    /// Adds a measured latency to the average.
    pub fn record_latency(&mut self, latency_us: u64) {
        self.latency_us = if self.latency_us == 0 {
            latency_us
        } else {
            (self.latency_us * (LATENCY_WEIGHT - 1) + latency_us) / LATENCY_WEIGHT
        };
    }

    /// Applies the target's own report.
    pub fn report(&mut self, is_healthy: bool, load_percent: u8) {
        self.reported_weight_permille = match (is_healthy, load_percent >= BUSY_LOAD_PERCENT) {
            (false, _) => UNHEALTHY_WEIGHT_PERMILLE,
            (true, true) => BUSY_WEIGHT_PERMILLE,
            (true, false) => FULL_WEIGHT_PERMILLE,
        };
    }

    /// Returns the weight from cold start and report.
    #[must_use]
    pub fn weight_permille(&self, now: Instant, options: &Options) -> u64 {
        let age = now.saturating_duration_since(self.ready_since);
        let cold_start = options.cold_start();
        let ramp_permille = if age >= cold_start {
            FULL_WEIGHT_PERMILLE
        } else {
            let passed_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let total_us = u64::try_from(cold_start.as_micros()).unwrap_or(u64::MAX);
            COLD_WEIGHT_PERMILLE
                + (FULL_WEIGHT_PERMILLE - COLD_WEIGHT_PERMILLE) * passed_us / total_us
        };
        ramp_permille * self.reported_weight_permille / FULL_WEIGHT_PERMILLE
    }

    /// Returns the expected cost of one more attempt; the target with the lower cost is chosen.
    /// Weights apply only to the random draw: if the cost contained them, an idle cold target, or
    /// one that reports itself unhealthy, would get no requests at all.
    #[must_use]
    pub fn cost(&self) -> u64 {
        (self.latency_us + LATENCY_FLOOR_US) * u64::from(self.in_flight + 1)
    }
}

/// Subsets of the targets of one service version, by distance level.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Chosen targets of each level, as indices of the target table.
    pub subsets: [Vec<usize>; LEVELS],
    /// Share of each level's targets that are ready, in permille.
    pub ready_permille: [u32; LEVELS],
}

/// One target while a pool is built.
#[derive(Clone, Copy, Debug)]
pub struct PoolMember<'a> {
    /// Index in the target table.
    pub index: usize,
    /// Node of the target.
    pub node: &'a NodeName,
    /// Distance level.
    pub level: usize,
    /// Whether the target accepts requests.
    pub is_ready: bool,
}

impl Pool {
    /// Creates a pool. The subsets are chosen by rendezvous hashing of this node's name with the
    /// targets.
    #[must_use]
    pub fn new(place: &Place, members: &[PoolMember<'_>], options: &Options) -> Self {
        let mut pool = Self::default();
        for level in 0..LEVELS {
            let at_level = members.iter().filter(|member| member.level == level);
            let ready: Vec<&PoolMember<'_>> =
                at_level.clone().filter(|member| member.is_ready).collect();
            pool.ready_permille[level] = permille(ready.len(), at_level.count());
            let ranked = rendezvous::rank(
                place.node.as_bytes(),
                ready,
                |member| member.node.as_str(),
                options.subset_size,
            );
            pool.subsets[level] = ranked.into_iter().map(|member| member.index).collect();
        }
        pool
    }

    /// Collects the targets to choose from. A farther level is added only while the usable share of
    /// the nearer one is below `nearer_usable_permille`.
    pub fn candidates<F>(&self, options: &Options, is_usable: F, candidates: &mut Vec<usize>)
    where
        F: Fn(usize) -> bool,
    {
        candidates.clear();
        for level in 0..LEVELS {
            let subset = &self.subsets[level];
            let before = candidates.len();
            candidates.extend(subset.iter().copied().filter(|index| is_usable(*index)));
            let usable = candidates.len() - before;
            let usable_permille =
                self.ready_permille[level] * permille(usable, subset.len()) / 1_000;
            if usable > 0 && usable_permille >= options.nearer_usable_permille {
                return;
            }
        }
    }
}

/// Draws two different candidates at random by weight and returns the one with the lower cost.
pub fn better_of_two<'a, F>(
    candidates: &[usize],
    load: F,
    now: Instant,
    options: &Options,
    random: &mut SmallRng,
) -> Option<usize>
where
    F: Fn(usize) -> &'a Load,
{
    let first = draw(candidates, None, &load, now, options, random)?;
    let Some(second) = draw(candidates, Some(first), &load, now, options, random) else {
        return Some(first);
    };
    let first_cost = load(first).cost();
    let second_cost = load(second).cost();
    Some(if second_cost < first_cost {
        second
    } else {
        first
    })
}

fn draw<'a, F>(
    candidates: &[usize],
    excluded: Option<usize>,
    load: &F,
    now: Instant,
    options: &Options,
    random: &mut SmallRng,
) -> Option<usize>
where
    F: Fn(usize) -> &'a Load,
{
    let weight = |index: usize| load(index).weight_permille(now, options).max(1);
    let remaining = || {
        candidates
            .iter()
            .copied()
            .filter(|index| Some(*index) != excluded)
    };
    let total: u64 = remaining().map(weight).sum();
    if total == 0 {
        return None;
    }
    let mut position = random.random_range(0..total);
    for index in remaining() {
        let own = weight(index);
        if position < own {
            return Some(index);
        }
        position -= own;
    }
    None
}

fn permille(part: usize, whole: usize) -> u32 {
    let share = (part * 1_000).checked_div(whole).unwrap_or(0);
    u32::try_from(share).unwrap_or(u32::MAX)
}
