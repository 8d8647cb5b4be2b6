//! The policies that ours is compared with.
//!
//! They know of drains as ours does, leave out endpoints that refused them for a second, and send a
//! failed request once more. What they lack is what is measured: an order of requests, deadlines,
//! prefixes, and a limit that the nodes share.

use std::collections::VecDeque;
use std::time::Duration;

use fastrand::Rng;
use sesamecart_vocabulary::Timestamp;

use super::dispatch::Decision;
use super::endpoint::{COLD, SERVICE_COLD, SERVICE_WARM, WARM};
use super::job::Job;
use super::size::Size;

/// How a baseline chooses an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    RoundRobin,
    /// The endpoint with the fewest of the node's own requests.
    LeastOutstanding,
    /// The better of two random endpoints, with a limit of each node's own for each endpoint.
    TwoChoices,
}

/// How long an endpoint that refused a connection is left out.
const LEFT_OUT: Duration = Duration::from_secs(1);
/// The most requests that wait at a node.
const MAX_WAITING: usize = 512;

/// A baseline at all nodes.
#[derive(Debug)]
pub(super) struct Baseline {
    choice: Choice,
    nodes: Vec<BaselineNode>,
    size: Size,
    rng: Rng,
}

#[derive(Debug)]
struct BaselineNode {
    /// Where the next round begins, for engines and for plain services.
    next: [usize; 2],
    seen: Vec<Seen>,
    waiting: VecDeque<usize>,
}

/// What a node knows of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Seen {
    outstanding: u32,
    limit: f64,
    drained: bool,
    out_until: Timestamp,
}

impl Baseline {
    pub(super) fn new(choice: Choice, size: &Size, seed: u64) -> Self {
        let seen = (0..size.endpoints()).map(|endpoint| Seen {
            outstanding: 0,
            limit: node_limit(size, endpoint, false),
            drained: false,
            out_until: Timestamp::ZERO,
        });
        let seen: Vec<_> = seen.collect();
        let mut rng = Rng::with_seed(seed);
        let nodes = (0..size.nodes).map(|_| BaselineNode {
            next: [rng.usize(..size.engines), rng.usize(..size.services)],
            seen: seen.clone(),
            waiting: VecDeque::new(),
        });
        Self {
            choice,
            nodes: nodes.collect(),
            size: *size,
            rng,
        }
    }

    pub(super) fn arrive(&mut self, now: Timestamp, number: usize, job: &Job) -> Decision {
        if let Some(endpoint) = self.choose(now, job) {
            self.nodes[job.node].seen[endpoint].outstanding += 1;
            return Decision::Start {
                job: number,
                endpoint,
            };
        }
        let waiting = &mut self.nodes[job.node].waiting;
        if waiting.len() >= MAX_WAITING {
            return Decision::Refuse { job: number };
        }
        waiting.push_back(number);
        Decision::Wait
    }

    /// Starts what waited and has room now.
    pub(super) fn poll(&mut self, now: Timestamp, node: usize, jobs: &[Job]) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(number) = self.nodes[node].waiting.front().copied() {
            let job = &jobs[number];
            if now > job.deadline {
                self.nodes[node].waiting.pop_front();
                decisions.push(Decision::Refuse { job: number });
                continue;
            }
            let Some(endpoint) = self.choose(now, job) else {
                break;
            };
            self.nodes[node].waiting.pop_front();
            self.nodes[node].seen[endpoint].outstanding += 1;
            decisions.push(Decision::Start {
                job: number,
                endpoint,
            });
        }
        decisions
    }

    pub(super) fn ended(&mut self, now: Timestamp, node: usize, endpoint: usize, failed: bool) {
        let warm = node_limit(&self.size, endpoint, false);
        let seen = &mut self.nodes[node].seen[endpoint];
        seen.outstanding = seen.outstanding.saturating_sub(1);
        if failed {
            seen.limit = 1.0;
            seen.out_until = now + LEFT_OUT;
        } else {
            seen.limit = (seen.limit + 0.1).min(warm);
        }
    }

    pub(super) fn cancel(&mut self, node: usize, number: usize) {
        self.nodes[node]
            .waiting
            .retain(|waiting| *waiting != number);
    }

    pub(super) fn drain(&mut self, endpoint: usize, drained: bool) {
        let cold = node_limit(&self.size, endpoint, true);
        for node in &mut self.nodes {
            node.seen[endpoint].drained = drained;
            if !drained {
                node.seen[endpoint].limit = cold;
            }
        }
    }

    fn choose(&mut self, now: Timestamp, job: &Job) -> Option<usize> {
        let pool = if job.is_action() {
            self.size.engines..self.size.endpoints()
        } else {
            0..self.size.engines
        };
        let node = &mut self.nodes[job.node];
        let seen = &node.seen;
        let is_open =
            |endpoint: &usize| !seen[*endpoint].drained && now >= seen[*endpoint].out_until;
        let count = pool.len();
        match self.choice {
            Choice::RoundRobin => {
                let from = node.next[usize::from(job.is_action())];
                let order = (0..count).map(|step| pool.start + (from + step) % count);
                let chosen = order.clone().find(is_open).or(order.clone().next())?;
                node.next[usize::from(job.is_action())] = (chosen - pool.start + 1) % count;
                Some(chosen)
            }
            Choice::LeastOutstanding => {
                let from = self.rng.usize(..count);
                let order = (0..count).map(|step| pool.start + (from + step) % count);
                let least = order.clone().filter(is_open);
                let least = least.min_by_key(|endpoint| seen[*endpoint].outstanding);
                least.or(order.clone().next())
            }
            Choice::TwoChoices => {
                let fits = |endpoint: &usize| {
                    let known = &seen[*endpoint];
                    is_open(endpoint) && f64::from(known.outstanding) < known.limit.floor()
                };
                let mut draw = || pool.start + self.rng.usize(..count);
                let (first, second) = (draw(), draw());
                let from = draw() - pool.start;
                let better = [first, second].into_iter().filter(fits);
                let better = better.min_by_key(|endpoint| seen[*endpoint].outstanding);
                let order = (0..count).map(|step| pool.start + (from + step) % count);
                better.or_else(|| order.into_iter().find(fits))
            }
        }
    }
}

/// Returns a node's own limit for an endpoint: an even part of what it bears, though at least one.
fn node_limit(size: &Size, endpoint: usize, cold: bool) -> f64 {
    let bears = match (size.is_engine(endpoint), cold) {
        (true, false) => WARM,
        (true, true) => COLD,
        (false, false) => SERVICE_WARM,
        (false, true) => SERVICE_COLD,
    };
    (f64::from(bears) / size.nodes as f64).ceil()
}
