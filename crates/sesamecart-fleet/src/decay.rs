//! Sums and rates with exponential decay.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// The lower bound of the time that a sum is divided by to get a rate, as a fraction of the time constant.
/// Without it, the first event alone would give an infinite rate.
const MIN_COVERED_FRACTION: f64 = 0.2;

/// A sum that decays exponentially, to about a third within its time constant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Timestamp,
    time_constant: Duration,
}

impl DecayingSum {
    /// Creates an empty sum with the given time constant.
    pub(crate) const fn new(time_constant: Duration) -> Self {
        Self {
            sum: 0.0,
            updated_at: Timestamp::ZERO,
            time_constant,
        }
    }

    pub(crate) fn at(self, now: Timestamp) -> f64 {
        self.sum * decay_factor(now.since(self.updated_at), self.time_constant)
    }

    pub(crate) fn add(&mut self, now: Timestamp, value: f64) {
        self.sum = self.at(now) + value;
        self.updated_at = now;
    }
}

/// Returns the time that a decaying sum covers if its first value was added `age` ago. A sum that has just
/// started covers less than its time constant.
pub(crate) fn covered_time(age: Duration, time_constant: Duration) -> Duration {
    time_constant.mul_f64(1.0 - decay_factor(age, time_constant))
}

/// The recent rate of events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    events: DecayingSum,
    first_at: Option<Timestamp>,
}

impl DecayingRate {
    /// Creates a rate with the given time constant. Events that are a few time constants old no longer
    /// count.
    pub(crate) const fn new(time_constant: Duration) -> Self {
        Self {
            events: DecayingSum::new(time_constant),
            first_at: None,
        }
    }

    pub(crate) fn record(&mut self, now: Timestamp, events: f64) {
        self.first_at.get_or_insert(now);
        self.events.add(now, events);
    }

    /// Returns the events per second.
    pub(crate) fn per_s(&self, now: Timestamp) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        let time_constant = self.events.time_constant;
        let covered = covered_time(now.since(first_at), time_constant)
            .max(time_constant.mul_f64(MIN_COVERED_FRACTION));
        self.events.at(now) / covered.as_secs_f64()
    }
}

fn decay_factor(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
