//! Runs the whole path in one process and prints what it found.

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    if let Err(error) =
        simplelog::SimpleLogger::init(log::LevelFilter::Error, simplelog::Config::default())
    {
        eprintln!("quickstart: no logs: {error}");
    }
    let examples = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    let findings = match sesamecart_measure::quickstart::run(examples) {
        Ok(findings) => findings,
        Err(error) => {
            eprintln!("quickstart failed: {error:#}");
            return ExitCode::FAILURE;
        }
    };
    match serde_json::to_string(&findings) {
        Ok(line) => {
            println!("quickstart ok: {line}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("quickstart failed: {error}");
            ExitCode::FAILURE
        }
    }
}
