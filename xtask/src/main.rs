//! Development tasks: `cargo xtask store|target|caller|demo|scenarios|soak|bench`.

use std::fmt;
use std::process::ExitCode;

use gumdrop::Options;
use xtask::bench;
use xtask::caller;
use xtask::caller::CallerOptions;
use xtask::demo;
use xtask::demo::DemoOptions;
use xtask::harness::process;
use xtask::scenario::command;
use xtask::scenario::command::ScenariosOptions;
use xtask::soak;
use xtask::soak::SoakOptions;
use xtask::store;
use xtask::store::StoreOptions;
use xtask::target;
use xtask::target::TargetOptions;

/// Arguments of `cargo xtask`.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    task: Option<Task>,
}

/// Development task.
#[derive(Debug, Options)]
enum Task {
    #[options(help = "serve the store stand-in")]
    Store(StoreOptions),
    #[options(help = "serve the target stand-in")]
    Target(TargetOptions),
    #[options(help = "send requests and print their outcomes")]
    Caller(CallerOptions),
    #[options(help = "run a small installation for a minute and check its guarantees")]
    Demo(DemoOptions),
    #[options(help = "run scenario files against real processes")]
    Scenarios(ScenariosOptions),
    #[options(help = "run nodes under randomized faults and check their promises")]
    Soak(SoakOptions),
    #[options(help = "measure the product against its baseline")]
    Bench(bench::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let is_stand_in = matches!(
        arguments.task,
        Some(Task::Store(_) | Task::Target(_) | Task::Caller(_))
    );
    if is_stand_in {
        process::exit_with_harness();
    }
    match arguments.task {
        Some(Task::Store(options)) => exit_code(store::run(&options)),
        Some(Task::Target(options)) => exit_code(target::run(options)),
        Some(Task::Caller(options)) => exit_code(caller::run(options)),
        Some(Task::Demo(options)) => exit_code(demo::run(&options)),
        Some(Task::Scenarios(options)) => exit_code(command::run(&options)),
        Some(Task::Soak(options)) => exit_code(soak::run(&options)),
        Some(Task::Bench(options)) => exit_code(bench::run(&options)),
        None => {
            eprintln!("{}", Arguments::usage());
            eprintln!("{}", Arguments::command_list().unwrap_or_default());
            ExitCode::from(2)
        }
    }
}

fn exit_code<E: fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
