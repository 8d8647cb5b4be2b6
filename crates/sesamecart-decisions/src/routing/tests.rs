use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_vocabulary::{EndpointId, FailureDomainId, NodeId, Permits, Timestamp, Tokens};

use super::*;
use crate::allowance::{BorrowedPermits, Slice};
use crate::settings::{AllowanceSettings, RoutingSettings};

const NOW: Timestamp = Timestamp::from_millis(100);

fn domain(index: usize) -> FailureDomainId {
    ["a", "b", "c"][index % 3].parse().unwrap()
}

fn node(index: usize) -> NodeId {
    format!("node-{index}").parse().unwrap()
}

fn endpoints(count: usize) -> impl Iterator<Item = PoolEndpoint> {
    (0..count).map(|index| {
        let id: EndpointId = format!("engine-{index}").parse().unwrap();
        PoolEndpoint::new(id, domain(index), live_borrowed())
    })
}

/// The permits of an endpoint that counts as alive.
fn live_borrowed() -> BorrowedPermits {
    let cfg = AllowanceSettings::default();
    let mut borrowed = BorrowedPermits::new(Tokens(2_000), &cfg);
    borrowed.finish(NOW, Tokens(0));
    borrowed
}

fn lend(router: &mut Router, permits: u32) {
    let slice = Slice {
        permits: Permits(permits),
        valid_for: Duration::from_secs(1),
    };
    for endpoint in router.endpoints_mut() {
        endpoint.borrowed.demand(Timestamp::ZERO, Permits(0));
        endpoint.borrowed.apply_slice(Timestamp::ZERO, slice);
    }
}

/// A router in failure domain `a` over twelve endpoints with `permits` permits each.
fn router(permits: u32) -> Router {
    let cfg = RoutingSettings::default();
    let mut router = Router::new(&node(0), &domain(0), endpoints(12), &[node(0)], cfg);
    lend(&mut router, permits);
    router
}

fn request(random: u64) -> RouteRequest {
    RouteRequest {
        prefix: None,
        kv: Tokens(500),
        random,
    }
}

fn request_with_prefix(random: u64) -> RouteRequest {
    RouteRequest {
        prefix: Some(PrefixHash(7)),
        ..request(random)
    }
}

/// Starts up to `count` requests that stay in flight, and returns the chosen endpoints.
fn send(router: &mut Router, count: u64, make_request: impl Fn(u64) -> RouteRequest) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut chosen = Vec::new();
    for _ in 0..count {
        let request = make_request(rng.u64(..));
        let Some(route) = router.choose(NOW, request) else {
            break;
        };
        assert!(router.start(NOW, route.endpoint, &request));
        chosen.push(route.endpoint);
    }
    chosen
}

fn in_domain(router: &Router, chosen: &[usize], index: usize) -> usize {
    let is_in_domain = |endpoint: &&usize| router.endpoints()[**endpoint].domain == domain(index);
    chosen.iter().filter(is_in_domain).count()
}

/// Each of 380 nodes uses a few more than 8 of 660 endpoints. Together they use all endpoints about
/// evenly, so that no endpoint is idle while requests wait.
#[test]
fn subsets_cover_the_pool() {
    let cfg = RoutingSettings::default();
    let nodes: Vec<NodeId> = (0..380).map(node).collect();
    let mut uses = vec![0; 660];
    for index in 0..380 {
        let router = Router::new(&nodes[index], &domain(index), endpoints(660), &nodes, cfg);
        assert!((8..=24).contains(&router.endpoints().len()));
        for endpoint in router.endpoints() {
            let number = endpoint.id.as_str().strip_prefix("engine-").unwrap();
            uses[number.parse::<usize>().unwrap()] += 1;
        }
    }
    assert!(
        uses.iter().all(|count| (1..=24).contains(count)),
        "{uses:?}"
    );
}

#[test]
fn own_failure_domain_is_preferred() {
    let mut router = router(10);
    let chosen = send(&mut router, 20, request);
    assert_eq!(in_domain(&router, &chosen, 0), 20);
}

