//! Routes with different urgency and targets that ask for up to four times the room.

use std::ops::Range;

use super::load::{Caller, Play, Route, fraction};
use super::{at, head};
use crate::step_model::TokenCounts;

const HEADS: usize = 8;

const SEEDS: Range<u64> = 1..4;

/// The difference of two fractions of some hundred callers that chance alone explains.
const CHANCE: f64 = 0.02;

/// Returns four routes that together ask for `factor` times the room.
fn routes(factor: f64) -> Vec<Route> {
    let room = Play::room_per_s(
        HEADS,
        TokenCounts {
            prompt: 850.0,
            answer: 150.0,
        },
    );
    let route = |urgency, target_ms, prompt, share: f64| {
        Route::new(urgency, target_ms, prompt, factor * room * share)
    };
    vec![
        route(0, 400, 1_460.0, 0.1),
        route(0, 300, 714.0, 0.6),
        route(2, 400, 714.0, 0.2),
        route(5, 800, 1_000.0, 0.1),
    ]
}

/// Plays routes for twelve seconds. Callers of the first two aren't judged.
fn play(seed: u64, routes: &[Route]) -> Vec<Caller> {
    let mut play = Play::new(seed, (0..HEADS).map(head));
    play.run(at(12_000), routes);
    play.finish(routes);
    play.asked(2_000, 12_000).cloned().collect()
}

/// Plays routes with all seeds.
fn play_all(routes: &[Route]) -> Vec<Caller> {
    SEEDS.flat_map(|seed| play(seed, routes)).collect()
}

fn in_time(callers: &[Caller], routes: &[Route]) -> usize {
    let in_time = callers
        .iter()
        .filter(|caller| caller.is_in_time(&routes[caller.route]));
    in_time.count()
}

macro_rules! overload {
    ($($name:ident: $factor:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let routes = routes($factor);
                let callers = play_all(&routes);
                assert_urgent_go_first(&callers, &routes);
                assert_nobody_starves(&callers, &routes);
                assert_large_are_served(&callers, &routes);
            }
        )*
    };
}

overload! {
    callers_ask_for_all_of_the_room: 1.0;
    callers_ask_for_one_and_a_half_times_the_room: 1.5;
    callers_ask_for_twice_the_room: 2.0;
    callers_ask_for_four_times_the_room: 4.0;
}

fn served(callers: &[Caller], route: usize) -> f64 {
    let callers = callers.iter().filter(|caller| caller.route == route);
    fraction(callers, Caller::is_served)
}

fn assert_urgent_go_first(callers: &[Caller], routes: &[Route]) {
    for (more, urgent) in routes.iter().enumerate() {
        for (less, other) in routes.iter().enumerate() {
            let (more, less) = (served(callers, more), served(callers, less));
            let holds = urgent.urgency >= other.urgency || more >= less - CHANCE;
            assert!(holds, "{more} of {urgent:?}, {less} of {other:?}");
        }
    }
}

fn assert_nobody_starves(callers: &[Caller], routes: &[Route]) {
    let mean = fraction(callers.iter(), Caller::is_served);
    for route in 0..routes.len() {
        let served = served(callers, route);
        assert!(
            served >= mean / 4.0,
            "{served} of route {route}, {mean} of all"
        );
    }
}

fn assert_large_are_served(callers: &[Caller], routes: &[Route]) {
    for route in 0..routes.len() {
        let mut route_callers: Vec<&Caller> = callers
            .iter()
            .filter(|caller| caller.route == route)
            .collect();
        route_callers.sort_by(|a, b| b.prompt.total_cmp(&a.prompt));
        route_callers.truncate(route_callers.len() / 10);
        let large = fraction(route_callers.into_iter(), Caller::is_served);
        let all = served(callers, route);
        assert!(
            large >= all / 2.0,
            "{large} of the largest, {all} of route {route}"
        );
    }
}

/// Guards against the collapse in which endpoints are busy with requests that come late.
#[test]
fn overload_costs_no_service_in_time() {
    let mut at_room = None;
    for factor in [1.0, 1.5, 2.0] {
        let routes = routes(factor);
        let callers = play_all(&routes);
        let in_time = in_time(&callers, &routes);
        let admitted = callers.iter().filter(|caller| caller.is_served()).count();
        assert!(
            in_time as f64 >= 0.95 * admitted as f64,
            "{in_time} of {admitted} at {factor}"
        );
        let at_room = *at_room.get_or_insert(in_time);
        assert!(
            in_time >= at_room,
            "{in_time} at {factor}, {at_room} at 1.0"
        );
    }
}

/// Eight customers; the first `surging` ones ask for `surge` times their usual tokens from the sixth second on.
fn play_customers(seed: u64, surging: usize, surge: f64) -> Vec<Caller> {
    let room = Play::room_per_s(
        HEADS,
        TokenCounts {
            prompt: 750.0,
            answer: 150.0,
        },
    );
    let customer = |name| Route {
        customer: Some(name),
        ..Route::new(0, 300, 714.0, 0.9 * room / 8.0)
    };
    let mut routes: Vec<Route> = ["a", "b", "c", "d", "e", "f", "g", "h"]
        .into_iter()
        .map(customer)
        .collect();
    let mut play = Play::new(seed, (0..HEADS).map(head));
    play.run(at(6_000), &routes);
    routes[..surging]
        .iter_mut()
        .for_each(|route| route.per_s *= surge);
    play.run(at(14_000), &routes);
    play.finish(&routes);
    play.asked(6_000, 14_000).cloned().collect()
}

/// Guards against one customer that takes the room of all others.
#[test]
fn customer_with_ten_times_its_tokens_costs_the_others_nothing() {
    for seed in SEEDS {
        let others = |callers: &[Caller]| {
            let others = callers.iter().filter(|caller| caller.route != 0);
            fraction(others, Caller::is_served)
        };
        let usual = others(&play_customers(seed, 0, 1.0));
        let beside_surge = others(&play_customers(seed, 1, 10.0));
        assert!(
            beside_surge >= usual - CHANCE,
            "{beside_surge}, usually {usual}"
        );
    }
}
