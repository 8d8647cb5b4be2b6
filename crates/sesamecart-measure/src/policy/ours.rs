//! Our policy: the real decision code at every node, and the owners of the endpoints' allowances.

mod node_pool;

use std::time::Duration;

use sesamecart_decisions::admission::{Request, Ticket};
use sesamecart_decisions::allowance::{Allowance, LoadReport, Sample, Slice};
use sesamecart_decisions::pool::{EndpointDemand, NodeTopology, Pool};
use sesamecart_decisions::retry::{FailedAttempt, RetryDecision};
use sesamecart_decisions::routing::EndpointState;
use sesamecart_decisions::settings::DecisionSettings;
use sesamecart_vocabulary::{Bytes, CustomerId, NodeId, Timestamp, Tokens, Weight};

use super::dispatch::Decision;
use super::endpoint::{CacheEvent, Endpoint, WARM_SLOWDOWN};
use super::job::Job;
use super::size::Size;
use node_pool::{NodePool, domain, limits};

/// Our policy at all nodes and owners.
#[derive(Debug)]
pub(super) struct Ours {
    nodes: Vec<OurNode>,
    owners: Vec<Allowance>,
    customers: Vec<CustomerId>,
    engines: usize,
}

#[derive(Debug)]
struct OurNode {
    id: NodeId,
    models: NodePool,
    services: NodePool,
}

/// A node's demands, on their way to the endpoints' owners.
#[derive(Clone, Debug)]
pub(super) struct Borrow {
    pub(super) node: usize,
    pub(super) asked: Timestamp,
    pub(super) demands: Vec<EndpointDemand>,
}

/// The owners' answers, on their way back.
#[derive(Clone, Debug)]
pub(super) struct Lend {
    pub(super) node: usize,
    asked: Timestamp,
    slices: Vec<(usize, Slice)>,
}

impl Ours {
    pub(super) fn new(size: &Size, cfg: DecisionSettings, seed: u64) -> Self {
        let name = |node| format!("node-{node}").parse().expect("a valid name");
        let names: Vec<NodeId> = (0..size.nodes).map(name).collect();
        let nodes = names.iter().enumerate().map(|(node, id)| {
            let place = NodeTopology {
                node: id.clone(),
                domain: domain(node),
                nodes: names.clone(),
            };
            let seed = seed ^ (node as u64) << 20;
            OurNode {
                models: NodePool::new(&place, size, 0..size.engines, cfg, seed),
                services: NodePool::new(&place, size, size.engines..size.endpoints(), cfg, seed),
                id: id.clone(),
            }
        });
        let owners = (0..size.endpoints()).map(|endpoint| {
            let limits = limits(size, endpoint);
            let mut owner = Allowance::new(Timestamp::ZERO, limits, cfg.allowance);
            owner.limit_mut().assume_warm();
            owner
        });
        let customer = |number| format!("customer-{number}").parse().expect("a valid name");
        Self {
            nodes: nodes.collect(),
            owners: owners.collect(),
            customers: (0..size.customers).map(customer).collect(),
            engines: size.engines,
        }
    }

    fn pool(&mut self, node: usize, engine: bool) -> &mut NodePool {
        let node = &mut self.nodes[node];
        if engine {
            &mut node.models
        } else {
            &mut node.services
        }
    }

    pub(super) fn arrive(&mut self, now: Timestamp, number: usize, job: &Job) -> Decision {
        let request = self.request(number, job);
        let first = job.attempts == 0;
        let pool = self.pool(job.node, !job.is_action());
        let placement = if first {
            pool.pool.offer(now, request)
        } else {
            pool.pool.offer_retry(now, request)
        };
        pool.decision(number, placement)
    }

    fn request(&self, number: usize, job: &Job) -> Request {
        let begin = Duration::from_secs_f64(job.begin_work(false) * WARM_SLOWDOWN);
        let rest = Duration::from_secs_f64(job.rest_work() * WARM_SLOWDOWN);
        // After its first token an answer is in time if it ends in time.
        let (deadline, expected) = match job.first_token {
            Some(_) => (job.whole_by, begin + rest),
            None => (job.deadline, begin),
        };
        Request {
            ticket: Ticket(number as u64),
            class: job.class,
            customer: self.customers[job.customer].clone(),
            weight: Weight(1),
            cost: Tokens(cost(job)),
            kv: if job.is_action() {
                Tokens(0)
            } else {
                Tokens(job.kv())
            },
            prefix: (!job.is_action()).then_some(job.prefix),
            size: Bytes(4 * job.prompt),
            deadline,
            expected_time_to_first_byte: expected,
            expected_duration: begin + rest,
        }
    }

    pub(super) fn poll(&mut self, now: Timestamp, node: usize) -> Vec<Decision> {
        let mut decisions = self.nodes[node].models.poll(now);
        decisions.extend(self.nodes[node].services.poll(now));
        decisions
    }

    pub(super) fn next_expiry(&self, node: usize) -> Option<Timestamp> {
        let node = &self.nodes[node];
        let pools = [&node.models.pool, &node.services.pool];
        pools.into_iter().filter_map(Pool::next_expiry).min()
    }

    pub(super) fn finished(&mut self, now: Timestamp, endpoint: usize, job: &Job, took: Duration) {
        let engine = !job.is_action();
        let pool = self.pool(job.node, engine);
        let seen = if engine {
            Sample::default()
        } else {
            Sample {
                latency_sum: took,
                tokens: Tokens(1),
                ..Sample::default()
            }
        };
        let kv = if engine { Tokens(job.kv()) } else { Tokens(0) };
        let place = pool.places[&endpoint];
        pool.pool.finish(now, place, kv, &seen);
    }

