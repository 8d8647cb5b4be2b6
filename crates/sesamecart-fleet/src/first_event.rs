//! Timeouts for the first event of a stream, after which another head is considered.
//!
//! With a fixed timeout, nodes would give up on busy heads whose responses are still coming, and the retries
//! would read the same prompts again on other heads. Therefore the timeout follows the observed times, like
//! a transport's retransmission timeout, and doubles when it expires at a head that is working.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::ModelId;

#[cfg(test)]
mod tests;

/// The minimum timeout, after which a lost response is retried.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The number of mean deviations that the timeout exceeds the mean by.
const DEVIATION_FACTOR: f64 = 4.0;

/// The weight of a new time in the moving mean.
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// The weight of a new deviation in the moving mean deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The maximum number of times that the timeout is doubled.
const MAX_BACKOFF: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
    backoff: u32,
}

/// The timeouts of one node, by model.
#[derive(Clone, Debug, Default)]
pub struct FirstEventTimeouts(IndexMap<ModelId, Estimate>);

impl FirstEventTimeouts {
    /// Records the time from sending a request to its first event.
    pub fn observe(&mut self, model: &ModelId, time: Duration) {
        let observed_s = time.as_secs_f64();
        let Some(estimate) = self.0.get_mut(model) else {
            let estimate = Estimate {
                mean_s: observed_s,
                deviation_s: observed_s / 2.0,
                backoff: 0,
            };
            self.0.insert(model.clone(), estimate);
            return;
        };
        let deviation_s = (observed_s - estimate.mean_s).abs();
        estimate.deviation_s += (deviation_s - estimate.deviation_s) * DEVIATION_GAIN;
        estimate.mean_s += (observed_s - estimate.mean_s) * MEAN_GAIN;
        estimate.backoff = 0;
    }

    /// Records that the timeout expired at a head that is working, which means that its load is higher than
    /// the observed times show.
    pub fn expire(&mut self, model: &ModelId) {
        if let Some(estimate) = self.0.get_mut(model) {
            estimate.backoff = (estimate.backoff + 1).min(MAX_BACKOFF);
        }
    }

    /// Returns the timeout for the first event.
    #[must_use]
    pub fn timeout(&self, model: &ModelId) -> Duration {
        let Some(estimate) = self.0.get(model) else {
            return MIN_FIRST_EVENT_TIMEOUT;
        };
        let expected_s = estimate.mean_s + DEVIATION_FACTOR * estimate.deviation_s;
        let expected = Duration::try_from_secs_f64(expected_s).unwrap_or_default();
        expected.max(MIN_FIRST_EVENT_TIMEOUT) * (1 << estimate.backoff)
    }
}
