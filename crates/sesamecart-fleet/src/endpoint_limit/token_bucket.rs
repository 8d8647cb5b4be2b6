//! The token bucket from which requests to a limited endpoint are admitted.

use std::time::Duration;

use sesamecart_vocabulary::{RequestRate, Timestamp};

/// The fraction of the limit that one authority admits.
///
/// While nodes can't reach each other, two authorities may admit requests to the same endpoint. Both together
/// stay below the one and a half times the limit that the endpoint bears.
const ADMITTED_FRACTION: f64 = 0.72;

/// The lowest rate of admitted requests, whatever the limit. Only a response shows that a limit has ended.
const MIN_ADMITTED_PER_S: f64 = 0.1;

/// The number of requests that may be admitted at once at a low limit.
const BASE_BURST: f64 = 1.5;

/// The time whose worth of requests may be admitted at once in addition.
const BURST_TIME: Duration = Duration::from_millis(100);

/// How full the bucket has to be for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Demand {
    /// The request takes the next token.
    Next,
    /// The request leaves the next tokens to others and takes one only if the bucket is full, since the token
    /// would be lost otherwise.
    Surplus,
}

/// The tokens for the requests to one endpoint. The bucket is empty at first.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time after which there will be a token if nobody else takes it.
    pub(super) fn try_take(
        &mut self,
        now: Timestamp,
        limit: RequestRate,
        demand: Demand,
    ) -> Result<(), Duration> {
        let per_s = admitted_per_s(limit);
        let capacity = BASE_BURST + limit.per_s() * BURST_TIME.as_secs_f64();
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * per_s).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        let needed = match demand {
            Demand::Next => 1.0,
            Demand::Surplus => capacity,
        };
        if self.tokens < needed {
            return Err(Duration::from_secs_f64((needed - self.tokens) / per_s));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// Returns the rate at which one authority admits requests to an endpoint.
fn admitted_per_s(limit: RequestRate) -> f64 {
    (limit.per_s() * ADMITTED_FRACTION).max(MIN_ADMITTED_PER_S)
}
