use std::time::Duration;

use sesamecart_vocabulary::{Bytes, RequestClass, Weight};

use super::*;
use crate::admission::RefusalReason;
use crate::allowance::BorrowedPermits;
use crate::retry::AttemptProgress;

const ENDPOINTS: usize = 4;
const PERMITS: u32 = 5;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// The permits of an endpoint that counts as alive.
fn live_borrowed() -> BorrowedPermits {
    let mut cfg = DecisionSettings::default();
    cfg.allowance.sign_ms = 60_000;
    let mut borrowed = BorrowedPermits::new(Tokens(2_000), &cfg.allowance);
    borrowed.finish(at(0), Tokens(0));
    borrowed
}

/// A pool at a node that holds five permits for each of four endpoints.
fn pool() -> Pool {
    let place = NodeTopology {
        node: "node-1".parse().unwrap(),
        domain: "a".parse().unwrap(),
        nodes: vec!["node-1".parse().unwrap()],
    };
    let endpoints = (0..ENDPOINTS).map(|index| {
        let id: EndpointId = format!("engine-{index}").parse().unwrap();
        PoolEndpoint::new(id, "a".parse().unwrap(), live_borrowed())
    });
    let mut pool = Pool::new(&place, endpoints, DecisionSettings::default(), 1);
    lend(&mut pool, at(0));
    pool
}

/// Answers the demands that are due at `now` with [`PERMITS`] for each endpoint.
fn lend(pool: &mut Pool, now: Timestamp) {
    pool.due_demands(now);
    let slice = Slice {
        permits: Permits(PERMITS),
        valid_for: Duration::from_secs(1),
    };
    for endpoint in 0..ENDPOINTS {
        pool.apply_slice(now, endpoint, slice);
    }
}

fn request(now: Timestamp, ticket: u64, customer: &str, class: RequestClass) -> Request {
    Request {
        ticket: Ticket(ticket),
        class,
        customer: customer.parse().unwrap(),
        weight: Weight(1),
        cost: Tokens(100),
        kv: Tokens(500),
        prefix: None,
        size: Bytes(1_000),
        deadline: now + Duration::from_secs(2),
        expected_time_to_first_byte: Duration::from_millis(500),
        expected_duration: Duration::from_secs(1),
    }
}

fn interactive(now: Timestamp, ticket: u64) -> Request {
    request(now, ticket, "large", RequestClass::Interactive)
}

/// The decisions about the requests of one test.
#[derive(Debug, Default)]
struct Outcome {
    started: Vec<Ticket>,
    refused: Vec<Refusal>,
}

impl Outcome {
    fn record(&mut self, placement: Placement) -> Option<StartedRequest> {
        match placement {
            Placement::Run(start) => {
                self.started.push(start.ticket);
                return Some(start);
            }
            Placement::Refuse(refusal) => self.refused.push(refusal),
            Placement::Wait => {}
        }
        None
    }

    fn started(&self, tickets: std::ops::Range<u64>) -> usize {
        let is_in_range = |ticket: &&Ticket| tickets.contains(&ticket.0);
        self.started.iter().filter(is_in_range).count()
    }
}

/// Five times as many requests as the pool has permits arrive at once. One request per permit
/// starts, and the others wait. When no permit becomes free, they are refused early enough for the
/// callers to try elsewhere.
#[test]
fn burst_waits_and_is_refused_before_its_deadline() {
    let mut pool = pool();
    let mut outcome = Outcome::default();
    for ticket in 0..100 {
        outcome.record(pool.offer(at(10), interactive(at(10), ticket)));
    }
    assert_eq!(outcome.started.len(), 20);
    assert_eq!(pool.waiting(), 80);
    assert!(pool.poll(at(1_500)).is_empty());
    for placement in pool.poll(at(1_511)) {
        outcome.record(placement);
    }
    assert_eq!(outcome.refused.len(), 80);
    let has_min_retry_after = |refusal: &Refusal| refusal.retry_after >= Duration::from_secs(1);
    assert!(outcome.refused.iter().all(has_min_retry_after));
}

