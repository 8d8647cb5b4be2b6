use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_vocabulary::{EndpointId, FailureDomainId, NodeId, Permits, Timestamp, Tokens};

use super::*;
use crate::allowance::{Borrowed, Slice};
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
        PoolEndpoint::new(id, domain(index), books())
    })
}

/// Books of an endpoint that has shown a sign of life.
fn books() -> Borrowed {
    let cfg = AllowanceSettings::default();
    let mut books = Borrowed::new(Tokens(2_000), &cfg);
    books.finish(NOW, Tokens(0));
    books
}

fn lend(router: &mut Router, permits: u32) {
    let slice = Slice {
        permits: Permits(permits),
        valid_for: Duration::from_secs(1),
    };
    for endpoint in router.endpoints_mut() {
        endpoint.borrowed.demand(Timestamp::ZERO, Permits(0));
        endpoint.borrowed.take(Timestamp::ZERO, slice);
    }
}

/// A router in domain `a` over twelve endpoints with `permits` permits each.
fn router(permits: u32) -> Router {
    let cfg = RoutingSettings::default();
    let mut router = Router::new(&node(0), &domain(0), endpoints(12), &[node(0)], cfg);
    lend(&mut router, permits);
    router
}

fn ask(draw: u64) -> Ask {
    Ask {
        prefix: None,
        kv: Tokens(500),
        draw,
    }
}

fn prefixed(draw: u64) -> Ask {
    Ask {
        prefix: Some(PrefixHash(7)),
        ..ask(draw)
    }
}

/// Sends `count` requests that stay in flight, and returns where they went.
fn send(router: &mut Router, count: u64, ask: impl Fn(u64) -> Ask) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut chosen = Vec::new();
    for _ in 0..count {
        let ask = ask(rng.u64(..));
        let Some(routed) = router.choose(NOW, ask) else {
            break;
        };
        assert!(router.start(NOW, routed.endpoint, &ask));
        chosen.push(routed.endpoint);
    }
    chosen
}

fn in_domain(router: &Router, chosen: &[usize], index: usize) -> usize {
    let inside = |endpoint: &&usize| router.endpoints()[**endpoint].domain == domain(index);
    chosen.iter().filter(inside).count()
}

/// Each of 380 nodes uses a few more than 8 of 660 endpoints, and together they use all of them about evenly, so
/// that no endpoint stands idle while callers wait.
#[test]
fn subsets_cover_the_pool() {
    let cfg = RoutingSettings::default();
    let nodes: Vec<NodeId> = (0..380).map(node).collect();
    let mut used = vec![0; 660];
    for index in 0..380 {
        let router = Router::new(&nodes[index], &domain(index), endpoints(660), &nodes, cfg);
        assert!((8..=24).contains(&router.endpoints().len()));
        for endpoint in router.endpoints() {
            let number = endpoint.id.as_str().strip_prefix("engine-").unwrap();
            used[number.parse::<usize>().unwrap()] += 1;
        }
    }
    assert!(
        used.iter().all(|count| (1..=24).contains(count)),
        "{used:?}"
    );
}

#[test]
fn the_own_failure_domain_comes_first() {
    let mut router = router(10);
    let chosen = send(&mut router, 20, ask);
    assert_eq!(in_domain(&router, &chosen, 0), 20);
}

/// The own failure domain fills up. Work moves to others little by little, while it still has room,
/// and not all at once.
#[test]
fn a_full_failure_domain_spills_gradually() {
    let mut router = router(10);
    let chosen = send(&mut router, 42, ask);
    let local = in_domain(&router, &chosen, 0);
    assert!((32..40).contains(&local), "{local}");
}

/// A failure domain is drained. Its endpoints get nothing new from that moment, and callers are
/// served by the others.
#[test]
fn a_drained_failure_domain_gets_nothing() {
    let mut router = router(10);
    for endpoint in router.endpoints_mut() {
        if endpoint.domain == domain(0) {
            endpoint.state = EndpointState::Draining;
        }
    }
    let chosen = send(&mut router, 60, ask);
    assert_eq!(chosen.len(), 60);
    assert_eq!(in_domain(&router, &chosen, 0), 0);
}

#[test]
fn no_room_anywhere_is_said() {
    let mut router = router(2);
    assert_eq!(send(&mut router, 100, ask).len(), 24);
    assert_eq!(router.choose(NOW, ask(1)), None);
}

#[test]
fn a_prefix_has_one_home() {
    let mut router = router(10);
    let chosen = send(&mut router, 2, prefixed);
    assert_eq!(chosen[0], chosen[1]);
}

/// All callers share one prefix. Its endpoint takes a little more than its part and others take
/// the rest, so that nobody waits for one endpoint while others stand idle.
#[test]
fn a_hot_prefix_does_not_overload_its_endpoint() {
    let cfg = RoutingSettings::default();
    let elsewhere = "elsewhere".parse().unwrap();
    let mut router = Router::new(&node(0), &elsewhere, endpoints(12), &[node(0)], cfg);
    lend(&mut router, 10);
    let chosen = send(&mut router, 60, prefixed);
    let most = (0..12)
        .map(|e| chosen.iter().filter(|c| **c == e).count())
        .max();
    assert!(most <= Some(9), "{most:?}");
    let endpoints: IndexSet<_> = chosen.iter().collect();
    assert!(endpoints.len() >= 6, "{endpoints:?}");
}

/// A cache event says that an endpoint has dropped the prefix, or was missed. Either way a request
/// is sent somewhere, and only the time to compute the prompt is lost.
#[test]
fn hints_may_be_wrong() {
    let mut router = router(10);
    router.cached(PrefixHash(7), 3);
    let hinted = router.choose(NOW, prefixed(1)).unwrap();
    assert_eq!(
        hinted,
        Routed {
            endpoint: 3,
            reason: RouteReason::CachedPrefix
        }
    );
    router.evicted(PrefixHash(7), 3);
    let unhinted = router.choose(NOW, prefixed(1)).unwrap();
    assert_eq!(unhinted.reason, RouteReason::PrefixHome);
}

/// One endpoint answers at a tenth of the others' speed. It is left out before its callers have
/// waited for long, and tried again later.
#[test]
fn a_slow_endpoint_is_ejected_for_a_while() {
    let mut router = router(10);
    let outliers = router.outliers_mut();
    for _ in 0..10 {
        for endpoint in 0..12 {
            let latency = if endpoint == 4 { 0.2 } else { 0.02 };
            outliers.succeeded(NOW, endpoint, latency);
        }
    }
    let later = NOW + RoutingSettings::default().eject();
    assert!(outliers.is_ejected(NOW, 4));
    assert!(!outliers.is_ejected(later, 4));
    assert!((0..12).filter(|e| outliers.is_ejected(NOW, *e)).eq([4]));
}

/// Every endpoint fails, perhaps because requests are at fault. Most stay in use, since ejecting
/// them all would turn a bad hour into an outage.
#[test]
fn most_of_a_pool_is_never_ejected() {
    let mut router = router(10);
    let outliers = router.outliers_mut();
    for endpoint in (0..12).cycle().take(1_200) {
        outliers.failed(NOW, endpoint);
    }
    assert_eq!((0..12).filter(|e| outliers.is_ejected(NOW, *e)).count(), 3);
}
