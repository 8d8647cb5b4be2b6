//! The node process: `sesamecart-node settings.json`.

use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::{Signal as SystemSignal, Signals};
use futures_lite::{StreamExt as _, future};
use gumdrop::Options;
use sesamecart_config::Settings;
use sesamecart_node::Node;
use sesamecart_runtime::{LogFormat, Signal, start_logs};

/// The exit status for settings or arguments that can't be used.
const BAD_SETTINGS: u8 = 2;
/// The exit status when requests in flight were cut off.
const CUT_OFF: u8 = 3;

/// Runs one node of sesamecart.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "only check the settings and exit")]
    check: bool,
    #[options(
        no_short,
        help = "how log lines are written: text or json",
        default = "text"
    )]
    log_format: LogFormat,
    #[options(no_short, help = "error, warn, info or debug", default = "info")]
    log_level: log::LevelFilter,
    #[options(free, help = "the settings file")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(path) = arguments.settings else {
        eprintln!("sesamecart-node: name the settings file; see --help.");
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("sesamecart-node: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!(
            "{}: the settings of node {} can be used.",
            path.display(),
            settings.node
        );
        return ExitCode::SUCCESS;
    }
    match run(settings, arguments.log_format, arguments.log_level) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(CUT_OFF),
        Err(error) => {
            eprintln!("sesamecart-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the node until it is told to leave and returns the number of connections it cut off.
fn run(
    settings: Settings,
    log_format: LogFormat,
    log_level: log::LevelFilter,
) -> anyhow::Result<usize> {
    start_logs(log_format, log_level)?;
    let mut signals = Signals::new([SystemSignal::Term, SystemSignal::Int])?;
    let node = Node::start(settings)?;
    let (hurry, hurried) = Signal::new();
    async_io::block_on(async {
        signals.next().await;
        // A second signal ends the wait for requests in flight.
        let second = async {
            signals.next().await;
            hurry.give();
            future::pending().await
        };
        Ok(future::or(node.leave(&hurried), second).await)
    })
}
