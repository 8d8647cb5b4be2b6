//! Logs of a process: short lines as text or JSON, with repeated lines limited.
//!
//! docs/logs.md lists the prefixes of the parts.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use derive_more::{Display, FromStr};
use log::{LevelFilter, Log, Metadata, Record};
use serde::{Deserialize, Serialize};
use serde_json::json;
use simplelog::{Config, SharedLogger};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One short sentence a line.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The window in which repeated lines are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// How many lines of one place in the code are written in a window.
///
/// An endpoint that is out fails thousands of requests a second with the same line. Written out, they
/// would fill the log's space and hide the one line that tells why.
const LINES_PER_WINDOW: u32 = 20;

/// Starts the process's logs on standard error.
///
/// # Errors
///
/// Returns an error when logs were started before.
pub fn start_logs(format: LogFormat, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    log::set_max_level(level);
    log::set_boxed_logger(Box::new(LimitedLogger::new(format, level)))
}

/// Writes lines, and no more than a few of one place in the code in a while.
struct LimitedLogger {
    format: LogFormat,
    level: LevelFilter,
    text: Box<dyn SharedLogger>,
    places: Mutex<HashMap<Place, Repeats>>,
}

#[derive(Eq, Hash, PartialEq)]
struct Place {
    file: &'static str,
    line: u32,
}

struct Repeats {
    since: Instant,
    lines: u32,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Write,
    /// Write it, and that so many before it were left out.
    WriteAfter(u32),
    LeaveOut,
}

impl Repeats {
    fn count(&mut self, now: Instant) -> Verdict {
        if now.duration_since(self.since) >= WINDOW {
            let left_out = self.lines.saturating_sub(LINES_PER_WINDOW);
            *self = Self {
                since: now,
                lines: 1,
            };
            return if left_out > 0 {
                Verdict::WriteAfter(left_out)
            } else {
                Verdict::Write
            };
        }
        self.lines = self.lines.saturating_add(1);
        if self.lines > LINES_PER_WINDOW {
            Verdict::LeaveOut
        } else {
            Verdict::Write
        }
    }
}

impl LimitedLogger {
    fn new(format: LogFormat, level: LevelFilter) -> Self {
        let text = simplelog::WriteLogger::new(level, Config::default(), std::io::stderr());
        Self {
            format,
            level,
            text,
            places: Mutex::default(),
        }
    }

    fn verdict(&self, record: &Record<'_>) -> Verdict {
        let (Some(file), Some(line)) = (record.file_static(), record.line()) else {
            return Verdict::Write;
        };
        let now = Instant::now();
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        places
            .entry(Place { file, line })
            .or_insert(Repeats {
                since: now,
                lines: 0,
            })
            .count(now)
    }

    fn write(&self, record: &Record<'_>) {
        match self.format {
            LogFormat::Text => self.text.log(record),
            LogFormat::Json => {
                // A line that can't be written has nowhere else to go.
                let _lost = writeln!(std::io::stderr(), "{}", json_line(record));
            }
        }
    }
}

/// Makes the JSON line of a record; the part is the fixed prefix before the first colon.
fn json_line(record: &Record<'_>) -> String {
    let mut message = String::new();
    let _written: fmt::Result = write!(message, "{}", record.args());
    let (part, text) = message.split_once(": ").unwrap_or(("", message.as_str()));
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    json!({
        "time_ms": u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        "level": record.level().as_str(),
        "part": part,
        "message": text,
    })
    .to_string()
}

impl Log for LimitedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        match self.verdict(record) {
            Verdict::Write => self.write(record),
            Verdict::WriteAfter(left_out) => {
                let note =
                    format_args!("logs: {left_out} lines like the next were left out.").to_string();
                self.write(
                    &Record::builder()
                        .level(record.level())
                        .args(format_args!("{note}"))
                        .build(),
                );
                self.write(record);
            }
            Verdict::LeaveOut => {}
        }
    }

    fn flush(&self) {
        self.text.flush();
    }
}
