//! Simulations of many nodes whose callers want more than endpoints with limits take.
//!
//! A message between nodes takes no time, a response takes `RESPONSE_TIME`, and what the authority announces
//! reaches the other nodes after `ANNOUNCEMENT_TIME`.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_vocabulary::{EndpointId, NodeId, RequestRate, Timestamp};

use crate::endpoint_limit::{
    AuthorityRanking, KnownLimits, LimitAuthority, LimitObservation, LimitStatus, Permit,
    PermitRequest,
};
use crate::sources::PeerNode;

const ENDPOINTS: usize = 6;
const RESPONSE_TIME: Duration = Duration::from_millis(50);
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(400);

/// The time from the first response that names a limit until the limit holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The length of the windows in which the limit holds.
const WINDOW: Duration = Duration::from_secs(4);

const DURATION: Duration = Duration::from_secs(23);

/// The step from one caller's node to the next one's. It spreads each second's callers over all nodes.
const SPREAD_STEP: usize = 7_919;

/// How often a request may be denied before it avoids limited endpoints.
const MAX_DENIALS: u32 = 3;

/// The number of nodes that are asked for a permit, and to which a new limit is reported, until one answers.
const PERMIT_ATTEMPTS: u32 = 2;
const REPORT_ATTEMPTS: u32 = 8;

/// Which nodes the callers use.
#[derive(Clone, Copy, Debug)]
enum Callers {
    Even,
    OneNode,
    /// All callers move to another node every 700 ms.
    Moving,
}

/// What fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The authority of the first endpoint stops in the middle of the run.
    AuthorityStops,
    /// The nodes restart one after the other and forget everything.
    RestartsInSeries,
    /// Two halves of the nodes can't reach each other.
    Partition,
    /// One node reaches no other node.
    Isolated,
    /// Every other node doesn't know the second half of the nodes.
    DifferentViews,
    /// The limit ends after half of the run.
    LimitEnds,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: usize,
    per_s: f64,
    limited: usize,
    requests_per_s: f64,
    callers: Callers,
    fault: Fault,
}

struct Node {
    peer: PeerNode,
    known: KnownLimits,
    authority: LimitAuthority,
    ranking: AuthorityRanking,
    view: Vec<PeerNode>,
    is_stopped: bool,
}

impl Node {
    fn new(peer: PeerNode, view: Vec<PeerNode>) -> Self {
        Self {
            peer,
            known: KnownLimits::default(),
            authority: LimitAuthority::default(),
            ranking: AuthorityRanking::default(),
            view,
            is_stopped: false,
        }
    }
}

enum Delivery {
    Response {
        node: usize,
        endpoint: usize,
        sent_at: Timestamp,
    },
    Hint {
        node: usize,
        hint: LimitObservation,
    },
}

struct Simulation {
    scenario: Scenario,
    now: Timestamp,
    nodes: Vec<Node>,
    endpoints: Vec<EndpointId>,
    arrivals: Vec<Vec<Timestamp>>,
    deliveries: VecDeque<(Timestamp, Delivery)>,
    refused: usize,
}

