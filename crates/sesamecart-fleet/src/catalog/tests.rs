//! Which route a request takes.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Bytes;

use super::{Catalog, Delivery, Limits, PathRoute, RouteMatch};
use crate::number::CatalogVersion;

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
