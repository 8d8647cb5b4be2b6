//! The operators' command line: `sesamecart`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    sesamecart::run(&arguments, &sesamecart::Environment::of_process()).into()
}
