//! The faults of a run: drawn from the seed, in series and overlapping.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::store::StoreFault;
use rand::RngExt;

use crate::errors::Result;
use crate::harness::process::Signal;
use crate::soak::proxy::Mode;
use crate::soak::proxy::Proxy;
use crate::soak::world::SERVICES;
use crate::soak::world::Site;
use crate::soak::world::World;

/// Shortest and longest time between two faults.
const GAP_MS: (u64, u64) = (150, 900);
/// Shortest and longest time of a fault that lasts.
const LASTS_MS: (u64, u64) = (300, 2500);
/// Time after the acknowledgement of a leave until a target gets no more requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for a roll-out.
const FINISH_IN: Duration = Duration::from_secs(7);
/// Time between two checks of the configuration.
const CHECK_EACH: Duration = Duration::from_millis(700);
/// Time for a planned stop.
const GRACE: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_millis(20);

/// `Fault` is one kind of disruption.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillNode,
    KillManyNodes,
    StopNode,
    FreezeNode,
    ReloadSettings,
    StoreAway,
    StoreForgets,
    StoreAwayFromNode,
    TargetCrash,
    TargetLeaves,
    TargetConnections,
    LinkConnections,
    Configuration,
    ConfigurationStorm,
    BadVersion,
}

const FAULTS: [Fault; 15] = [
    Fault::KillNode,
    Fault::KillManyNodes,
    Fault::StopNode,
    Fault::FreezeNode,
    Fault::ReloadSettings,
    Fault::StoreAway,
    Fault::StoreForgets,
    Fault::StoreAwayFromNode,
    Fault::TargetCrash,
    Fault::TargetLeaves,
    Fault::TargetConnections,
    Fault::LinkConnections,
    Fault::Configuration,
    Fault::ConfigurationStorm,
    Fault::BadVersion,
];

/// `Later` is the end of a fault.
#[derive(Clone, Copy, Debug)]
enum Later {
    StoreBack,
    ProxiesBack(usize),
    NodeContinues(usize),
    /// The process that was told to stop, and until when it must have ended.
    NodeAfterStop(usize, u32, Instant),
    TargetBack(usize),
    TargetReplaced(usize),
    LateHeartbeat(usize),
}

/// `inject` injects faults for a time and checks the configuration meanwhile.
///
/// # Errors
/// A process cannot be started or signalled.
pub fn inject(world: &mut World, time: Duration) -> Result<()> {
    let started = Instant::now();
    let mut pending: Vec<(Instant, Later)> = Vec::new();
    let mut next_fault = Instant::now();
    let mut next_check = Instant::now() + CHECK_EACH;
    while started.elapsed() < time || !pending.is_empty() {
        let now = Instant::now();
        let due: Vec<Later> = pending
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, later)| *later)
            .collect();
        pending.retain(|(at, _)| *at > now);
        for later in due {
            end(world, later, &mut pending)?;
        }
        if now >= next_fault && started.elapsed() < time {
            let fault = FAULTS[world.random.random_range(0..FAULTS.len())];
            begin(world, fault, &mut pending)?;
            let gap_ms = world.random.random_range(GAP_MS.0..GAP_MS.1);
            next_fault = now + Duration::from_millis(gap_ms);
        }
        if now >= next_check {
            world.check_config();
            next_check = now + CHECK_EACH;
        }
        std::thread::sleep(POLL);
    }
    Ok(())
}

fn begin(world: &mut World, fault: Fault, pending: &mut Vec<(Instant, Later)>) -> Result<()> {
    let index = world.random.random_range(0..world.sites.len());
    let lasts = Duration::from_millis(world.random.random_range(LASTS_MS.0..LASTS_MS.1));
    let until = Instant::now() + lasts;
    let is_planned = matches!(
        fault,
        Fault::StopNode
            | Fault::ReloadSettings
            | Fault::TargetLeaves
            | Fault::Configuration
            | Fault::ConfigurationStorm
    );
    if !is_planned {
        world.calm.disturb(lasts);
        world.sites[index].calm_since = until;
    }
    match fault {
        Fault::KillNode => world.sites[index].restart_node()?,
        Fault::KillManyNodes => {
            for site in &mut world.sites {
                site.restart_node()?;
            }
        }
        Fault::StopNode => {
            world.sites[index].calm_since = until + GRACE;
            world.sites[index].node.signal(Signal::Term)?;
            let id = world.sites[index].node.id();
            let ended = Instant::now() + GRACE;
            pending.push((
                Instant::now() + POLL,
                Later::NodeAfterStop(index, id, ended),
            ));
        }
        Fault::FreezeNode => {
            world.sites[index].node.signal(Signal::Stop)?;
            pending.push((until, Later::NodeContinues(index)));
        }
        Fault::ReloadSettings => world.sites[index].node.signal(Signal::Reload)?,
        Fault::StoreAway => {
            let fault = store_fault(world);
            world.store.set_fault(fault);
            pending.push((until, Later::StoreBack));
        }
        Fault::StoreForgets => world.store.discard_history(),
        Fault::StoreAwayFromNode => {
            let mode = mode(world);
            world.sites[index].store_proxy.set_mode(mode);
            pending.push((until, Later::ProxiesBack(index)));
        }
        Fault::TargetCrash => {
            world.sites[index].target = None;
            pending.push((until, Later::TargetBack(index)));
        }
        Fault::TargetLeaves => target_leaves(world, index, until, pending),
        Fault::TargetConnections => {
            connections(world, index, |site| &site.target_proxy, until, pending);
        }
        Fault::LinkConnections => {
            connections(world, index, |site| &site.link_proxy, until, pending);
        }
        Fault::Configuration => world.write_config(),
        Fault::ConfigurationStorm => {
            for _ in 0..5 {
                world.write_config();
                std::thread::sleep(POLL);
            }
        }
        Fault::BadVersion => bad_version(world)?,
    }
    Ok(())
}