/// When the own failure domain fills up, requests move to others gradually while it still has free
/// permits, not all at once.
#[test]
fn full_failure_domain_spills_gradually() {
    let mut router = router(10);
    let chosen = send(&mut router, 42, request);
    let local = in_domain(&router, &chosen, 0);
    assert!((32..40).contains(&local), "{local}");
}

/// The endpoints of a drained failure domain get no new requests; the other endpoints get them all.
#[test]
fn drained_failure_domain_gets_no_requests() {
    let mut router = router(10);
    for endpoint in router.endpoints_mut() {
        if endpoint.domain == domain(0) {
            endpoint.state = EndpointState::Draining;
        }
    }
    let chosen = send(&mut router, 60, request);
    assert_eq!(chosen.len(), 60);
    assert_eq!(in_domain(&router, &chosen, 0), 0);
}

#[test]
fn no_endpoint_is_chosen_without_free_permits() {
    let mut router = router(2);
    assert_eq!(send(&mut router, 100, request).len(), 24);
    assert_eq!(router.choose(NOW, request(1)), None);
}

#[test]
fn requests_with_the_same_prefix_go_to_one_endpoint() {
    let mut router = router(10);
    let chosen = send(&mut router, 2, request_with_prefix);
    assert_eq!(chosen[0], chosen[1]);
}

/// When all requests share one prefix, its endpoint takes slightly more than an equal share and other
/// endpoints take the rest, so that no request waits for one endpoint while others are idle.
#[test]
fn hot_prefix_does_not_overload_its_endpoint() {
    let cfg = RoutingSettings::default();
    let elsewhere = "elsewhere".parse().unwrap();
    let mut router = Router::new(&node(0), &elsewhere, endpoints(12), &[node(0)], cfg);
    lend(&mut router, 10);
    let chosen = send(&mut router, 60, request_with_prefix);
    let max_per_endpoint = (0..12)
        .map(|e| chosen.iter().filter(|c| **c == e).count())
        .max();
    assert!(max_per_endpoint <= Some(9), "{max_per_endpoint:?}");
    let endpoints: IndexSet<_> = chosen.iter().collect();
    assert!(endpoints.len() >= 6, "{endpoints:?}");
}

/// Cache events may be late or missing. A request is routed with or without a hint; a wrong hint only
/// costs the time to compute the prompt.
#[test]
fn request_is_routed_with_and_without_a_hint() {
    let mut router = router(10);
    router.record_cached(PrefixHash(7), 3);
    let hinted = router.choose(NOW, request_with_prefix(1)).unwrap();
    assert_eq!(
        hinted,
        Route {
            endpoint: 3,
            reason: RouteReason::CachedPrefix
        }
    );
    router.record_evicted(PrefixHash(7), 3);
    let unhinted = router.choose(NOW, request_with_prefix(1)).unwrap();
    assert_eq!(unhinted.reason, RouteReason::PrefixHome);
}

/// An endpoint with ten times the latency of the others is ejected after a few requests, and used
/// again when the ejection ends.
#[test]
fn slow_endpoint_is_ejected_temporarily() {
    let mut router = router(10);
    let outliers = router.outliers_mut();
    for _ in 0..10 {
        for endpoint in 0..12 {
            let latency = if endpoint == 4 { 0.2 } else { 0.02 };
            outliers.record_success(NOW, endpoint, latency);
        }
    }
    let later = NOW + RoutingSettings::default().ejection_duration();
    assert!(outliers.is_ejected(NOW, 4));
    assert!(!outliers.is_ejected(later, 4));
    assert!((0..12).filter(|e| outliers.is_ejected(NOW, *e)).eq([4]));
}

/// When every endpoint fails, perhaps because of faulty requests, most stay in use. Ejecting all of
/// them would turn partial failures into an outage.
#[test]
fn ejected_share_of_a_pool_is_limited() {
    let mut router = router(10);
    let outliers = router.outliers_mut();
    for endpoint in (0..12).cycle().take(1_200) {
        outliers.record_failure(NOW, endpoint);
    }
    assert_eq!((0..12).filter(|e| outliers.is_ejected(NOW, *e)).count(), 3);
}
