//! The owner of one endpoint's limit, which lends the limit to nodes in slices.

use indexmap::IndexMap;
use sesamecart_vocabulary::{NodeId, Permits, Timestamp};

use super::borrowed::{Demand, Slice};
use super::limit::{AdaptiveLimit, EndpointLimits, LoadReport};
use crate::settings::AllowanceSettings;

/// One endpoint's limit and the permits that each node holds.
#[derive(Clone, Debug)]
pub struct Allowance {
    cfg: AllowanceSettings,
    limit: AdaptiveLimit,
    nodes: IndexMap<NodeId, NodeGrants>,
    lending_starts_at: Timestamp,
    reported_load: ReportedLoad,
}

/// The permits that one node holds.
#[derive(Clone, Debug, Default)]
struct NodeGrants {
    /// When the node sent the last demand that was applied.
    asked: Timestamp,
    grants: Vec<Grant>,
    in_flight: Permits,
    wanted: Permits,
    /// When the last slice expires.
    valid_until: Timestamp,
    /// Until when the permits of an unresponsive node count as in use.
    linger_until: Timestamp,
}

/// A slice that was lent to a node.
#[derive(Clone, Copy, Debug)]
struct Grant {
    permits: Permits,
    /// When the slice expires.
    valid_until: Timestamp,
}

impl NodeGrants {
    /// Returns the permits that may be in use.
    ///
    /// If an answer is lost, the node continues under an earlier and larger slice. A slice therefore
    /// counts until it has expired and the node has sent another demand. An unresponsive node starts
    /// no request after its slices have expired, but its requests may still run without the owner's
    /// knowledge. They count until they must have ended.
    fn held(&self, now: Timestamp) -> Permits {
        if now >= self.linger_until {
            return Permits(0);
        }
        let lent = self.grants.iter().map(|grant| grant.permits).max();
        lent.unwrap_or_default().max(self.in_flight)
    }

    fn remove_expired(&mut self, now: Timestamp, cfg: &AllowanceSettings) {
        let timeout = cfg.borrow_timeout();
        self.grants
            .retain(|grant| now < grant.valid_until + timeout);
    }

    /// Applies a node's demand, which also limits the permits that the node uses from now on.
    fn apply_demand(&mut self, demand: &Demand) {
        self.asked = demand.sent_at;
        self.in_flight = demand.in_flight;
        self.wanted = demand.wanted;
        let used = demand.wanted.max(demand.in_flight);
        for grant in &mut self.grants {
            grant.permits = grant.permits.min(used);
        }
    }

    /// Adds a grant, which expires after all earlier ones. Of these, only the larger ones still affect
    /// [`NodeGrants::held`].
    fn push(&mut self, grant: Grant) {
        self.grants
            .retain(|earlier| earlier.permits > grant.permits);
        self.grants.push(grant);
    }
}

/// The number of running requests that the endpoint reports, which is independent of the owner.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedLoad {
    permits: Permits,
    valid_until: Timestamp,
}

impl Allowance {
    /// Creates the allowance at a new owner, which lends nothing until all slices of its predecessor
    /// have expired.
    #[must_use]
    pub fn new(now: Timestamp, limits: EndpointLimits, cfg: AllowanceSettings) -> Self {
        Self {
            limit: AdaptiveLimit::new(now, limits, cfg),
            nodes: IndexMap::new(),
            lending_starts_at: now + cfg.takeover_wait(),
            reported_load: ReportedLoad::default(),
            cfg,
        }
    }

    /// Returns the adaptive limit, for example to set configured limits or reset it to cold.
    pub const fn limit_mut(&mut self) -> &mut AdaptiveLimit {
        &mut self.limit
    }

    /// Returns the total number of permits that may be lent.
    #[must_use]
    pub fn limit(&self) -> Permits {
        self.limit.permits()
    }

    /// Returns the permits that are lent or may still be in use.
    #[must_use]
    pub fn held(&self, now: Timestamp) -> Permits {
        self.nodes.values().map(|grants| grants.held(now)).sum()
    }

