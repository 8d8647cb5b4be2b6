//! Tests of endpoints that limit the requests of all nodes together.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use sesamecart_entry::Entry;
use sesamecart_platform_standins::{Engine, Fault, Outage};

use crate::EVENTS;
use crate::faulty_links::LinkFault;
use crate::setup::{Deployment, RequestKind, Response};

/// The number of plain endpoints.
const ENDPOINTS: usize = 6;

/// The requests of all callers per second.
const REQUESTS_PER_S: f64 = 60.0;

/// The time from the first response that names a limit until the limit holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The length of the windows in which the limit holds.
const WINDOW: Duration = Duration::from_secs(4);

/// How long callers send requests.
const TEST_DURATION: Duration = Duration::from_secs(9);

/// The number of callers that send requests in turn.
const CALLERS: usize = 12;

/// Which node each request goes to.
#[derive(Clone, Copy, Debug)]
enum Spread {
    Even,
    OneNode,
    /// All callers move to the next node every half a second.
    Moving,
}

impl Spread {
    fn choose<'a>(self, nodes: &[&'a Entry], number: usize, elapsed: Duration) -> &'a Entry {
        let index = match self {
            Self::Even => number,
            Self::OneNode => 0,
            Self::Moving => elapsed.as_millis() as usize / 500,
        };
        nodes[index % nodes.len()]
    }
}

/// What callers got.
#[derive(Debug, Default)]
struct Outcomes {
    served: AtomicU32,
    refused: AtomicU32,
    other: AtomicU32,
}

impl Outcomes {
    fn record(&self, status: u16) {
        let count = match status {
            200 => &self.served,
            429 | 503 => &self.refused,
            _ => &self.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// The requests of all callers.
#[derive(Clone, Copy, Debug)]
struct Load {
    kind: RequestKind,
    per_s: f64,
    spread: Spread,
    duration: Duration,
}

const LOOKUPS: Load = Load {
    kind: RequestKind::Lookup,
    per_s: REQUESTS_PER_S,
    spread: Spread::Even,
    duration: TEST_DURATION,
};

/// Sends requests to the nodes for a time, and returns what callers got.
fn send_load(deployment: &Deployment, nodes: &[&Entry], load: Load) -> Outcomes {
    let outcomes = Outcomes::default();
    let started_at = Instant::now();
    let is_over = AtomicBool::new(false);
    let number = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let due = Duration::from_secs_f64(f64::from(number) / load.per_s);
                    std::thread::sleep(due.saturating_sub(started_at.elapsed()));
                    if started_at.elapsed() >= load.duration {
                        is_over.store(true, Ordering::Relaxed);
                        break;
                    }
                    let node = load
                        .spread
                        .choose(nodes, number as usize, started_at.elapsed());
                    let id = format!("l{}-{}", number, fastrand::u32(..));
                    let deadline = Duration::from_secs(2);
                    let response =
                        deployment.send_request_to(node, load.kind, &id, "key-1", deadline);
                    outcomes.record(response.status);
                }
            });
        }
    });
    outcomes
}

/// Sends one lookup to a node.
fn look_up(deployment: &Deployment, node: &Entry) -> Response {
    let id = format!("one-{}", fastrand::u64(..));
    let deadline = Duration::from_secs(2);
    deployment.send_request_to(node, RequestKind::Lookup, &id, "key-1", deadline)
}

/// Lets all plain endpoints name a limit, and returns once a node knows it.
fn limit_all(deployment: &Deployment, node: &Entry, limit: &str) {
    for endpoint in &deployment.plain {
        endpoint.name_limits(&[limit]);
    }
    deployment.wait_until("the node knows the limits", || {
        look_up(deployment, node);
        node.state().limited_endpoints().len() == deployment.plain.len()
    });
}

fn assert_limit_holds(endpoint: &Engine, per_s: f64, named_at: Instant, outcomes: &Outcomes) {
    let most = max_in_window(endpoint, named_at + CONTACT_TIME);
    let id = endpoint.id();
    assert!(
        most <= allowed(per_s),
        "{id} got {most} in a window: {outcomes:?}"
    );
}

