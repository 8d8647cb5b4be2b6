//! Tests of which requests the authority for a limit admits.

use std::time::Duration;

use sesamecart_vocabulary::{RequestRate, Timestamp};

use crate::endpoint_limit::{
    AdmissionCounts, LimitAuthority, LimitObservation, Permit, PermitRequest,
};
use crate::number::Incarnation;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn limit(per_s: f64, sent_ms: u64) -> LimitObservation {
    LimitObservation {
        endpoint: "e".parse().expect("a valid id"),
        incarnation: Some(Incarnation(1)),
        limit: RequestRate::new(per_s),
        sent_at: at(sent_ms),
    }
}

fn ended(sent_ms: u64) -> LimitObservation {
    LimitObservation {
        limit: None,
        ..limit(0.0, sent_ms)
    }
}

fn request(limit: LimitObservation, customer: &str, priority: u8) -> PermitRequest {
    PermitRequest {
        limit,
        customer: Some(customer.parse().expect("a valid name")),
        priority,
    }
}

/// Asks every 10 ms for each of `claimants`, in turn, and returns how many permits each of them gets in a time.
fn admitted(per_s: f64, claimants: &[(&str, u8)], duration: Duration) -> Vec<usize> {
    let mut authority = LimitAuthority::default();
    let mut admitted = vec![0; claimants.len()];
    for step in 0..duration.as_millis() as u64 / 10 {
        let index = step as usize % claimants.len();
        let (customer, priority) = claimants[index];
        let req = request(limit(per_s, 0), customer, priority);
        if authority.request(at(step * 10), &req) == Permit::Granted {
            admitted[index] += 1;
        }
    }
    admitted
}

/// A new authority doesn't know what another one has just admitted.
#[test]
fn an_authority_that_knows_nothing_starts_with_an_empty_bucket() {
    let mut authority = LimitAuthority::default();
    let req = request(limit(2.0, 0), "c", 0);
    let Permit::Denied(retry_after) = authority.request(at(0), &req) else {
        panic!("it has a token");
    };
    assert_eq!(
        authority.request(at(retry_after.as_millis() as u64 + 1), &req),
        Permit::Granted,
        "the time that it gave is right"
    );
}

#[test]
fn an_unused_limit_is_not_saved_up() {
    let mut authority = LimitAuthority::default();
    let req = request(limit(2.0, 0), "c", 0);
    let _first = authority.request(at(0), &req);
    let granted = (0..10).filter(|_| authority.request(at(60_000), &req) == Permit::Granted);
    assert_eq!(granted.count(), 1);
}

#[test]
fn the_end_of_a_limit_ends_permits_and_is_announced_once() {
    let mut authority = LimitAuthority::default();
    let endpoint = limit(2.0, 0).endpoint;
    let req = request(limit(2.0, 0), "c", 0);
    let _first = authority.request(at(0), &req);
    let started = authority.take_announcement(at(0), &endpoint);
    assert_eq!(started.and_then(|limit| limit.limit), RequestRate::new(2.0));
    assert_eq!(authority.take_announcement(at(10), &endpoint), None);
    authority.observe(at(20), &ended(10));
    assert_eq!(authority.request(at(30), &req), Permit::Unlimited);
    let announced = authority.take_announcement(at(30), &endpoint);
    assert_eq!(announced.map(|limit| limit.limit), Some(None));
    assert_eq!(authority.take_announcement(at(40), &endpoint), None);
}

/// A node that missed the end claims that the limit holds, from a request that was sent before it.
#[test]
fn an_old_claim_does_not_bring_a_limit_back() {
    let mut authority = LimitAuthority::default();
    authority.observe(at(0), &limit(2.0, 0));
    authority.observe(at(20), &ended(10));
    let old = request(limit(2.0, 5), "c", 0);
    assert_eq!(authority.request(at(30), &old), Permit::Unlimited);
    let new = request(limit(2.0, 30), "c", 0);
    assert!(matches!(authority.request(at(40), &new), Permit::Denied(_)));
}

#[test]
fn a_new_incarnation_has_no_limit() {
    let mut authority = LimitAuthority::default();
    authority.observe(at(0), &limit(2.0, 0));
    let reborn = LimitObservation {
        incarnation: Some(Incarnation(2)),
        ..ended(10)
    };
    authority.observe(at(20), &reborn);
    let old = request(limit(2.0, 15), "c", 0);
    assert_eq!(authority.request(at(30), &old), Permit::Unlimited);
}

#[test]
fn a_limit_that_changes_is_kept_at_once() {
    let mut authority = LimitAuthority::default();
    authority.observe(at(0), &limit(1.0, 0));
    authority.observe(at(10), &limit(10.0, 10));
    let req = request(limit(10.0, 10), "c", 0);
    assert_eq!(authority.request(at(200), &req), Permit::Granted);
    authority.observe(at(210), &limit(1.0, 205));
    let req = request(limit(1.0, 205), "c", 0);
    let granted = (0..100).filter(|step| {
        let now = at(220 + step * 10);
        authority.request(now, &req) == Permit::Granted
    });
    assert!(granted.count() <= 2);
}

/// Admitted requests per claimant: a customer that asks as often as the others gets no more than they do, and
/// more urgent requests go first.
macro_rules! shares {
    ($($name:ident: $claimants:expr => $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let counts = admitted(5.0, &$claimants, Duration::from_secs(30));
                let check: fn(&[usize]) -> bool = $check;
                assert!(check(&counts), "{counts:?}");
                assert!(counts.iter().sum::<usize>() >= 90, "the limit is used: {counts:?}");
            }
        )*
    };
}

shares! {
    customers_share_evenly: [("a", 1), ("b", 1)] => |n| n[0].abs_diff(n[1]) <= 10;
    a_customer_with_most_of_the_requests_gets_no_more: [("a", 1), ("a", 1), ("a", 1), ("b", 1)]
        => |n| (n[0] + n[1] + n[2]).abs_diff(n[3]) <= 14;
    urgent_requests_go_first: [("a", 5), ("a", 0)] => |n| n[1] > 8 * n[0];
    urgency_goes_before_fairness: [("a", 5), ("b", 0)] => |n| n[1] > 8 * n[0];
    one_customer_alone_uses_the_limit: [("a", 5)] => |n| n[0] >= 90;
}

#[test]
fn claimants_are_bounded() {
    let mut authority = LimitAuthority::default();
    for number in 0..10_000 {
        let req = request(limit(2.0, 0), &format!("c{number}"), 0);
        let _permit = authority.request(at(number), &req);
    }
    let counts = authority.counts(&limit(2.0, 0).endpoint);
    let total = counts.map(|AdmissionCounts { admitted, denied }| admitted + denied);
    assert_eq!(total, Some(10_000));
    assert!(authority.claimants() <= 64);
}

/// Limits that can't be kept as they are written still give finite times.
#[test]
fn extreme_limits_are_decided() {
    for per_s in [0.0, f64::MIN_POSITIVE, 1e-9, 1e300, f64::MAX] {
        let mut authority = LimitAuthority::default();
        let req = request(limit(per_s, 0), "c", 0);
        let _first = authority.request(at(0), &req);
        let granted = (0..1_000).filter(|step| {
            let now = at(step * 10);
            authority.request(now, &req) == Permit::Granted
        });
        let granted = granted.count();
        assert!(
            if per_s < 1.0 {
                granted <= 2
            } else {
                granted > 900
            },
            "{per_s}: {granted}"
        );
    }
}
