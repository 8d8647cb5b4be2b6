//! Tests whether dispatchers place the requests to a service.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Bytes;

use super::{DispatchSetting, uses_dispatchers};
use crate::catalog::{Catalog, Delivery, EngineSpec, Limits, PathRoute, Service, WeightedService};
use crate::number::CatalogVersion;
use crate::sources::PeerNode;
use crate::step_model::{StepModel, TokenCounts};
use crate::testkit;

/// A route to the service of the tests' engines, with a priority.
fn route(name: &str, priority: u8) -> PathRoute {
    PathRoute {
        name: name.to_owned(),
        host: "one.example".to_owned(),
        prefix: format!("/{name}/"),
        delivery: Delivery::Stream { resumable: true },
        time_limit: None,
        latency_target: None,
        event_gap_target: None,
        priority,
        max_attempts: 2,
        is_public: false,
        services: vec![WeightedService {
            service: testkit::service(),
            weight: 1,
        }],
    }
}

fn steps(step_ms: f64) -> StepModel {
    StepModel {
        step_ms,
        step_ms_per_answer: 0.1,
        read_tokens_per_ms: 50.0,
        chunk_tokens: 512.0,
        steps_per_pass: 5,
        mean: TokenCounts {
            prompt: 800.0,
            answer: 100.0,
        },
    }
}

fn catalog(steps: Option<StepModel>, priorities: &[u8]) -> Catalog {
    let limits = Limits {
        max_header_bytes: Bytes(16_384),
        max_body_bytes: Bytes(1_000),
        header_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        cold_per_s: None,
        engine: Some(EngineSpec {
            steps,
            ..testkit::spec()
        }),
    };
    let routes = priorities.iter().enumerate();
    let routes = routes.map(|(index, priority)| route(&format!("r{index}"), *priority));
    let services = IndexMap::from([(testkit::service(), service)]);
    Catalog::new(CatalogVersion(1), routes, services, None, limits)
}

fn nodes(memory_mb: &[Option<u64>]) -> Vec<PeerNode> {
    let nodes = memory_mb
        .iter()
        .enumerate()
        .map(|(index, memory_mb)| PeerNode {
            node: format!("n{index}").parse().expect("a valid node id"),
            failure_domain: "a".parse().expect("a valid failure domain"),
            links: "127.0.0.1:1".parse().expect("an address"),
            forwarding: None,
            processor_share: 0.25,
            memory_mb: *memory_mb,
        });
    nodes.collect()
}

macro_rules! applicability {
    ($($name:ident: $steps:expr, $priorities:expr, $memory_mb:expr, $setting:expr => $used:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let catalog = catalog($steps, &$priorities);
                let nodes = nodes(&$memory_mb);
                let used = uses_dispatchers(&catalog, &testkit::service(), &nodes, $setting);
                assert_eq!(used, $used);
            }
        )*
    };
}

applicability! {
    equal_routes_on_nodes_of_160_mb_take_the_old_path:
        Some(steps(6.0)), [5, 5, 5], [Some(160), Some(512)], None => false;
    nodes_that_state_no_memory_take_the_old_path:
        Some(steps(6.0)), [5, 5], [None, None], None => false;
    unequal_routes_are_dispatched:
        Some(steps(6.0)), [0, 5], [Some(160)], None => true;
    a_small_node_is_enough:
        Some(steps(6.0)), [5, 5], [Some(512), Some(112)], None => true;
    a_node_of_128_mb_is_not_small:
        Some(steps(6.0)), [5, 5], [Some(128)], None => false;
    the_setting_turns_them_on:
        Some(steps(6.0)), [5, 5], [Some(160)], Some(DispatchSetting::Always) => true;
    the_setting_turns_them_off:
        Some(steps(6.0)), [0, 5], [Some(112)], Some(DispatchSetting::Never) => false;
    without_step_times_nothing_can_be_predicted:
        None, [0, 5], [Some(112)], Some(DispatchSetting::Always) => false;
    unusable_step_times_are_none:
        Some(steps(0.0)), [0, 5], [Some(112)], None => false;
}

/// A service whose own routes are equal isn't affected by the urgency of routes to other services.
#[test]
fn routes_to_other_services_do_not_count() {
    let catalog = catalog(Some(steps(6.0)), &[5]);
    let mut other = route("other", 0);
    other.services[0].service = "app".parse().expect("a valid service");
    let routes = [route("equal", 5), other];
    let Catalog {
        version,
        services,
        limits,
        ..
    } = catalog;
    let catalog = Catalog::new(version, routes, services, None, limits);
    let nodes = nodes(&[Some(160)]);
    assert!(!uses_dispatchers(
        &catalog,
        &testkit::service(),
        &nodes,
        None
    ));
}