/// Returns the largest number of requests that arrived in one window after `from`.
fn max_in_window(endpoint: &Engine, from: Instant) -> usize {
    let arrivals = endpoint.arrivals();
    let arrivals: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let counts = arrivals.iter().enumerate().map(|(index, first)| {
        let later = arrivals[index..].iter();
        later.take_while(|at| **at - *first < WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Returns the largest number of requests that may arrive in one window.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64()).ceil() as usize + 5
}

/// Checks that callers get at least 0.6 of the limit, in a run of `TEST_DURATION`.
fn assert_limit_is_used(endpoint: &Engine, per_s: f64, named_at: Instant, outcomes: &Outcomes) {
    let arrivals = endpoint.arrivals().into_iter();
    let used = arrivals.filter(|at| *at >= named_at + CONTACT_TIME).count() as f64;
    let seconds = (TEST_DURATION - CONTACT_TIME).as_secs_f64();
    let id = endpoint.id();
    assert!(
        used >= 0.6 * per_s * seconds - 1.0,
        "{id} got only {used}: {outcomes:?}"
    );
}

fn start(nodes: usize) -> (Deployment, Vec<Entry>) {
    let deployment = Deployment::start_with_plain_endpoints(ENDPOINTS);
    let others = deployment.add_nodes("a", nodes - 1);
    (deployment, others)
}

macro_rules! limits_hold {
    ($($name:ident: $nodes:literal nodes, $limited:literal endpoints at $limit:literal, $spread:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_limits_hold($nodes, $limited, $limit, $spread);
            }
        )*
    };
}

fn check_limits_hold(nodes: usize, limited: usize, limit: &str, spread: Spread) {
    let (deployment, others) = start(nodes);
    let per_s: f64 = limit.parse().expect("a number");
    for endpoint in &deployment.plain[..limited] {
        endpoint.name_limits(&[limit]);
    }
    let named_at = Instant::now();
    let nodes: Vec<&Entry> = std::iter::once(&deployment.node).chain(&others).collect();
    let outcomes = send_load(&deployment, &nodes, Load { spread, ..LOOKUPS });
    for endpoint in &deployment.plain[..limited] {
        assert_limit_holds(endpoint, per_s, named_at, &outcomes);
        assert_limit_is_used(endpoint, per_s, named_at, &outcomes);
    }
    assert_eq!(
        outcomes.other.into_inner(),
        0,
        "each request is served or refused"
    );
    if limited < ENDPOINTS {
        assert_eq!(
            outcomes.refused.into_inner(),
            0,
            "the other endpoints have room"
        );
    }
    for node in others {
        node.kill();
    }
    deployment.kill();
}

limits_hold! {
    all_nodes_together_keep_the_limits_of_two_endpoints: 4 nodes, 2 endpoints at "2", Spread::Even;
    all_nodes_together_keep_the_limits_of_all_endpoints: 4 nodes, 6 endpoints at "3", Spread::Even;
    one_node_with_all_callers_uses_the_limit: 4 nodes, 6 endpoints at "3", Spread::OneNode;
    callers_that_move_between_nodes_keep_the_limit: 4 nodes, 6 endpoints at "3", Spread::Moving;
    a_limit_far_below_one_request_for_each_node_holds: 12 nodes, 6 endpoints at "0.5", Spread::Even;
}

/// Guards against limits that only requests to plain endpoints keep, and against resumed streams beyond them.
#[test]
fn streams_and_their_resumptions_keep_the_limits_of_heads() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let other = deployment.add_node("n2", deployment.store.address());
    deployment.wait_until("the other node knows the groups", || {
        other.state().open_group_count() == 2
    });
    for engine in &deployment.engines {
        engine.name_limits(&["3"]);
        engine.abort_streams_after(4);
    }
    let named_at = Instant::now();
    let load = Load {
        kind: RequestKind::Stream,
        per_s: 20.0,
        ..LOOKUPS
    };
    let outcomes = send_load(&deployment, &[&deployment.node, &other], load);
    for engine in &deployment.engines {
        assert_limit_holds(engine, 3.0, named_at, &outcomes);
    }
    other.kill();
    deployment.kill();
}

/// Guards against requests that one node sends to limited endpoints for another one that doesn't reach them.
#[test]
fn requests_that_are_forwarded_for_a_cut_node_keep_the_limits() {
    let deployment = Deployment::start_with_plain_endpoints(ENDPOINTS);
    let (cut, links) = deployment.add_node_with_links("n2");
    links.fail(LinkFault::Reset, deployment.endpoint_addresses());
    for endpoint in &deployment.plain {
        endpoint.name_limits(&["3"]);
    }
    let named_at = Instant::now();
    let outcomes = send_load(&deployment, &[&deployment.node, &cut], LOOKUPS);
    for endpoint in &deployment.plain {
        assert_limit_holds(endpoint, 3.0, named_at, &outcomes);
    }
    assert_eq!(outcomes.other.into_inner(), 0);
    cut.kill();
    deployment.kill();
}

