//! The bound on every window over random faults.

use std::time::Duration;

use hemlockfall_allowance::limits::Bound;
use hemlockfall_allowance::limits::Limit;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::mesh::BOUND;
use crate::mesh::Mesh;
use crate::mesh::ms;

/// Seeds of the random schedules. Add the seed of each schedule that has failed.
const SEEDS: std::ops::Range<u64> = 0..200;
const FAILED_SEEDS: [u64; 0] = [];
const LENGTH: Duration = Duration::from_mins(1);
/// Bound that leaves little room, so that smaller excesses show.
const TIGHT: Bound = Bound {
    window: Duration::from_secs(5),
    overshoot_permille: 20,
    allowance: 0,
};
const RATES: [u64; 5] = [500, 5_000, 40_000, 200_000, 800_000];

fn random_limit(random: &mut SmallRng) -> Limit {
    let milli_per_s = RATES[random.random_range(0..RATES.len())];
    Limit {
        milli_per_s,
        burst: [0, 1, milli_per_s / 1000][random.random_range(0..3)],
    }
}

/// Number of kinds of faults.
const KINDS: usize = 10;

/// Causes one random fault of a kind, or ends some.
fn disturb(mesh: &mut Mesh, schedule: &mut SmallRng, kind: usize, limit: &mut Limit) {
    let nodes = mesh.nodes.len();
    let holder = mesh.holder();
    let anyone = schedule.random_range(0..nodes);
    let chosen = [holder, anyone][schedule.random_range(0..2)];
    match kind {
        0 => {
            for node in &mut mesh.nodes {
                node.part = schedule.random_range(0..2);
            }
        }
        1 => mesh.nodes[chosen].part = 1,
        2 => mesh.nodes.iter_mut().for_each(|node| node.part = 0),
        3 => mesh.nodes[chosen].is_up = false,
        4 => mesh.restart(chosen),
        5 => (0..nodes).for_each(|node| mesh.restart(node)),
        6 => mesh.nodes[chosen].paused_until = mesh.now + ms(schedule.random_range(100..8_000)),
        7 => {
            mesh.delay_ms.1 = [2, 13, 400, 3_000][schedule.random_range(0..4)];
            mesh.loss_permille = [0, 10, 300][schedule.random_range(0..3)];
        }
        8 => {
            let part = schedule.random_range(1..4);
            for node in &mut mesh.nodes {
                let is_blind = schedule.random_range(0..4) < part;
                node.unseen = is_blind.then_some(holder);
            }
        }
        _ => {
            *limit = random_limit(schedule);
            for node in 0..nodes {
                mesh.set_limit(node, *limit);
            }
        }
    }
    for node in 0..nodes {
        if !mesh.nodes[node].is_up && schedule.random_range(0..4) == 0 {
            mesh.restart(node);
        }
    }
}

/// Plays a random schedule with faults of a few kinds, and with demand that changes between none and
/// a multiple of the limit, so that buckets fill up before they are used.
fn play(seed: u64) -> Mesh {
    let mut schedule = SmallRng::seed_from_u64(seed);
    let nodes = [1, 3, 5, 9, 20][schedule.random_range(0..5)];
    let mut limit = random_limit(&mut schedule);
    let bound = if schedule.random() { BOUND } else { TIGHT };
    let mut mesh = Mesh::start(seed, nodes, limit, bound);
    let kinds: Vec<usize> = (0..schedule.random_range(1..4))
        .map(|_| schedule.random_range(0..KINDS))
        .chain([2])
        .collect();
    let longest_pause = [1_500, 6_000, 25_000][schedule.random_range(0..3)];
    let mut next_fault = ms(schedule.random_range(500..10_000));
    let mut next_demand = Duration::ZERO;
    let (mut busy, mut demand, mut due) = (1, 0.0, 0.0);
    while mesh.now < LENGTH {
        mesh.step();
        if mesh.now >= next_fault {
            let kind = kinds[schedule.random_range(0..kinds.len())];
            disturb(&mut mesh, &mut schedule, kind, &mut limit);
            next_fault = mesh.now + ms(schedule.random_range(50..longest_pause));
        }
        if mesh.now >= next_demand {
            next_demand = mesh.now + ms(schedule.random_range(100..6_000));
            busy = schedule.random_range(1..=nodes);
            demand = [0.0, 0.5, 1.5, 8.0][schedule.random_range(0..4)];
        }
        #[expect(clippy::cast_precision_loss, reason = "rates are below 2^52")]
        let per_step = demand * limit.milli_per_s as f64 / 1e3 * crate::mesh::STEP.as_secs_f64();
        due += per_step;
        while due >= 1.0 {
            due -= 1.0;
            let node = schedule.random_range(0..busy);
            mesh.request(node);
        }
    }
    mesh
}

/// Guards against tokens that are granted or spent twice: by two holders at the same time, by a new
/// holder that does not know what the earlier one granted, by a node that is cut off or was paused,
/// with a delayed or lost reply, and after a lower limit.
#[test]
fn no_window_exceeds_the_bound() {
    let mut spent = 0;
    for seed in FAILED_SEEDS.into_iter().chain(SEEDS) {
        let mesh = play(seed);

        let worst = mesh.worst_window();
        assert!(worst.is_none(), "seed {seed}: {worst:?}");
        spent += mesh.spent.len();
    }
    assert!(spent > 100_000, "only {spent} tokens were spent");
}
