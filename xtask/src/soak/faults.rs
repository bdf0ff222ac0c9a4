//! Faults of a run, chosen at random from the seed; they may overlap.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::CallerRequest;
use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::endless::EndlessBytes;
use hemlockfall_standins::store::StoreFault;
use hemlockfall_standins::store::odd_specs;
use hemlockfall_standins::target::send_foreign_heartbeat;
use rand::RngExt;

use crate::errors::Result;
use crate::harness::process::Signal;
use crate::soak::caller::HOST;
use crate::soak::drill::Drill;
use crate::soak::limit_drill::LimitDrill;
use crate::soak::proxy::Mode;
use crate::soak::proxy::Proxy;
use crate::soak::testbed::MEMORY_MB;
use crate::soak::testbed::SERVICES;
use crate::soak::testbed::Testbed;
use crate::soak::testbed::Vm;

/// Shortest and longest interval between the starts of two faults, in milliseconds.
const FAULT_INTERVAL_MS: (u64, u64) = (150, 900);
/// Shortest and longest duration of a fault, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (300, 2500);
/// Time after an acknowledged deregistration within which requests may still reach the target.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from the start of a rollout to its deadline.
const ROLLOUT_DEADLINE: Duration = Duration::from_secs(7);
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Time that a node has for a graceful shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_millis(20);
/// Time between requests that are answered without end, and their deadline. They do not depend on
/// the seed, so that a seed stands for the same faults as before.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(900);
const ENDLESS_DEADLINE: Duration = Duration::from_secs(1);
/// Time between two messages of another writer.
const FOREIGN_INTERVAL: Duration = Duration::from_millis(1100);
/// Kinds of objects that nodes read.
const OBJECT_KINDS: [&str; 3] = ["config", "rollouts", "hemlockfall-nodes"];
/// Longest time from a deregistration to the kill of nodes that follows it, in milliseconds.
const MAX_KILL_DELAY_MS: u64 = 300;
/// Longest time between two planned stops, in milliseconds.
const MAX_STOP_GAP_MS: u64 = 1500;
/// Largest share of the VM's memory that a node may use, in percent.
pub(super) const MEMORY_PERCENT: u64 = 50;

/// Kind of fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillNode,
    KillAllNodes,
    StopNode,
    PauseNode,
    ReloadSettings,
    StoreOutage,
    StoreHistoryLost,
    StoreUnreachableFromNode,
    TargetCrash,
    TargetDeregisters,
    DisruptTargetConnections,
    DisruptLinkConnections,
    ConfigChange,
    ConfigChangeBurst,
    BadVersion,
}

const FAULTS: [Fault; 15] = [
    Fault::KillNode,
    Fault::KillAllNodes,
    Fault::StopNode,
    Fault::PauseNode,
    Fault::ReloadSettings,
    Fault::StoreOutage,
    Fault::StoreHistoryLost,
    Fault::StoreUnreachableFromNode,
    Fault::TargetCrash,
    Fault::TargetDeregisters,
    Fault::DisruptTargetConnections,
    Fault::DisruptLinkConnections,
    Fault::ConfigChange,
    Fault::ConfigChangeBurst,
    Fault::BadVersion,
];

/// Scheduled action that ends a fault or performs its next step.
#[derive(Clone, Copy, Debug)]
enum Action {
    RestoreStore,
    RestoreProxies(usize),
    ResumeNode(usize),
    /// Index of the VM, id of the process that was sent SIGTERM, and when it must have ended.
    RestartStoppedNode(usize, u32, Instant),
    RestartTarget(usize),
    ReplaceTarget(usize),
    SendLateHeartbeat(usize),
    KillNode(usize),
    KillAllNodes,
}

