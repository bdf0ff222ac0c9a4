//! Fault soak: real nodes under randomized faults, checked by what callers and targets observe.
//!
//! `cargo xtask soak --seeds N` runs N fresh seeds, `--seed S` repeats one seed. Faults are
//! injected from outside the processes: by signals, loopback proxies and the stand-in for the
//! store.

mod accounts;
mod batches;
pub mod caller;
mod crowds;
mod disturbances;
mod drill;
mod faults;
pub mod ledger;
mod limit_drill;
mod node_process;
pub mod proxy;
pub mod testbed;
pub mod vm_settings;

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use hemlockfall_standins::target::ConnectionBehaviour;
use rand::RngExt;

use crate::errors::Error;
use crate::errors::Result;
use crate::soak::limit_drill::LimitDrill;
use crate::soak::testbed::Testbed;
use crate::soak::testbed::TestbedOptions;

/// Time during which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(9);
const CALLERS_PER_NODE: u64 = 2;
/// Callers that send batches, at the first nodes.
const BATCH_CALLERS: usize = 2;
const RUN_TIME: Duration = Duration::from_millis(15);
const SLOTS: u32 = 8;

/// Options of `cargo xtask soak`.
#[derive(Clone, Debug, Options)]
pub struct SoakOptions {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The only seed to run.
    #[options(no_short, meta = "S", help = "play this seed")]
    pub seed: Option<u64>,
    /// Number of fresh seeds.
    #[options(no_short, meta = "N", help = "play this many fresh seeds (default 1)")]
    pub seeds: Option<u32>,
    /// Number of nodes.
    #[options(no_short, meta = "N", help = "nodes with a target each (default 6)")]
    pub nodes: Option<usize>,
    /// Whether callers outside the limits come as well.
    #[options(no_short, help = "add crowds of callers outside the limits")]
    pub crowds: bool,
    /// Directory for the logs of the processes.
    #[options(
        no_short,
        meta = "DIR",
        help = "directory for logs (default target/soak)"
    )]
    pub logs: Option<PathBuf>,
}

/// Nodes of a run without `--nodes`.
const DEFAULT_NODES: usize = 6;

/// Runs the seeds and fails when any of them had a violation.
///
/// # Errors
/// [`Error::Resource`] with the seeds that had violations, or any error of [`run_seed`].
pub fn run(options: &SoakOptions) -> Result<()> {
    let nodes = options.nodes.unwrap_or(DEFAULT_NODES).max(2);
    let seeds: Vec<u64> = match options.seed {
        Some(seed) => vec![seed],
        None => (0..options.seeds.unwrap_or(1))
            .map(|_| rand::rng().random_range(1..1_000_000))
            .collect(),
    };
    let logs = options.logs.clone().unwrap_or_else(|| "target/soak".into());
    let mut failed_seeds = Vec::new();
    for seed in seeds {
        let violations = play(seed, nodes, &logs, options.crowds)?;
        println!("seed {seed}: {} violations", violations.len());
        for violation in &violations {
            println!("  {violation}");
        }
        if !violations.is_empty() {
            failed_seeds.push(seed.to_string());
        }
    }
    if failed_seeds.is_empty() {
        return Ok(());
    }
    Err(Error::resource("soak seeds", failed_seeds.join(", ")))
}

/// Runs one seed and returns the violations.
///
/// # Errors
/// A process or a stand-in cannot be started.
pub fn run_seed(seed: u64, nodes: usize, logs: &Path) -> Result<Vec<String>> {
    play(seed, nodes, logs, false)
}

/// Runs one seed beside crowds of callers outside the limits and returns the violations.
///
/// # Errors
/// A process or a stand-in cannot be started.
pub fn run_seed_with_crowds(seed: u64, nodes: usize, logs: &Path) -> Result<Vec<String>> {
    play(seed, nodes, logs, true)
}

fn play(seed: u64, nodes: usize, logs: &Path, has_crowds: bool) -> Result<Vec<String>> {
    let limit_random = limit_drill::random_of(seed, nodes);
    if limit_random.is_some() {
        println!("seed {seed} has client accounts, regions, a cold target and an evacuation");
    }
    let directory = logs.join(seed.to_string());
    std::fs::create_dir_all(&directory)
        .map_err(|error| Error::resource(directory.display().to_string(), error))?;
    let options = TestbedOptions {
        seed,
        nodes,
        callers_per_node: CALLERS_PER_NODE,
        run_time: RUN_TIME,
        slots: SLOTS,
        connection_behaviour: ConnectionBehaviour::Keep,
        descriptors: None,
        has_two_regions: limit_random.is_some(),
        has_accounts: limit_random.is_some(),
        memory_mb: testbed::MEMORY_MB,
        directory,
    };
    // The start is tried twice: another program may take a port between its choice and its use.
    let mut testbed = Testbed::start(&options).or_else(|_| Testbed::start(&options))?;
    testbed.wait_until_served();
    testbed.start_batch_callers(BATCH_CALLERS);
    let mut limits = limit_random.map(|random| LimitDrill::begin(&mut testbed, random, FAULT_TIME));
    let (crowds, memory_percent) = if has_crowds {
        (crowds::start(&testbed, seed), crowds::MEMORY_PERCENT)
    } else {
        (Vec::new(), faults::MEMORY_PERCENT)
    };
    faults::inject(&mut testbed, FAULT_TIME, limits.as_mut(), memory_percent)?;
    drop(crowds);
    testbed.heal()?;
    if let Some(limits) = &mut limits {
        limits.reopen(&mut testbed);
    }
    testbed.check_recovery();
    faults::stop_nodes_as_planned(&mut testbed, BATCH_CALLERS)?;
    if let Some(limits) = &mut limits {
        limits.check(&testbed);
    }
    Ok(testbed.finish())
}
