//! Callers that are refused and return.

use super::load::{Caller, Play, Refused, Route, fraction};
use super::{at, head, ms, pool_spec, request};
use crate::dispatch::{DispatchDecision, DispatchRequest, Dispatcher};
use crate::step_model::TokenCounts;

const HEADS: usize = 8;

/// Returns a route whose callers ask for `factor` times the room.
fn route(factor: f64, refused: Refused) -> Route {
    let mean = TokenCounts {
        prompt: 750.0,
        answer: 150.0,
    };
    Route {
        refused,
        ..Route::new(0, 300, 714.0, factor * Play::room_per_s(HEADS, mean))
    }
}

/// Twice the room is asked for during one second, and half of it before and after.
#[test]
fn refused_callers_are_served_when_they_return() {
    let mut play = Play::new(3, (0..HEADS).map(head));
    let quiet = [route(0.5, Refused::Returns)];
    play.run(at(3_000), &quiet);
    let busy = [route(3.0, Refused::Returns)];
    play.run(at(4_000), &busy);
    play.run(at(9_000), &quiet);
    play.finish(&quiet);
    let returned = play.asked(3_000, 4_500).filter(|caller| caller.tries > 1);
    let returned: Vec<&Caller> = returned.collect();
    assert!(!returned.is_empty());
    let served = fraction(returned.into_iter(), Caller::is_served);
    assert!(served >= 0.9, "{served} of those that returned");
}

/// Guards against callers who get more by repeating at once than by keeping to the time of their return.
#[test]
fn callers_that_repeat_at_once_gain_nothing() {
    let mut play = Play::new(4, (0..HEADS).map(head));
    let routes = [route(1.0, Refused::Returns), route(1.0, Refused::Repeats)];
    play.run(at(10_000), &routes);
    play.finish(&routes);
    let served = |route| {
        let callers = play
            .asked(2_000, 10_000)
            .filter(|caller| caller.route == route);
        fraction(callers, Caller::is_served)
    };
    assert!(
        served(0) >= served(1),
        "{} return, {} repeat",
        served(0),
        served(1)
    );
}

#[test]
fn more_urgent_callers_return_earlier() {
    let mut dispatcher = Dispatcher::new(pool_spec());
    dispatcher.set_heads(at(0), [head(0)]);
    let mut delays = [Vec::new(), Vec::new()];
    for ticket in 0..200 {
        let urgency = (ticket % 2) as u8;
        let req = DispatchRequest {
            urgency,
            ..request(ticket)
        };
        if let DispatchDecision::Refuse(refusal) = dispatcher.offer(at(0), req) {
            delays[usize::from(urgency)].push(refusal.retry_after);
        }
    }
    let mean = |delays: &[std::time::Duration]| {
        delays.iter().sum::<std::time::Duration>() / u32::try_from(delays.len()).expect("few")
    };
    assert!(mean(&delays[0]) < mean(&delays[1]));
    assert!(
        delays.iter().flatten().all(|delay| *delay <= ms(2_000)),
        "{delays:?}"
    );
}
