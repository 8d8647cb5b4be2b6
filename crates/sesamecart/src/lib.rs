//! The operators' command line, as a library so that tests can run its commands.
//!
//! docs/operators.md shows it by task.

mod arguments;
mod client;
mod command;
mod environment;
mod exit;
mod help;
mod output;
mod replay;

pub use environment::Environment;
pub use exit::Exit;
pub use replay::{ReplayError, replay_file};

/// Runs one command and returns with which status the process should end.
#[must_use]
pub fn run(arguments: &[String], environment: &Environment) -> Exit {
    match arguments::parse(arguments) {
        Ok(arguments::Parsed::Help(text)) => {
            println!("{text}");
            Exit::Done
        }
        Ok(arguments::Parsed::Run(arguments)) => command::run(arguments, environment),
        Err(message) => {
            eprintln!("sesamecart: {message}; see --help.");
            Exit::Usage
        }
    }
}
