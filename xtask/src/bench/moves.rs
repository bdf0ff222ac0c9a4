//! `bench moves`: runs the decision code of moves (rollouts) against fakes on simulated time.
//!
//! Each move has a scenario: a version that is good or bad in one of several ways, and a
//! disturbance of the system. The baseline runs the same scenarios with fixed linear steps and
//! one global error threshold. The same seed gives the same result.

mod baseline;
mod figures;
mod scenario;
mod simulation;
mod store;
mod traffic;

use std::path::Path;
use std::path::PathBuf;

use gumdrop::Options;
use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_moves::report::Report;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::figures::Figures;
use self::scenario::Scenario;

/// Three moves for each combination of a kind of version and a disturbance.
const DEFAULT_MOVES: u32 = 336;
/// Time after the first faulty answer, in milliseconds; `--wrong` also prints moves whose new
/// version still got requests later than this.
const SLOW_STOP_MS: u64 = 30_000;

/// Options of `bench moves`.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, meta = "S", help = "seed of all random choices")]
    seed: u64,
    #[options(meta = "N", help = "number of moves (default 336)")]
    moves: Option<u32>,
    #[options(
        meta = "DIR",
        help = "directory for an HTML report with a plot per move"
    )]
    plot: Option<PathBuf>,
    #[options(help = "print one line per move that ended wrongly")]
    wrong: bool,
}

/// Runs the bench and prints the figures.
///
/// # Errors
/// A message if a scenario cannot be set up or a plot cannot be written.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    let count = arguments.moves.unwrap_or(DEFAULT_MOVES);
    let mut product = Figures::default();
    let mut baseline = Figures::default();
    for index in 0..count {
        let seed = arguments
            .seed
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            .wrapping_add(u64::from(index));
        let scenario = Scenario::draw(index, &mut SmallRng::seed_from_u64(seed));
        let final_state = simulation::run(&scenario, seed)?;
        if arguments.wrong {
            print_wrong(index, &scenario, &final_state.outcome);
        }
        if let Some(directory) = &arguments.plot {
            write_plot(directory, index, &final_state)?;
        }
        product.add(&scenario, &final_state.outcome);
        baseline.add(&scenario, &baseline::run(&scenario, seed));
    }
    println!("{}", figures::to_json(count, &product, &baseline));
    Ok(())
}

fn print_wrong(index: u32, scenario: &Scenario, outcome: &figures::Outcome) {
    let expected = if scenario.is_bad() {
        MoveStatus::TakenBack
    } else {
        MoveStatus::Done
    };
    let slow = outcome
        .fault_to_zero_ms
        .is_some_and(|time_ms| time_ms > SLOW_STOP_MS);
    if outcome.status != expected || !outcome.on_time || slow {
        println!(
            "move {index}: {:?} after {} ms ({}), fault to zero {:?} ms: {scenario:?}",
            outcome.status, outcome.decided_ms, outcome.reason, outcome.fault_to_zero_ms
        );
    }
}

fn write_plot(
    directory: &Path,
    index: u32,
    final_state: &simulation::FinalState,
) -> Result<(), String> {
    let report = Report::build(
        &final_state.catalogue,
        &final_state.results,
        final_state.now_unix_ms,
    );
    let page = report.to_html().map_err(|error| error.to_string())?;
    std::fs::create_dir_all(directory)
        .and_then(|()| std::fs::write(directory.join(format!("move-{index:04}.html")), page))
        .map_err(|error| format!("{}: {error}", directory.display()))
}
