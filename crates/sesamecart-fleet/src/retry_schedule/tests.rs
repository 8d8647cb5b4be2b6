//! Plays callers who are turned away by a full service and come back when they may.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, RetrySchedule};
use crate::testkit::Slots;

const START: Timestamp = Timestamp(1_000_000);

const NODES: usize = 10;

/// How long callers wait for an answer; they return after a third of what is left of it at most.
const DEADLINE: Duration = Duration::from_secs(6);

/// How often a caller returns.
const RETURNS: u32 = 2;

#[derive(Clone, Copy, Debug)]
enum Way {
    /// As the schedule says.
    Scheduled,
    /// Spread over the same short time whatever the load.
    Uniform,
}

/// What callers got.
#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    served: u32,
    refusals: u32,
    /// When the last caller was turned away.
    last_refusal: Timestamp,
}

/// Has callers come so many a second for so long, one phase after the other.
fn play(way: Way, phases: &[(Duration, f64)]) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut nodes = vec![RetrySchedule::default(); NODES];
    let mut service = Slots::new(200, Duration::from_secs(1));
    let mut outcome = Outcome::default();
    let mut arrivals = BinaryHeap::new();
    let mut at = START;
    for (time, per_s) in phases {
        let end = at + *time;
        while at < end {
            arrivals.push(Reverse((at, at, RETURNS)));
            outcome.asked += 1;
            at = at + Duration::from_secs_f64(2.0 * rng.f64() / per_s);
        }
    }
    while let Some(Reverse((now, first_at, returns))) = arrivals.pop() {
        let node = &mut nodes[rng.usize(..NODES)];
        if service.take(now) {
            node.note_placed(now);
            outcome.served += 1;
            continue;
        }
        outcome.refusals += 1;
        outcome.last_refusal = now;
        if returns == 0 {
            continue;
        }
        let after = match way {
            Way::Scheduled => node.schedule(now, rng.f64()),
            Way::Uniform => {
                Duration::from_millis(150) + Duration::from_millis(550).mul_f64(rng.f64())
            }
        };
        let left = (first_at + DEADLINE).since(now);
        arrivals.push(Reverse((now + after.min(left / 3), first_at, returns - 1)));
    }
    outcome
}

/// Callers come at one and a half times what the service bears, and those turned away come back within half a
/// second on top of it: all of them are turned away again until they give up.
#[test]
fn a_load_that_turned_into_repeats_drains() {
    let surge = [
        (Duration::from_secs(3), 150.0),
        (Duration::from_secs(4), 300.0),
        (Duration::from_secs(12), 150.0),
    ];
    let uniform = play(Way::Uniform, &surge);
    let scheduled = play(Way::Scheduled, &surge);
    let lost = |outcome: &Outcome| f64::from(outcome.asked - outcome.served);
    assert!(
        lost(&scheduled) <= 0.7 * lost(&uniform),
        "{scheduled:?} {uniform:?}"
    );
    assert!(
        scheduled.refusals < uniform.refusals,
        "{scheduled:?} {uniform:?}"
    );
    // The surge brings 400 callers too many, and 50 places a second are free afterwards.
    let drained = START + Duration::from_secs(3 + 4 + 8);
    assert!(scheduled.last_refusal < drained, "{scheduled:?}");
}

/// Without pacing by what the service bears, times would say nothing of when places are free.
#[test]
fn callers_come_back_later_the_more_there_are() {
    let mut schedule = RetrySchedule::default();
    for index in 0..300 {
        schedule.note_placed(START + Duration::from_millis(10 * index));
    }
    let now = START + Duration::from_secs(3);
    let times: Vec<Duration> = (0..100).map(|_| schedule.schedule(now, 0.5)).collect();
    assert!(times[0] < Duration::from_millis(200), "{times:?}");
    assert!(times.is_sorted(), "{times:?}");
    assert!(times[99] > Duration::from_secs(1), "{times:?}");
}

/// A caller that may come back after its deadline has no second chance.
#[test]
fn every_time_is_within_bounds() {
    let mut schedule = RetrySchedule::default();
    for index in 0..1_000_u32 {
        let after = schedule.schedule(START, f64::from(index % 10) / 10.0);
        assert!(
            (MIN_RETRY_AFTER..=MAX_RETRY_AFTER).contains(&after),
            "{after:?}"
        );
    }
}
