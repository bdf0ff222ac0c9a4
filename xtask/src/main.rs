//! Development tasks: `cargo xtask store|target|caller|demo|scenarios`.

use std::process::ExitCode;

use gumdrop::Options;
use xtask::caller;
use xtask::caller::CallerOptions;
use xtask::demo;
use xtask::demo::DemoOptions;
use xtask::harness::process;
use xtask::scenario::command;
use xtask::scenario::command::ScenariosOptions;
use xtask::store;
use xtask::store::StoreOptions;
use xtask::target;
use xtask::target::TargetOptions;

/// `Arguments` are the arguments of `cargo xtask`.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    task: Option<Task>,
}

/// `Task` is one development task.
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
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if !matches!(arguments.task, Some(Task::Demo(_) | Task::Scenarios(_))) {
        process::end_with_harness();
    }
    let result = match arguments.task {
        Some(Task::Store(options)) => store::run(&options),
        Some(Task::Target(options)) => target::run(options),
        Some(Task::Caller(options)) => caller::run(options),
        Some(Task::Demo(options)) => demo::run(&options),
        Some(Task::Scenarios(options)) => command::run(&options),
        None => {
            eprintln!("{}", Arguments::usage());
            eprintln!("{}", Arguments::command_list().unwrap_or_default());
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
