use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_property::check_property;
use sesamecart_vocabulary::{Bytes, CustomerId, RequestClass, Timestamp, Tokens, Weight};

use super::*;
use crate::settings::AdmissionSettings;

const SECOND: u64 = 1_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

/// A short interactive request of customer `name` with a deadline of ten seconds.
fn short(ticket: u64, name: &str) -> Request {
    Request {
        ticket: Ticket(ticket),
        class: RequestClass::Interactive,
        customer: customer(name),
        weight: Weight(1),
        cost: Tokens(100),
        kv: Tokens(500),
        prefix: None,
        size: Bytes(1_000),
        deadline: at(10 * SECOND),
        expected_time_to_first_byte: Duration::from_millis(100),
        expected_duration: Duration::from_secs(1),
    }
}

fn long(ticket: u64, name: &str) -> Request {
    Request {
        cost: Tokens(5_000),
        kv: Tokens(12_000),
        expected_duration: Duration::from_secs(8),
        ..short(ticket, name)
    }
}

fn never_fits() -> impl Fn(&Request) -> bool {
    |_| false
}

fn queue(requests: impl IntoIterator<Item = Request>) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    for request in requests {
        assert_eq!(
            admission.offer(at(0), request, never_fits()),
            AdmissionDecision::Wait
        );
    }
    admission
}

fn drain_order(admission: &mut Admission) -> Vec<u64> {
    let next = || {
        admission
            .next(at(1), |_| true)
            .map(|request| request.ticket.0)
    };
    std::iter::from_fn(next).collect()
}

macro_rules! serves_in_order {
    ($($name:ident: $requests:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(drain_order(&mut queue($requests)), $expected);
        }
    )*};
}

serves_in_order! {
    by_arrival: [short(1, "a"), short(2, "a")] => [1, 2];
    by_class: [
        Request { class: RequestClass::Batch, ..short(1, "a") },
        short(2, "a"),
        Request { class: RequestClass::Action, ..short(3, "a") },
    ] => [3, 2, 1];
    customers_alternate: [short(1, "a"), short(2, "a"), short(3, "a"), short(4, "b")] => [1, 4, 2, 3];
    by_weight: [
        Request { weight: Weight(2), ..short(1, "a") },
        Request { weight: Weight(2), ..short(2, "a") },
        Request { weight: Weight(2), ..short(3, "a") },
        short(4, "b"),
        short(5, "b"),
    ] => [1, 4, 2, 3, 5];
    short_requests_before_long_ones: [long(1, "a"), short(2, "a"), short(3, "a")] => [2, 3, 1];
}

/// One customer floods the queue. The few requests of a small customer that uses less than its share
/// must not be delayed.
#[test]
fn small_customer_is_not_delayed_by_a_flood() {
    let flood = (0..200).map(|ticket| short(ticket, "large"));
    let mut admission = queue(flood);
    for ticket in 1_000..1_010 {
        admission.offer(at(0), short(ticket, "small"), never_fits());
    }
    let first: Vec<_> = drain_order(&mut admission).into_iter().take(20).collect();
    let small = first.iter().filter(|ticket| **ticket >= 1_000).count();
    assert_eq!(small, 10);
}

/// While short requests of the same customer keep arriving, a long request waits for those that arrive
/// within its own expected duration, and then starts.
#[test]
fn long_request_is_not_starved_by_short_ones() {
    let mut admission = Admission::new(AdmissionSettings::default());
    let long_request = Request {
        deadline: at(60 * SECOND),
        ..long(0, "a")
    };
    admission.offer(at(0), long_request, never_fits());
    let mut served = None;
    for step in 1..200 {
        let now = at(step * 100);
        let request = Request {
            deadline: now + Duration::from_secs(5),
            ..short(step, "a")
        };
        admission.offer(now, request, never_fits());
        let next = admission.next(now, |_| true).unwrap();
        if next.ticket == Ticket(0) {
            served = Some(now);
            break;
        }
    }
    assert!(served.unwrap() <= at(8 * SECOND), "{served:?}");
}

