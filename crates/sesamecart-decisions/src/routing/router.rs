//! The choice of an endpoint for one request.

use sesamecart_vocabulary::{EndpointId, FailureDomainId, NodeId, Timestamp, Tokens, stable_hash};

use super::outlier::Outliers;
use super::prefix::{PrefixHash, PrefixHints};
use crate::allowance::Borrowed;
use crate::settings::RoutingSettings;

/// Whether an endpoint gets new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// It does.
    Active,
    /// It is drained, is leaving, or isn't routable: what runs may finish.
    Draining,
}

/// One endpoint as a node's router knows it.
#[derive(Clone, Debug)]
pub struct PoolEndpoint {
    /// Its name.
    pub id: EndpointId,
    /// The failure domain that it lies in.
    pub domain: FailureDomainId,
    /// Whether it gets new work.
    pub state: EndpointState,
    /// The slice that the node holds.
    pub borrowed: Borrowed,
    is_local: bool,
    hash: u64,
}

impl PoolEndpoint {
    /// Makes an active endpoint with the books of its slices.
    #[must_use]
    pub fn new(id: EndpointId, domain: FailureDomainId, borrowed: Borrowed) -> Self {
        Self {
            hash: stable_hash(id.as_str()),
            id,
            domain,
            state: EndpointState::Active,
            borrowed,
            is_local: false,
        }
    }
}

/// What the router needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// The shared part of its prompt.
    pub prefix: Option<PrefixHash>,
    /// The KV memory that it takes.
    pub kv: Tokens,
    /// A random number that the caller draws.
    pub draw: u64,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteReason {
    /// It is believed to cache the prefix.
    CachedPrefix,
    /// It is the one at which requests with this prefix meet.
    PrefixHome,
    /// It has more permits left than another one.
    MorePermits,
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Routed {
    /// Its place among [`Router::endpoints`].
    pub endpoint: usize,
    /// Why it was chosen.
    pub reason: RouteReason,
}

/// Chooses endpoints of one pool for one node.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RoutingSettings,
    endpoints: Vec<PoolEndpoint>,
    outliers: Outliers,
    hints: PrefixHints,
}

/// What a choice reads of the endpoints: gathered once a request.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    open: usize,
    in_flight: u64,
    local_lent: u64,
    local_free: u64,
}

impl Router {
    /// Makes a router over the subset of `endpoints` that `node` uses when `nodes` share them.
    ///
    /// A node uses the endpoints that come first for it in rendezvous order, and those for which it
    /// comes first among the nodes; without the latter some endpoints of a large pool would be used
    /// by nobody.
    #[must_use]
    pub fn new(
        node: &NodeId,
        domain: &FailureDomainId,
        endpoints: impl IntoIterator<Item = PoolEndpoint>,
        nodes: &[NodeId],
        cfg: RoutingSettings,
    ) -> Self {
        let mut endpoints: Vec<_> = endpoints.into_iter().collect();
        let size = cfg.subset(endpoints.len(), nodes.len());
        let own = stable_hash(node.as_str());
        let others: Vec<u64> = nodes
            .iter()
            .map(|node| stable_hash(node.as_str()))
            .collect();
        let is_first = |endpoint: &PoolEndpoint| {
            let weight = weight(endpoint.hash, own);
            !others
                .iter()
                .any(|other| weight < self::weight(endpoint.hash, *other))
        };
        endpoints.sort_by_key(|endpoint| std::cmp::Reverse(weight(endpoint.hash, own)));
        let mut place = 0;
        endpoints.retain(|endpoint| {
            place += 1;
            place <= size || is_first(endpoint)
        });
        for endpoint in &mut endpoints {
            endpoint.is_local = endpoint.domain == *domain;
        }
        Self {
            outliers: Outliers::new(endpoints.len(), cfg),
            hints: PrefixHints::new(cfg.max_prefixes),
            endpoints,
            cfg,
        }
    }

    /// Returns the endpoints that the node uses.
    #[must_use]
    pub fn endpoints(&self) -> &[PoolEndpoint] {
        &self.endpoints
    }

    /// Returns the endpoints, to give them slices and states.
    pub fn endpoints_mut(&mut self) -> &mut [PoolEndpoint] {
        &mut self.endpoints
    }

    /// Returns the record of slow and failing endpoints.
    pub const fn outliers_mut(&mut self) -> &mut Outliers {
        &mut self.outliers
    }

    /// Returns the largest request, by KV memory, that some endpoint can take now.
    #[must_use]
    pub fn largest(&self, now: Timestamp) -> Option<Tokens> {
        let open = (0..self.endpoints.len()).filter(|index| self.is_open(now, *index, Tokens(0)));
        open.filter_map(|index| self.endpoints[index].borrowed.largest(now))
            .max()
    }

    /// Chooses an endpoint that has room, or none.
    #[must_use]
    pub fn choose(&self, now: Timestamp, ask: Ask) -> Option<Routed> {
        let room = self.room(now, ask.kv);
        if room.open == 0 {
            return None;
        }
        let by_prefix = ask
            .prefix
            .and_then(|prefix| self.by_prefix(now, &ask, prefix, &room));
        by_prefix.or_else(|| self.by_permits(now, &ask, &room))
    }

