//! Whether a failed attempt may be sent again.
//!
//! It answers the failure of a whole pool of endpoints. Without a budget every request of a failing
//! pool is sent several times, so that the load rises just when less can be borne, and the pool
//! can't come back. The budget is a share of the first attempts, kept per pool by the node that
//! faces the caller; no other layer retries, since two layers of three attempts make nine.
//!
//! There is no hedging: docs/policy.md says what would have to be measured first.

use derive_more::Display;
use sesamecart_vocabulary::Timestamp;

use crate::settings::RetrySettings;

#[cfg(test)]
mod tests;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Progress {
    /// No byte of the request left the node, or the endpoint said that it ran nothing.
    #[display("not run")]
    NotRun,
    /// The request may have run, and the caller has seen nothing of an answer.
    #[display("sent")]
    Sent,
    /// A part of the answer has been passed on; only a resume at its offset may follow.
    #[display("answering")]
    Answering,
}

/// A failed attempt, as the decision needs to know it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// How far it had come.
    pub progress: Progress,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// The number of attempts so far, this one included.
    pub attempts: u32,
    /// The latest start that still meets the deadline.
    pub start_by: Timestamp,
}

/// What happens after a failed attempt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send it to another endpoint.
    Retry,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// It has had all the attempts that one request gets.
    TooManyAttempts,
    /// Too large a share of the traffic is retries already.
    BudgetSpent,
    /// An answer would come too late.
    TooLate,
}

/// The retries that one pool's traffic has earned.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetrySettings,
    saved: f64,
}

impl RetryBudget {
    /// Makes a full budget, so that the first failures after a start can be retried.
    #[must_use]
    pub const fn new(cfg: RetrySettings) -> Self {
        Self {
            saved: cfg.max_saved,
            cfg,
        }
    }

    /// Counts a first attempt, which earns a share of a retry.
    pub fn first_attempt(&mut self) {
        self.saved = (self.saved + self.cfg.budget).min(self.cfg.max_saved);
    }

    /// Decides about a failed attempt and takes a retry out of the budget.
    pub fn decide(&mut self, now: Timestamp, attempt: FailedAttempt) -> RetryDecision {
        let may_repeat = match attempt.progress {
            Progress::NotRun => true,
            Progress::Sent => attempt.idempotent,
            Progress::Answering => false,
        };
        if !may_repeat {
            return RetryDecision::MayHaveRun;
        }
        if attempt.attempts >= self.cfg.max_attempts {
            return RetryDecision::TooManyAttempts;
        }
        if now > attempt.start_by {
            return RetryDecision::TooLate;
        }
        if self.saved < 1.0 {
            return RetryDecision::BudgetSpent;
        }
        self.saved -= 1.0;
        RetryDecision::Retry
    }
}
