//! One pool at one node, with the numbers that the run gives to endpoints.

use indexmap::IndexMap;
use sesamecart_decisions::allowance::{BorrowedPermits, EndpointLimits, EndpointWork};
use sesamecart_decisions::pool::{NodeTopology, Placement, Pool};
use sesamecart_decisions::routing::PoolEndpoint;
use sesamecart_decisions::settings::DecisionSettings;
use sesamecart_vocabulary::{Concurrency, Timestamp, Tokens};

use crate::policy::dispatch::Decision;
use crate::policy::endpoint::{COLD, KV_TOKENS, SERVICE_COLD, SERVICE_WARM, WARM};
use crate::policy::size::{DOMAINS, Size};

/// A pool with the places of its endpoints in the whole system.
#[derive(Debug)]
pub(super) struct NodePool {
    pub(super) pool: Pool,
    pub(super) numbers: Vec<usize>,
    pub(super) places: IndexMap<usize, usize>,
}

impl NodePool {
    pub(super) fn new(
        place: &NodeTopology,
        size: &Size,
        range: std::ops::Range<usize>,
        cfg: DecisionSettings,
        seed: u64,
    ) -> Self {
        let name = |endpoint: usize| {
            format!("endpoint-{endpoint}")
                .parse()
                .expect("a valid name")
        };
        let endpoints = range.clone().map(|endpoint| {
            let kv = limits(size, endpoint).kv_per_permit();
            let books = BorrowedPermits::new(kv, &cfg.allowance);
            PoolEndpoint::new(name(endpoint), domain(endpoint), books)
        });
        let mut pool = Pool::new(place, endpoints, cfg, seed);
        if size.is_engine(range.start) {
            pool.set_max_request_kv(Tokens(KV_TOKENS));
        }
        let number = |known: &PoolEndpoint| {
            let number = known.id.as_str().rsplit('-').next();
            number
                .and_then(|number| number.parse().ok())
                .expect("a numbered name")
        };
        let numbers: Vec<usize> = pool.endpoints().iter().map(number).collect();
        let places = numbers.iter().copied().enumerate();
        Self {
            places: places.map(|(place, number)| (number, place)).collect(),
            numbers,
            pool,
        }
    }

    pub(super) fn decision(&self, job: usize, placement: Placement) -> Decision {
        match placement {
            Placement::Run(start) => Decision::Start {
                job,
                endpoint: self.numbers[start.endpoint],
            },
            Placement::Wait => Decision::Wait,
            Placement::Refuse(_) => Decision::Refuse { job },
        }
    }

    pub(super) fn poll(&mut self, now: Timestamp) -> Vec<Decision> {
        let placements = self.pool.poll(now);
        let ticket = |placement: &Placement| match placement {
            Placement::Run(start) => start.ticket,
            Placement::Refuse(refusal) => refusal.ticket,
            Placement::Wait => unreachable!("what waits isn't returned"),
        };
        let decide = |placement| self.decision(ticket(&placement).0 as usize, placement);
        placements.into_iter().map(decide).collect()
    }
}

pub(super) fn domain(number: usize) -> sesamecart_vocabulary::FailureDomainId {
    format!("domain-{}", number % DOMAINS)
        .parse()
        .expect("a valid name")
}

pub(super) fn limits(size: &Size, endpoint: usize) -> EndpointLimits {
    if size.is_engine(endpoint) {
        return EndpointLimits {
            cold: Concurrency(COLD),
            warm: Concurrency(WARM),
            kv_tokens: Tokens(KV_TOKENS),
            kind: EndpointWork::Engine,
        };
    }
    EndpointLimits {
        cold: Concurrency(SERVICE_COLD),
        warm: Concurrency(SERVICE_WARM),
        kv_tokens: Tokens(0),
        kind: EndpointWork::Service,
    }
}
