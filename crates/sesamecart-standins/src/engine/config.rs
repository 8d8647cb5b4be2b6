//! How an engine behaves.

use std::time::Duration;

use sesamecart_vocabulary::{Concurrency, Generation, Tokens, VmId};

use crate::faults::FaultPlan;

/// The faults of an engine.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// How much longer every token takes; 0 for none, 1 for twice the time.
    pub slowdown: f64,
    /// The probability that a request gets the answer of another one.
    pub crossed: f64,
    /// The probability, for each token, that an event of another request comes before it.
    pub foreign_events: f64,
    /// The probability, for each token, that its event comes twice.
    pub doubled_events: f64,
    /// The probability that a stream's connection is cut at a random token.
    pub broken: f64,
    /// The probability that a stream ends in good order before its last token and `[DONE]`.
    pub ended_early: f64,
    /// The probability that a request is refused before running, and the answer says so.
    pub refused: f64,
    /// Milliseconds by which the load report lags.
    pub load_lag_ms: u64,
    /// Milliseconds by which cache events come late.
    pub cache_event_lag_ms: u64,
    /// The probability that a cache event is never reported.
    pub cache_event_gaps: f64,
    /// Milliseconds that an order takes.
    pub order_ms: u64,
    /// Whether a cold engine that gets more than it bears falls over.
    pub falls_when_cold: bool,
    /// Milliseconds that a fallen engine takes to come back, cold.
    pub fall_ms: u64,
}

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// The time to the first token with an empty batch and a cached prompt.
    pub first_token: Duration,
    /// The time for each uncached prompt token.
    pub prompt_token: Duration,
    /// The time for each answer token with an empty batch.
    pub token: Duration,
    /// The number of requests in the batch at which a token takes twice the time.
    pub batch_knee: Concurrency,
}

impl Default for EngineSpeed {
    /// An engine that answers at once, for tests and for measuring the path alone.
    fn default() -> Self {
        Self {
            first_token: Duration::ZERO,
            prompt_token: Duration::ZERO,
            token: Duration::ZERO,
            batch_knee: Concurrency(16),
        }
    }
}

/// The behaviour of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The faults over time.
    pub faults: FaultPlan<EngineFaults>,
    /// How fast it is.
    pub speed: EngineSpeed,
    /// The requests at once that it bears while cold.
    pub cold_limit: Concurrency,
    /// The answers after which it is warm; 0 for an engine that is warm from the start.
    pub warm_after: u32,
    /// The tokens that its KV memory holds.
    pub kv_tokens: Tokens,
    /// The VMs of its group.
    pub members: Vec<VmId>,
    /// The generation that its group starts in.
    pub generation: Generation,
    /// Whether it refuses orders with an old fencing number.
    pub checks_epoch: bool,
    /// Whether it can resume a stream at a token.
    pub resumes: bool,
    /// The prompt blocks that its prefix cache holds.
    pub cache_blocks: usize,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            faults: FaultPlan::default(),
            speed: EngineSpeed::default(),
            cold_limit: Concurrency(2),
            warm_after: 0,
            kv_tokens: Tokens(40_000),
            members: Vec::new(),
            generation: Generation(0),
            checks_epoch: true,
            resumes: true,
            cache_blocks: 4_096,
        }
    }
}
