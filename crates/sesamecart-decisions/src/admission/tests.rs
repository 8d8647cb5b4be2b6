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

/// A short interactive request of `customer` that may wait ten seconds.
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
        expected: Duration::from_millis(100),
        length: Duration::from_secs(1),
    }
}

fn long(ticket: u64, name: &str) -> Request {
    Request {
        cost: Tokens(5_000),
        kv: Tokens(12_000),
        length: Duration::from_secs(8),
        ..short(ticket, name)
    }
}

fn full() -> impl Fn(&Request) -> bool {
    |_| false
}

fn queue(requests: impl IntoIterator<Item = Request>) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default());
    for request in requests {
        assert_eq!(admission.offer(at(0), request, full()), Offer::Wait);
    }
    admission
}

fn order(admission: &mut Admission) -> Vec<u64> {
    let next = || {
        admission
            .next(at(1), |_| true)
            .map(|request| request.ticket.0)
    };
    std::iter::from_fn(next).collect()
}

macro_rules! serves {
    ($($name:ident: $requests:expr => $order:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(order(&mut queue($requests)), $order);
        }
    )*};
}

serves! {
    in_order_of_arrival: [short(1, "a"), short(2, "a")] => [1, 2];
    actions_first: [
        Request { class: RequestClass::Batch, ..short(1, "a") },
        short(2, "a"),
        Request { class: RequestClass::Action, ..short(3, "a") },
    ] => [3, 2, 1];
    customers_in_turn: [short(1, "a"), short(2, "a"), short(3, "a"), short(4, "b")] => [1, 4, 2, 3];
    twice_the_weight_twice_as_often: [
        Request { weight: Weight(2), ..short(1, "a") },
        Request { weight: Weight(2), ..short(2, "a") },
        Request { weight: Weight(2), ..short(3, "a") },
        short(4, "b"),
        short(5, "b"),
    ] => [1, 4, 2, 3, 5];
    short_before_long: [long(1, "a"), short(2, "a"), short(3, "a")] => [2, 3, 1];
}

/// One customer floods the node while a small one asks now and then. The small one's callers must
/// not notice, since their share is nowhere near used up.
#[test]
fn a_small_customer_is_served_through_another_ones_flood() {
    let flood = (0..200).map(|ticket| short(ticket, "large"));
    let mut admission = queue(flood);
    for ticket in 1_000..1_010 {
        admission.offer(at(0), short(ticket, "small"), full());
    }
    let first: Vec<_> = order(&mut admission).into_iter().take(20).collect();
    let small = first.iter().filter(|ticket| **ticket >= 1_000).count();
    assert_eq!(small, 10);
}

/// Short requests of the same customer keep arriving. A long one gives way to those that come
/// within its own length and then has its turn, so its caller gets an answer.
#[test]
fn a_long_request_is_not_starved_by_short_ones() {
    let mut admission = Admission::new(AdmissionSettings::default());
    let patient = Request {
        deadline: at(60 * SECOND),
        ..long(0, "a")
    };
    admission.offer(at(0), patient, full());
    let mut served = None;
    for step in 1..200 {
        let now = at(step * 100);
        let request = Request {
            deadline: now + Duration::from_secs(5),
            ..short(step, "a")
        };
        admission.offer(now, request, full());
        let next = admission.next(now, |_| true).unwrap();
        if next.ticket == Ticket(0) {
            served = Some(now);
            break;
        }
    }
    assert!(served.unwrap() <= at(8 * SECOND), "{served:?}");
}

