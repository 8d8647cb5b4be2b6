//! The predicted time from sending a request to its first event.

use super::message::PoolSpec;

/// The multiple of the mean absolute deviation below which 95 in 100 of normally distributed errors lie.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// The multiple below which a little more than half of them lie.
const LIKELY_DEVIATIONS: f64 = 0.15;

/// The deviation that is assumed before a start has been observed.
const INITIAL_DEVIATION_MS: f64 = 5.0;

/// The weight of a new error in the learned values.
const LEARNING_RATE: f64 = 0.02;

/// The multiple of the deviation to which a single error is limited, so that a few slow endpoints don't change the
/// prediction for all others.
const MAX_ERROR_DEVIATIONS: f64 = 4.0;

/// The limit of a single error while the deviation is small.
const MIN_ERROR_LIMIT_MS: f64 = 20.0;

impl PoolSpec {
    /// Returns the time that the steps of one pass take.
    pub(super) fn steps_ms(&self, running: usize) -> f64 {
        let step_ms = self.steps.step_ms + self.steps.step_ms_per_answer * running as f64;
        self.pace * f64::from(self.steps.steps_per_pass.max(1)) * step_ms
    }

    /// Returns the time per prompt token while each pass reads a full chunk.
    pub(super) fn token_ms(&self, running: usize) -> f64 {
        self.pace / self.steps.read_tokens_per_ms + self.steps_ms(running) / self.steps.chunk_tokens
    }

    /// Returns the time in which a group reads `tokens` prompt tokens. A prompt arrives at any point of a pass, so
    /// the number of passes beyond the first isn't rounded.
    pub(super) fn reading_ms(&self, tokens: f64, running: usize) -> f64 {
        let passes = (tokens / self.steps.chunk_tokens).max(1.0);
        self.pace * tokens / self.steps.read_tokens_per_ms + passes * self.steps_ms(running)
    }

    /// Returns the time in which a group writes an answer while it also reads prompts in each pass.
    pub(super) fn writing_ms(&self, tokens: f64, running: usize) -> f64 {
        let passes = tokens / f64::from(self.steps.steps_per_pass.max(1));
        let chunk_ms = self.pace * self.steps.chunk_tokens / self.steps.read_tokens_per_ms;
        passes * (self.steps_ms(running) + chunk_ms)
    }
}

/// What observed starts take beyond the time of the step model, over all endpoints of a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartOverhead {
    base_ms: f64,
    deviation_ms: f64,
    observed: u32,
}

impl StartOverhead {
    pub(super) const fn new() -> Self {
        Self {
            base_ms: 0.0,
            deviation_ms: INITIAL_DEVIATION_MS,
            observed: 0,
        }
    }

    /// Returns the part of the time that no configuration states.
    pub(super) const fn base_ms(self) -> f64 {
        self.base_ms
    }

    /// Returns the time by which 95 in 100 starts are at most later than predicted.
    pub(super) fn margin_ms(self) -> f64 {
        MARGIN_DEVIATIONS * self.deviation_ms
    }

    /// Returns the time by which more than half of all starts are at most later than predicted.
    pub(super) fn likely_margin_ms(self) -> f64 {
        LIKELY_DEVIATIONS * self.deviation_ms
    }

    /// Records a start that took `overhead_ms` longer than the step model says.
    pub(super) fn record(&mut self, overhead_ms: f64) {
        if self.observed == 0 {
            self.base_ms = overhead_ms.max(0.0);
        }
        self.observed = self.observed.saturating_add(1);
        let limit = (MAX_ERROR_DEVIATIONS * self.deviation_ms).max(MIN_ERROR_LIMIT_MS);
        let error = (overhead_ms - self.base_ms).clamp(-limit, limit);
        let rate = LEARNING_RATE.max(1.0 / f64::from(self.observed));
        self.base_ms = (self.base_ms + rate * error).max(0.0);
        self.deviation_ms += LEARNING_RATE * (error.abs() - self.deviation_ms);
    }
}
