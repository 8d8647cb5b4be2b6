//! Tests route lookup and the derived properties of engines.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Bytes;

use super::{
    Catalog, Delivery, EngineSpec, Limits, PathRoute, RouteMatch, SpecProblem, WeightedService,
};
use crate::demand::Urgency;
use crate::number::CatalogVersion;
use crate::step_model::TokenCounts;
use crate::testkit::service;

fn route(name: &str, host: &str, prefix: &str) -> PathRoute {
    PathRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        delivery: Delivery::Idempotent,
        time_limit: None,
        latency_target: None,
        event_gap_target: None,
        priority: 5,
        max_attempts: 2,
        is_public: false,
        services: Vec::new(),
    }
}

fn limits() -> Limits {
    Limits {
        max_header_bytes: Bytes(16_384),
        max_body_bytes: Bytes(1_000),
        header_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    }
}

fn catalog() -> Catalog {
    let routes = [
        route("all", "one.example", "/"),
        route("pay", "one.example", "/pay/"),
        route("pay-card", "one.example", "/pay/card/"),
        route("other", "two.example", "/pay/"),
    ];
    Catalog::new(CatalogVersion(1), routes, IndexMap::new(), None, limits())
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
    the_root_route_matches_all_other_paths: "one.example", "/payments" => Some("all");
    each_host_has_its_own_routes: "two.example", "/pay/card/1" => Some("other");
    a_path_without_route_is_not_found: "two.example", "/" => None;
    an_unknown_host_is_not_found: "three.example", "/pay/" => None;
}

fn spec_with_48_slots() -> EngineSpec {
    EngineSpec {
        slots: 48,
        ..crate::testkit::spec()
    }
}

fn tokens(prompt: f64, answer: f64) -> TokenCounts {
    TokenCounts { prompt, answer }
}

/// A group that reads long prompts for short answers falls behind long before all of its slots are
/// occupied. If all slots were filled, each prompt would wait for twenty others, and all callers would get
/// their first event too late.
#[test]
fn long_prompts_reduce_usable_slots() {
    let spec = spec_with_48_slots();
    assert_eq!(spec.usable_slots(Some(tokens(1_640.0, 100.0))), 25);
    assert_eq!(spec.usable_slots(Some(tokens(714.0, 150.0))), 48);
}

#[test]
fn all_slots_are_usable_without_step_times() {
    let spec = EngineSpec {
        steps: None,
        ..spec_with_48_slots()
    };
    assert_eq!(spec.usable_slots(Some(tokens(1_640.0, 100.0))), 48);
}

/// The configuration has the prompt tokens of a mean request but not its answer tokens. If the answer
/// counted as empty, groups would get two or three requests each, and callers would be refused while
/// engines are idle.
#[test]
fn all_slots_are_usable_without_mean_answer_tokens() {
    let spec = spec_with_48_slots();
    assert_eq!(spec.usable_slots(Some(tokens(839.0, 0.0))), 48);
}

#[test]
fn group_time_grows_with_tokens() {
    let spec = spec_with_48_slots();
    let model = &spec.models[0];
    let long = spec.group_time(model, tokens(2_000.0, 150.0));
    assert!(long > spec.group_time(model, tokens(1_000.0, 150.0)));
    assert!(long > spec.group_time(model, tokens(2_000.0, 50.0)));
}

/// Checks the problems reported for a service's engines.
macro_rules! problems {
    ($($name:ident: $change:expr => $problems:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut spec = spec_with_48_slots();
                let change: fn(&mut EngineSpec) = $change;
                change(&mut spec);
                assert_eq!(spec.problems(), $problems);
            }
        )+
    };
}

problems! {
    a_valid_spec_has_no_problems: |_| {} => [];
    a_share_of_zero_is_reported: |spec| spec.models[0].share = 0.0
        => [SpecProblem::NoShare("large".parse().expect("valid name"))];
    missing_shares_of_all_models_are_reported_once: |spec| {
        for model in &mut spec.models {
            model.share = 0.0;
        }
    } => [SpecProblem::NoShares];
    a_pace_of_zero_is_reported: |spec| spec.models[1].pace = 0.0
        => [SpecProblem::Pace("small".parse().expect("valid name"))];
    missing_step_times_are_reported: |spec| spec.steps = None => [SpecProblem::Steps];
    a_mean_request_without_answer_tokens_is_reported: |spec| {
        spec.steps.as_mut().expect("step times are configured").mean = tokens(839.0, 0.0);
    } => [SpecProblem::MeanTokens];
    a_missing_mean_request_is_reported: |spec| {
        spec.steps.as_mut().expect("step times are configured").mean = tokens(0.0, 0.0);
    } => [SpecProblem::MeanTokens];
}

fn route_to_service(name: &str, priority: u8) -> PathRoute {
    PathRoute {
        priority,
        services: vec![WeightedService {
            service: service(),
            weight: 1,
        }],
        ..route(name, "one.example", "/")
    }
}

macro_rules! urgencies {
    ($($name:ident: $priorities:expr => $urgency:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let routes = $priorities.map(|priority| route_to_service("r", priority));
                let last = routes[routes.len() - 1].clone();
                let version = CatalogVersion(1);
                let catalog = Catalog::new(version, routes, IndexMap::new(), None, limits());
                assert_eq!(catalog.urgency(&service(), &last), $urgency);
            }
        )*
    };
}

urgencies! {
    routes_that_differ_have_the_urgency_of_their_priority: [0, 0, 2] => Urgency::of_priority(2);
    the_most_urgent_of_routes_that_differ_is_most_urgent: [2, 0] => Urgency::MOST;
    routes_of_one_priority_are_all_most_urgent: [2, 2] => Urgency::MOST;
}
