//! Measurements of the system; each prints its result as JSON in its last line.

use anyhow::bail;

/// The measurements, by name.
const NAMES: &str = "groups";

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = args.split_first() else {
        bail!("name a measurement: {NAMES}");
    };
    match name.as_str() {
        "groups" => sesamecart_measure::groups::run(rest),
        other => bail!("no measurement {other:?}; there are: {NAMES}"),
    }
}
