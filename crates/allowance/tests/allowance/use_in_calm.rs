//! Use of an allowance without faults, and its cost.

use std::time::Duration;

use hemlockfall_allowance::limits::Limit;
use rand::RngExt;

use crate::mesh::BOUND;
use crate::mesh::Mesh;
use crate::mesh::STEP;

/// Time after which the mesh has settled.
const SETTLED: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(40);

fn limit(per_s: u64) -> Limit {
    Limit {
        milli_per_s: per_s * 1000,
        burst: per_s,
    }
}

/// Plays demand that arrives at random at the first `busy` nodes, relative to the limit.
fn play(nodes: usize, limit: Limit, busy: usize, demand: f64) -> Mesh {
    let mut mesh = Mesh::start(1, nodes, limit, BOUND);
    #[expect(clippy::cast_precision_loss, reason = "rates are below 2^52")]
    let per_step = demand * limit.milli_per_s as f64 / 1e3 * STEP.as_secs_f64();
    while mesh.now < LENGTH {
        mesh.step();
        let mut due = per_step;
        while due > 0.0 {
            if mesh.random.random_bool(due.min(1.0)) {
                let node = mesh.random.random_range(0..busy);
                mesh.request(node);
            }
            due -= 1.0;
        }
    }
    mesh
}

/// Returns the part of the limit that was used after the mesh had settled, in percent.
fn used_percent(mesh: &Mesh, limit: Limit) -> u64 {
    let used = mesh.spent.iter().filter(|(at, _)| *at >= SETTLED).count();
    let time_s = LENGTH.saturating_sub(SETTLED).as_secs();
    u64::try_from(used).unwrap_or(u64::MAX) * 100_000 / (limit.milli_per_s * time_s)
}

/// Load: more requests than the limit allows, at one node of a large mesh and at all of them. Guards
/// against tokens that are kept for nodes that do not use them, and that expire unused.
#[test]
fn most_of_the_allowance_can_be_used() {
    for per_s in [5, 40, 200, 864] {
        for busy in [1, 65] {
            let mesh = play(65, limit(per_s), busy, 1.5);

            let used = used_percent(&mesh, limit(per_s));
            println!("{per_s}/s at {busy}: {used} %, {} asks", mesh.asks);
            assert!(used >= 95, "{used} % of {per_s}/s at {busy} nodes");
        }
    }
}

/// Load: the usual demand, 62 percent of the limit, at all nodes. Guards against refusals below the
/// limit.
#[test]
fn the_usual_demand_is_not_refused() {
    for per_s in [5, 40, 200, 864] {
        let mesh = play(65, limit(per_s), 65, 0.62);

        let total = mesh.refused + mesh.spent.len();
        println!(
            "{per_s}/s: {} of {total} refused, {} asks",
            mesh.refused, mesh.asks
        );
        assert!(
            mesh.refused * 100 <= total,
            "{} of {total} at {per_s}/s",
            mesh.refused
        );
    }
}

/// Load: one account sends eight times its limit at all nodes. Guards against a message for each
/// refused request.
#[test]
fn a_request_storm_costs_few_messages() {
    let mesh = play(65, limit(40), 65, 8.0);

    let limit_per_request = 3;
    let requests = mesh.refused + mesh.spent.len();
    assert!(
        mesh.asks * limit_per_request < requests,
        "{} for {requests}",
        mesh.asks
    );
}

/// Guards against messages about unused allowances.
#[test]
fn an_idle_mesh_asks_for_no_tokens() {
    let mesh = play(20, limit(40), 1, 0.0);

    assert_eq!(mesh.asks, 0);
}
