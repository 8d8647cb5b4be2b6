//! What heads held some time ago.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

/// The interval at which the state of heads is recorded.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// The state of one head.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadNews {
    pub requests: f64,
    pub unread_tokens: f64,
}

/// The states of all heads over time.
#[derive(Debug, Default)]
pub struct History {
    samples: Vec<Vec<HeadNews>>,
}

impl History {
    pub fn push(&mut self, sample: Vec<HeadNews>) {
        self.samples.push(sample);
    }

    /// Returns the states at a time, or nothing before the first sample.
    pub fn at(&self, at: Timestamp) -> Option<&Vec<HeadNews>> {
        let index = at.0 / SAMPLE_INTERVAL.as_micros() as u64;
        let last = self.samples.len().checked_sub(1)?;
        self.samples.get((index as usize).min(last))
    }
}