fn peer(index: usize) -> PeerNode {
    PeerNode {
        node: format!("n{index}").parse().expect("a valid id"),
        failure_domain: format!("d{}", index % 3).parse().expect("a valid id"),
        links: "127.0.0.1:1".parse().expect("an address"),
        forwarding: None,
        processor_share: 0.25,
        memory_mb: None,
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let all: Vec<PeerNode> = (0..scenario.nodes).map(peer).collect();
        let nodes = all.iter().enumerate().map(|(index, own)| {
            let is_behind = scenario.fault == Fault::DifferentViews && index % 2 == 1;
            let known = all.iter().enumerate().filter(|(other, _)| {
                !is_behind || *other < scenario.nodes.div_ceil(2) || *other == index
            });
            let view = known.map(|(_, peer)| peer.clone()).collect();
            Node::new(own.clone(), view)
        });
        Self {
            scenario,
            now: Timestamp(1_000_000),
            nodes: nodes.collect(),
            endpoints: (0..ENDPOINTS)
                .map(|index| format!("e{index}").parse().expect("a valid id"))
                .collect(),
            arrivals: vec![Vec::new(); ENDPOINTS],
            deliveries: VecDeque::new(),
            refused: 0,
        }
    }

    fn elapsed(&self) -> Duration {
        self.now.since(Timestamp(1_000_000))
    }

    fn are_connected(&self, from: usize, to: usize) -> bool {
        let half = |node: usize| node < self.nodes.len() / 2;
        let is_cut = match self.scenario.fault {
            Fault::Partition => half(from) != half(to),
            Fault::Isolated => from == 0 || to == 0,
            _ => false,
        };
        from == to || (!is_cut && !self.nodes[to].is_stopped)
    }

    fn index_of(&self, node: &NodeId) -> usize {
        let index = self.nodes.iter().position(|known| known.peer.node == *node);
        index.expect("the node exists")
    }

    /// Returns the node that decides about an endpoint for `node`, or `None` if none answers.
    fn authority(&mut self, node: usize, endpoint: usize, attempts: u32) -> Option<usize> {
        let domain = format!("d{}", endpoint % 3).parse().expect("a valid id");
        // The next attempt asks the next node. The node that is asked looks for a better one once.
        for _ in 0..attempts {
            let chosen = {
                let asking = &self.nodes[node];
                let key = self.endpoints[endpoint].as_str();
                let ranking = &asking.ranking;
                let authority = ranking.authority(self.now, key, Some(&domain), &asking.view);
                authority.expect("a node knows itself").node.clone()
            };
            let index = self.index_of(&chosen);
            if self.are_connected(node, index) {
                self.nodes[node].ranking.mark_responsive(&chosen);
                return Some(self.relay(index, endpoint));
            }
            let now = self.now;
            self.nodes[node].ranking.mark_unresponsive(now, &chosen);
        }
        None
    }

    /// Returns the node that decides when `asked` is asked.
    fn relay(&mut self, asked: usize, endpoint: usize) -> usize {
        let domain = format!("d{}", endpoint % 3).parse().expect("a valid id");
        let node = &self.nodes[asked];
        let better = node
            .ranking
            .authority(
                self.now,
                self.endpoints[endpoint].as_str(),
                Some(&domain),
                &node.view,
            )
            .expect("a node knows itself")
            .node
            .clone();
        let better = self.index_of(&better);
        if self.are_connected(asked, better) {
            better
        } else {
            asked
        }
    }

    fn send(&mut self, node: usize, draw: usize) {
        let mut denials = 0;
        let mut skipped = IndexSet::new();
        loop {
            let candidates = (0..ENDPOINTS).map(|index| (draw + index) % ENDPOINTS);
            let mut candidates = candidates.filter(|index| !skipped.contains(index));
            let Some(endpoint) = candidates.next() else {
                self.refused += 1;
                return;
            };
            let status = {
                let known = &self.nodes[node].known;
                known.status(self.now, &self.endpoints[endpoint], None)
            };
            let is_admitted = match status {
                LimitStatus::Unlimited => true,
                LimitStatus::UsedUp => false,
                LimitStatus::NeedsPermit(_) if denials >= MAX_DENIALS => false,
                LimitStatus::NeedsPermit(limit) => {
                    let is_admitted = self.ask(node, endpoint, limit);
                    denials += u32::from(!is_admitted);
                    is_admitted
                }
            };
            if is_admitted {
                self.arrivals[endpoint].push(self.now);
                let response = Delivery::Response {
                    node,
                    endpoint,
                    sent_at: self.now,
                };
                self.deliver(RESPONSE_TIME, response);
                return;
            }
            skipped.insert(endpoint);
        }
    }

    fn ask(&mut self, node: usize, endpoint: usize, limit: LimitObservation) -> bool {
        let (now, id) = (self.now, self.endpoints[endpoint].clone());
        let Some(authority) = self.authority(node, endpoint, PERMIT_ATTEMPTS) else {
            let known = &mut self.nodes[node].known;
            known.record_denied(now, &id, Duration::from_millis(500));
            return false;
        };
        let req = PermitRequest {
            limit,
            customer: None,
            priority: 0,
        };
        let permit = self.nodes[authority].authority.request(now, &req);
        self.announce(authority, &id);
        let known = &mut self.nodes[node].known;
        match permit {
            Permit::Granted => return true,
            Permit::Denied(retry_after) => known.record_denied(now, &id, retry_after),
            Permit::Unlimited => {
                let _change = known.record_unlimited(now, &id);
                return true;
            }
        }
        false
    }

    fn announce(&mut self, authority: usize, endpoint: &EndpointId) {
        let now = self.now;
        let hint = self.nodes[authority]
            .authority
            .take_announcement(now, endpoint);
        let Some(hint) = hint else { return };
        for node in 0..self.nodes.len() {
            if self.are_connected(authority, node) {
                let hint = hint.clone();
                self.deliver(ANNOUNCEMENT_TIME, Delivery::Hint { node, hint });
            }
        }
    }

    fn deliver(&mut self, after: Duration, delivery: Delivery) {
        let at = self.now + after;
        let index = self.deliveries.partition_point(|(due, _)| *due <= at);
        self.deliveries.insert(index, (at, delivery));
    }

    fn receive(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Hint { node, hint } => {
                let _change = self.nodes[node].known.apply_hint(self.now, &hint);
            }
            Delivery::Response {
                node,
                endpoint,
                sent_at,
            } => {
                let is_named = endpoint < self.scenario.limited && self.is_limit_named();
                let observation = LimitObservation {
                    endpoint: self.endpoints[endpoint].clone(),
                    incarnation: None,
                    limit: is_named
                        .then(|| RequestRate::new(self.scenario.per_s).expect("a valid rate")),
                    sent_at,
                };
                let change = self.nodes[node].known.observe(self.now, &observation);
                let authority =
                    change.and_then(|_| self.authority(node, endpoint, REPORT_ATTEMPTS));
                if let Some(authority) = authority {
                    let now = self.now;
                    let decider = &mut self.nodes[authority].authority;
                    decider.observe(now, &observation);
                    self.announce(authority, &observation.endpoint);
                }
            }
        }
    }

    fn is_limit_named(&self) -> bool {
        self.scenario.fault != Fault::LimitEnds || self.elapsed() < DURATION / 2
    }

    fn apply_fault(&mut self, second: u64) {
        match self.scenario.fault {
            Fault::AuthorityStops if second == 8 => {
                let authority = self.authority(0, 0, 1).expect("a node answers");
                self.nodes[authority].is_stopped = true;
            }
            Fault::RestartsInSeries => {
                let index = second as usize % self.nodes.len();
                let node = &mut self.nodes[index];
                *node = Node::new(node.peer.clone(), node.view.clone());
            }
            _ => {}
        }
    }

    fn run(&mut self) {
        let interval = Duration::from_secs_f64(1.0 / self.scenario.requests_per_s);
        let requests = (DURATION.as_secs_f64() * self.scenario.requests_per_s) as usize;
        let started_at = self.now;
        let mut faults = 0;
        for number in 0..requests {
            let due = started_at + interval * number as u32;
            while let Some((at, _)) = self.deliveries.front()
                && *at <= due
            {
                let (at, delivery) = self.deliveries.pop_front().expect("it is there");
                self.now = at;
                self.receive(delivery);
            }
            self.now = due;
            while faults < self.elapsed().as_secs() {
                faults += 1;
                self.apply_fault(faults);
            }
            let nodes = self.nodes.len();
            let mut node = match self.scenario.callers {
                Callers::Even => number * SPREAD_STEP % nodes,
                Callers::OneNode => 0,
                Callers::Moving => (self.elapsed().as_millis() / 700) as usize * 7 % nodes,
            };
            while self.nodes[node].is_stopped {
                node = (node + 1) % nodes;
            }
            self.send(node, number / nodes + number);
        }
    }

    /// Returns the largest number of requests that arrived at an endpoint in one window.
    fn max_in_window(&self, endpoint: usize) -> usize {
        let from = Timestamp(1_000_000) + CONTACT_TIME;
        let arrivals = self.arrivals[endpoint].iter().filter(|at| **at >= from);
        let arrivals: Vec<Timestamp> = arrivals.copied().collect();
        let counts = arrivals.iter().enumerate().map(|(index, first)| {
            let later = arrivals[index..].iter();
            later.take_while(|at| at.since(*first) < WINDOW).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the arrivals per second from the time at which the limit holds.
    fn used_per_s(&self, endpoint: usize, until: Duration) -> f64 {
        let (from, until) = (
            Timestamp(1_000_000) + CONTACT_TIME,
            Timestamp(1_000_000) + until,
        );
        let arrivals = self.arrivals[endpoint].iter();
        let used = arrivals.filter(|at| **at >= from && **at < until).count() as f64;
        used / until.since(from).as_secs_f64()
    }
}

fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64()).ceil() as usize + 5
}

