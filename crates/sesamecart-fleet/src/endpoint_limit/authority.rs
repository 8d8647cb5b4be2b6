//! The admission of requests to limited endpoints for all nodes.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, EndpointId, Timestamp};

use super::LimitObservation;
use super::contention::{Claimant, Contention};
use super::observed::{Applied, ObservedLimit};
use super::token_bucket::TokenBucket;

/// How often the other nodes are told again of a limit while requests arrive.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(2);

/// How long the end of a limit is remembered for nodes that still ask.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// A node's request to send one request to a limited endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// What the node knows about the limit. The time at which the request was sent is zero if it knows the
    /// limit from another node.
    pub limit: LimitObservation,
    /// The customer of the request, if its route needs a key.
    pub customer: Option<CustomerId>,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// The request must not be sent. After this time there may be a permit.
    Denied(Duration),
    /// The limit has ended.
    Unlimited,
}

#[derive(Clone, Debug)]
struct Allocation {
    observed: ObservedLimit,
    bucket: TokenBucket,
    contention: Contention,
    announced_at: Option<Timestamp>,
    admitted: u64,
    denied: u64,
}

impl Allocation {
    fn new(now: Timestamp, observation: &LimitObservation) -> Self {
        Self {
            observed: ObservedLimit::new(now, observation),
            bucket: TokenBucket::new(now),
            contention: Contention::default(),
            announced_at: None,
            admitted: 0,
            denied: 0,
        }
    }

    fn apply(&mut self, now: Timestamp, observation: &LimitObservation) {
        let was_limited = self.observed.limit.is_some();
        match self.observed.apply(now, observation) {
            Applied::Outdated | Applied::Unchanged => {}
            Applied::Changed if was_limited => self.announced_at = None,
            // A limit that begins starts with an empty bucket.
            Applied::Changed | Applied::Restarted => *self = Self::new(now, observation),
        }
    }
}

/// How many requests an authority has admitted and denied since a limit began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionCounts {
    /// Admitted requests.
    pub admitted: u64,
    /// Denied requests.
    pub denied: u64,
}

/// Admits the requests of all nodes to the limited endpoints that this node is the authority for.
///
/// It believes the newest observation that any node reports. An authority that has just started knows
/// nothing and takes over what the first request tells it.
#[derive(Debug, Default)]
pub struct LimitAuthority {
    allocations: IndexMap<EndpointId, Allocation>,
}

impl LimitAuthority {
    /// Applies what a node has observed.
    pub fn observe(&mut self, now: Timestamp, observation: &LimitObservation) {
        match self.allocations.get_mut(&observation.endpoint) {
            Some(allocation) => allocation.apply(now, observation),
            None if observation.limit.is_some() => {
                let allocation = Allocation::new(now, observation);
                self.allocations
                    .insert(observation.endpoint.clone(), allocation);
            }
            None => {}
        }
    }

    /// Decides whether a request may be sent to a limited endpoint.
    pub fn request(&mut self, now: Timestamp, req: &PermitRequest) -> Permit {
        self.observe(now, &req.limit);
        let allocation = self.allocations.get_mut(&req.limit.endpoint);
        let Some(allocation) = allocation else {
            return Permit::Unlimited;
        };
        let Some(limit) = allocation.observed.limit else {
            return Permit::Unlimited;
        };
        let claimant = Claimant {
            customer: req.customer.clone(),
            priority: req.priority,
        };
        let demand = allocation.contention.demand(now, &claimant);
        match allocation.bucket.try_take(now, limit, demand) {
            Ok(()) => {
                allocation.admitted += 1;
                allocation.contention.record_admitted(now, claimant);
                Permit::Granted
            }
            Err(retry_after) => {
                allocation.denied += 1;
                allocation.contention.record_denied(now, claimant);
                Permit::Denied(retry_after)
            }
        }
    }

    /// Returns the limit of an endpoint, or its end, if the other nodes have to be told, and records that they
    /// are.
    pub fn take_announcement(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
    ) -> Option<LimitObservation> {
        let allocation = self.allocations.get_mut(endpoint)?;
        let is_due = allocation
            .announced_at
            .is_none_or(|at| now.since(at) >= ANNOUNCEMENT_INTERVAL);
        is_due.then(|| {
            allocation.announced_at = Some(now);
            allocation.observed.as_hint(endpoint)
        })
    }

    /// Returns how many requests to a limited endpoint were admitted and denied, if this node has decided any.
    #[must_use]
    pub fn counts(&self, endpoint: &EndpointId) -> Option<AdmissionCounts> {
        let allocation = self.allocations.get(endpoint)?;
        Some(AdmissionCounts {
            admitted: allocation.admitted,
            denied: allocation.denied,
        })
    }

    /// Returns the largest number of claimants that are remembered for one endpoint.
    #[cfg(test)]
    pub(super) fn claimants(&self) -> usize {
        let allocations = self.allocations.values();
        let claimants = allocations.map(|allocation| allocation.contention.len());
        claimants.max().unwrap_or(0)
    }

    /// Removes endpoints that are no longer known, and limits that ended long ago.
    pub fn prune(&mut self, now: Timestamp, is_known: impl Fn(&EndpointId) -> bool) {
        self.allocations.retain(|id, allocation| {
            let observed = &allocation.observed;
            let is_ended = observed.limit.is_none();
            is_known(id) && !(is_ended && now.since(observed.since) >= ENDED_RETENTION)
        });
    }
}