    /// Applies a load report of the endpoint.
    pub fn report(&mut self, now: Timestamp, report: &LoadReport) {
        self.limit.report(now, report);
        self.reported_load = ReportedLoad {
            permits: Permits(report.running.0),
            valid_until: now + self.cfg.slice_duration(),
        };
    }

    /// Records that a node was reported as failed. Its permits become free when its slice expires,
    /// without the linger time, since its connections and with them its requests are closed.
    ///
    /// The slice counts until it expires, since the report may be wrong.
    pub fn node_failed(&mut self, node: &NodeId) {
        if let Some(grants) = self.nodes.get_mut(node) {
            grants.linger_until = grants.valid_until;
        }
    }

    /// Applies a node's demand and lends the node a slice.
    ///
    /// A demand that arrives after a later one is ignored: the node no longer waits for its answer,
    /// and may by now be using the permits again that this demand returned.
    pub fn borrow(&mut self, now: Timestamp, node: &NodeId, demand: &Demand) -> Slice {
        let is_outdated = self
            .nodes
            .get(node)
            .is_some_and(|grants| demand.sent_at < grants.asked);
        if is_outdated {
            return Slice {
                permits: Permits(0),
                valid_for: self.cfg.slice_duration(),
            };
        }
        self.limit.observe(now, &demand.sample);
        self.limit.step(now, self.in_use(now));
        self.nodes
            .retain(|_, grants| now < grants.valid_until || grants.held(now) > Permits(0));
        let mut grants = self.nodes.swap_remove(node).unwrap_or_default();
        grants.remove_expired(now, &self.cfg);
        grants.apply_demand(demand);
        let permits = self.permits_for(now, &grants);
        let valid_until = now + self.cfg.slice_duration();
        grants.push(Grant {
            permits,
            valid_until,
        });
        grants.valid_until = valid_until;
        grants.linger_until = valid_until + self.cfg.linger_duration();
        self.nodes.insert(node.clone(), grants);
        Slice {
            permits,
            valid_for: self.cfg.slice_duration(),
        }
    }

    fn in_use(&self, now: Timestamp) -> Permits {
        let active = self
            .nodes
            .values()
            .filter(|grants| now < grants.linger_until);
        active.map(|grants| grants.in_flight).sum()
    }

    /// Returns the number of permits to lend to a node, which isn't among `self.nodes` at this time.
    fn permits_for(&self, now: Timestamp, own: &NodeGrants) -> Permits {
        if now < self.lending_starts_at || self.limit.is_suspect(now) {
            return Permits(0);
        }
        let others = self.held(now);
        let available = self
            .limit
            .permits()
            .saturating_sub(others + self.unaccounted(now, others, own));
        available.min(self.share(now, own))
    }

    /// Returns the number of running requests at the endpoint that no known node accounts for. They
    /// belong to nodes that a former owner lent permits to.
    fn unaccounted(&self, now: Timestamp, others: Permits, own: &NodeGrants) -> Permits {
        if now >= self.reported_load.valid_until {
            return Permits(0);
        }
        let known = others + own.in_flight;
        self.reported_load.permits.saturating_sub(known)
    }

    /// Returns a node's share of the limit by demand. If all demands can be met, this is the node's
    /// own demand plus a part of the permits that no node wants, else a part of the limit in
    /// proportion to its demand.
    fn share(&self, now: Timestamp, own: &NodeGrants) -> Permits {
        let limit = u64::from(self.limit.permits().0);
        let mut wanted_by_others = 0;
        let mut nodes = 1;
        for grants in self
            .nodes
            .values()
            .filter(|grants| now < grants.valid_until)
        {
            wanted_by_others += u64::from(grants.wanted.max(grants.in_flight).0);
            nodes += 1;
        }
        let own = u64::from(own.wanted.max(own.in_flight).0);
        let wanted = own + wanted_by_others;
        let share = if wanted <= limit {
            own + (limit - wanted) / (2 * nodes)
        } else {
            (own * limit).div_ceil(wanted)
        };
        Permits(u32::try_from(share).unwrap_or(u32::MAX))
    }
}