/// A long request needs six permits, but never more than five are free at once, because short requests
/// take each permit that becomes free. After `max_bypasses` of them, capacity is reserved for it.
#[test]
fn capacity_is_reserved_after_max_bypasses() {
    let cfg = AdmissionSettings {
        stretch: 0.0,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(cfg);
    admission.offer(at(0), long(0, "a"), never_fits());
    let mut bypasses = 0;
    for ticket in 1..500 {
        admission.offer(at(1), short(ticket, "a"), never_fits());
        if admission
            .next(at(1), |request| request.kv < Tokens(12_000))
            .is_some()
        {
            bypasses += 1;
        }
    }
    assert_eq!(bypasses, cfg.max_bypasses);
    assert_eq!(admission.next(at(1), |_| true).unwrap().ticket, Ticket(0));
}

/// In a stalled queue, a request is refused as soon as it can't start in time rather than at its
/// deadline, so that the caller can try elsewhere.
#[test]
fn request_is_refused_when_it_cannot_start_in_time() {
    let mut admission = queue([short(1, "a")]);
    assert_eq!(admission.next_expiry(), Some(at(9_900)));
    assert_eq!(admission.expire(at(9_900)), []);
    let refusals = admission.expire(at(9_901));
    assert_eq!(refusals[0].reason, RefusalReason::Deadline);
    assert_eq!(admission.waiting(), 0);
}

/// A saturated pool drains ten requests per second, with a hundred waiting. A request with a deadline
/// of two seconds is refused on arrival, with a `Retry-After` by which the queue will have drained.
#[test]
fn request_is_refused_on_arrival_if_the_queue_drains_too_slowly() {
    let mut admission = queue((0..120).map(|ticket| short(ticket, "a")));
    for step in 1..=20 {
        assert!(admission.next(at(step * 100), |_| true).is_some());
    }
    let now = at(2_000);
    let urgent = Request {
        deadline: at(4_000),
        ..short(500, "a")
    };
    let AdmissionDecision::Refuse(refusal) = admission.offer(now, urgent, never_fits()) else {
        panic!("a request that can't meet its deadline must be refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    let seconds = refusal.retry_after.as_secs_f64();
    assert!((8.0..=16.0).contains(&seconds), "{seconds}");
}

/// When a burst arrives at an idle node, the drain rate is unknown, so no request is refused because
/// of a guess.
#[test]
fn burst_waits_while_the_drain_rate_is_unknown() {
    let admission = queue((0..300).map(|ticket| short(ticket, "a")));
    assert_eq!(admission.waiting(), 300);
}

/// One customer has filled the queue. Another customer's first request displaces the large customer's
/// last one, which is refused without having run.
#[test]
fn small_customer_displaces_a_request_from_a_full_queue() {
    let cfg = AdmissionSettings {
        max_waiting: 4,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(cfg);
    for ticket in 0..4 {
        admission.offer(at(0), short(ticket, "large"), never_fits());
    }
    let AdmissionDecision::Refuse(refusal) =
        admission.offer(at(0), short(4, "large"), never_fits())
    else {
        panic!("a customer that fills the queue can't displace its own requests");
    };
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert_eq!(
        admission.offer(at(0), short(5, "small"), never_fits()),
        AdmissionDecision::Wait
    );
    let displaced = admission.expire(at(0));
    assert_eq!(displaced[0].ticket, Ticket(3));
    assert_eq!(displaced[0].reason, RefusalReason::Displaced);
}

#[test]
fn request_too_large_for_every_endpoint_is_refused() {
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.set_max_request_kv(Tokens(8_000));
    let offer = admission.offer(at(0), long(0, "a"), |_| true);
    assert!(
        matches!(offer, AdmissionDecision::Refuse(refusal) if refusal.reason == RefusalReason::TooLarge)
    );
}

#[test]
fn cancelled_request_is_removed() {
    let mut admission = queue([short(1, "a"), short(2, "a")]);
    assert_eq!(admission.cancel(Ticket(1)).unwrap().ticket, Ticket(1));
    assert_eq!(admission.cancel(Ticket(1)), None);
    assert_eq!(drain_order(&mut admission), [2]);
}

/// For any sequence of requests, each one leaves the queue exactly once, the queue stays within its
/// limit, and no free capacity is left unused while a request that fits waits.
#[test]
fn each_request_leaves_the_queue_exactly_once() {
    check_property(bolero::produce::<Vec<(u8, u8, u8)>>(), |steps| {
        let cfg = AdmissionSettings {
            max_waiting: 8,
            ..AdmissionSettings::default()
        };
        let mut admission = Admission::new(cfg);
        let mut queued = IndexSet::new();
        let mut now = at(0);
        for (ticket, (kind, step_ms, size)) in (0_u64..).zip(steps) {
            now = now + Duration::from_millis(u64::from(*step_ms));
            match kind % 4 {
                0 | 1 => {
                    let request = Request {
                        class: RequestClass::ALL[usize::from(step_ms % 3)],
                        kv: Tokens(u64::from(size % 4) * 1_000),
                        deadline: now + Duration::from_millis(u64::from(*size) * 10),
                        ..short(ticket, ["a", "b", "c"][usize::from(size % 3)])
                    };
                    if admission.offer(now, request, never_fits()) == AdmissionDecision::Wait {
                        queued.insert(ticket);
                    }
                }
                2 => {
                    let must_return = !queued.is_empty() && admission.next_expiry() >= Some(now);
                    let next = admission.next(now, |_| true);
                    assert!(
                        next.is_some() || !must_return,
                        "a waiting request that fits was not returned"
                    );
                    if let Some(request) = next {
                        assert!(queued.swap_remove(&request.ticket.0));
                    }
                }
                _ => {
                    if admission.cancel(Ticket(u64::from(*size))).is_some() {
                        assert!(queued.swap_remove(&u64::from(*size)));
                    }
                }
            }
            for refusal in admission.expire(now) {
                assert!(queued.swap_remove(&refusal.ticket.0));
            }
            assert_eq!(admission.waiting(), queued.len());
            assert!(queued.len() <= 8);
        }
    });
}

/// Two customers that always have requests waiting get the same number of tokens, to within one
/// request of each, regardless of the sizes of their requests.
#[test]
fn customers_get_equal_shares_in_tokens() {
    check_property(bolero::produce::<Vec<(u8, u8)>>(), |sizes| {
        let mut admission = Admission::new(AdmissionSettings::default());
        let mut backlog: IndexMap<CustomerId, u64> = IndexMap::new();
        for (ticket, (a, b)) in (0_u64..).zip(sizes.iter().take(100)) {
            for (offset, (name, size)) in (0_u64..).zip([("a", a), ("b", b)]) {
                let cost = Tokens(u64::from(*size) + 1);
                let request = Request {
                    cost,
                    ..short(2 * ticket + offset, name)
                };
                admission.offer(at(0), request, never_fits());
                *backlog.entry(customer(name)).or_default() += cost.0;
            }
        }
        let mut served_tokens: IndexMap<CustomerId, u64> = IndexMap::new();
        while let Some(request) = admission.next(at(0), |_| true) {
            *served_tokens.entry(request.customer.clone()).or_default() += request.cost.0;
            let tokens = |name| served_tokens.get(&customer(name)).copied().unwrap_or(0);
            let (a, b) = (tokens("a"), tokens("b"));
            let both_wait = a < backlog[&customer("a")] && b < backlog[&customer("b")];
            assert!(!both_wait || a.abs_diff(b) <= 2 * 256, "{a} {b}");
        }
    });
}
