//! The node process: `sesamecart-node settings.json`, or `sesamecart-node --platform settings.json` on
//! the users' platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use async_signal::{Signal as SystemSignal, Signals};
use futures_lite::{StreamExt as _, future};
use gumdrop::Options;
use sesamecart_config::Settings;
use sesamecart_entry::EntrySettings;
use sesamecart_node::Node;
use sesamecart_runtime::{LogFormat, Signal, init_logging};
use sesamecart_vocabulary::NodeId;

/// The exit status for settings or arguments that can't be used.
const BAD_SETTINGS: u8 = 2;
/// The exit status when requests in flight were cut off.
const CUT_OFF: u8 = 3;
/// Names the settings file where no argument does.
const SETTINGS_VARIABLE: &str = "SESAMECART_CONFIG";

/// Runs one node of sesamecart.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "only check the settings and exit")]
    check: bool,
    #[options(no_short, help = "run on the platform's store and registry")]
    platform: bool,
    #[options(
        no_short,
        help = "how log lines are written: text or json",
        default = "text"
    )]
    log_format: LogFormat,
    #[options(no_short, help = "error, warn, info or debug", default = "info")]
    log_level: log::LevelFilter,
    #[options(free, help = "the settings file; SESAMECART_CONFIG names it otherwise")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let variable = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = arguments.settings.clone().or_else(variable) else {
        eprintln!("sesamecart-node: name the settings file; see --help.");
        return ExitCode::from(BAD_SETTINGS);
    };
    let outcome = if arguments.platform {
        run_on_platform(&path, &arguments)
    } else {
        run_alone(&path, &arguments)
    };
    match outcome {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sesamecart-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_alone(path: &Path, arguments: &Arguments) -> anyhow::Result<ExitCode> {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => return Ok(bad_settings(&error)),
    };
    if arguments.check {
        return Ok(good_settings(path, &settings.node));
    }
    let cut_off = run(settings, arguments.log_format, arguments.log_level)?;
    Ok(exit_code(cut_off))
}

fn run_on_platform(path: &Path, arguments: &Arguments) -> anyhow::Result<ExitCode> {
    let settings = match EntrySettings::read(path) {
        Ok(settings) => settings,
        Err(error) => return Ok(bad_settings(&error)),
    };
    if arguments.check {
        return Ok(good_settings(path, &settings.node));
    }
    init_logging(arguments.log_format, arguments.log_level)?;
    let cut_off = sesamecart_entry::run(path, settings)?;
    Ok(exit_code(cut_off))
}

fn bad_settings(error: &impl std::error::Error) -> ExitCode {
    eprintln!("sesamecart-node: {error}");
    ExitCode::from(BAD_SETTINGS)
}

fn good_settings(path: &Path, node: &NodeId) -> ExitCode {
    println!(
        "{}: the settings of node {node} can be used.",
        path.display()
    );
    ExitCode::SUCCESS
}

fn exit_code(cut_off: usize) -> ExitCode {
    if cut_off == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(CUT_OFF)
    }
}

/// Runs the node until it is told to leave and returns the number of connections it cut off.
fn run(
    settings: Settings,
    log_format: LogFormat,
    log_level: log::LevelFilter,
) -> anyhow::Result<usize> {
    init_logging(log_format, log_level)?;
    let mut signals = Signals::new([SystemSignal::Term, SystemSignal::Int])?;
    let node = Node::start(settings)?;
    let (hurry, hurried) = Signal::new();
    async_io::block_on(async {
        signals.next().await;
        // A second signal ends the wait for requests in flight.
        let second = async {
            signals.next().await;
            hurry.set();
            future::pending().await
        };
        Ok(future::or(node.leave(&hurried), second).await)
    })
}
