//! The played pools: their nodes, heads, step times and requests.

use std::time::Duration;

use sesamecart_fleet::{PoolSpec, StepModel, TokenCounts};

/// The coefficient of variation of the lengths of answers.
const ANSWER_VARIATION: f64 = 0.7;

/// The largest length of an answer or a prompt, as a multiple of the mean.
const MAX_LENGTH_FACTOR: f64 = 3.5;

/// A pool and the requests of its callers.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub nodes: usize,
    pub heads: usize,
    pub slots: u32,
    /// The mean requests per second of all callers.
    pub per_s: f64,
    /// The coefficient of variation of the lengths of prompts.
    pub prompt_variation: f64,
    /// The promised time to the first event.
    pub target: Duration,
    pub spec: PoolSpec,
}

impl Shape {
    /// Few large heads, prompts of equal length.
    pub const fn few_heads() -> Self {
        Self {
            nodes: 61,
            heads: 13,
            slots: 48,
            per_s: 314.0,
            prompt_variation: 0.0,
            target: Duration::from_millis(250),
            spec: PoolSpec {
                steps: StepModel {
                    step_ms: 6.45,
                    step_ms_per_answer: 0.0967,
                    read_tokens_per_ms: 56.1,
                    chunk_tokens: 2_048.0,
                    steps_per_pass: 5,
                    mean: TokenCounts {
                        prompt: 674.0,
                        answer: 150.0,
                    },
                },
                pace: 0.6,
                kv_capacity_tokens: Some(2_470_000.0),
            },
        }
    }

    /// Heads of 20 slots, prompts of varying length.
    pub const fn many_heads() -> Self {
        Self {
            nodes: 105,
            heads: 40,
            slots: 20,
            per_s: 365.0,
            prompt_variation: 0.89,
            target: Duration::from_millis(300),
            spec: PoolSpec {
                steps: StepModel {
                    step_ms: 7.8,
                    step_ms_per_answer: 0.0947,
                    read_tokens_per_ms: 45.9,
                    chunk_tokens: 2_048.0,
                    steps_per_pass: 6,
                    mean: TokenCounts {
                        prompt: 674.0,
                        answer: 168.0,
                    },
                },
                pace: 0.6,
                kv_capacity_tokens: Some(1_860_000.0),
            },
        }
    }

    /// The heads and requests of [`Self::many_heads`], scaled to 380 nodes.
    pub const fn largest() -> Self {
        Self {
            nodes: 380,
            heads: 165,
            per_s: 365.0 * 165.0 / 40.0,
            ..Self::many_heads()
        }
    }

    /// Returns the time between two arrivals.
    pub fn draw_interval(&self, load: f64, rng: &mut fastrand::Rng) -> Duration {
        let mean_s = 1.0 / (self.per_s * load);
        Duration::from_secs_f64(-mean_s * (1.0 - rng.f64()).ln())
    }

    /// Returns the tokens of a request.
    pub fn draw_tokens(&self, rng: &mut fastrand::Rng) -> TokenCounts {
        let mean = self.spec.steps.mean;
        TokenCounts {
            prompt: draw_length(mean.prompt, self.prompt_variation, rng),
            answer: draw_length(mean.answer, ANSWER_VARIATION, rng),
        }
    }
}

/// Draws from a log-normal distribution.
fn draw_length(mean: f64, variation: f64, rng: &mut fastrand::Rng) -> f64 {
    let variance = (1.0 + variation * variation).ln();
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    let factor = (variance.sqrt() * normal - variance / 2.0).exp();
    mean * factor.min(MAX_LENGTH_FACTOR)
}