fn end(world: &mut World, later: Later, pending: &mut Vec<(Instant, Later)>) -> Result<()> {
    match later {
        Later::StoreBack => world.store.set_fault(StoreFault::None),
        Later::ProxiesBack(index) => world.sites[index].set_proxies(Mode::Pass),
        Later::NodeContinues(index) => {
            world.sites[index].node.signal(Signal::Continue)?;
            world.sites[index].calm_since = Instant::now();
            world.calm.disturb(Duration::ZERO);
        }
        Later::NodeAfterStop(index, id, ended) => {
            let site = &mut world.sites[index];
            if site.node.id() != id {
                // The process was killed and started again meanwhile.
            } else if site.node.exited().is_some() {
                site.restart_node()?;
            } else if Instant::now() > ended && world.calm.is_calm() {
                let name = &site.name;
                world
                    .ledger
                    .broken(format!("STOP: {name} still runs after its grace time"));
                site.restart_node()?;
            } else if Instant::now() > ended + GRACE {
                site.restart_node()?;
            } else {
                let later = Later::NodeAfterStop(index, id, ended);
                pending.push((Instant::now() + POLL, later));
            }
        }
        Later::TargetReplaced(index) => {
            world.sites[index].target = None;
            pending.push((Instant::now() + POLL, Later::TargetBack(index)));
        }
        Later::TargetBack(index) => {
            if world.sites[index].target.is_none() {
                let ledger = Arc::clone(&world.ledger);
                world.sites[index].start_target(&ledger)?;
            }
        }
        Later::LateHeartbeat(index) => {
            if let Some(target) = &world.sites[index].target {
                target.send_late_heartbeat();
            }
        }
    }
    Ok(())
}

/// A target leaves, serves for a while, and another one takes its place. A heartbeat that it
/// sent before may arrive after its leave.
fn target_leaves(
    world: &mut World,
    index: usize,
    until: Instant,
    pending: &mut Vec<(Instant, Later)>,
) {
    let says_draining = world.random.random_bool(0.6);
    let Some(target) = &world.sites[index].target else {
        return;
    };
    let instance = target.instance().to_owned();
    if target.leave(says_draining) {
        world
            .ledger
            .leave_acknowledged(&instance, Instant::now() + DRAIN);
    }
    let gone = until + DRAIN;
    pending.push((until, Later::LateHeartbeat(index)));
    pending.push((gone, Later::TargetReplaced(index)));
    let site = &mut world.sites[index];
    // The target goes on serving until it is replaced.
    site.calm_since = gone;
}

fn connections(
    world: &mut World,
    index: usize,
    proxy: fn(&Site) -> &Proxy,
    until: Instant,
    pending: &mut Vec<(Instant, Later)>,
) {
    if world.random.random_bool(0.4) {
        proxy(&world.sites[index]).reset();
        return;
    }
    let mode = mode(world);
    proxy(&world.sites[index]).set_mode(mode);
    pending.push((until, Later::ProxiesBack(index)));
}

/// One target of a service with two or more others is replaced by a bad version.
fn bad_version(world: &mut World) -> Result<()> {
    if world.trial.is_some() {
        return Ok(());
    }
    let service = SERVICES[world.random.random_range(0..SERVICES.len())];
    let version = "v2-bad".to_owned();
    let ledger = Arc::clone(&world.ledger);
    let hosts: Vec<usize> = (0..world.sites.len())
        .filter(|index| world.sites[*index].service == service)
        .collect();
    let [first, _, _, ..] = hosts.as_slice() else {
        return Ok(());
    };
    ledger.trial_ordered(&version);
    world.store.put(
        "rollouts",
        service,
        wire::rollout(service, &version, FINISH_IN),
    );
    world.sites[*first].start_bad_version(&version, &ledger)?;
    world.trial = Some((service, version, Instant::now() + FINISH_IN));
    Ok(())
}

fn store_fault(world: &mut World) -> StoreFault {
    let faults = [
        StoreFault::Busy,
        StoreFault::RateLimited,
        StoreFault::Reset,
        StoreFault::Unresponsive,
        StoreFault::LosesAnswers,
        StoreFault::LateWrites,
        StoreFault::Slow(Duration::from_millis(250)),
    ];
    faults[world.random.random_range(0..faults.len())]
}

fn mode(world: &mut World) -> Mode {
    let modes = [
        Mode::Delay(Duration::from_millis(60)),
        Mode::CutForward,
        Mode::CutBack,
        Mode::Silence,
    ];
    modes[world.random.random_range(0..modes.len())]
}
