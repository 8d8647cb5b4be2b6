//! How long a group takes to read prompts and to write answers, as the operator describes its engines.
//!
//! Slots say how many requests a group holds, not what it can do in time: docs/design/shifted-work.md
//! has the figures. Times are for a model whose pace is 1; a group's are that many times longer.

use std::time::Duration;

/// The part of a group's slots that are busy when it does about as much as it can in time.
///
/// Beyond it the time of a step is shared by few more requests, and each waits longer.
const BUSY_SLOTS: f64 = 0.6;

/// The tokens of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens of the answer.
    pub answer: f64,
}

/// The times of a group's work, as its service's configuration gives them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepModel {
    /// Milliseconds of a step, which writes one token of each answer.
    pub step_ms: f64,
    /// Milliseconds that each answer adds to a step.
    pub step_ms_per_answer: f64,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Prompt tokens that are read between two passes at most.
    pub chunk_tokens: f64,
    /// Steps of a pass.
    pub steps_per_pass: u32,
    /// The tokens of a mean request.
    pub mean: TokenCounts,
}

impl StepModel {
    /// Returns whether times can be worked out from it: a step or a reading rate of 0 gives none.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let positive = [self.step_ms, self.read_tokens_per_ms, self.chunk_tokens];
        let others = [
            self.step_ms_per_answer,
            self.mean.prompt,
            self.mean.answer,
            f64::from(self.steps_per_pass),
        ];
        positive
            .iter()
            .all(|value| value.is_finite() && *value > 0.0)
            && others
                .iter()
                .all(|value| value.is_finite() && *value >= 0.0)
    }

    /// Returns how long a group reads a prompt.
    fn reading_time(&self, prompt_tokens: f64, pace: f64) -> Duration {
        millis(prompt_tokens / self.read_tokens_per_ms * pace)
    }

    /// Returns how many requests a group holds at once while each of them begins in time.
    ///
    /// A pass reads one chunk of prompts, and each request takes as many passes as its answer has. With more
    /// requests than that the group reads prompts all the time and still falls behind: slots are free, and
    /// each prompt waits for those before it.
    #[must_use]
    pub fn concurrency(&self, tokens: TokenCounts) -> f64 {
        let prompts_per_pass = self.chunk_tokens / tokens.prompt.max(1.0);
        let passes = tokens.answer / f64::from(self.steps_per_pass.max(1));
        prompts_per_pass * passes.max(1.0)
    }

    /// Returns the time that a request takes of a group which works on about as many as it can in time.
    #[must_use]
    pub fn group_time(&self, tokens: TokenCounts, slots: u32, pace: f64) -> Duration {
        let answers = (f64::from(slots) * BUSY_SLOTS).max(1.0);
        let step_ms = self.step_ms / answers + self.step_ms_per_answer;
        self.reading_time(tokens.prompt, pace) + millis(tokens.answer * step_ms * pace)
    }
}

fn millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or(Duration::MAX)
}
