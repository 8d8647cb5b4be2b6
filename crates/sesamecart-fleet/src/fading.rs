//! Sums and rates in which what is long past counts less and less.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// The part of its time that a rate counts as covered at least: its first event alone would make it endless.
const MIN_COVERED: f64 = 0.2;

/// A sum that fades to about a third within a given time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FadingSum {
    sum: f64,
    at: Timestamp,
    fades: Duration,
}

impl FadingSum {
    /// Makes a sum of nothing that fades within `fades`.
    pub(crate) const fn new(fades: Duration) -> Self {
        Self {
            sum: 0.0,
            at: Timestamp::ZERO,
            fades,
        }
    }

    pub(crate) fn at(self, now: Timestamp) -> f64 {
        self.sum * faded(now.since(self.at), self.fades)
    }

    pub(crate) fn add(&mut self, now: Timestamp, value: f64) {
        self.sum = self.at(now) + value;
        self.at = now;
    }
}

/// Returns the time that a sum covers whose first value came `age` ago: one that has just begun to grow covers
/// less than the time over which it fades.
pub(crate) fn covered(age: Duration, fades: Duration) -> Duration {
    fades.mul_f64(1.0 - faded(age, fades))
}

/// How many events a second there were lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FadingRate {
    events: FadingSum,
    first_at: Option<Timestamp>,
}

impl FadingRate {
    /// Makes a rate that forgets what is older than a few times `fades`.
    pub(crate) const fn new(fades: Duration) -> Self {
        Self {
            events: FadingSum::new(fades),
            first_at: None,
        }
    }

    pub(crate) fn note(&mut self, now: Timestamp, events: f64) {
        self.first_at.get_or_insert(now);
        self.events.add(now, events);
    }

    /// Returns the events a second.
    pub(crate) fn per_s(&self, now: Timestamp) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        let fades = self.events.fades;
        let covered = covered(now.since(first_at), fades).max(fades.mul_f64(MIN_COVERED));
        self.events.at(now) / covered.as_secs_f64()
    }
}

fn faded(age: Duration, fades: Duration) -> f64 {
    (-age.as_secs_f64() / fades.as_secs_f64()).exp()
}
