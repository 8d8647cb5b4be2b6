//! Logging of a process: lines as text or JSON, with a rate limit for repeated lines.
//!
//! docs/logs.md lists the prefixes of the components.

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

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One plain-text message per line.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The window of the rate limit.
const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(10);

/// The maximum number of lines that one log statement writes per window.
///
/// An endpoint that is down fails thousands of requests per second, each of which logs the same line. Without
/// the limit they would fill the log storage and hide the line with the cause.
const MAX_LINES_PER_WINDOW: u32 = 20;

/// Installs the process-wide logger, which writes to standard error.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn init_logging(format: LogFormat, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    log::set_max_level(level);
    log::set_boxed_logger(Box::new(RateLimitedLogger::new(format, level)))
}

/// A logger with a rate limit for each log statement.
struct RateLimitedLogger {
    format: LogFormat,
    level: LevelFilter,
    text: Box<dyn SharedLogger>,
    rates: Mutex<HashMap<CallSite, LineRate>>,
}

/// The source location of a log statement.
#[derive(Eq, Hash, PartialEq)]
struct CallSite {
    file: &'static str,
    line: u32,
}

/// The number of lines of one log statement in the current window.
struct LineRate {
    window_start: Instant,
    lines: u32,
}

/// The decision of the rate limit on a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RateDecision {
    Write,
    /// Write the line after a note with the number of lines that were suppressed before it.
    WriteAfterNote(u32),
    Suppress,
}

impl LineRate {
    /// Counts a line and decides whether it is written.
    fn count_line(&mut self, now: Instant) -> RateDecision {
        if now.duration_since(self.window_start) >= RATE_LIMIT_WINDOW {
            let suppressed = self.lines.saturating_sub(MAX_LINES_PER_WINDOW);
            *self = Self {
                window_start: now,
                lines: 1,
            };
            return if suppressed > 0 {
                RateDecision::WriteAfterNote(suppressed)
            } else {
                RateDecision::Write
            };
        }
        self.lines = self.lines.saturating_add(1);
        if self.lines > MAX_LINES_PER_WINDOW {
            RateDecision::Suppress
        } else {
            RateDecision::Write
        }
    }
}

impl RateLimitedLogger {
    fn new(format: LogFormat, level: LevelFilter) -> Self {
        let text = simplelog::WriteLogger::new(level, Config::default(), std::io::stderr());
        Self {
            format,
            level,
            text,
            rates: Mutex::default(),
        }
    }

    fn check_rate(&self, record: &Record<'_>) -> RateDecision {
        let (Some(file), Some(line)) = (record.file_static(), record.line()) else {
            return RateDecision::Write;
        };
        let now = Instant::now();
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        rates
            .entry(CallSite { file, line })
            .or_insert(LineRate {
                window_start: now,
                lines: 0,
            })
            .count_line(now)
    }

    fn write(&self, record: &Record<'_>) {
        match self.format {
            LogFormat::Text => self.text.log(record),
            LogFormat::Json => {
                // There is no other place to report that standard error can't be written to.
                let _ignored = writeln!(std::io::stderr(), "{}", json_line(record));
            }
        }
    }
}

/// Formats a record as a JSON line. The `part` field is the message's prefix up to the first colon.
fn json_line(record: &Record<'_>) -> String {
    let mut message = String::new();
    let _written: fmt::Result = write!(message, "{}", record.args());
    let (part, text) = message.split_once(": ").unwrap_or(("", message.as_str()));
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    json!({
        "time_ms": u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        "level": record.level().as_str(),
        "part": part,
        "message": text,
    })
    .to_string()
}

impl Log for RateLimitedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        match self.check_rate(record) {
            RateDecision::Write => self.write(record),
            RateDecision::WriteAfterNote(suppressed) => {
                let note =
                    format_args!("logs: {suppressed} lines like the next one were suppressed.")
                        .to_string();
                self.write(
                    &Record::builder()
                        .level(record.level())
                        .args(format_args!("{note}"))
                        .build(),
                );
                self.write(record);
            }
            RateDecision::Suppress => {}
        }
    }

    fn flush(&self) {
        self.text.flush();
    }
}