/// Has a target answer without end: sends a request for it through one of the nodes. Its outcome
/// counts only if the answer is taken for a whole one.
fn send_endless_request(testbed: &Testbed, number: usize) {
    let node = testbed.vms[number % testbed.vms.len()].callers;
    let pattern = EndlessBytes::ALL[number % EndlessBytes::ALL.len()];
    let ledger = Arc::clone(&testbed.ledger);
    std::thread::spawn(move || {
        let Ok(mut connection) = Connection::open(node) else {
            return;
        };
        let (outcome, _) = connection.send(&CallerRequest {
            id: format!("endless-{number}"),
            host: HOST.to_owned(),
            path: pattern.path("/stock"),
            body: Vec::new(),
            deadline: ENDLESS_DEADLINE,
        });
        if matches!(outcome, Outcome::Served) {
            ledger.report(format!(
                "ENDLESS: {pattern:?} was delivered as a whole answer"
            ));
        }
    });
}

/// Acts as another writer: leaves an object in the store that can't be decoded, or sends a heartbeat for
/// another service or address to a node.
fn send_foreign_message(testbed: &mut Testbed) {
    let random = &mut testbed.later_random;
    if random.random_bool(0.5) {
        let kind = OBJECT_KINDS[random.random_range(0..OBJECT_KINDS.len())];
        let number = random.random_range(0..odd_specs().len());
        let spec = &odd_specs()[number];
        testbed.store.put_odd(kind, &format!("odd-{number}"), spec);
        return;
    }
    let vm = &testbed.vms[random.random_range(0..testbed.vms.len())];
    let (service, address) = if random.random_bool(0.5) {
        ("ledger", vm.announced())
    } else {
        (vm.service, vm.control())
    };
    let (name, control, ledger) = (vm.name.clone(), vm.control(), Arc::clone(&testbed.ledger));
    std::thread::spawn(move || {
        if send_foreign_heartbeat(control, service, address) {
            ledger.report(format!("FOREIGN: {name} took {service} at {address}"));
        }
    });
}

fn check_memory(testbed: &Testbed, memory_percent: u64) {
    let bound_kib = MEMORY_MB * 1024 * memory_percent / 100;
    for vm in &testbed.vms {
        let peak_kib = vm.node.peak_memory_kib().unwrap_or_default();
        if peak_kib > bound_kib {
            let name = &vm.name;
            testbed
                .ledger
                .report(format!("MEMORY: {name} has used {peak_kib} KiB"));
        }
    }
}

/// Injects faults for `time` and meanwhile checks the configuration of the nodes, and that they use a
/// share of their memory at most.
///
/// # Errors
/// A process cannot be started or signalled.
pub fn inject(
    testbed: &mut Testbed,
    time: Duration,
    mut limits: Option<&mut LimitDrill>,
    memory_percent: u64,
) -> Result<()> {
    let started = Instant::now();
    let mut pending: Vec<(Instant, Action)> = Vec::new();
    let mut next_fault = Instant::now();
    let mut next_check = Instant::now() + CONFIG_CHECK_INTERVAL;
    let mut endless_requests = 0;
    let mut next_foreign = started + FOREIGN_INTERVAL;
    let mut drill = Drill::begin(testbed, time);
    while started.elapsed() < time || !pending.is_empty() {
        let now = Instant::now();
        run_due_actions(testbed, &mut pending)?;
        drill.step(testbed);
        if let Some(limits) = &mut limits {
            limits.step(testbed);
        }
        if now >= next_fault && started.elapsed() < time {
            let fault = FAULTS[testbed.random.random_range(0..FAULTS.len())];
            begin_fault(testbed, fault, &mut pending)?;
            let interval_ms = testbed
                .random
                .random_range(FAULT_INTERVAL_MS.0..FAULT_INTERVAL_MS.1);
            next_fault = now + Duration::from_millis(interval_ms);
        }
        if now >= started + ENDLESS_INTERVAL * (endless_requests + 1) && started.elapsed() < time {
            send_endless_request(testbed, usize::try_from(endless_requests).unwrap_or(0));
            endless_requests += 1;
        }
        if now >= next_foreign && started.elapsed() < time {
            send_foreign_message(testbed);
            next_foreign = now + FOREIGN_INTERVAL;
        }
        if now >= next_check {
            check_memory(testbed, memory_percent);
            testbed.check_config();
            next_check = now + CONFIG_CHECK_INTERVAL;
        }
        std::thread::sleep(POLL);
    }
    drill.end(testbed);
    Ok(())
}

