use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::RenewalPace;

const MIN_TTL: Duration = Duration::from_millis(1_100);
const INTERVAL: Duration = Duration::from_millis(330);

/// Renews a lease several times, with answers that take `answer_time`, and returns whether it has run out between two
/// renewals, after the first ones.
fn has_run_out(answer_time: Duration) -> bool {
    let mut pace = RenewalPace::default();
    let mut now = Timestamp::ZERO + Duration::from_secs(10);
    let mut expires_at = Timestamp::ZERO;
    let mut has_run_out = false;
    for renewal in 0..20 {
        let (sent, ttl) = (now, pace.ttl(MIN_TTL));
        now = sent + answer_time;
        has_run_out |= renewal > 3 && now >= expires_at;
        pace.record_answer(sent, now);
        expires_at = sent + ttl;
        now = now + INTERVAL + answer_time / 4;
    }
    has_run_out
}

macro_rules! renewal_tests {
    ($($name:ident: $answer_ms:expr;)*) => {
        $(
            /// Guards against control that moves while its holder lives and renews.
            #[test]
            fn $name() {
                assert!(!has_run_out(Duration::from_millis($answer_ms)));
            }
        )*
    };
}

renewal_tests! {
    a_lease_lasts_with_quick_answers: 5;
    a_lease_lasts_with_answers_after_half_a_second: 500;
    a_lease_lasts_with_answers_after_a_second: 1_000;
    a_lease_lasts_with_answers_after_two_seconds: 2_000;
}

/// Guards against a killed holder that is followed later than on a calm machine.
#[test]
fn quick_answers_keep_the_shortest_lease() {
    let mut pace = RenewalPace::default();
    let mut now = Timestamp::ZERO;
    for _ in 0..10 {
        pace.record_answer(now, now + Duration::from_millis(8));
        now = now + INTERVAL;
        assert_eq!(pace.ttl(MIN_TTL), MIN_TTL);
    }
}

/// Guards against a lease that stays long after a slow time.
#[test]
fn the_lease_is_short_again_soon_after_slow_renewals() {
    let mut pace = RenewalPace::default();
    let mut now = Timestamp::ZERO;
    pace.record_answer(now, now + Duration::from_secs(2));
    now = now + Duration::from_secs(4);
    pace.record_answer(now, now + Duration::from_millis(8));
    assert!(pace.ttl(MIN_TTL) > Duration::from_secs(4));
    for _ in 0..8 {
        now = now + INTERVAL;
        pace.record_answer(now, now + Duration::from_millis(8));
    }
    assert_eq!(pace.ttl(MIN_TTL), MIN_TTL);
}

/// Guards against a lease that grows with the length of an outage.
#[test]
fn an_outage_of_the_store_does_not_make_the_lease_longer() {
    let mut pace = RenewalPace::default();
    let now = Timestamp::ZERO;
    pace.record_answer(now, now + Duration::from_millis(8));
    pace.record_outage();
    let later = now + Duration::from_secs(5);
    pace.record_answer(later, later + Duration::from_millis(8));
    assert_eq!(pace.ttl(MIN_TTL), MIN_TTL);
}
