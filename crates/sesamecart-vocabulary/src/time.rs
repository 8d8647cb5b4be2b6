//! Timestamps, which are passed to code that must not read a clock.

use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::number::ParseNumberError;

/// The error of parsing a timestamp.
pub type ParseTimestampError = ParseNumberError;

/// A point in time, in microseconds since a start that each process chooses.
///
/// Code without side effects gets it as an argument, so that tests, trace replays and measurements can run
/// in virtual time. It is monotonic, and timestamps of different processes aren't comparable.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sesamecart_vocabulary::Timestamp;
///
/// let start = Timestamp::from_millis(5);
/// let now = start + Duration::from_millis(2);
/// assert_eq!(now - start, Duration::from_millis(2));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// The latest timestamp, which is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a timestamp from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the whole milliseconds since the start.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        self.since(rhs)
    }
}

impl FromStr for Timestamp {
    type Err = ParseTimestampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("us").unwrap_or(text);
        number.parse::<crate::Offset>().map(|parsed| Self(parsed.0))
    }
}
