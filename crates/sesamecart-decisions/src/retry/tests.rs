use super::*;

const SENT: FailedAttempt = FailedAttempt {
    progress: AttemptProgress::Sent,
    idempotent: true,
    attempts: 1,
    latest_start: Timestamp::from_millis(100),
};

macro_rules! decides {
    ($($name:ident: $attempt:expr => $decision:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut budget = RetryBudget::new(RetrySettings::default());
            let decision = budget.decide(Timestamp::from_millis(50), $attempt);
            assert_eq!(decision, RetryDecision::$decision);
        }
    )*};
}

decides! {
    idempotent_request_is_retried: SENT => Retry;
    sent_non_idempotent_request_is_not_retried: FailedAttempt { idempotent: false, ..SENT } => MayHaveRun;
    unsent_non_idempotent_request_is_retried:
        FailedAttempt { idempotent: false, progress: AttemptProgress::NotRun, ..SENT } => Retry;
    started_response_is_not_retried: FailedAttempt { progress: AttemptProgress::Answering, ..SENT } => MayHaveRun;
    attempts_are_limited: FailedAttempt { attempts: 3, ..SENT } => TooManyAttempts;
    request_past_its_latest_start_is_not_retried: FailedAttempt { latest_start: Timestamp::from_millis(49), ..SENT } => TooLate;
}

/// Every attempt fails because the whole pool does. Without a budget the endpoints would get three
/// times the load while they recover, and callers would wait for retries that can't succeed.
#[test]
fn retries_to_a_failing_pool_are_limited_by_the_budget() {
    let cfg = RetrySettings::default();
    let mut budget = RetryBudget::new(cfg);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt();
        let mut attempt = SENT;
        while budget.decide(Timestamp::ZERO, attempt) == RetryDecision::Retry {
            retries += 1;
            attempt.attempts += 1;
        }
    }
    let max_retries = 10_000.0 * cfg.budget + cfg.max_saved;
    assert!(f64::from(retries) <= max_retries, "{retries}");
    assert!(f64::from(retries) >= 0.9 * max_retries, "{retries}");
}