fn check(scenario: Scenario) {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    if scenario.fault == Fault::LimitEnds {
        for endpoint in 0..scenario.limited {
            let used = simulation.used_per_s(endpoint, DURATION);
            assert!(
                used > scenario.per_s,
                "{scenario:?}: the end goes unnoticed: {used}"
            );
        }
        return;
    }
    for endpoint in 0..scenario.limited {
        let most = simulation.max_in_window(endpoint);
        let used = simulation.used_per_s(endpoint, DURATION);
        assert!(
            most <= allowed(scenario.per_s),
            "{scenario:?}: e{endpoint} got {most} in a window"
        );
        assert!(
            used >= 0.6 * scenario.per_s,
            "{scenario:?}: e{endpoint} got only {used} a second"
        );
    }
    if scenario.limited < ENDPOINTS {
        assert_eq!(simulation.refused, 0, "the other endpoints have room");
    }
}

/// The limits hold and are used, with more requests than the endpoints take.
macro_rules! limits_hold {
    ($($name:ident: $nodes:literal nodes, $limited:literal at $per_s:literal, $load:literal wanted, $callers:ident, $fault:ident;)*) => {
        $(
            #[test]
            fn $name() {
                check(Scenario {
                    nodes: $nodes,
                    per_s: $per_s,
                    limited: $limited,
                    requests_per_s: $load,
                    callers: Callers::$callers,
                    fault: Fault::$fault,
                });
            }
        )*
    };
}

