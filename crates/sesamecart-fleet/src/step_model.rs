//! The time that a group takes to read prompts and to write answers, calculated from the configured step
//! times.
//!
//! The number of slots limits how many requests a group holds, not how many it can serve in time:
//! docs/design/shifted-work.md has the figures. The times apply to a model with a pace of 1; those of other
//! models are multiplied by their pace.

use std::time::Duration;

use crate::millis::from_millis;

/// The fraction of a group's slots that are busy when it works at about the load that it can serve in time.
///
/// Above that, few more requests share the time of a step, and each of them waits longer.
const BUSY_SLOT_FRACTION: f64 = 0.6;

/// The token counts of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenCounts {
    /// The number of prompt tokens.
    pub prompt: f64,
    /// The number of answer tokens.
    pub answer: f64,
}

/// The configured times of a group's work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepModel {
    /// The time of one step in milliseconds. A step writes one token of each running answer.
    pub step_ms: f64,
    /// The additional time of a step per running answer, in milliseconds.
    pub step_ms_per_answer: f64,
    /// The number of prompt tokens read per millisecond.
    pub read_tokens_per_ms: f64,
    /// The maximum number of prompt tokens read between two passes.
    pub chunk_tokens: f64,
    /// The number of steps per pass.
    pub steps_per_pass: u32,
    /// The token counts of a mean request.
    pub mean: TokenCounts,
}

impl StepModel {
    /// Returns whether times can be calculated. A step time or reading rate of 0 isn't usable.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let positive = [self.step_ms, self.read_tokens_per_ms, self.chunk_tokens];
        let non_negative = [
            self.step_ms_per_answer,
            self.mean.prompt,
            self.mean.answer,
            f64::from(self.steps_per_pass),
        ];
        positive
            .iter()
            .all(|value| value.is_finite() && *value > 0.0)
            && non_negative
                .iter()
                .all(|value| value.is_finite() && *value >= 0.0)
    }

    /// Returns the time that a group takes to read a prompt.
    fn reading_time(&self, prompt_tokens: f64, pace: f64) -> Duration {
        from_millis(prompt_tokens / self.read_tokens_per_ms * pace)
    }

    /// Returns the number of requests that a group can hold while each of them starts in time.
    ///
    /// A pass reads one chunk of prompts, and each request takes as many passes as its answer needs. With
    /// more requests than that, the group reads prompts all the time and still falls behind: slots are
    /// free, but each prompt waits for those before it.
    #[must_use]
    pub fn concurrency(&self, tokens: TokenCounts) -> f64 {
        let prompts_per_pass = self.chunk_tokens / tokens.prompt.max(1.0);
        let passes = tokens.answer / f64::from(self.steps_per_pass.max(1));
        prompts_per_pass * passes.max(1.0)
    }

    /// Returns the time that a group takes at most for a pass with this many running answers, in which it also reads
    /// a chunk of prompts.
    #[must_use]
    pub fn longest_pass(&self, answers: u32, pace: f64) -> Duration {
        let step_ms = self.step_ms + self.step_ms_per_answer * f64::from(answers);
        let steps = f64::from(self.steps_per_pass.max(1));
        self.reading_time(self.chunk_tokens, pace) + from_millis(step_ms * steps * pace)
    }

    /// Returns the time that a request occupies a group that works at about the load that it can serve in
    /// time.
    #[must_use]
    pub fn group_time(&self, tokens: TokenCounts, slots: u32, pace: f64) -> Duration {
        let answers = (f64::from(slots) * BUSY_SLOT_FRACTION).max(1.0);
        let step_ms = self.step_ms / answers + self.step_ms_per_answer;
        self.reading_time(tokens.prompt, pace) + from_millis(tokens.answer * step_ms * pace)
    }
}
