use std::time::Duration;

use sesamecart_vocabulary::{Bytes, RequestClass, Weight};

use super::*;
use crate::admission::RefusalReason;
use crate::allowance::Borrowed;
use crate::retry::Progress;

const ENDPOINTS: usize = 4;
const PERMITS: u32 = 5;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Books of an endpoint that has shown a sign of life.
fn books() -> Borrowed {
    let mut cfg = DecisionSettings::default();
    cfg.allowance.sign_ms = 60_000;
    let mut books = Borrowed::new(Tokens(2_000), &cfg.allowance);
    books.finish(at(0), Tokens(0));
    books
}

/// A pool at a node that has been lent five permits at each of four endpoints.
fn pool() -> Pool {
    let place = NodePlace {
        node: "node-1".parse().unwrap(),
        domain: "a".parse().unwrap(),
        nodes: vec!["node-1".parse().unwrap()],
    };
    let endpoints = (0..ENDPOINTS).map(|index| {
        let id: EndpointId = format!("engine-{index}").parse().unwrap();
        PoolEndpoint::new(id, "a".parse().unwrap(), books())
    });
    let mut pool = Pool::new(&place, endpoints, DecisionSettings::default(), 1);
    lend(&mut pool, at(0));
    pool
}

/// Answers demands that are due at `now` as generous owners do.
fn lend(pool: &mut Pool, now: Timestamp) {
    pool.demands(now);
    let slice = Slice {
        permits: Permits(PERMITS),
        valid_for: Duration::from_secs(1),
    };
    for endpoint in 0..ENDPOINTS {
        pool.lend(now, endpoint, slice);
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
        expected: Duration::from_millis(500),
        length: Duration::from_secs(1),
    }
}

fn interactive(now: Timestamp, ticket: u64) -> Request {
    request(now, ticket, "large", RequestClass::Interactive)
}

/// What callers got out of a play.
#[derive(Debug, Default)]
struct Outcome {
    started: Vec<Ticket>,
    refused: Vec<Refusal>,
}

impl Outcome {
    fn note(&mut self, placement: Placement) -> Option<Start> {
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
        let inside = |ticket: &&Ticket| tickets.contains(&ticket.0);
        self.started.iter().filter(inside).count()
    }
}

/// Five times as many callers as endpoints bear come at one moment. As many as the endpoints bear
/// start, the others wait, and when nothing comes free they are told so in time to go elsewhere.
#[test]
fn a_burst_waits_and_is_then_refused_in_time() {
    let mut pool = pool();
    let mut outcome = Outcome::default();
    for ticket in 0..100 {
        outcome.note(pool.offer(at(10), interactive(at(10), ticket)));
    }
    assert_eq!(outcome.started.len(), 20);
    assert_eq!(pool.waiting(), 80);
    assert!(pool.poll(at(1_500)).is_empty());
    for placement in pool.poll(at(1_511)) {
        outcome.note(placement);
    }
    assert_eq!(outcome.refused.len(), 80);
    let fair = |refusal: &Refusal| refusal.retry_after >= Duration::from_secs(1);
    assert!(outcome.refused.iter().all(fair));
}

/// The pool is full and stays so, and a transfer comes. It goes before all the summaries that came
/// earlier.
#[test]
fn an_action_starts_with_the_next_free_permit() {
    let mut pool = pool();
    let mut outcome = Outcome::default();
    for ticket in 0..60 {
        outcome.note(pool.offer(at(10), interactive(at(10), ticket)));
    }
    outcome.note(pool.offer(at(20), request(at(20), 100, "small", RequestClass::Action)));
    pool.finish(at(30), 0, Tokens(500), &Sample::default());
    for placement in pool.poll(at(30)) {
        outcome.note(placement);
    }
    assert_eq!(outcome.started.last(), Some(&Ticket(100)));
}

/// Slices end because the owner can't be reached. Nothing new starts at the endpoint, callers wait,
/// and their work starts with the owner's next answer.
#[test]
fn nothing_starts_without_a_valid_slice() {
    let mut pool = pool();
    let placement = pool.offer(at(1_000), interactive(at(1_000), 1));
    assert_eq!(placement, Placement::Wait);
    let asked = at(1_010);
    assert_eq!(pool.demands(asked).len(), ENDPOINTS);
    assert_eq!(pool.demands(asked).len(), 0, "answers are awaited");
    lend(&mut pool, asked);
    assert!(matches!(pool.poll(at(1_020))[..], [Placement::Run(_)]));
}

/// The pool bears twenty requests at once and a large customer always has more waiting. A small
/// one asks for less than its fair share, and gets all of it.
#[test]
fn a_small_customer_is_served_at_saturation() {
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
            let start = outcome.note(placement);
            running.extend(start.map(|start| start.endpoint));
        }
    }
    let small = outcome.started(20_000..30_000);
    assert!(small >= 195, "{small} of 200");
    let deadline = |refusal: &&Refusal| refusal.reason == RefusalReason::Deadline;
    assert!(outcome.refused.iter().filter(deadline).count() > 500);
}

/// An endpoint is restarted and all requests there fail. The node sends nothing more there until
/// its owner has answered, and the callers' requests go to the others.
#[test]
fn a_restarted_endpoint_gets_nothing_until_its_owner_knows() {
    let mut pool = pool();
    let mut outcome = Outcome::default();
    let first = outcome.note(pool.offer(at(10), interactive(at(10), 0)));
    let failed = first.unwrap().endpoint;
    let attempt = FailedAttempt {
        progress: Progress::Sent,
        idempotent: true,
        attempts: 1,
        start_by: at(1_500),
    };
    let decision = pool.fail(at(20), failed, Tokens(500), attempt);
    assert_eq!(decision, RetryDecision::Retry);
    for ticket in 1..30 {
        let start = outcome.note(pool.offer(at(30), interactive(at(30), ticket)));
        assert!(start.is_none_or(|start| start.endpoint != failed));
    }
    assert_eq!(outcome.started.len(), 1 + 15);
}
