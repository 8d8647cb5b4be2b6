//! Tests of what a node knows about limits.

use sesamecart_vocabulary::Timestamp;

use crate::endpoint_limit::{KnownLimits, LimitChange, LimitObservation};
use crate::number::Incarnation;

use sesamecart_vocabulary::RequestRate;

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).expect("a valid rate")
}

fn observation(incarnation: u64, sent_ms: u64, limit: Option<f64>) -> LimitObservation {
    LimitObservation {
        endpoint: "e".parse().expect("a valid id"),
        incarnation: Some(Incarnation(incarnation)),
        limit: limit.map(rate),
        sent_at: at(sent_ms),
    }
}

/// What one node observes, in order: the time at which a request was sent, the time of its response, and the
/// limit in it.
macro_rules! observations {
    ($($name:ident: [$(($incarnation:literal, $sent:literal, $received:literal, $limit:expr)),*] => $left:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut known = KnownLimits::default();
                $(
                    let seen = observation($incarnation, $sent, $limit);
                    let _change = known.observe(at($received), &seen);
                )*
                let limit = known.limited().next().and_then(|(_, known)| known.limit());
                assert_eq!(limit, Option::<f64>::map($left, rate));
            }
        )*
    };
}

observations! {
    a_limit_holds_while_responses_name_it: [(1, 0, 5, Some(3.0)), (1, 10, 15, Some(3.0))] => Some(3.0);
    a_limit_may_rise_and_fall: [(1, 0, 5, Some(3.0)), (1, 10, 15, Some(5.0)), (1, 20, 25, Some(2.0))] => Some(2.0);
    a_response_without_the_limit_ends_it: [(1, 0, 5, Some(3.0)), (1, 10, 15, None)] => None;
    an_ended_limit_may_come_back: [(1, 0, 5, Some(3.0)), (1, 10, 15, None), (1, 20, 25, Some(1.0))] => Some(1.0);
    a_late_response_does_not_bring_an_ended_limit_back: [(1, 0, 5, Some(3.0)), (1, 10, 15, None), (1, 2, 900, Some(3.0))] => None;
    a_late_response_does_not_end_a_limit: [(1, 10, 15, Some(3.0)), (1, 2, 900, None)] => Some(3.0);
    a_new_incarnation_has_no_limit: [(1, 0, 5, Some(3.0)), (2, 10, 15, None)] => None;
    an_old_incarnation_says_nothing_about_the_new_one: [(1, 0, 5, Some(3.0)), (2, 10, 15, None), (1, 20, 25, Some(3.0))] => None;
    an_endpoint_without_a_limit_is_not_remembered: [(1, 0, 5, None)] => None;
}

#[test]
fn changes_are_reported_once() {
    let mut known = KnownLimits::default();
    let mut observe = |sent, limit| known.observe(at(sent + 5), &observation(1, sent, limit));
    assert_eq!(observe(0, Some(3.0)), Some(LimitChange::Limited(rate(3.0))));
    assert_eq!(observe(10, Some(3.0)), None);
    assert_eq!(
        observe(20, Some(2.0)),
        Some(LimitChange::Limited(rate(2.0)))
    );
    let ended = LimitChange::Ended(std::time::Duration::from_millis(30));
    assert_eq!(observe(30, None), Some(ended));
    assert_eq!(observe(40, None), None);
}

#[test]
fn ended_limits_and_unknown_endpoints_are_forgotten() {
    let mut known = KnownLimits::default();
    let _change = known.observe(at(5), &observation(1, 0, Some(3.0)));
    known.prune(at(1_000_000), |_| true);
    assert_eq!(known.limited().count(), 1, "a limit holds until it ends");
    let _change = known.observe(at(1_000_005), &observation(1, 1_000_000, None));
    known.prune(at(1_100_000), |_| true);
    assert!(known.is_empty());
    let _change = known.observe(at(1_100_005), &observation(1, 1_100_000, Some(3.0)));
    known.prune(at(1_100_006), |_| false);
    assert!(known.is_empty());
}
