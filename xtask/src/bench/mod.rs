//! Benches: each prints its figures as one JSON object on the last line.

mod accounts;
mod calls;
mod distribute;
mod moves;

use gumdrop::Options;

/// Command line of `cargo xtask bench`.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "the request path with real processes, against a baseline proxy")]
    Calls(calls::Arguments),
    #[options(help = "serve the target of `bench calls`")]
    Echo(calls::echo::Arguments),
    #[options(help = "serve the baseline proxy of `bench calls`")]
    Proxy(calls::proxy::Arguments),
    #[options(help = "configuration distribution with real nodes on one machine")]
    Distribute(distribute::Arguments),
    #[options(help = "many seeded moves, good and bad, on simulated time")]
    Moves(moves::Arguments),
    #[options(help = "lookup time and memory of client accounts")]
    Accounts(accounts::Arguments),
}

/// Runs the selected bench.
///
/// # Errors
/// A message for the operator.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    match &arguments.command {
        Some(Command::Calls(arguments)) => calls::run(arguments),
        Some(Command::Echo(arguments)) => calls::echo::run(arguments),
        Some(Command::Proxy(arguments)) => calls::proxy::run(arguments),
        Some(Command::Distribute(arguments)) => distribute::run(arguments),
        Some(Command::Moves(arguments)) => moves::run(arguments),
        Some(Command::Accounts(arguments)) => accounts::run(arguments),
        None => Err(Arguments::usage().to_owned()),
    }
}
