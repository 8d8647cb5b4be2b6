//! Decides whether a failed attempt is retried.
//!
//! A retry budget limits the load when a whole pool of endpoints fails. Without it every request to
//! the failing pool is sent several times, which raises the load while capacity is reduced and
//! prevents the pool from recovering. The budget is a fraction of the first attempts. The node that
//! accepted the caller's request keeps it per pool. No other layer retries, since two layers of
//! three attempts each multiply to nine.
//!
//! Requests are not hedged; docs/policy.md lists what has to be measured first.

use derive_more::Display;
use sesamecart_vocabulary::Timestamp;

use crate::settings::RetrySettings;

#[cfg(test)]
mod tests;

/// How far an attempt had progressed when it failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AttemptProgress {
    /// No byte of the request left the node, or the endpoint reported that it did not run the request.
    #[display("not run")]
    NotRun,
    /// The request may have run, and no part of a response has reached the caller.
    #[display("sent")]
    Sent,
    /// Part of the response has been forwarded. It can only be resumed at its offset, not retried.
    #[display("answering")]
    Answering,
}

/// The properties of a failed attempt that determine whether it is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// How far it had progressed.
    pub progress: AttemptProgress,
    /// Whether the request is safe to run twice.
    pub idempotent: bool,
    /// The number of attempts so far, including this one.
    pub attempts: u32,
    /// The latest start that still meets the deadline.
    pub latest_start: Timestamp,
}

/// The decision about a failed attempt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry at another endpoint.
    Retry,
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The request has used the maximum number of attempts.
    TooManyAttempts,
    /// The pool's retry budget is exhausted.
    BudgetSpent,
    /// A retry could not meet the deadline.
    TooLate,
}

/// The retry budget of one pool: each first attempt adds a fraction of a retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetrySettings,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget, so that the first failures after startup can be retried.
    #[must_use]
    pub const fn new(cfg: RetrySettings) -> Self {
        Self {
            available: cfg.max_saved,
            cfg,
        }
    }

    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.cfg.budget).min(self.cfg.max_saved);
    }

    /// Decides whether to retry a failed attempt, and deducts a retry from the budget if so.
    pub fn decide(&mut self, now: Timestamp, attempt: FailedAttempt) -> RetryDecision {
        let is_safe = match attempt.progress {
            AttemptProgress::NotRun => true,
            AttemptProgress::Sent => attempt.idempotent,
            AttemptProgress::Answering => false,
        };
        if !is_safe {
            return RetryDecision::MayHaveRun;
        }
        if attempt.attempts >= self.cfg.max_attempts {
            return RetryDecision::TooManyAttempts;
        }
        if now > attempt.latest_start {
            return RetryDecision::TooLate;
        }
        if self.available < 1.0 {
            return RetryDecision::BudgetSpent;
        }
        self.available -= 1.0;
        RetryDecision::Retry
    }
}
