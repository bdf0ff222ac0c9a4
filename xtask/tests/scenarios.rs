//! Runs every scenario file that is not marked `long` against real processes.

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use xtask::harness::programs::Programs;
use xtask::scenario::command;
use xtask::scenario::model::Scenario;
use xtask::scenario::parser;
use xtask::scenario::runner;

/// Scenarios run at the same time; few, so that their time limits are not missed for lack of
/// processors.
const AT_ONCE: usize = 2;

fn short_scenarios() -> Vec<Scenario> {
    let files = command::all_files().expect("the directory exists");
    let mut scenarios = Vec::new();
    for file in files {
        scenarios.push(parser::read(&file).expect("the file follows the language"));
    }
    let known_red = known_red();
    println!("passed over, see KNOWN-RED.txt: {known_red:?}");
    scenarios.retain(|scenario| !scenario.long && !known_red.contains(&stem(scenario)));
    scenarios
}

/// Returns the scenarios listed in KNOWN-RED.txt, on lines of the form `scenario NAME`.
fn known_red() -> Vec<String> {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let names = text
        .lines()
        .filter_map(|line| line.strip_prefix("scenario "));
    names.map(|name| name.trim().to_owned()).collect()
}

fn stem(scenario: &Scenario) -> String {
    let stem = scenario.file.file_stem();
    stem.map_or_else(String::new, |stem| stem.to_string_lossy().into_owned())
}

/// Guards against failures that occur only between real processes; see each file's first line.
#[test]
fn scenarios_hold() {
    let scenarios = short_scenarios();
    let programs = Programs::locate().expect("the programs can be built");
    let next = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());

    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                while let Some(scenario) = scenarios.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if let Err(error) = runner::run(scenario, &programs, |_| {}) {
                        failures.lock().expect("no panic").push(error.to_string());
                    }
                }
            });
        }
    });

    let failures = failures.into_inner().expect("no panic");
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}
