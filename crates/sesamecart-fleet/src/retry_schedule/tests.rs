//! Simulates callers that are refused by a full service and retry when they are allowed to.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, RetrySchedule};
use crate::testkit::Slots;

const START: Timestamp = Timestamp(1_000_000);

const NODES: usize = 10;

/// How long callers wait for an answer. They retry after a third of the remaining time at most.
const DEADLINE: Duration = Duration::from_secs(6);

/// The number of retries of each caller.
const MAX_RETRIES: u32 = 2;

#[derive(Clone, Copy, Debug)]
enum RetryTiming {
    /// As assigned by the schedule.
    Scheduled,
    /// Spread uniformly over a short time, regardless of the load.
    Uniform,
}

/// The results of all callers.
#[derive(Debug, Default)]
struct Outcome {
    sent: u32,
    served: u32,
    refusals: u32,
    /// The time of the last refusal.
    last_refusal: Timestamp,
}

/// Simulates phases, each with a duration and a number of new callers per second.
fn simulate(timing: RetryTiming, phases: &[(Duration, f64)]) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut nodes = vec![RetrySchedule::default(); NODES];
    let mut service = Slots::new(200, Duration::from_secs(1));
    let mut outcome = Outcome::default();
    let mut arrivals = BinaryHeap::new();
    let mut at = START;
    for (duration, per_s) in phases {
        let end = at + *duration;
        while at < end {
            arrivals.push(Reverse((at, at, MAX_RETRIES)));
            outcome.sent += 1;
            at = at + Duration::from_secs_f64(2.0 * rng.f64() / per_s);
        }
    }
    while let Some(Reverse((now, first_at, retries_left))) = arrivals.pop() {
        let node = &mut nodes[rng.usize(..NODES)];
        if service.take(now) {
            node.record_placed(now);
            outcome.served += 1;
            continue;
        }
        outcome.refusals += 1;
        outcome.last_refusal = now;
        if retries_left == 0 {
            continue;
        }
        let delay = match timing {
            RetryTiming::Scheduled => node.schedule(now, rng.f64()),
            RetryTiming::Uniform => {
                Duration::from_millis(150) + Duration::from_millis(550).mul_f64(rng.f64())
            }
        };
        let time_left = (first_at + DEADLINE).since(now);
        arrivals.push(Reverse((
            now + delay.min(time_left / 3),
            first_at,
            retries_left - 1,
        )));
    }
    outcome
}

/// Callers arrive at 1.5 times the capacity of the service. With uniform delays, refused callers retry
/// within half a second on top of the new ones, and all of them are refused again until they give up.
#[test]
fn a_backlog_of_retries_drains() {
    let surge = [
        (Duration::from_secs(3), 150.0),
        (Duration::from_secs(4), 300.0),
        (Duration::from_secs(12), 150.0),
    ];
    let uniform = simulate(RetryTiming::Uniform, &surge);
    let scheduled = simulate(RetryTiming::Scheduled, &surge);
    let lost = |outcome: &Outcome| f64::from(outcome.sent - outcome.served);
    assert!(
        lost(&scheduled) <= 0.7 * lost(&uniform),
        "{scheduled:?} {uniform:?}"
    );
    assert!(
        scheduled.refusals < uniform.refusals,
        "{scheduled:?} {uniform:?}"
    );
    // The surge exceeds the capacity by 400 callers, and 50 slots per second are free afterwards.
    let drained = START + Duration::from_secs(3 + 4 + 8);
    assert!(scheduled.last_refusal < drained, "{scheduled:?}");
}

/// Retry times must follow the rate at which the service frees slots. Otherwise they don't tell when a slot
/// is free.
#[test]
fn delays_grow_with_the_number_of_refused_callers() {
    let mut schedule = RetrySchedule::default();
    for index in 0..300 {
        schedule.record_placed(START + Duration::from_millis(10 * index));
    }
    let now = START + Duration::from_secs(3);
    let delays: Vec<Duration> = (0..100).map(|_| schedule.schedule(now, 0.5)).collect();
    assert!(delays[0] < Duration::from_millis(200), "{delays:?}");
    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[99] > Duration::from_secs(1), "{delays:?}");
}

/// A caller whose retry time is after its deadline can't retry at all.
#[test]
fn every_delay_is_within_bounds() {
    let mut schedule = RetrySchedule::default();
    for index in 0..1_000_u32 {
        let delay = schedule.schedule(START, f64::from(index % 10) / 10.0);
        assert!(
            (MIN_RETRY_AFTER..=MAX_RETRY_AFTER).contains(&delay),
            "{delay:?}"
        );
    }
}
