//! Command line: parsing, dispatch, exit codes and printing of failures.

pub mod arguments;
pub mod pages;

mod check;
mod explain;
mod failure;
mod node;
mod output;
mod remote;
mod sidecar;
mod tables;

use std::ffi::OsString;
use std::process::ExitCode;

use gumdrop::Options;

use crate::cli::arguments::Arguments;
use crate::cli::arguments::Command;
use crate::cli::failure::Failure;
use crate::cli::failure::Result;

/// Executes the command line of the process and returns its exit status: 0 done, 1 failed, 2 usage,
/// 3 outcome unknown, 4 conflict.
#[must_use]
pub fn run() -> ExitCode {
    match run_with(std::env::args_os().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            failure.print();
            failure.exit_code()
        }
    }
}

fn run_with(arguments: impl Iterator<Item = OsString>) -> Result<()> {
    let arguments: Vec<String> = arguments.map(to_text).collect::<Result<_>>()?;
    if arguments.iter().any(|argument| argument == "--version") {
        return output::print(concat!("hemlockfall ", env!("CARGO_PKG_VERSION"), "\n"));
    }
    let parsed = Arguments::parse_args_default(&arguments)
        .map_err(|error| Failure::usage(error.to_string()))?;
    if parsed.help_requested() {
        return output::print(&help(&parsed));
    }
    let Some(command) = parsed.command else {
        return Err(Failure::usage("a command is missing"));
    };
    dispatch(command)
}

fn to_text(argument: OsString) -> Result<String> {
    argument
        .into_string()
        .map_err(|argument| Failure::usage(format!("{} is not valid UTF-8", argument.display())))
}

fn dispatch(command: Command) -> Result<()> {
    match command {
        Command::Node(options) => node::run(&options),
        Command::Sidecar(options) => sidecar::run(&options),
        Command::Catalogue(options) => remote::catalogue(options),
        Command::Move(options) => remote::change_move(options),
        Command::Status(options) => remote::status(&options),
        Command::Report(options) => remote::report(&options),
        Command::Explain(options) => explain::run(&options),
        Command::Check(options) => check::run(&options),
        Command::Errors(options) => pages::print_errors(options.format),
        Command::Settings(options) => pages::print_settings(options.format),
    }
}

/// Returns the help text of the innermost command named.
fn help(arguments: &Arguments) -> String {
    let mut names = String::from("hemlockfall");
    let mut innermost: &dyn Options = arguments;
    while let Some(command) = innermost.command() {
        innermost = command;
        if let Some(name) = command.command_name() {
            names.push(' ');
            names.push_str(name);
        }
    }
    let mut text = format!("Usage: {names} [OPTIONS]\n\n{}\n", innermost.self_usage());
    if let Some(commands) = innermost.self_command_list() {
        text.push_str("\nCommands:\n");
        text.push_str(commands);
        text.push('\n');
    }
    text.push_str("\n`--version` prints the version. Exit status: 0 done, 1 failed, 2 usage, ");
    text.push_str("3 outcome unknown, 4 conflict.\n");
    text
}
