//! Whether an engine is warm, and what it bears while it isn't.

use std::time::Instant;

use sesamecart_vocabulary::Concurrency;

/// An engine's warmth.
#[derive(Debug)]
pub(crate) struct Warmth {
    cold_limit: Concurrency,
    warm_after: u32,
    answers: u32,
    /// Requests that came while the engine was cold and already had as many as it bears.
    pub(crate) overloads: u64,
    /// When a fallen engine is back.
    pub(crate) fallen_until: Option<Instant>,
}

impl Warmth {
    pub(crate) const fn new(cold_limit: Concurrency, warm_after: u32) -> Self {
        Self {
            cold_limit,
            warm_after,
            answers: 0,
            overloads: 0,
            fallen_until: None,
        }
    }

    pub(crate) const fn is_warm(&self) -> bool {
        self.answers >= self.warm_after
    }

    pub(crate) const fn answered(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }

    pub(crate) const fn turn_cold(&mut self) {
        self.answers = 0;
    }

    /// Turns cold and needs a number of answers to be warm again, also if it was born warm.
    pub(crate) fn turn_cold_for(&mut self, answers: u32) {
        self.warm_after = self.warm_after.max(answers);
        self.turn_cold();
    }

    /// Counts a request that makes `running` at once and says whether a cold engine bears it.
    pub(crate) const fn bears(&mut self, running: u32) -> bool {
        let overload = !self.is_warm() && running > self.cold_limit.0;
        if overload {
            self.overloads += 1;
        }
        !overload
    }
}
