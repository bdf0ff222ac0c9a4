//! Retry amplification in a chain of services: attempts at each level per fresh request (one
//! that is not a retry) while the leaf fails every attempt.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bench::calls::testbed;
use crate::bench::calls::testbed::TargetOptions;
use crate::bench::calls::testbed::Testbed;
use crate::bench::calls::wire::Client;
use crate::errors::Error;
use crate::errors::Result;
use crate::harness::ports;

const SERVICES: [&str; 4] = ["front", "order-desk", "catalogue-feed", "prices"];
const TARGETS: usize = 2;
const TIMEOUT: Duration = Duration::from_secs(2);
const FRESH_REQUESTS_PER_S: u32 = 50;

/// Attempts per fresh request at each level of the chain.
pub struct Chain {
    /// Through nodes.
    pub nodes: Vec<f64>,
    /// Through the baseline proxy.
    pub baseline: Vec<f64>,
}

/// Sends fresh requests for a time while the leaf fails every request.
pub fn measure(time: Duration, settings: &str) -> Result<Chain> {
    let mut testbed = Testbed::new(settings)?;
    let (entries, targets) = start_nodes(&mut testbed)?;
    let (proxy, baseline_targets) = start_baseline(&mut testbed)?;
    testbed.apply("node-0-0", &SERVICES, TIMEOUT)?;
    for through in [entries[0], proxy] {
        testbed::wait_ready(through, SERVICES[0])?;
    }
    testbed::wait_warm();
    let nodes = fail_leaf(&entries, &targets, time)?;
    let baseline = fail_leaf(&[proxy], &baseline_targets, time)?;
    Ok(Chain { nodes, baseline })
}

/// Starts nodes and targets; every target calls the next service through its own node.
fn start_nodes(testbed: &mut Testbed) -> Result<(Vec<SocketAddr>, Vec<Vec<SocketAddr>>)> {
    let mut entries = Vec::new();
    let mut targets = Vec::new();
    for (level, service) in SERVICES.iter().enumerate() {
        let mut level_targets = Vec::new();
        for index in 0..TARGETS {
            let node = format!("node-{level}-{index}");
            let through = testbed.node(&node)?;
            let next = SERVICES.get(level + 1);
            let options = TargetOptions {
                node: Some(node),
                service: (*service).to_owned(),
                slots: 32,
                service_time: Duration::ZERO,
                next: next.map(|next| (through, (*next).to_owned())),
            };
            level_targets.push(testbed.target(&format!("target-{level}-{index}"), &options)?);
            if level == 0 {
                entries.push(through);
            }
        }
        targets.push(level_targets);
    }
    Ok((entries, targets))
}

fn start_baseline(testbed: &mut Testbed) -> Result<(SocketAddr, Vec<Vec<SocketAddr>>)> {
    let proxy = ports::free_address()?;
    let mut targets = Vec::new();
    let mut upstreams = Vec::new();
    for (level, service) in SERVICES.iter().enumerate() {
        let mut level_targets = Vec::new();
        for index in 0..TARGETS {
            let next = SERVICES.get(level + 1);
            let options = TargetOptions {
                node: None,
                service: (*service).to_owned(),
                slots: 32,
                service_time: Duration::ZERO,
                next: next.map(|next| (proxy, (*next).to_owned())),
            };
            let name = format!("baseline-target-{level}-{index}");
            let address = testbed.target(&name, &options)?;
            upstreams.push(((*service).to_owned(), address));
            level_targets.push(address);
        }
        targets.push(level_targets);
    }
    testbed.proxy_at("baseline", proxy, &upstreams)?;
    Ok((proxy, targets))
}

fn fail_leaf(
    through: &[SocketAddr],
    targets: &[Vec<SocketAddr>],
    time: Duration,
) -> Result<Vec<f64>> {
    for target in targets.last().into_iter().flatten() {
        testbed::control(*target, "/control/fail")?;
    }
    let before = request_counts(targets)?;
    let mut clients: Vec<Client> = through
        .iter()
        .map(|address| Client::new(*address))
        .collect();
    let interval = Duration::from_secs(1) / FRESH_REQUESTS_PER_S;
    let fresh_requests = u32::try_from(time.as_millis() / interval.as_millis()).unwrap_or(u32::MAX);
    let started = std::time::Instant::now();
    for index in 0..fresh_requests {
        crate::bench::calls::wire::sleep_until(started + interval * index);
        let client = index as usize % clients.len();
        // The leaf fails, so the answer is a failure; only the attempts at the targets count.
        let _ = clients[client].send(SERVICES[0], &[], b"refresh", TIMEOUT);
    }
    let after = request_counts(targets)?;
    let per_fresh = after
        .iter()
        .zip(before)
        .map(|(after, before)| f64::from(after - before) / f64::from(fresh_requests.max(1)));
    Ok(per_fresh.collect())
}

fn request_counts(targets: &[Vec<SocketAddr>]) -> Result<Vec<u32>> {
    let mut request_counts = Vec::new();
    for level_targets in targets {
        let mut sum = 0;
        for target in level_targets {
            let text = testbed::control(*target, "/control/requests")?;
            let count: u32 = text
                .trim()
                .parse()
                .map_err(|_| Error::resource("count of requests", text))?;
            sum += count;
        }
        request_counts.push(sum);
    }
    Ok(request_counts)
}
