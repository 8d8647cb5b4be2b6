//! Detects that this node can't open connections to any endpoint of a pool.
//!
//! A connection that can't be opened says the same of an endpoint that has stopped and of one that this node
//! has no path to. The tracker counts distinct endpoints: a pool is lost once several of them failed and none
//! accepted a connection in between. Open connections prove nothing, because they may outlive a path on which
//! new ones are refused. docs/design/forwarding.md describes what follows from a loss.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, ModelId, ServiceId, Timestamp};

#[cfg(test)]
mod tests;

/// The number of endpoints that must have failed before the pool is lost; all of them in a smaller pool.
const LOSS_EVIDENCE: usize = 3;

/// How long a failure counts. In a pool with few requests, single endpoints that stop one after the other
/// aren't the loss of a path.
const FAILURE_TTL: Duration = Duration::from_secs(2);

/// The number of successive successful checks that end a loss.
const MIN_CHECKS_TO_REGAIN: u32 = 2;

/// The maximum number of successful checks that are required while a path keeps failing.
const MAX_CHECKS_TO_REGAIN: u32 = 8;

/// A loss that follows an earlier one within this time doubles the number of required checks.
const FLAPPING_WINDOW: Duration = Duration::from_secs(5);

/// The endpoints that requests compete for: all of a service, or the groups of one of its models.
#[derive(Clone, Debug, derive_more::Display, Eq, Hash, PartialEq)]
#[display("{service}{}", model.as_ref().map(|model| format!("/{model}")).unwrap_or_default())]
pub struct Pool {
    /// The service.
    pub service: ServiceId,
    /// The model, for endpoints that serve models.
    pub model: Option<ModelId>,
}

/// A change of whether this node reaches a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// No endpoint of the pool is reachable since this time.
    Lost(Timestamp),
    /// Endpoints accept connections again, after this time.
    Regained(Duration),
}

/// Whether this node reaches the endpoints of one pool.
#[derive(Clone, Debug, Default)]
struct PoolReach {
    /// The endpoints that failed since the last one that accepted a connection, with the time of the failure.
    failed: IndexMap<EndpointId, Timestamp>,
    connected_at: Option<Timestamp>,
    lost_since: Option<Timestamp>,
    regained_at: Option<Timestamp>,
    successful_checks: u32,
    checks_to_regain: u32,
}

/// Whether this node reaches the endpoints of each pool.
#[derive(Clone, Debug, Default)]
pub struct ReachTracker(IndexMap<Pool, PoolReach>);

impl ReachTracker {
    /// Records that a connection to an endpoint couldn't be opened. `pool_size` is the number of endpoints of
    /// the pool that get new work.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        pool: &Pool,
        endpoint: &EndpointId,
        pool_size: usize,
    ) -> Option<ReachChange> {
        let reach = self.pool(pool);
        reach.successful_checks = 0;
        if reach.lost_since.is_some() {
            return None;
        }
        reach
            .failed
            .retain(|_, failed_at| now.since(*failed_at) < FAILURE_TTL);
        reach.failed.insert(endpoint.clone(), now);
        if reach.failed.len() < LOSS_EVIDENCE.min(pool_size.max(1)) {
            return None;
        }
        let since = reach.failed.values().min().copied().unwrap_or(now);
        reach.begin_loss(now, since);
        Some(ReachChange::Lost(since))
    }

    /// Records that an endpoint accepted a connection.
    pub fn record_connection(&mut self, now: Timestamp, pool: &Pool) -> Option<ReachChange> {
        if !self.0.contains_key(pool) {
            self.pool(pool).connected_at = Some(now);
            return None;
        }
        let reach = self.pool(pool);
        reach.connected_at = Some(now);
        reach.failed.clear();
        let since = reach.lost_since?;
        reach.successful_checks += 1;
        if reach.successful_checks < reach.checks_to_regain {
            return None;
        }
        reach.lost_since = None;
        reach.regained_at = Some(now);
        Some(ReachChange::Regained(now.since(since)))
    }

    /// Returns the time since which no endpoint of the pool is reachable.
    #[must_use]
    pub fn lost_since(&self, pool: &Pool) -> Option<Timestamp> {
        self.0.get(pool)?.lost_since
    }

    /// Returns the lost pools, with the time since which they are.
    pub fn lost(&self) -> impl Iterator<Item = (&Pool, Timestamp)> {
        let pools = self.0.iter();
        pools.filter_map(|(pool, reach)| Some((pool, reach.lost_since?)))
    }

    /// Returns the pools with failures that don't amount to a loss yet, with the endpoints that failed.
    pub fn suspected(&self) -> impl Iterator<Item = (&Pool, impl Iterator<Item = &EndpointId>)> {
        let pools = self.0.iter();
        let suspected =
            pools.filter(|(_, reach)| reach.lost_since.is_none() && !reach.failed.is_empty());
        suspected.map(|(pool, reach)| (pool, reach.failed.keys()))
    }

    /// Returns whether an endpoint of the pool accepted a connection since `at`.
    #[must_use]
    pub fn has_connected_since(&self, at: Timestamp, pool: &Pool) -> bool {
        let reach = self.0.get(pool);
        reach.is_some_and(|reach| reach.connected_at.is_some_and(|connected| connected >= at))
    }

    /// Discards failures that no longer count, and pools for which `is_known` is false.
    pub fn prune(&mut self, now: Timestamp, is_known: impl Fn(&Pool) -> bool) {
        self.0.retain(|pool, _| is_known(pool));
        for reach in self.0.values_mut() {
            reach
                .failed
                .retain(|_, failed_at| now.since(*failed_at) < FAILURE_TTL);
        }
    }

    fn pool(&mut self, pool: &Pool) -> &mut PoolReach {
        if !self.0.contains_key(pool) {
            self.0.insert(pool.clone(), PoolReach::default());
        }
        &mut self.0[pool]
    }
}

impl PoolReach {
    fn begin_loss(&mut self, now: Timestamp, since: Timestamp) {
        let is_flapping = self
            .regained_at
            .is_some_and(|at| now.since(at) < FLAPPING_WINDOW);
        self.checks_to_regain = if is_flapping {
            (self.checks_to_regain * 2).min(MAX_CHECKS_TO_REGAIN)
        } else {
            MIN_CHECKS_TO_REGAIN
        };
        self.successful_checks = 0;
        self.lost_since = Some(since);
        self.failed.clear();
    }
}
