//! Rates.

use std::num::ParseFloatError;
use std::str::FromStr;

use derive_more::Display;

/// A number of requests per second. It is finite and not negative.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, PartialOrd)]
#[display("{_0}/s")]
pub struct RequestRate(f64);

/// The error of parsing a [`RequestRate`].
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub enum ParseRateError {
    /// The text isn't a number.
    #[display("{text:?} is not a number of requests per second")]
    NotANumber {
        /// The text.
        text: String,
        /// The cause.
        source: ParseFloatError,
    },
    /// The number is negative or not finite.
    #[display("{text:?} is not a finite number of requests per second of at least 0")]
    OutOfRange {
        /// The text.
        text: String,
    },
}

impl RequestRate {
    /// Returns the rate, or `None` if the number is negative or not finite.
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self(per_s))
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

impl FromStr for RequestRate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim();
        let number = text
            .parse::<f64>()
            .map_err(|source| ParseRateError::NotANumber {
                text: text.to_owned(),
                source,
            })?;
        Self::new(number).ok_or_else(|| ParseRateError::OutOfRange {
            text: text.to_owned(),
        })
    }
}
