//! Measures parts of sesamecart; `cargo run --release --example measure -- policy` and so on.

use gumdrop::Options;
use sesamecart_measure::policy::{self, PolicyOptions};

#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "the decisions under load against simpler ones, in virtual time")]
    Policy(PolicyOptions),
}

fn main() -> anyhow::Result<()> {
    let options = MeasureOptions::parse_args_default_or_exit();
    match options.command {
        Some(Command::Policy(options)) => policy::run(&options),
        None => anyhow::bail!("name what to measure:\n{}", MeasureOptions::usage()),
    }
}
