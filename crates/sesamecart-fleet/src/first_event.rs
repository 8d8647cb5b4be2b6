//! How long the first event of a stream is waited for before another head is considered.
//!
//! It answers heads that are busy with prompts. A fixed limit that load exceeds has nodes give up what
//! would have come, and the repeats read the same prompts once more elsewhere. So the limit follows the
//! times that were seen, like a transport's retransmission timeout, and doubles when it ran out at a head
//! that works.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::ModelId;

#[cfg(test)]
mod tests;

/// The shortest wait; an answer that is lost on its way is repeated after it.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Deviations from the mean that are waited beyond it.
const DEVIATIONS: f64 = 4.0;

/// The part of a newly seen time that goes into the mean.
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// The part of a newly seen deviation that goes into the mean deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The most doublings of the wait.
const MAX_BACKOFF: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
    backoff: u32,
}

/// The first events that one node has seen, by model.
#[derive(Clone, Debug, Default)]
pub struct FirstEventTimeouts(IndexMap<ModelId, Estimate>);

impl FirstEventTimeouts {
    /// Notes how long a first event took from the request that was sent.
    pub fn observe(&mut self, model: &ModelId, time: Duration) {
        let seen_s = time.as_secs_f64();
        let Some(estimate) = self.0.get_mut(model) else {
            let estimate = Estimate {
                mean_s: seen_s,
                deviation_s: seen_s / 2.0,
                backoff: 0,
            };
            self.0.insert(model.clone(), estimate);
            return;
        };
        let deviation_s = (seen_s - estimate.mean_s).abs();
        estimate.deviation_s += (deviation_s - estimate.deviation_s) * DEVIATION_GAIN;
        estimate.mean_s += (seen_s - estimate.mean_s) * MEAN_GAIN;
        estimate.backoff = 0;
    }

    /// Notes that a wait ran out at a head that works: it has more to do than the times seen so far show.
    pub fn expire(&mut self, model: &ModelId) {
        if let Some(estimate) = self.0.get_mut(model) {
            estimate.backoff = (estimate.backoff + 1).min(MAX_BACKOFF);
        }
    }

    /// Returns how long a first event is waited for.
    #[must_use]
    pub fn timeout(&self, model: &ModelId) -> Duration {
        let Some(estimate) = self.0.get(model) else {
            return MIN_FIRST_EVENT_TIMEOUT;
        };
        let expected_s = estimate.mean_s + DEVIATIONS * estimate.deviation_s;
        let expected = Duration::try_from_secs_f64(expected_s).unwrap_or_default();
        expected.max(MIN_FIRST_EVENT_TIMEOUT) * (1 << estimate.backoff)
    }
}
