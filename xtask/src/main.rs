//! Development tasks: stand-ins, demo, benches and scenarios.

mod bench;

use std::process::ExitCode;

use gumdrop::Options;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "measure the product against its baseline")]
    Bench(bench::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let result = match arguments.command {
        Some(Command::Bench(arguments)) => bench::run(&arguments),
        None => Err(Arguments::usage().to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}