/// A request needs six permits, and endpoints never have more than five free at once as long as
/// short ones take each that comes free. After enough of them have passed it, room is kept.
#[test]
fn room_is_kept_for_a_request_that_was_passed_over_too_often() {
    let cfg = AdmissionSettings {
        stretch: 0.0,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(cfg);
    admission.offer(at(0), long(0, "a"), full());
    let mut passed = 0;
    for ticket in 1..500 {
        admission.offer(at(1), short(ticket, "a"), full());
        if admission
            .next(at(1), |request| request.kv < Tokens(12_000))
            .is_some()
        {
            passed += 1;
        }
    }
    assert_eq!(passed, cfg.max_bypasses);
    assert_eq!(admission.next(at(1), |_| true).unwrap().ticket, Ticket(0));
}

/// The queue doesn't move. A caller is told at the moment at which an answer can't be in time any
/// more, and not only at the deadline, so that it can go elsewhere.
#[test]
fn a_hopeless_request_gets_its_refusal_at_once() {
    let mut admission = queue([short(1, "a")]);
    assert_eq!(admission.next_expiry(), Some(at(9_900)));
    assert_eq!(admission.expire(at(9_900)), []);
    let refusals = admission.expire(at(9_901));
    assert_eq!(refusals[0].reason, RefusalReason::Deadline);
    assert_eq!(admission.waiting(), 0);
}

/// The pool is saturated and drains ten requests a second, with a hundred waiting. A request that
/// has two seconds is refused on arrival, and told to come back when the queue will have drained.
#[test]
fn a_request_whose_turn_comes_too_late_is_refused_on_arrival() {
    let mut admission = queue((0..120).map(|ticket| short(ticket, "a")));
    for step in 1..=20 {
        assert!(admission.next(at(step * 100), |_| true).is_some());
    }
    let now = at(2_000);
    let hasty = Request {
        deadline: at(4_000),
        ..short(500, "a")
    };
    let Offer::Refuse(refusal) = admission.offer(now, hasty, full()) else {
        panic!("it can't be in time");
    };
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    let seconds = refusal.retry_after.as_secs_f64();
    assert!((8.0..=16.0).contains(&seconds), "{seconds}");
}

/// A burst meets an idle node. How fast the queue drains isn't known yet, so nobody is refused
/// for a guess.
#[test]
fn the_first_requests_of_a_burst_wait() {
    let admission = queue((0..300).map(|ticket| short(ticket, "a")));
    assert_eq!(admission.waiting(), 300);
}

/// One customer has filled the queue. Another one's first request takes the place of the large
/// one's last, and that caller is told that nothing was run.
#[test]
fn a_full_queue_makes_room_for_a_small_customer() {
    let cfg = AdmissionSettings {
        max_waiting: 4,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(cfg);
    for ticket in 0..4 {
        admission.offer(at(0), short(ticket, "large"), full());
    }
    let Offer::Refuse(refusal) = admission.offer(at(0), short(4, "large"), full()) else {
        panic!("the queue is full of this customer's requests");
    };
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert_eq!(
        admission.offer(at(0), short(5, "small"), full()),
        Offer::Wait
    );
    let displaced = admission.expire(at(0));
    assert_eq!(displaced[0].ticket, Ticket(3));
    assert_eq!(displaced[0].reason, RefusalReason::Displaced);
}

#[test]
fn a_request_that_fits_nowhere_is_refused() {
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.set_largest(Tokens(8_000));
    let offer = admission.offer(at(0), long(0, "a"), |_| true);
    assert!(matches!(offer, Offer::Refuse(refusal) if refusal.reason == RefusalReason::TooLarge));
}

#[test]
fn a_caller_who_leaves_takes_no_turn() {
    let mut admission = queue([short(1, "a"), short(2, "a")]);
    assert_eq!(admission.cancel(Ticket(1)).unwrap().ticket, Ticket(1));
    assert_eq!(admission.cancel(Ticket(1)), None);
    assert_eq!(order(&mut admission), [2]);
}

/// Whatever comes in whatever order, each request leaves exactly once, no more wait than may, and
/// room that appears is never left unused while one waits that fits.
#[test]
fn each_request_leaves_exactly_once() {
    check_property(bolero::produce::<Vec<(u8, u8, u8)>>(), |steps| {
        let cfg = AdmissionSettings {
            max_waiting: 8,
            ..AdmissionSettings::default()
        };
        let mut admission = Admission::new(cfg);
        let mut inside = IndexSet::new();
        let mut now = at(0);
        for (ticket, (kind, who, size)) in (0_u64..).zip(steps) {
            now = now + Duration::from_millis(u64::from(*who));
            match kind % 4 {
                0 | 1 => {
                    let request = Request {
                        class: RequestClass::ALL[usize::from(who % 3)],
                        kv: Tokens(u64::from(size % 4) * 1_000),
                        deadline: now + Duration::from_millis(u64::from(*size) * 10),
                        ..short(ticket, ["a", "b", "c"][usize::from(size % 3)])
                    };
                    if admission.offer(now, request, full()) == Offer::Wait {
                        inside.insert(ticket);
                    }
                }
                2 => {
                    let live = !inside.is_empty() && admission.next_expiry() >= Some(now);
                    let next = admission.next(now, |_| true);
                    assert!(next.is_some() || !live, "a wake-up was lost");
                    if let Some(request) = next {
                        assert!(inside.swap_remove(&request.ticket.0));
                    }
                }
                _ => {
                    if admission.cancel(Ticket(u64::from(*size))).is_some() {
                        assert!(inside.swap_remove(&u64::from(*size)));
                    }
                }
            }
            for refusal in admission.expire(now) {
                assert!(inside.swap_remove(&refusal.ticket.0));
            }
            assert_eq!(admission.waiting(), inside.len());
            assert!(inside.len() <= 8);
        }
    });
}

/// Two customers that always have work waiting get the same number of tokens, but for one request
/// of each, whatever the sizes of their requests.
#[test]
fn shares_are_fair_in_tokens() {
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
                admission.offer(at(0), request, full());
                *backlog.entry(customer(name)).or_default() += cost.0;
            }
        }
        let mut got: IndexMap<CustomerId, u64> = IndexMap::new();
        while let Some(request) = admission.next(at(0), |_| true) {
            *got.entry(request.customer.clone()).or_default() += request.cost.0;
            let tokens = |name| got.get(&customer(name)).copied().unwrap_or(0);
            let (a, b) = (tokens("a"), tokens("b"));
            let both_wait = a < backlog[&customer("a")] && b < backlog[&customer("b")];
            assert!(!both_wait || a.abs_diff(b) <= 2 * 256, "{a} {b}");
        }
    });
}