    pub(super) fn failed(
        &mut self,
        now: Timestamp,
        endpoint: usize,
        job: &Job,
        progress: sesamecart_decisions::retry::AttemptProgress,
    ) -> RetryDecision {
        let request = self.request(0, job);
        let attempt = FailedAttempt {
            progress,
            idempotent: !job.is_action(),
            attempts: job.attempts,
            latest_start: request.latest_start(),
        };
        let pool = self.pool(job.node, !job.is_action());
        let place = pool.places[&endpoint];
        pool.pool.fail(now, place, request.kv, attempt)
    }

    /// Ends a request whose caller has gone; `endpoint` is where it ran, if it did.
    pub(super) fn cancel(&mut self, number: usize, job: &Job, endpoint: Option<usize>) {
        let kv = if job.is_action() {
            Tokens(0)
        } else {
            Tokens(job.kv())
        };
        let pool = self.pool(job.node, !job.is_action());
        match endpoint {
            Some(endpoint) => pool.pool.cancel_running(pool.places[&endpoint], kv),
            None => {
                pool.pool.cancel(Ticket(number as u64));
            }
        }
    }

    /// Tells a node's pools of the tokens that passed through it in the time since the last call;
    /// `streams` are the answers that flow from each endpoint.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        node: usize,
        endpoints: &[Endpoint],
        streams: &[u32],
        since: Duration,
    ) {
        let pool = &mut self.nodes[node].models;
        for (place, number) in pool.numbers.iter().enumerate() {
            let gap = endpoints[*number].latency();
            let tokens = (f64::from(streams[*number]) * since.as_secs_f64() / gap) as u64;
            if tokens > 0 {
                pool.pool.observe(now, place, &tokens_seen(gap, tokens));
            }
        }
    }

    /// Tells a node's pool of an answer's first token.
    pub(super) fn begun(&mut self, now: Timestamp, endpoint: usize, job: &Job, gap: f64) {
        if job.is_action() {
            return;
        }
        let pool = self.pool(job.node, true);
        let place = pool.places[&endpoint];
        pool.pool.observe(now, place, &tokens_seen(gap, 1));
    }

    /// Returns the demands that a node has to send now.
    pub(super) fn borrow(&mut self, now: Timestamp, node: usize) -> Option<Borrow> {
        let mut demands = Vec::new();
        for engine in [true, false] {
            let pool = self.pool(node, engine);
            for mut demand in pool.pool.due_demands(now) {
                demand.endpoint = pool.numbers[demand.endpoint];
                demands.push(demand);
            }
        }
        let asked = now;
        (!demands.is_empty()).then_some(Borrow {
            node,
            asked,
            demands,
        })
    }

    /// Answers a node's demands at the owners.
    pub(super) fn lend(&mut self, now: Timestamp, borrow: &Borrow) -> Lend {
        let node = &self.nodes[borrow.node].id;
        let owners = &mut self.owners;
        let slices = borrow.demands.iter().map(|demand| {
            let slice = owners[demand.endpoint].borrow(now, node, &demand.demand);
            (demand.endpoint, slice)
        });
        Lend {
            node: borrow.node,
            asked: borrow.asked,
            slices: slices.collect(),
        }
    }

    pub(super) fn take(&mut self, lend: &Lend) {
        for (endpoint, slice) in &lend.slices {
            let engine = *endpoint < self.engines;
            let pool = self.pool(lend.node, engine);
            pool.pool
                .apply_slice(lend.asked, pool.places[endpoint], *slice);
        }
    }

    pub(super) fn report(&mut self, now: Timestamp, endpoint: usize, report: &LoadReport) {
        self.owners[endpoint].report(now, report);
    }

    pub(super) fn drain(&mut self, now: Timestamp, endpoint: usize, drained: bool) {
        let state = if drained {
            EndpointState::Draining
        } else {
            EndpointState::Active
        };
        let engine = endpoint < self.engines;
        for node in 0..self.nodes.len() {
            let pool = self.pool(node, engine);
            if let Some(place) = pool.places.get(&endpoint).copied() {
                pool.pool.set_state(now, place, state);
            }
        }
        // At the drain already, so that the owner knows it at the return whenever nodes hear of
        // that.
        self.owners[endpoint].limit_mut().reset_to_cold(now);
    }

    /// Tells a node of its engines' cache events, of which some are lost.
    pub(super) fn cache_events(
        &mut self,
        node: usize,
        events: &[Vec<CacheEvent>],
        mut is_lost: impl FnMut() -> bool,
    ) {
        let pool = &mut self.nodes[node].models;
        for (place, number) in pool.numbers.iter().enumerate() {
            let router = pool.pool.router_mut();
            for event in events[*number].iter().filter(|_| !is_lost()) {
                if event.stored {
                    router.record_cached(event.prefix, place);
                } else {
                    router.record_evicted(event.prefix, place);
                }
            }
        }
    }
}

fn tokens_seen(gap: f64, tokens: u64) -> Sample {
    Sample {
        latency_sum: Duration::from_secs_f64(gap * tokens as f64),
        tokens: Tokens(tokens),
        ..Sample::default()
    }
}

/// Returns a request's work in tokens of answer; a prompt's token is about a hundredth of one.
pub(super) fn cost(job: &Job) -> u64 {
    job.answer + job.prompt / 100
}