/// Guards against a second authority that admits the whole limit beside the first one.
#[test]
fn the_limits_hold_while_nodes_stop_and_others_take_over() {
    let (deployment, mut others) = start(6);
    for endpoint in &deployment.plain {
        endpoint.name_limits(&["3"]);
    }
    let named_at = Instant::now();
    let load = Load {
        duration: Duration::from_secs(2),
        ..LOOKUPS
    };
    let mut totals = Vec::new();
    while !others.is_empty() {
        let nodes: Vec<&Entry> = std::iter::once(&deployment.node).chain(&others).collect();
        totals.push(send_load(&deployment, &nodes, load));
        others.pop().expect("there are others").kill();
    }
    totals.push(send_load(&deployment, &[&deployment.node], load));
    for endpoint in &deployment.plain {
        for outcomes in &totals {
            assert_limit_holds(endpoint, 3.0, named_at, outcomes);
        }
    }
    deployment.kill();
}

/// Guards against limits that depend on the platform's store.
#[test]
fn the_limits_hold_while_the_store_is_down() {
    let (deployment, others) = start(4);
    let nodes: Vec<&Entry> = std::iter::once(&deployment.node).chain(&others).collect();
    deployment.store.set_outage(Outage::Unavailable);
    for endpoint in &deployment.plain {
        endpoint.name_limits(&["3"]);
    }
    let named_at = Instant::now();
    let load = Load {
        duration: Duration::from_millis(4_500),
        ..LOOKUPS
    };
    let outcomes = send_load(&deployment, &nodes, load);
    deployment.store.set_outage(Outage::None);
    for endpoint in &deployment.plain {
        assert_limit_holds(endpoint, 3.0, named_at, &outcomes);
    }
    let served = outcomes.served.into_inner();
    assert!(
        served > 30,
        "callers are served without the store: {served}"
    );
    for node in others {
        node.kill();
    }
    deployment.kill();
}

/// Guards against a limit that stays because hardly anything is sent to its endpoint.
#[test]
fn the_end_of_a_limit_of_zero_is_noticed_by_all_nodes() {
    let (deployment, others) = start(4);
    limit_all(&deployment, &deployment.node, "0");
    for endpoint in &deployment.plain {
        endpoint.name_limits(&[]);
    }
    deployment.wait_until("no node knows of a limit", || {
        for node in &others {
            look_up(&deployment, node);
        }
        look_up(&deployment, &deployment.node);
        let mut nodes = std::iter::once(&deployment.node).chain(&others);
        nodes.all(|node| node.state().limited_endpoints().is_empty())
    });
    for node in others {
        node.kill();
    }
    deployment.kill();
}

/// Guards against a new node that sends what it wants until it has seen a response of each endpoint.
#[test]
fn a_node_that_starts_later_knows_the_limits_before_it_sends() {
    let (deployment, others) = start(2);
    limit_all(&deployment, &deployment.node, "1");
    let late = deployment.add_node("n3", deployment.store.address());
    deployment.wait_until("the new node knows the limits", || {
        // The authorities announce the limits again while requests arrive.
        look_up(&deployment, &deployment.node);
        late.state().limited_endpoints().len() == ENDPOINTS
    });
    for node in others.into_iter().chain([late]) {
        node.kill();
    }
    deployment.kill();
}

/// Guards against callers that wait for a place until their deadlines, and operators that can't see why they
/// were refused.
#[test]
fn a_request_without_a_permit_is_refused_at_once_and_shown_to_operators() {
    let deployment = Deployment::start_with_plain_endpoints(ENDPOINTS);
    limit_all(&deployment, &deployment.node, "0");
    let started_at = Instant::now();
    let response = look_up(&deployment, &deployment.node);
    let taken = started_at.elapsed();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(taken < Duration::from_millis(500), "{taken:?}");
    let retry_after = response.retry_after.expect("it says when to come back");
    let retry_after: f64 = retry_after.parse().expect("a number");
    assert!((0.05..=2.5).contains(&retry_after), "{retry_after}");
    let metric = |name| deployment.metric(&deployment.node, name, "");
    assert_eq!(metric("sesamecart_endpoints_limited"), ENDPOINTS as u64);
    assert!(metric("sesamecart_requests_limited_total") >= 1);
    let page = deployment.send_operator_request(&deployment.node, "GET", "/limited-endpoints");
    let page: serde_json::Value = serde_json::from_str(&page.body).expect("JSON");
    let entries = page.as_array().expect("a list");
    assert_eq!(entries.len(), ENDPOINTS);
    assert!(entries.iter().all(|entry| entry["authority"] == "n1"));
    assert!(
        entries
            .iter()
            .all(|entry| entry["refused"].as_u64() >= Some(1))
    );
    deployment.shut_down();
}

