use super::*;

const SENT: FailedAttempt = FailedAttempt {
    progress: Progress::Sent,
    idempotent: true,
    attempts: 1,
    start_by: Timestamp::from_millis(100),
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
    idempotent_work_is_sent_again: SENT => Retry;
    a_transfer_that_was_sent_is_not: FailedAttempt { idempotent: false, ..SENT } => MayHaveRun;
    a_transfer_that_was_not_sent_is:
        FailedAttempt { idempotent: false, progress: Progress::NotRun, ..SENT } => Retry;
    an_answer_that_began_is_not: FailedAttempt { progress: Progress::Answering, ..SENT } => MayHaveRun;
    three_attempts_are_enough: FailedAttempt { attempts: 3, ..SENT } => TooManyAttempts;
    late_work_is_not: FailedAttempt { start_by: Timestamp::from_millis(49), ..SENT } => TooLate;
}

/// A whole pool fails, so every attempt does. Without a budget the endpoints would get three times
/// the load while they try to come back, and callers would wait for nothing.
#[test]
fn a_failing_pool_gets_a_tenth_more_and_not_three_times_the_load() {
    let cfg = RetrySettings::default();
    let mut budget = RetryBudget::new(cfg);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.first_attempt();
        let mut attempt = SENT;
        while budget.decide(Timestamp::ZERO, attempt) == RetryDecision::Retry {
            retries += 1;
            attempt.attempts += 1;
        }
    }
    let most = 10_000.0 * cfg.budget + cfg.max_saved;
    assert!(f64::from(retries) <= most, "{retries}");
    assert!(f64::from(retries) >= 0.9 * most, "{retries}");
}
