//! What this process and its threads use, as the system counts it.

use std::fs;
use std::time::Duration;

use anyhow::Context as _;
use sesamecart_vocabulary::Bytes;

/// The clock ticks in a second of the counters under `/proc`.
///
/// The kernel's user interface fixes it at 100 on every architecture that the project runs on.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the processor time that the threads whose names begin with `prefix` have used.
///
/// # Errors
///
/// Returns an error when the system's counters can't be read.
pub fn thread_cpu(prefix: &str) -> anyhow::Result<Duration> {
    let mut ticks = 0;
    for entry in fs::read_dir("/proc/self/task").context("list the threads")? {
        // A thread may end between the listing and the reading.
        let Ok(stat) = fs::read_to_string(entry?.path().join("stat")) else {
            continue;
        };
        let Some((name, counters)) = parse(&stat) else {
            continue;
        };
        if name.starts_with(prefix) {
            ticks += counters;
        }
    }
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}

/// Reads a thread's name and its user and system ticks from its `stat` line.
fn parse(stat: &str) -> Option<(&str, u64)> {
    let open = stat.find('(')?;
    let close = stat.rfind(')')?;
    let name = &stat[open + 1..close];
    // After the name come the state and ten more fields before the two counters.
    let mut fields = stat[close + 1..].split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((name, user + system))
}

/// Returns the memory that this process has resident.
///
/// # Errors
///
/// Returns an error when the system's counters can't be read.
pub fn resident() -> anyhow::Result<Bytes> {
    let status = fs::read_to_string("/proc/self/status").context("read the memory in use")?;
    let kib: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .context("no VmRSS line")?
        .parse()?;
    Ok(Bytes(kib * 1024))
}
