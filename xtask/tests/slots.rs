//! Slots of a paused target.

use std::time::Duration;
use std::time::Instant;

use xtask::harness::Cluster;
use xtask::harness::StoreLimits;
use xtask::harness::programs::Programs;
use xtask::harness::target::TargetSpec;
use xtask::harness::wait;
use xtask::http;

const SLOTS: u16 = 2;
const FREEZE: Duration = Duration::from_secs(4);
/// Time during which calls are sent; shorter than the freeze.
const CALLS_FOR: Duration = Duration::from_millis(3_500);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const READY_BOUND: Duration = Duration::from_secs(15);
const CATALOGUE: &str = "[[service]]\nname = \"filmstore\"\nowner = \"tests\"\nversion = \"v1\"\n\
     [[service.route]]\nname = \"main\"\npath_prefix = \"/\"\nrepeatable = true\n";

fn cluster() -> Cluster {
    let mut cluster = Cluster::new(Programs::locate().expect("programs"), "").expect("a cluster");
    cluster
        .start_store(StoreLimits::default())
        .expect("a store");
    cluster.start_node("n1", "west", "west-1").expect("a node");
    let mut target = TargetSpec::new("t1", Some("n1"), "filmstore", "v1");
    target.slots = SLOTS;
    cluster.start_target(target).expect("a target");
    let file = cluster.directory().join("catalogue.toml");
    std::fs::write(&file, CATALOGUE).expect("to write the catalogue");
    let applied = cluster.apply_catalogue(&file, "n1").expect("to apply");
    assert!(applied.accepted, "{}", applied.output);
    cluster
}

/// Sends one request and returns the status of the answer.
fn call(cluster: &Cluster, deadline_ms: &str) -> Option<u16> {
    let address = cluster.node("n1").expect("the node").caller_address;
    let headers = [
        ("host", "filmstore.mesh"),
        ("hemlockfall-deadline-ms", deadline_ms),
    ];
    let agent = http::agent(REQUEST_TIMEOUT);
    let url = format!("http://{address}/film");
    let reply = http::exchange(&agent, "POST", &url, &headers, b"film");
    reply.ok().map(|reply| reply.status)
}

/// Guards against more requests on a target than it has slots: a paused target does not answer
/// cancellations, and when it resumes it receives every request that was sent to it meanwhile.
#[test]
fn frozen_target_never_gets_more_requests_than_slots() {
    let mut cluster = cluster();
    wait::until("an answer", READY_BOUND, || match call(&cluster, "1000") {
        Some(200) => Ok(()),
        other => Err(format!("{other:?}")),
    })
    .expect("an answer");
    let before = cluster.target_state("t1").expect("the state");

    cluster.freeze_for("t1", FREEZE).expect("to freeze");
    let frozen = Instant::now();
    let mut statuses = Vec::new();
    while frozen.elapsed() < CALLS_FOR {
        statuses.push(call(&cluster, "200"));
    }
    let after = wait::until("answers after the freeze", READY_BOUND, || {
        match call(&cluster, "1000") {
            Some(200) => cluster
                .target_state("t1")
                .map_err(|error| error.to_string()),
            other => Err(format!("{other:?}")),
        }
    })
    .unwrap_or_else(|error| {
        panic!(
            "the target serves again: {error}\n{}",
            cluster.log_tails(30)
        )
    });

    assert!(statuses.len() > usize::from(SLOTS), "{statuses:?}");
    assert!(statuses.iter().all(|status| *status != Some(200)));
    assert_eq!(after.shed, before.shed);
    assert!(
        after.runs <= before.runs + usize::from(SLOTS) + 1,
        "{after:?}"
    );
}
