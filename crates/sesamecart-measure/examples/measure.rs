//! Measures one part of the system, such as `measure -- path`.
//!
//! The last line that a measurement prints is JSON.

use std::process::ExitCode;

use gumdrop::Options;
use sesamecart_measure::{actions, capacity, control, groups, path, policy, roles, streams};

/// Measures one part of the system against stand-ins on loopback.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    part: Option<Part>,
}

/// What can be measured.
#[derive(Debug, Options)]
enum Part {
    #[options(help = "the tables of docs/CAPACITY.md from the committed measurements")]
    Capacity(capacity::Arguments),
    #[options(help = "keyed actions through nine nodes under faults, and without keys")]
    Actions(actions::Arguments),
    #[options(help = "what agreement costs each node, at growing numbers of nodes")]
    Control(control::Arguments),
    #[options(help = "group downtime and stranded accelerators in a day of failures")]
    Groups(groups::Arguments),
    #[options(help = "the node's own time and processor use on the streaming path")]
    Path(path::Arguments),
    #[options(help = "the decisions under load against simpler ones, in virtual time")]
    Policy(policy::Arguments),
    #[options(help = "what each role's pure code costs at growing sizes")]
    Roles(roles::Arguments),
    #[options(help = "streamed answers under faults, and a rolling restart")]
    Streams(streams::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if let Err(error) =
        simplelog::SimpleLogger::init(log::LevelFilter::Error, simplelog::Config::default())
    {
        eprintln!("measure: no logs: {error}");
    }
    let measured = match arguments.part {
        Some(Part::Capacity(arguments)) => capacity::run(&arguments),
        Some(Part::Actions(arguments)) => actions::run(&arguments),
        Some(Part::Control(arguments)) => control::run(&arguments),
        Some(Part::Groups(arguments)) => groups::run(&arguments),
        Some(Part::Path(arguments)) => path::run(&arguments),
        Some(Part::Policy(arguments)) => policy::run(&arguments),
        Some(Part::Roles(arguments)) => roles::run(&arguments),
        Some(Part::Streams(arguments)) => streams::run(&arguments),
        None => {
            eprintln!("measure: name what to measure:\n{}", Part::usage());
            return ExitCode::from(2);
        }
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}
