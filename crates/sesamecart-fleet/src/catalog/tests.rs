//! Which route a request takes.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Bytes;

use super::{Catalog, Delivery, EngineSpec, Limits, PathRoute, RouteMatch, SpecProblem};
use crate::number::CatalogVersion;
use crate::step_model::TokenCounts;

fn route(name: &str, host: &str, prefix: &str) -> PathRoute {
    PathRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        delivery: Delivery::Idempotent,
        time_limit: None,
        latency_aim: None,
        pause_aim: None,
        priority: 5,
        max_attempts: 2,
        is_open: false,
        services: Vec::new(),
    }
}

fn catalog() -> Catalog {
    let limits = Limits {
        max_header_bytes: Bytes(16_384),
        max_body_bytes: Bytes(1_000),
        header_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let routes = [
        route("all", "one.example", "/"),
        route("pay", "one.example", "/pay/"),
        route("pay-card", "one.example", "/pay/card/"),
        route("other", "two.example", "/pay/"),
    ];
    Catalog::new(CatalogVersion(1), routes, IndexMap::new(), None, limits)
}

macro_rules! routes {
    ($($name:ident: $host:expr, $path:expr => $route:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let found = match catalog().route($host, $path) {
                    RouteMatch::Found(route) => Some(route.name.clone()),
                    RouteMatch::NotFound => None,
                };
                assert_eq!(found.as_deref(), $route);
            }
        )*
    };
}

routes! {
    the_longest_prefix_wins: "one.example", "/pay/card/1" => Some("pay-card");
    a_prefix_ends_at_a_slash: "one.example", "/pay/cards" => Some("pay");
    the_root_takes_the_rest: "one.example", "/payments" => Some("all");
    each_host_has_its_own: "two.example", "/pay/card/1" => Some("other");
    a_path_without_route_has_none: "two.example", "/" => None;
    an_unknown_host_has_none: "three.example", "/pay/" => None;
}

fn shifted_spec() -> EngineSpec {
    EngineSpec {
        slots: 48,
        ..crate::testkit::spec()
    }
}

fn tokens(prompt: f64, answer: f64) -> TokenCounts {
    TokenCounts { prompt, answer }
}

/// A group that reads long prompts for short answers falls behind long before its slots are taken. Filled up
/// to them, each prompt waits for twenty others, and all callers get their first event too late.
#[test]
fn long_prompts_leave_slots_unused() {
    let spec = shifted_spec();
    assert_eq!(spec.usable_slots(Some(tokens(1_640.0, 100.0))), 25);
    assert_eq!(spec.usable_slots(Some(tokens(714.0, 150.0))), 48);
}

#[test]
fn without_times_of_steps_all_slots_are_used() {
    let spec = EngineSpec {
        steps: None,
        ..shifted_spec()
    };
    assert_eq!(spec.usable_slots(Some(tokens(1_640.0, 100.0))), 48);
}

/// The configuration names the prompt of a mean request and not its answer. Taken for an answer of no tokens,
/// groups would get two or three requests each, and callers be refused before idle engines.
#[test]
fn without_the_answer_of_a_mean_request_all_slots_are_used() {
    let spec = shifted_spec();
    assert_eq!(spec.usable_slots(Some(tokens(839.0, 0.0))), 48);
}

#[test]
fn a_request_takes_the_longer_the_more_tokens_it_has() {
    let spec = shifted_spec();
    let model = &spec.models[0];
    let long = spec.group_time(model, tokens(2_000.0, 150.0));
    assert!(long > spec.group_time(model, tokens(1_000.0, 150.0)));
    assert!(long > spec.group_time(model, tokens(2_000.0, 50.0)));
}

/// Checks what an operator is told of a service's engines.
macro_rules! problems {
    ($($name:ident: $change:expr => $problems:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut spec = shifted_spec();
                let change: fn(&mut EngineSpec) = $change;
                change(&mut spec);
                assert_eq!(spec.problems(), $problems);
            }
        )+
    };
}

problems! {
    a_sound_spec_has_none: |_| {} => [];
    a_share_of_zero_is_named: |spec| spec.models[0].share = 0.0
        => [SpecProblem::NoShare("large".parse().expect("a name"))];
    shares_that_are_all_missing_are_named_once: |spec| {
        for model in &mut spec.models {
            model.share = 0.0;
        }
    } => [SpecProblem::NoShares];
    a_pace_of_zero_is_named: |spec| spec.models[1].pace = 0.0
        => [SpecProblem::Pace("small".parse().expect("a name"))];
    missing_times_of_steps_are_named: |spec| spec.steps = None => [SpecProblem::Steps];
    a_mean_request_without_an_answer_is_named: |spec| {
        spec.steps.as_mut().expect("it has some").mean = tokens(839.0, 0.0);
    } => [SpecProblem::MeanTokens];
    a_missing_mean_request_is_named: |spec| {
        spec.steps.as_mut().expect("it has some").mean = tokens(0.0, 0.0);
    } => [SpecProblem::MeanTokens];
}
