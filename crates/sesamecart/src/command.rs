//! The commands.

mod audit;
mod change;
mod configuration;
mod customers;
mod show;

use std::path::Path;

use anyhow::Context as _;
use derive_more::From;
use serde::de::DeserializeOwned;
use sesamecart_administration::ErrorReply;
use sesamecart_config::ProblemReport;

use crate::arguments::{Arguments, Command, Output};
use crate::client::{Client, RequestError};
use crate::environment::Environment;
use crate::exit::Exit;
use crate::replay;

/// Why a command failed.
#[derive(Debug, From)]
enum Failure {
    /// A file or setting.
    Local(anyhow::Error),
    /// The API.
    Request(RequestError),
}

/// What a command needs beside its own options.
struct Session<'a> {
    servers: &'a str,
    token: &'a str,
    output: Output,
}

impl Session<'_> {
    fn client(&self) -> Result<Client, Failure> {
        Ok(Client::new(self.servers, self.token)?)
    }
}

/// Runs a command.
pub(crate) fn run(arguments: Arguments, environment: &Environment) -> Exit {
    let servers = arguments.server.as_deref();
    let session = Session {
        servers: servers.unwrap_or(&environment.servers),
        token: &environment.token,
        output: arguments.output,
    };
    let Some(command) = arguments.command else {
        return Exit::Usage;
    };
    let result = match command {
        Command::Import(options) => configuration::import(&session, &options),
        Command::Check(options) => configuration::check(&session, &options),
        Command::Diff(options) => configuration::diff(&session, &options),
        Command::Publish(options) => change::publish(&session, &options),
        Command::Status(_) => show::status(&session),
        Command::Drain(options) => change::drain(&session, &options, true),
        Command::Undrain(options) => change::drain(&session, &options, false),
        Command::Groups(_) => show::groups(&session),
        Command::Leases(_) => show::leases(&session),
        Command::Customers(options) => customers::run(&session, options),
        Command::Audit(options) => audit::run(&session, &options),
        Command::Replay(options) => Ok(replay::run(&options.traces)),
        Command::Token(_) => customers::token(&session),
    };
    result.unwrap_or_else(report)
}

fn report(failure: Failure) -> Exit {
    match failure {
        Failure::Local(error) => {
            eprintln!("sesamecart: {error:#}.");
            Exit::Failed
        }
        Failure::Request(RequestError::Refused(reply)) => {
            report_refusal(&reply);
            Exit::of(reply.code)
        }
        Failure::Request(RequestError::LostAnswer(error)) => {
            eprintln!("sesamecart: {error:#}; it may have taken effect: repeat it by its name.");
            Exit::Undecided
        }
        Failure::Request(RequestError::NoAnswer(error)) => {
            eprintln!("sesamecart: {error:#}.");
            Exit::Failed
        }
    }
}

fn report_refusal(reply: &ErrorReply) {
    eprintln!("sesamecart: {reply}.");
    print_problems(&reply.problems);
}

/// Returns how many problems there are, in words.
fn count_words(problems: &[ProblemReport]) -> String {
    match problems.len() {
        1 => "1 problem".to_owned(),
        count => format!("{count} problems"),
    }
}

fn print_problems(problems: &[ProblemReport]) {
    for problem in problems {
        eprintln!("  {problem}");
    }
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let text = std::fs::read(path).with_context(|| path.display().to_string())?;
    let value = serde_json::from_slice(&text).with_context(|| path.display().to_string())?;
    Ok(value)
}