fn begin_fault(
    testbed: &mut Testbed,
    fault: Fault,
    pending: &mut Vec<(Instant, Action)>,
) -> Result<()> {
    let index = testbed.random.random_range(0..testbed.vms.len());
    let duration = Duration::from_millis(
        testbed
            .random
            .random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1),
    );
    let ends_at = Instant::now() + duration;
    let is_planned = matches!(
        fault,
        Fault::StopNode
            | Fault::ReloadSettings
            | Fault::TargetDeregisters
            | Fault::ConfigChange
            | Fault::ConfigChangeBurst
    );
    if !is_planned {
        testbed.disruptions.mark(duration);
        testbed.vms[index].undisturbed_since = ends_at;
    }
    note_disturbance(testbed, fault, index);
    match fault {
        Fault::KillNode => testbed.vms[index].restart_node()?,
        Fault::KillAllNodes => {
            for vm in &mut testbed.vms {
                vm.restart_node()?;
            }
        }
        Fault::StopNode => stop_node(testbed, index, ends_at, pending)?,
        Fault::PauseNode => {
            testbed.vms[index].node.signal(Signal::Stop)?;
            pending.push((ends_at, Action::ResumeNode(index)));
        }
        Fault::ReloadSettings => testbed.vms[index].node.signal(Signal::Reload)?,
        Fault::StoreOutage => {
            let fault = random_store_fault(testbed);
            testbed.store.set_fault(fault);
            pending.push((ends_at, Action::RestoreStore));
        }
        Fault::StoreHistoryLost => testbed.store.discard_history(),
        Fault::StoreUnreachableFromNode => {
            let mode = random_mode(testbed);
            testbed.vms[index].store_proxy.set_mode(mode);
            pending.push((ends_at, Action::RestoreProxies(index)));
        }
        Fault::TargetCrash => {
            testbed.vms[index].target = None;
            pending.push((ends_at, Action::RestartTarget(index)));
        }
        Fault::TargetDeregisters => deregister_target(testbed, index, ends_at, pending),
        Fault::DisruptTargetConnections => {
            disrupt_connections(testbed, index, |vm| &vm.target_proxy, ends_at, pending);
        }
        Fault::DisruptLinkConnections => {
            disrupt_connections(testbed, index, |vm| &vm.link_proxy, ends_at, pending);
        }
        Fault::ConfigChange => testbed.write_config(),
        Fault::ConfigChangeBurst => {
            for _ in 0..5 {
                testbed.write_config();
                std::thread::sleep(POLL);
            }
        }
        Fault::BadVersion => start_bad_rollout(testbed)?,
    }
    Ok(())
}

/// Notes which nodes the fault may keep from the store, or whose process it disturbs.
fn note_disturbance(testbed: &mut Testbed, fault: Fault, index: usize) {
    let disturbances = &mut testbed.disturbances;
    match fault {
        Fault::KillNode => disturbances.note(Some(index)),
        Fault::KillAllNodes => disturbances.note(None),
        Fault::PauseNode | Fault::StoreUnreachableFromNode => disturbances.begin(Some(index)),
        Fault::StoreOutage => disturbances.begin(None),
        Fault::StopNode
        | Fault::ReloadSettings
        | Fault::StoreHistoryLost
        | Fault::TargetCrash
        | Fault::TargetDeregisters
        | Fault::DisruptTargetConnections
        | Fault::DisruptLinkConnections
        | Fault::ConfigChange
        | Fault::ConfigChangeBurst
        | Fault::BadVersion => {}
    }
}

/// Sends SIGTERM to a node, which is started again once it has ended.
fn stop_node(
    testbed: &mut Testbed,
    index: usize,
    undisturbed_from: Instant,
    pending: &mut Vec<(Instant, Action)>,
) -> Result<()> {
    testbed.vms[index].undisturbed_since = undisturbed_from + SHUTDOWN_GRACE;
    testbed.vms[index].node.signal(Signal::Term)?;
    let id = testbed.vms[index].node.id();
    let must_end_by = Instant::now() + SHUTDOWN_GRACE;
    pending.push((
        Instant::now() + POLL,
        Action::RestartStoppedNode(index, id, must_end_by),
    ));
    Ok(())
}