/// Guards against a header that can't be used and keeps callers from an endpoint or ends its limit.
#[test]
fn limits_that_are_no_rates_change_nothing() {
    let deployment = Deployment::start_with_plain_endpoints(ENDPOINTS);
    for invalid in ["", "-1", "many", "inf", "NaN"] {
        for endpoint in &deployment.plain {
            endpoint.name_limits(&[invalid]);
        }
        for _ in 0..12 {
            assert_eq!(look_up(&deployment, &deployment.node).status, 200);
        }
        assert!(deployment.node.state().limited_endpoints().is_empty());
    }
    limit_all(&deployment, &deployment.node, "5");
    for endpoint in &deployment.plain {
        endpoint.name_limits(&["none"]);
    }
    for _ in 0..12 {
        look_up(&deployment, &deployment.node);
    }
    let limited = deployment.node.state().limited_endpoints().len();
    assert_eq!(limited, ENDPOINTS, "the limits still stand");
    deployment.shut_down();
}

/// Guards against nodes that ask each other although no endpoint is limited, and against an ejection of limited
/// endpoints.
#[test]
fn nothing_is_asked_without_limits_and_limited_endpoints_are_not_ejected() {
    let (deployment, others) = start(2);
    let unasked = |node: &Entry| {
        let outcomes = ["granted", "denied", "unlimited", "unanswered"];
        let counts =
            outcomes.map(|outcome| deployment.metric(node, "sesamecart_permits_total", outcome));
        counts.iter().sum::<u64>() == 0
    };
    for _ in 0..30 {
        assert_eq!(look_up(&deployment, &others[0]).status, 200);
    }
    assert!(unasked(&others[0]) && unasked(&deployment.node));
    limit_all(&deployment, &deployment.node, "2");
    for endpoint in &deployment.plain {
        endpoint.name_limits(&["1000"]);
    }
    deployment.wait_until("all endpoints serve again", || {
        (0..12).all(|_| look_up(&deployment, &deployment.node).status == 200)
    });
    for node in others {
        node.kill();
    }
    deployment.kill();
}

/// Guards against an endpoint that gets all that its full siblings turn away, although it is limited.
#[test]
fn a_limited_endpoint_with_full_siblings_keeps_its_limit() {
    let (deployment, others) = start(4);
    let nodes: Vec<&Entry> = std::iter::once(&deployment.node).chain(&others).collect();
    let (limited, siblings) = deployment.plain.split_first().expect("there are endpoints");
    limited.name_limits(&["3"]);
    for sibling in siblings {
        sibling.set_fault(Fault::Full);
    }
    let named_at = Instant::now();
    let outcomes = send_load(&deployment, &nodes, LOOKUPS);
    assert_limit_holds(limited, 3.0, named_at, &outcomes);
    assert_limit_is_used(limited, 3.0, named_at, &outcomes);
    assert_eq!(outcomes.other.into_inner(), 0);
    for node in others {
        node.kill();
    }
    deployment.kill();
}

/// Guards against bookings beyond the limit, and against a booking that runs twice because it was denied first.
#[test]
fn bookings_keep_the_limits_and_run_once() {
    let (deployment, others) = start(4);
    let nodes: Vec<&Entry> = std::iter::once(&deployment.node).chain(&others).collect();
    for endpoint in &deployment.plain {
        endpoint.name_limits(&["3"]);
    }
    let named_at = Instant::now();
    let load = Load {
        kind: RequestKind::Booking,
        ..LOOKUPS
    };
    let outcomes = send_load(&deployment, &nodes, load);
    for endpoint in &deployment.plain {
        assert_limit_holds(endpoint, 3.0, named_at, &outcomes);
    }
    let arrivals = deployment.plain.iter().map(|plain| plain.arrivals().len());
    let served = outcomes.served.into_inner() as usize;
    assert_eq!(arrivals.sum::<usize>(), served, "each one ran once");
    for node in others {
        node.kill();
    }
    deployment.kill();
}