/// An action that arrives at a saturated pool starts before all interactive requests that arrived
/// earlier.
#[test]
fn action_gets_the_next_free_permit() {
    let mut pool = pool();
    let mut outcome = Outcome::default();
    for ticket in 0..60 {
        outcome.record(pool.offer(at(10), interactive(at(10), ticket)));
    }
    outcome.record(pool.offer(at(20), request(at(20), 100, "small", RequestClass::Action)));
    pool.finish(at(30), 0, Tokens(500), &Sample::default());
    for placement in pool.poll(at(30)) {
        outcome.record(placement);
    }
    assert_eq!(outcome.started.last(), Some(&Ticket(100)));
}

/// Slices expire because the owner is unreachable. No request starts at the endpoint and callers
/// wait; their requests start after the owner's next answer.
#[test]
fn no_request_starts_without_a_valid_slice() {
    let mut pool = pool();
    let placement = pool.offer(at(1_000), interactive(at(1_000), 1));
    assert_eq!(placement, Placement::Wait);
    let asked = at(1_010);
    assert_eq!(pool.due_demands(asked).len(), ENDPOINTS);
    assert_eq!(pool.due_demands(asked).len(), 0, "demands are in flight");
    lend(&mut pool, asked);
    assert!(matches!(pool.poll(at(1_020))[..], [Placement::Run(_)]));
}

/// The pool runs twenty requests at once, and a large customer always has more waiting. A small
/// customer that sends less than its fair share is served almost completely.
#[test]
fn small_customer_is_served_at_saturation() {
    let mut pool = pool();
    let mut outcome = Outcome::default();
    let mut running = std::collections::VecDeque::new();
    for step in 0..1_000_u64 {
        let now = at(10 + 10 * step);
        if step % 50 == 0 {
            lend(&mut pool, now);
        }
        let mut placements = vec![
            pool.offer(now, request(now, step, "large", RequestClass::Interactive)),
            pool.offer(
                now,
                request(now, 10_000 + step, "large", RequestClass::Interactive),
            ),
        ];
        if step % 5 == 0 {
            let small = request(now, 20_000 + step, "small", RequestClass::Interactive);
            placements.push(pool.offer(now, small));
        }
        if running.len() == 20 {
            let endpoint = running.pop_front().unwrap();
            pool.finish(now, endpoint, Tokens(500), &Sample::default());
        }
        placements.extend(pool.poll(now));
        for placement in placements {
            let start = outcome.record(placement);
            running.extend(start.map(|start| start.endpoint));
        }
    }
    let small = outcome.started(20_000..30_000);
    assert!(small >= 195, "{small} of 200");
    let deadline = |refusal: &&Refusal| refusal.reason == RefusalReason::Deadline;
    assert!(outcome.refused.iter().filter(deadline).count() > 500);
}

/// An endpoint is restarted and all its requests fail. The node sends it no requests until its owner
/// has answered again, and uses the other endpoints instead.
#[test]
fn failed_endpoint_gets_no_requests_until_its_owner_answers() {
    let mut pool = pool();
    let mut outcome = Outcome::default();
    let first = outcome.record(pool.offer(at(10), interactive(at(10), 0)));
    let failed = first.unwrap().endpoint;
    let attempt = FailedAttempt {
        progress: AttemptProgress::Sent,
        idempotent: true,
        attempts: 1,
        latest_start: at(1_500),
    };
    let decision = pool.fail(at(20), failed, Tokens(500), attempt);
    assert_eq!(decision, RetryDecision::Retry);
    for ticket in 1..30 {
        let start = outcome.record(pool.offer(at(30), interactive(at(30), ticket)));
        assert!(start.is_none_or(|start| start.endpoint != failed));
    }
    assert_eq!(outcome.started.len(), 1 + 15);
}
