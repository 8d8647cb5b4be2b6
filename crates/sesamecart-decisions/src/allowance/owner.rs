//! The owner's side of one endpoint: lending its limit to nodes.

use indexmap::IndexMap;
use sesamecart_vocabulary::{NodeId, Permits, Timestamp};

use super::borrowed::{Demand, Slice};
use super::limit::{AdaptiveLimit, EndpointLimits, LoadReport};
use crate::settings::AllowanceSettings;

/// One endpoint's limit and what each node holds of it.
#[derive(Clone, Debug)]
pub struct Allowance {
    cfg: AllowanceSettings,
    limit: AdaptiveLimit,
    lent: IndexMap<NodeId, Lent>,
    lends_from: Timestamp,
    running: Running,
}

/// What one node holds.
#[derive(Clone, Debug, Default)]
struct Lent {
    asked: Timestamp,
    grants: Vec<Grant>,
    in_flight: Permits,
    wanted: Permits,
    valid_until: Timestamp,
    linger_until: Timestamp,
}

/// One slice as the owner counts it.
#[derive(Clone, Copy, Debug)]
struct Grant {
    permits: Permits,
    valid_until: Timestamp,
}

impl Lent {
    /// Returns the permits that may be in use.
    ///
    /// An answer can be lost, and the node then goes on under an earlier and larger slice, so a
    /// slice counts until it has ended and the node has spoken again. A node that stays silent
    /// starts nothing after its slices, but what it started may still run where the owner can't see
    /// it, so it counts until it must have ended.
    fn held(&self, now: Timestamp) -> Permits {
        if now >= self.linger_until {
            return Permits(0);
        }
        let lent = self.grants.iter().map(|grant| grant.permits).max();
        lent.unwrap_or_default().max(self.in_flight)
    }

    fn prune(&mut self, now: Timestamp, cfg: &AllowanceSettings) {
        let timeout = cfg.borrow_timeout();
        self.grants
            .retain(|grant| now < grant.valid_until + timeout);
    }

    /// Takes over what a node says of itself, among it that it uses no more than it wants.
    fn hear(&mut self, demand: &Demand) {
        self.asked = demand.asked;
        self.in_flight = demand.in_flight;
        self.wanted = demand.wanted;
        let used = demand.wanted.max(demand.in_flight);
        for grant in &mut self.grants {
            grant.permits = grant.permits.min(used);
        }
    }

    fn push(&mut self, grant: Grant) {
        self.grants
            .retain(|earlier| earlier.permits > grant.permits);
        self.grants.push(grant);
    }
}

/// The endpoint's own count of what runs there, which outlives an owner.
#[derive(Clone, Copy, Debug, Default)]
struct Running {
    permits: Permits,
    valid_until: Timestamp,
}

impl Allowance {
    /// Makes the allowance of a new owner, which lends nothing until all slices of a predecessor
    /// have ended.
    #[must_use]
    pub fn new(now: Timestamp, limits: EndpointLimits, cfg: AllowanceSettings) -> Self {
        Self {
            limit: AdaptiveLimit::new(now, limits, cfg),
            lent: IndexMap::new(),
            lends_from: now + cfg.takeover_wait(),
            running: Running::default(),
            cfg,
        }
    }

    /// Returns the limit, with which warmth and configuration are set.
    pub const fn limit_mut(&mut self) -> &mut AdaptiveLimit {
        &mut self.limit
    }

    /// Returns the permits that may be lent in all.
    #[must_use]
    pub fn limit(&self) -> Permits {
        self.limit.permits()
    }

    /// Returns the permits that are lent or may still be in use.
    #[must_use]
    pub fn held(&self, now: Timestamp) -> Permits {
        self.lent.values().map(|lent| lent.held(now)).sum()
    }

    /// Takes the endpoint's own report.
    pub fn report(&mut self, now: Timestamp, report: &LoadReport) {
        self.limit.report(now, report);
        self.running = Running {
            permits: Permits(report.running.0),
            valid_until: now + self.cfg.slice(),
        };
    }

    /// Forgets what a node held that is known to have died: its connections are closed, and
    /// with them its requests.
    ///
    /// Its slice still counts until it ends, since word of a death can be wrong.
    pub fn node_gone(&mut self, node: &NodeId) {
        if let Some(lent) = self.lent.get_mut(node) {
            lent.linger_until = lent.valid_until;
        }
    }

    /// Takes a node's demand and lends it a slice.
    ///
    /// A demand that a later one has overtaken changes nothing: the node has dropped it, and what it
    /// gives back isn't true any more.
    pub fn borrow(&mut self, now: Timestamp, node: &NodeId, demand: &Demand) -> Slice {
        let overtaken = self
            .lent
            .get(node)
            .is_some_and(|lent| demand.asked < lent.asked);
        if overtaken {
            return Slice {
                permits: Permits(0),
                valid_for: self.cfg.slice(),
            };
        }
        self.limit.observe(now, &demand.sample);
        self.limit.step(now, self.in_use(now));
        self.lent
            .retain(|_, lent| now < lent.valid_until || lent.held(now) > Permits(0));
        let mut lent = self.lent.swap_remove(node).unwrap_or_default();
        lent.prune(now, &self.cfg);
        lent.hear(demand);
        let permits = self.grant(now, &lent);
        let valid_until = now + self.cfg.slice();
        lent.push(Grant {
            permits,
            valid_until,
        });
        lent.valid_until = valid_until;
        lent.linger_until = valid_until + self.cfg.linger();
        self.lent.insert(node.clone(), lent);
        Slice {
            permits,
            valid_for: self.cfg.slice(),
        }
    }

    fn in_use(&self, now: Timestamp) -> Permits {
        let live = self.lent.values().filter(|lent| now < lent.linger_until);
        live.map(|lent| lent.in_flight).sum()
    }

    /// Returns the most that a node may hold from now on; it is taken out of the others.
    fn grant(&self, now: Timestamp, own: &Lent) -> Permits {
        if now < self.lends_from || self.limit.is_suspect(now) {
            return Permits(0);
        }
        let others = self.held(now);
        let room = self
            .limit
            .permits()
            .saturating_sub(others + self.stray(now, others, own));
        room.min(self.share(now, own))
    }

    /// Returns what runs at the endpoint and no node accounts for: the work of nodes that a
    /// former owner knew and this one doesn't.
    fn stray(&self, now: Timestamp, others: Permits, own: &Lent) -> Permits {
        if now >= self.running.valid_until {
            return Permits(0);
        }
        let known = others + own.in_flight;
        self.running.permits.saturating_sub(known)
    }

    /// Returns a node's share by demand: what it wants and part of what nobody wants, or its
    /// proportional part if more is wanted than there is.
    fn share(&self, now: Timestamp, own: &Lent) -> Permits {
        let limit = u64::from(self.limit.permits().0);
        let mut wanted_by_others = 0;
        let mut nodes = 1;
        for lent in self.lent.values().filter(|lent| now < lent.valid_until) {
            wanted_by_others += u64::from(lent.wanted.max(lent.in_flight).0);
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