    /// Starts a request at a chosen endpoint; false if it has no room any more.
    pub fn start(&mut self, now: Timestamp, endpoint: usize, ask: &Ask) -> bool {
        let started = self.endpoints[endpoint].borrowed.start(now, ask.kv);
        if let (true, Some(prefix)) = (started, ask.prefix) {
            self.hints.stored(prefix, endpoint);
        }
        started
    }

    /// Takes the news that an endpoint caches a prefix.
    pub fn cached(&mut self, prefix: PrefixHash, endpoint: usize) {
        self.hints.stored(prefix, endpoint);
    }

    /// Takes the news that an endpoint doesn't cache a prefix any more.
    pub fn evicted(&mut self, prefix: PrefixHash, endpoint: usize) {
        self.hints.evicted(prefix, endpoint);
    }

    /// Forgets what was known of an endpoint that has started anew.
    pub fn restarted(&mut self, endpoint: usize) {
        self.hints.forget_endpoint(endpoint);
        self.outliers.forget(endpoint);
    }

    fn is_open(&self, now: Timestamp, index: usize, kv: Tokens) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.state == EndpointState::Active
            && endpoint.borrowed.fits(now, kv)
            && !self.outliers.is_ejected(now, index)
    }

    fn room(&self, now: Timestamp, kv: Tokens) -> Room {
        let mut room = Room::default();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if !self.is_open(now, index, kv) {
                if endpoint.is_local && endpoint.state == EndpointState::Active {
                    room.local_lent += u64::from(endpoint.borrowed.lent(now).0);
                }
                continue;
            }
            room.open += 1;
            room.in_flight += u64::from(endpoint.borrowed.in_flight().0);
            if endpoint.is_local {
                room.local_lent += u64::from(endpoint.borrowed.lent(now).0);
                room.local_free += u64::from(endpoint.borrowed.free(now).0);
            }
        }
        room
    }

    /// Chooses the least loaded endpoint that is believed to cache the prefix, or else the one at
    /// which all nodes with the same subset let this prefix meet, unless they are loaded too far
    /// above the mean.
    fn by_prefix(
        &self,
        now: Timestamp,
        ask: &Ask,
        prefix: PrefixHash,
        room: &Room,
    ) -> Option<Routed> {
        let mean = room.in_flight as f64 / room.open as f64;
        let bound = self.cfg.affinity_bound * mean + 1.0;
        let may_take = |index: usize| {
            let in_flight = f64::from(self.endpoints[index].borrowed.in_flight().0);
            in_flight <= bound && self.is_open(now, index, ask.kv)
        };
        let holders = self.hints.holders(prefix).iter().copied();
        let cached = holders
            .filter(|index| may_take(*index))
            .min_by_key(|index| self.endpoints[*index].borrowed.in_flight());
        if let Some(endpoint) = cached {
            return Some(Routed {
                endpoint,
                reason: RouteReason::CachedPrefix,
            });
        }
        let home = self.home(prefix)?;
        may_take(home).then_some(Routed {
            endpoint: home,
            reason: RouteReason::PrefixHome,
        })
    }

    fn home(&self, prefix: PrefixHash) -> Option<usize> {
        let active = self.endpoints.iter().enumerate();
        let active = active.filter(|(_, endpoint)| endpoint.state == EndpointState::Active);
        let home = active.max_by_key(|(_, endpoint)| spread(endpoint.hash ^ spread(prefix.0)));
        home.map(|(index, _)| index)
    }

    /// Chooses the one with more free permits of two random endpoints, in the own failure domain
    /// unless its permits run short.
    fn by_permits(&self, now: Timestamp, ask: &Ask, room: &Room) -> Option<Routed> {
        let local = self.stays_local(ask.draw, room);
        let first = self.draw(now, ask, local, ask.draw);
        let second = self.draw(now, ask, local, spread(ask.draw));
        let free = |index: usize| self.endpoints[index].borrowed.free(now);
        let better = match (first, second) {
            (Some(a), Some(b)) if free(b) > free(a) => b,
            (Some(a), _) => a,
            (None, _) => self.draw(now, ask, false, ask.draw)?,
        };
        Some(Routed {
            endpoint: better,
            reason: RouteReason::MorePermits,
        })
    }

    /// Spills gradually: the fewer permits the own failure domain has left, the more requests go
    /// to others. A sharp threshold would swing all nodes' traffic to and fro.
    fn stays_local(&self, draw: u64, room: &Room) -> bool {
        if room.local_free == 0 {
            return false;
        }
        let share = room.local_free as f64 / room.local_lent as f64;
        let stay = (share / self.cfg.spill_below).min(1.0);
        ((spread(draw ^ 1) >> 11) as f64 / (1_u64 << 53) as f64) < stay
    }

    /// Returns a random endpoint that has room: the first from a random place on.
    fn draw(&self, now: Timestamp, ask: &Ask, local: bool, draw: u64) -> Option<usize> {
        let count = self.endpoints.len();
        let from = usize::try_from(draw % count as u64).ok()?;
        (0..count)
            .map(|step| (from + step) % count)
            .filter(|index| !local || self.endpoints[*index].is_local)
            .find(|index| self.is_open(now, *index, ask.kv))
    }
}

/// Returns the rendezvous weight of an endpoint for a node, by their hashes.
const fn weight(endpoint: u64, node: u64) -> u64 {
    spread(endpoint ^ node.rotate_left(31))
}

/// Spreads nearby values over all 64 bits (the finalizer of splitmix64).
const fn spread(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
