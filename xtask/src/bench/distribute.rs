//! `bench distribute`: measures configuration distribution with real nodes in 3 regions and
//! 7 data centres on one machine, with emulated network delays, compared with a baseline in which
//! every node watches the store.

mod catalogue;
mod figures;
mod fleet;
mod herd;
mod measure;
mod observe;
mod phantoms;
mod plot;

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use serde_json::Map;
use serde_json::Value;

use crate::harness::programs::Programs;

use self::fleet::Mode;
use self::fleet::Setup;
use self::measure::Plan;

const DEFAULT_CHANGES: u32 = 10;
/// Interval between changes: 23,000 changes per day are one in 3.75 s.
const DEFAULT_INTERVAL_MS: u64 = 3_750;
/// Start of the port range, below the ports that other harnesses choose from.
const DEFAULT_FIRST_PORT: u16 = 2_000;
const DEFAULT_STORE_READS_PER_S: u32 = 2_000;
const DEFAULT_SETTLE_S: u64 = 12;
const DEFAULT_IDLE_S: u64 = 15;

/// Options of `bench distribute`.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, meta = "N", help = "number of nodes")]
    nodes: usize,
    #[options(meta = "K", help = "number of changes (default 10)")]
    changes: Option<u32>,
    #[options(meta = "MS", help = "time between changes (default 3750)")]
    interval_ms: Option<u64>,
    #[options(meta = "S", help = "time without changes (default 15)")]
    idle_s: Option<u64>,
    #[options(
        meta = "S",
        help = "time from the start to the measurement (default 12)"
    )]
    settle_s: Option<u64>,
    #[options(help = "leave the baseline out")]
    product_only: bool,
    #[options(meta = "P", help = "first port of the run's range (default 2000)")]
    first_port: Option<u16>,
    #[options(
        meta = "R",
        help = "reads that the store serves per second (default 2000)"
    )]
    store_reads_per_s: Option<u32>,
    #[options(meta = "DIR", help = "directory for a plot of the convergence times")]
    plot: Option<PathBuf>,
    #[options(help = "measure the restart of a data centre and of all nodes instead")]
    herd: bool,
    #[options(
        meta = "N",
        help = "measure with tables that hold N more records instead"
    )]
    phantoms: Option<usize>,
}

/// Runs the bench and prints the figures.
///
/// # Errors
/// A message if processes cannot be started or do not become ready.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    let setup = Setup {
        programs: Programs::locate().map_err(|error| error.to_string())?,
        nodes: arguments.nodes,
        first_port: arguments.first_port.unwrap_or(DEFAULT_FIRST_PORT),
        store_reads_per_s: arguments
            .store_reads_per_s
            .unwrap_or(DEFAULT_STORE_READS_PER_S),
    };
    if arguments.herd {
        let figures = herd::run(&setup)?;
        println!("{}", Value::Object(figures));
        return Ok(());
    }
    if let Some(count) = arguments.phantoms {
        let figures = phantoms::run(&setup, count)?;
        println!("{}", Value::Object(figures));
        return Ok(());
    }
    let plan = Plan {
        changes: arguments.changes.unwrap_or(DEFAULT_CHANGES),
        interval: Duration::from_millis(arguments.interval_ms.unwrap_or(DEFAULT_INTERVAL_MS)),
        settle: Duration::from_secs(arguments.settle_s.unwrap_or(DEFAULT_SETTLE_S)),
        idle: Duration::from_secs(arguments.idle_s.unwrap_or(DEFAULT_IDLE_S)),
    };
    let product = measure::run(&setup, &plan, Mode::Product)?;
    let mut figures = Map::new();
    figures.insert("nodes".to_owned(), arguments.nodes.into());
    product.write("", &mut figures);
    if arguments.product_only {
        println!("{}", Value::Object(figures));
        return Ok(());
    }
    // Prints the figures of the product now, so that they are not lost if the baseline fails.
    eprintln!("{}", Value::Object(figures.clone()));
    let baseline = measure::run(&setup, &plan, Mode::Baseline)?;
    if let Some(directory) = &arguments.plot {
        plot::write(directory, &product.convergence_ms, &baseline.convergence_ms)?;
    }
    baseline.write("baseline_", &mut figures);
    println!("{}", Value::Object(figures));
    Ok(())
}