/// Stops nodes in a series of planned stops that overlap, without any other fault: the first nodes,
/// whose callers send batches, and some of the others.
///
/// # Errors
/// A process cannot be started or signalled.
pub fn stop_nodes_as_planned(testbed: &mut Testbed, first: usize) -> Result<()> {
    let mut pending = Vec::new();
    for index in 0..testbed.vms.len() {
        let random = &mut testbed.later_random;
        let gap = Duration::from_millis(random.random_range(0..MAX_STOP_GAP_MS));
        if index >= first && random.random_bool(0.6) {
            continue;
        }
        std::thread::sleep(gap);
        stop_node(testbed, index, Instant::now(), &mut pending)?;
    }
    while !pending.is_empty() {
        run_due_actions(testbed, &mut pending)?;
        std::thread::sleep(POLL);
    }
    Ok(())
}

fn run_due_actions(testbed: &mut Testbed, pending: &mut Vec<(Instant, Action)>) -> Result<()> {
    let now = Instant::now();
    let due: Vec<Action> = pending
        .iter()
        .filter(|(at, _)| *at <= now)
        .map(|(_, action)| *action)
        .collect();
    pending.retain(|(at, _)| *at > now);
    for action in due {
        run_action(testbed, action, pending)?;
    }
    Ok(())
}

fn run_action(
    testbed: &mut Testbed,
    action: Action,
    pending: &mut Vec<(Instant, Action)>,
) -> Result<()> {
    match action {
        Action::RestoreStore => {
            testbed.store.set_fault(StoreFault::None);
            testbed.disturbances.end(None);
        }
        Action::RestoreProxies(index) => {
            testbed.vms[index].set_proxies(Mode::Forward);
            testbed.disturbances.end(Some(index));
        }
        Action::ResumeNode(index) => {
            testbed.vms[index].node.signal(Signal::Continue)?;
            testbed.vms[index].undisturbed_since = Instant::now();
            testbed.disturbances.end(Some(index));
            testbed.disruptions.mark(Duration::ZERO);
        }
        Action::RestartStoppedNode(index, id, must_end_by) => {
            testbed.disturbances.note(Some(index));
            let vm = &mut testbed.vms[index];
            if vm.node.id() != id {
                // Another fault has killed and restarted the process meanwhile.
            } else if vm.node.exited().is_some() {
                vm.restart_node()?;
            } else if Instant::now() > must_end_by && testbed.disruptions.is_undisturbed() {
                let name = &vm.name;
                testbed
                    .ledger
                    .report(format!("STOP: {name} still runs after its grace time"));
                vm.restart_node()?;
            } else if Instant::now() > must_end_by + SHUTDOWN_GRACE {
                vm.restart_node()?;
            } else {
                let action = Action::RestartStoppedNode(index, id, must_end_by);
                pending.push((Instant::now() + POLL, action));
            }
        }
        Action::ReplaceTarget(index) => {
            testbed.vms[index].target = None;
            pending.push((Instant::now() + POLL, Action::RestartTarget(index)));
        }
        Action::RestartTarget(index) => {
            if testbed.vms[index].target.is_none() {
                let ledger = Arc::clone(&testbed.ledger);
                testbed.vms[index].start_target(&ledger)?;
            }
        }
        Action::SendLateHeartbeat(index) => {
            if let Some(target) = &testbed.vms[index].target {
                target.send_late_heartbeat();
            }
        }
        Action::KillNode(index) => {
            mark_kill(testbed, index..index + 1);
            testbed.vms[index].restart_node()?;
        }
        Action::KillAllNodes => {
            mark_kill(testbed, 0..testbed.vms.len());
            for vm in &mut testbed.vms {
                vm.restart_node()?;
            }
        }
    }
    Ok(())
}

fn mark_kill(testbed: &mut Testbed, vms: Range<usize>) {
    testbed.disruptions.mark(Duration::ZERO);
    for index in vms.clone() {
        testbed.disturbances.note(Some(index));
    }
    for vm in &mut testbed.vms[vms] {
        vm.undisturbed_since = Instant::now();
    }
}

