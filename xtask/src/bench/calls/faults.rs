//! Time until a stalled connection, a frozen target and a crashed target are no longer used.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::units::duration_ms;

use crate::bench::calls::testbed;
use crate::bench::calls::testbed::TargetOptions;
use crate::bench::calls::testbed::Testbed;
use crate::bench::calls::wire;
use crate::bench::calls::wire::Client;
use crate::errors::Result;
use crate::harness::process::Signal;

const SERVICE: &str = "filmstore";
const TARGETS: usize = 3;
const DEADLINE: Duration = Duration::from_secs(1);
const DEADLINE_MS: &str = "1000";
const SERVICE_TIME: Duration = Duration::from_millis(5);
const CALLS_PER_S: u32 = 120;
/// Threads that send requests: enough for all requests within one deadline.
const CALLERS: u32 = 96;
/// Latency above which a request counts as affected by the fault.
const AFFECTED_LATENCY: Duration = Duration::from_millis(250);
/// Time without affected requests after which the fault counts as avoided.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
const TIME_BEFORE_FAULT: Duration = Duration::from_secs(1);
const TIME_AFTER_FAULT: Duration = Duration::from_secs(8);

/// Fault of the first target or of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The node of the target is frozen: its connections stay open but transfer no data.
    Stalled,
    /// The target is frozen, its node keeps running.
    Frozen,
    /// The target is killed, its node keeps running.
    Crashed,
}

/// Effect of one fault on the requests.
#[derive(Clone, Copy, Debug)]
pub struct FaultImpact {
    /// Time from the fault to the start of the last affected request before a second without
    /// affected requests.
    pub avoided_after_ms: u64,
    /// Requests affected by the fault, over the whole observation.
    pub affected: usize,
    /// Requests over the whole observation.
    pub requests: usize,
}

/// Effect of each fault, through the nodes and through the baseline.
pub struct Faults {
    /// [`Fault::Stalled`]; for the baseline, a frozen target.
    pub stalled: [FaultImpact; 2],
    /// [`Fault::Frozen`].
    pub frozen: [FaultImpact; 2],
    /// [`Fault::Crashed`].
    pub crashed: [FaultImpact; 2],
}

/// Measures each fault with a testbed of its own.
pub fn measure(settings: &str) -> Result<Faults> {
    Ok(Faults {
        stalled: inject(Fault::Stalled, settings)?,
        frozen: inject(Fault::Frozen, settings)?,
        crashed: inject(Fault::Crashed, settings)?,
    })
}

fn inject(fault: Fault, settings: &str) -> Result<[FaultImpact; 2]> {
    let mut testbed = Testbed::new(settings)?;
    let entry = testbed.node("entry")?;
    let mut upstreams = Vec::new();
    for index in 1..=TARGETS {
        let node = format!("node-{index}");
        testbed.node(&node)?;
        let mut options = TargetOptions {
            node: Some(node),
            service: SERVICE.to_owned(),
            slots: 32,
            service_time: SERVICE_TIME,
            next: None,
        };
        testbed.target(&format!("target-{index}"), &options)?;
        options.node = None;
        let address = testbed.target(&format!("baseline-target-{index}"), &options)?;
        upstreams.push((SERVICE.to_owned(), address));
    }
    let proxy = testbed.proxy("baseline", &upstreams)?;
    testbed.apply("entry", &[SERVICE], Duration::from_secs(2))?;
    for through in [entry, proxy] {
        testbed::wait_ready(through, SERVICE)?;
    }
    testbed::wait_warm();
    let started = Instant::now();
    let loads = [entry, proxy].map(|through| start_load(through, started));
    wire::sleep_until(started + TIME_BEFORE_FAULT);
    let fault_at = Instant::now();
    match fault {
        Fault::Stalled => testbed.signal("node-1", Signal::Stop)?,
        Fault::Frozen => testbed.signal("target-1", Signal::Stop)?,
        Fault::Crashed => testbed.signal("target-1", Signal::Kill)?,
    }
    match fault {
        Fault::Stalled | Fault::Frozen => testbed.signal("baseline-target-1", Signal::Stop)?,
        Fault::Crashed => testbed.signal("baseline-target-1", Signal::Kill)?,
    }
    Ok(loads.map(|load| fault_impact(load, fault_at)))
}

struct Record {
    sent_at: Instant,
    affected: bool,
}

type LoadThreads = Vec<std::thread::JoinHandle<Vec<Record>>>;

fn start_load(through: SocketAddr, started: Instant) -> LoadThreads {
    let next = Arc::new(AtomicU32::new(0));
    (0..CALLERS)
        .map(|_| {
            let next = Arc::clone(&next);
            std::thread::spawn(move || call(&next, through, started))
        })
        .collect()
}

fn call(next: &AtomicU32, through: SocketAddr, started: Instant) -> Vec<Record> {
    let mut client = Client::new(through);
    let mut records = Vec::new();
    loop {
        let due =
            started + Duration::from_secs(1) / CALLS_PER_S * next.fetch_add(1, Ordering::Relaxed);
        if due > started + TIME_BEFORE_FAULT + TIME_AFTER_FAULT {
            return records;
        }
        wire::sleep_until(due);
        let sent_at = Instant::now();
        let headers = [("hemlockfall-deadline-ms", DEADLINE_MS)];
        let answer = client.send(SERVICE, &headers, b"film", DEADLINE + AFFECTED_LATENCY);
        let good = answer.is_ok_and(|answer| answer.status() == 200);
        records.push(Record {
            sent_at,
            affected: !good || sent_at.elapsed() > AFFECTED_LATENCY,
        });
    }
}

fn fault_impact(load: LoadThreads, fault_at: Instant) -> FaultImpact {
    let mut records: Vec<Record> = load
        .into_iter()
        .flat_map(|thread| thread.join().unwrap_or_default())
        .collect();
    records.sort_by_key(|record| record.sent_at);
    let affected: Vec<&Record> = records.iter().filter(|record| record.affected).collect();
    let mut last = fault_at;
    for record in &affected {
        if record.sent_at.saturating_duration_since(last) > RECOVERY_TIME {
            break;
        }
        last = last.max(record.sent_at);
    }
    FaultImpact {
        avoided_after_ms: duration_ms(last.saturating_duration_since(fault_at)),
        affected: affected.len(),
        requests: records.len(),
    }
}
