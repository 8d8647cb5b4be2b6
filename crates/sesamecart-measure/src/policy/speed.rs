//! The time that one request's decisions take at the target's size.

use std::time::{Duration, Instant};

use sesamecart_decisions::admission::{Request, Ticket};
use sesamecart_decisions::allowance::{BorrowedPermits, Sample, Slice};
use sesamecart_decisions::pool::{NodeTopology, Placement, Pool};
use sesamecart_decisions::routing::{PoolEndpoint, PrefixHash};
use sesamecart_decisions::settings::DecisionSettings;
use sesamecart_vocabulary::{Bytes, CustomerId, Permits, RequestClass, Timestamp, Tokens, Weight};

/// Requests of one measurement.
const REQUESTS: u64 = 200_000;
const ENDPOINTS: usize = 660;

/// Microseconds a request, from its arrival to its end.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(super) struct DecisionTime {
    /// A node of the target: a subset of 660 endpoints, and a permit is free.
    pub(super) subset_us: f64,
    /// The same with 400 requests of 40 customers waiting, so that each end starts another.
    pub(super) queue_us: f64,
    /// A single node that uses as many of the 660 endpoints as settings allow at most.
    pub(super) all_us: f64,
}

pub(super) fn measure() -> DecisionTime {
    DecisionTime {
        subset_us: run(380, 16, 0),
        queue_us: run(380, 16, 400),
        all_us: run(1, ENDPOINTS, 0),
    }
}

fn run(nodes: usize, max_subset: usize, waiting: u64) -> f64 {
    let mut cfg = DecisionSettings::default();
    cfg.routing.max_subset = max_subset;
    let name = |node| format!("node-{node}").parse().expect("a valid name");
    let place = NodeTopology {
        node: "node-0".parse().expect("a valid name"),
        domain: "domain-0".parse().expect("a valid name"),
        nodes: (0..nodes).map(name).collect(),
    };
    let endpoints = (0..ENDPOINTS).map(|index| {
        let id = format!("endpoint-{index}").parse().expect("a valid name");
        let domain = format!("domain-{}", index % 3)
            .parse()
            .expect("a valid name");
        let books = BorrowedPermits::new(Tokens(2_000), &cfg.allowance);
        PoolEndpoint::new(id, domain, books)
    });
    let mut pool = Pool::new(&place, endpoints, cfg, 1);
    let customers: Vec<CustomerId> = (0..40)
        .map(|index| format!("customer-{index}").parse().expect("a valid name"))
        .collect();
    let begun = Instant::now();
    let mut running = std::collections::VecDeque::new();
    for number in 0..REQUESTS {
        // One microsecond of virtual time a request, so that nothing expires.
        let now = Timestamp(1 + number);
        if number % 20_000 == 0 {
            lend(&mut pool, now);
        }
        let request = request(number, &customers[number as usize % customers.len()]);
        note(pool.offer(now, request), &mut running);
        if pool.waiting() as u64 > waiting || (waiting == 0 && running.len() > 8) {
            let endpoint = running.pop_front().expect("requests run");
            pool.finish(now, endpoint, Tokens(1_000), &Sample::default());
            for placement in pool.poll(now) {
                note(placement, &mut running);
            }
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
}

fn note(placement: Placement, running: &mut std::collections::VecDeque<usize>) {
    match placement {
        Placement::Run(start) => running.push_back(start.endpoint),
        Placement::Wait => {}
        Placement::Refuse(refusal) => panic!("nothing is refused here: {refusal:?}"),
    }
}

fn lend(pool: &mut Pool, now: Timestamp) {
    let slice = Slice {
        permits: Permits(4),
        valid_for: Duration::from_secs(1),
    };
    for demand in pool.due_demands(now) {
        pool.apply_slice(now, demand.endpoint, slice);
    }
}

fn request(number: u64, customer: &CustomerId) -> Request {
    Request {
        ticket: Ticket(number),
        class: RequestClass::Interactive,
        customer: customer.clone(),
        weight: Weight(1),
        cost: Tokens(100 + number % 100),
        kv: Tokens(1_000),
        prefix: Some(PrefixHash(number % 500)),
        size: Bytes(2_000),
        deadline: Timestamp::from_millis(1_000_000),
        expected_time_to_first_byte: Duration::from_millis(300),
        expected_duration: Duration::from_secs(3),
    }
}