/// Kills the target's node, or all nodes, shortly after a deregistration in some cases.
fn kill_after_deregistration(
    testbed: &mut Testbed,
    index: usize,
    pending: &mut Vec<(Instant, Action)>,
) {
    let random = &mut testbed.later_random;
    let action = match random.random_range(0..4) {
        0 => Action::KillNode(index),
        1 => Action::KillAllNodes,
        _ => return,
    };
    let delay = Duration::from_millis(random.random_range(0..MAX_KILL_DELAY_MS));
    pending.push((Instant::now() + delay, action));
}

/// Deregisters a target, which goes on serving until another one replaces it. A heartbeat from
/// before the deregistration arrives after it.
fn deregister_target(
    testbed: &mut Testbed,
    index: usize,
    ends_at: Instant,
    pending: &mut Vec<(Instant, Action)>,
) {
    let by_heartbeat = testbed.random.random_bool(0.6);
    let Some(target) = &testbed.vms[index].target else {
        return;
    };
    let instance = target.instance().to_owned();
    if target.deregister(by_heartbeat) {
        testbed
            .ledger
            .record_deregistration(&instance, Instant::now() + DRAIN);
    }
    kill_after_deregistration(testbed, index, pending);
    let replaced_at = ends_at + DRAIN;
    pending.push((ends_at, Action::SendLateHeartbeat(index)));
    pending.push((replaced_at, Action::ReplaceTarget(index)));
    let vm = &mut testbed.vms[index];
    // The target serves until it is replaced.
    vm.undisturbed_since = replaced_at;
}

/// Resets the connections through a proxy, or changes the proxy's mode until `ends_at`.
fn disrupt_connections(
    testbed: &mut Testbed,
    index: usize,
    proxy: fn(&Vm) -> &Proxy,
    ends_at: Instant,
    pending: &mut Vec<(Instant, Action)>,
) {
    if testbed.random.random_bool(0.4) {
        proxy(&testbed.vms[index]).reset();
        return;
    }
    let mode = random_mode(testbed);
    proxy(&testbed.vms[index]).set_mode(mode);
    pending.push((ends_at, Action::RestoreProxies(index)));
}

/// Starts a rollout to a bad version: replaces one target of a service that has at least two
/// others. There is at most one such rollout in a run.
fn start_bad_rollout(testbed: &mut Testbed) -> Result<()> {
    if testbed.rollout.is_some() {
        return Ok(());
    }
    let service = SERVICES[testbed.random.random_range(0..SERVICES.len())];
    let version = "v2-bad".to_owned();
    let ledger = Arc::clone(&testbed.ledger);
    let vms_of_service: Vec<usize> = (0..testbed.vms.len())
        .filter(|index| testbed.vms[*index].service == service)
        .collect();
    let [first, _, _, ..] = vms_of_service.as_slice() else {
        return Ok(());
    };
    ledger.record_rollout(&version);
    testbed.store.put(
        "rollouts",
        service,
        wire::rollout(service, &version, ROLLOUT_DEADLINE),
    );
    testbed.vms[*first].start_bad_version(&version, &ledger)?;
    testbed.rollout = Some((service, version, Instant::now() + ROLLOUT_DEADLINE));
    Ok(())
}

fn random_store_fault(testbed: &mut Testbed) -> StoreFault {
    let faults = [
        StoreFault::Busy,
        StoreFault::RateLimited,
        StoreFault::Reset,
        StoreFault::Unresponsive,
        StoreFault::LosesAnswers,
        StoreFault::LateWrites,
        StoreFault::Slow(Duration::from_millis(250)),
    ];
    faults[testbed.random.random_range(0..faults.len())]
}

fn random_mode(testbed: &mut Testbed) -> Mode {
    let modes = [
        Mode::Delay(Duration::from_millis(60)),
        Mode::DropToUpstream,
        Mode::DropToClient,
        Mode::DropAll,
    ];
    modes[testbed.random.random_range(0..modes.len())]
}