limits_hold! {
    one_node: 1 nodes, 6 at 3.0, 60.0 wanted, Even, None;
    four_nodes: 4 nodes, 6 at 3.0, 60.0 wanted, Even, None;
    seven_nodes_and_callers_at_one: 7 nodes, 6 at 3.0, 60.0 wanted, OneNode, None;
    seven_nodes_and_callers_that_move: 7 nodes, 6 at 3.0, 60.0 wanted, Moving, None;
    seven_nodes_and_two_limits: 7 nodes, 2 at 1.7, 60.0 wanted, Even, None;
    sixty_two_nodes: 62 nodes, 6 at 3.6, 60.0 wanted, Even, None;
    sixty_two_nodes_and_callers_that_move: 62 nodes, 6 at 3.6, 60.0 wanted, Moving, None;
    many_nodes: 380 nodes, 6 at 3.6, 60.0 wanted, Even, None;
    many_nodes_and_callers_at_one: 380 nodes, 6 at 3.6, 60.0 wanted, OneNode, None;
    many_nodes_and_callers_that_move: 380 nodes, 6 at 3.6, 60.0 wanted, Moving, None;
    many_nodes_and_two_limits: 380 nodes, 2 at 1.7, 60.0 wanted, Even, None;
    many_nodes_and_a_tiny_limit: 380 nodes, 6 at 0.5, 60.0 wanted, Even, None;
    many_nodes_and_a_tiny_limit_with_callers_that_move: 380 nodes, 6 at 0.5, 60.0 wanted, Moving, None;
    many_nodes_and_a_high_limit: 380 nodes, 6 at 100.0, 1200.0 wanted, Even, None;
    many_nodes_and_ten_times_the_limit: 380 nodes, 6 at 10.0, 600.0 wanted, Even, None;
    an_authority_that_stops: 7 nodes, 6 at 3.6, 60.0 wanted, Even, AuthorityStops;
    an_authority_of_many_nodes_that_stops: 380 nodes, 6 at 3.6, 60.0 wanted, Even, AuthorityStops;
    restarts_in_series: 7 nodes, 6 at 3.6, 60.0 wanted, Even, RestartsInSeries;
    restarts_of_many_nodes_in_series: 380 nodes, 6 at 3.6, 60.0 wanted, Even, RestartsInSeries;
    a_partition: 7 nodes, 6 at 3.6, 60.0 wanted, Even, Partition;
    a_partition_of_many_nodes: 380 nodes, 6 at 3.6, 60.0 wanted, Even, Partition;
    an_isolated_node: 7 nodes, 6 at 3.6, 60.0 wanted, Even, Isolated;
    nodes_that_count_different_numbers_of_nodes: 7 nodes, 6 at 3.6, 60.0 wanted, Even, DifferentViews;
    many_nodes_that_count_different_numbers_of_nodes: 380 nodes, 6 at 3.6, 60.0 wanted, Even, DifferentViews;
    a_limit_that_ends: 7 nodes, 6 at 1.0, 60.0 wanted, Even, LimitEnds;
    a_limit_of_zero_that_ends: 7 nodes, 6 at 0.0, 60.0 wanted, Even, LimitEnds;
    a_limit_of_many_nodes_that_ends: 380 nodes, 6 at 1.0, 60.0 wanted, Even, LimitEnds;
}
