//! `cargo xtask scenarios`: runs scenario files and prints one line per run.

use std::path::Path;
use std::path::PathBuf;
use std::time::Instant;

use gumdrop::Options;

use crate::errors::Error;
use crate::errors::Result;
use crate::harness::programs::Programs;
use crate::scenario::parser;
use crate::scenario::runner;

/// Options of `cargo xtask scenarios`.
#[derive(Clone, Debug, Options)]
pub struct ScenariosOptions {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Runs per file.
    #[options(default = "1", meta = "N", help = "runs per file")]
    pub repeat: u32,
    /// Print every step.
    #[options(help = "print every step")]
    pub verbose: bool,
    /// Files; all files of the repository when empty.
    #[options(free, help = "scenario files; all when none is given")]
    pub files: Vec<PathBuf>,
}

/// Runs the scenarios and fails if any run failed.
///
/// # Errors
/// [`Error::Unmet`] with the number of failed runs; [`Error::Resource`] and [`Error::Scenario`]
/// for files that cannot be read or parsed.
pub fn run(options: &ScenariosOptions) -> Result<()> {
    let files = if options.files.is_empty() {
        all_files()?
    } else {
        options.files.clone()
    };
    let scenarios = files
        .iter()
        .map(|file| parser::read(file))
        .collect::<Result<Vec<_>>>()?;
    let programs = Programs::locate()?;
    let mut failed = 0;
    for scenario in &scenarios {
        for _ in 0..options.repeat {
            let started = Instant::now();
            let result = runner::run(scenario, &programs, |step| {
                if options.verbose {
                    println!("{:4} {}", step.line, step.text);
                }
            });
            let name = scenario.file.display();
            let elapsed_s = started.elapsed().as_secs_f32();
            match result {
                Ok(()) => println!("ok     {name} ({elapsed_s:.1} s)"),
                Err(error) => {
                    failed += 1;
                    println!("FAILED {name} ({elapsed_s:.1} s): {error}");
                }
            }
        }
    }
    if failed == 0 {
        return Ok(());
    }
    Err(Error::unmet(format!("{failed} scenario run(s) failed")))
}

/// Lists the scenario files of the repository, sorted.
///
/// # Errors
/// [`Error::Resource`] when the directory cannot be read.
pub fn all_files() -> Result<Vec<PathBuf>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let unreadable = |error| Error::resource(directory.display().to_string(), error);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(&directory).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.extension().is_some_and(|suffix| suffix == "scenario") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
