//! Chooses an endpoint for a request.

use sesamecart_vocabulary::{EndpointId, FailureDomainId, NodeId, Timestamp, Tokens, stable_hash};

use super::outlier::Outliers;
use super::prefix::{PrefixHash, PrefixHints};
use crate::allowance::BorrowedPermits;
use crate::settings::RoutingSettings;

/// Whether an endpoint receives new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// The endpoint receives new requests.
    Active,
    /// The endpoint is drained, leaving or not routable. Running requests may finish.
    Draining,
}

/// The state of one endpoint in a node's router.
#[derive(Clone, Debug)]
pub struct PoolEndpoint {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The endpoint's failure domain.
    pub domain: FailureDomainId,
    /// Whether the endpoint receives new requests.
    pub state: EndpointState,
    /// The permits that the node has borrowed for the endpoint.
    pub borrowed: BorrowedPermits,
    is_local: bool,
    hash: u64,
}

impl PoolEndpoint {
    /// Creates an active endpoint with its borrowed permits.
    #[must_use]
    pub fn new(id: EndpointId, domain: FailureDomainId, borrowed: BorrowedPermits) -> Self {
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

/// The properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest {
    /// The hash of the shared part of its prompt.
    pub prefix: Option<PrefixHash>,
    /// The KV memory that the request needs.
    pub kv: Tokens,
    /// A random number, supplied by the caller.
    pub random: u64,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteReason {
    /// According to the hints, it caches the prefix.
    CachedPrefix,
    /// It is the endpoint that the prefix hashes to.
    PrefixHome,
    /// It has more free permits than another randomly chosen endpoint.
    MorePermits,
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// The index in [`Router::endpoints`].
    pub endpoint: usize,
    /// Why the endpoint was chosen.
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

/// The load of the pool, collected once per request.
#[derive(Clone, Copy, Debug, Default)]
struct PoolLoad {
    available: usize,
    in_flight: u64,
    local_permits: u64,
    local_free_permits: u64,
}

impl Router {
    /// Creates a router over the subset of `endpoints` that `node` uses when `nodes` share them.
    ///
    /// A node uses the endpoints that rank highest for it by rendezvous weight, and those for which
    /// it ranks highest among the nodes. Without the latter, no node would use some endpoints of a
    /// large pool.
    #[must_use]
    pub fn new(
        node: &NodeId,
        domain: &FailureDomainId,
        endpoints: impl IntoIterator<Item = PoolEndpoint>,
        nodes: &[NodeId],
        cfg: RoutingSettings,
    ) -> Self {
        let mut endpoints: Vec<_> = endpoints.into_iter().collect();
        let size = cfg.subset_size(endpoints.len(), nodes.len());
        let own_hash = stable_hash(node.as_str());
        let node_hashes: Vec<u64> = nodes
            .iter()
            .map(|node| stable_hash(node.as_str()))
            .collect();
        let ranks_first = |endpoint: &PoolEndpoint| {
            let weight = weight(endpoint.hash, own_hash);
            !node_hashes
                .iter()
                .any(|other| weight < self::weight(endpoint.hash, *other))
        };
        endpoints.sort_by_key(|endpoint| std::cmp::Reverse(weight(endpoint.hash, own_hash)));
        let mut rank = 0;
        endpoints.retain(|endpoint| {
            rank += 1;
            rank <= size || ranks_first(endpoint)
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

    /// Returns the endpoints, to update their slices and states.
    pub fn endpoints_mut(&mut self) -> &mut [PoolEndpoint] {
        &mut self.endpoints
    }

    /// Returns the outlier detection, to record latencies and failures.
    pub const fn outliers_mut(&mut self) -> &mut Outliers {
        &mut self.outliers
    }

    /// Returns the KV memory of the largest request that an endpoint can start now.
    #[must_use]
    pub fn max_request_kv(&self, now: Timestamp) -> Option<Tokens> {
        let available =
            (0..self.endpoints.len()).filter(|index| self.is_available(now, *index, Tokens(0)));
        available
            .filter_map(|index| self.endpoints[index].borrowed.max_request_kv(now))
            .max()
    }

    /// Chooses an available endpoint that the request fits, if there is one.
    #[must_use]
    pub fn choose(&self, now: Timestamp, request: RouteRequest) -> Option<Route> {
        let load = self.pool_load(now, request.kv);
        if load.available == 0 {
            return None;
        }
        let by_prefix = request
            .prefix
            .and_then(|prefix| self.choose_by_prefix(now, &request, prefix, &load));
        by_prefix.or_else(|| self.choose_by_permits(now, &request, &load))
    }

    /// Starts a request at the chosen endpoint; returns false if the request no longer fits there.
    pub fn start(&mut self, now: Timestamp, endpoint: usize, request: &RouteRequest) -> bool {
        let started = self.endpoints[endpoint].borrowed.start(now, request.kv);
        if let (true, Some(prefix)) = (started, request.prefix) {
            self.hints.insert(prefix, endpoint);
        }
        started
    }

    /// Records that an endpoint caches a prefix.
    pub fn record_cached(&mut self, prefix: PrefixHash, endpoint: usize) {
        self.hints.insert(prefix, endpoint);
    }

    /// Records that an endpoint no longer caches a prefix.
    pub fn record_evicted(&mut self, prefix: PrefixHash, endpoint: usize) {
        self.hints.remove(prefix, endpoint);
    }

    /// Discards the hints and outlier statistics of an endpoint that has restarted.
    pub fn endpoint_restarted(&mut self, endpoint: usize) {
        self.hints.remove_endpoint(endpoint);
        self.outliers.reset(endpoint);
    }

    fn is_available(&self, now: Timestamp, index: usize, kv: Tokens) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.state == EndpointState::Active
            && endpoint.borrowed.fits(now, kv)
            && !self.outliers.is_ejected(now, index)
    }

    fn pool_load(&self, now: Timestamp, kv: Tokens) -> PoolLoad {
        let mut load = PoolLoad::default();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if !self.is_available(now, index, kv) {
                if endpoint.is_local && endpoint.state == EndpointState::Active {
                    load.local_permits += u64::from(endpoint.borrowed.valid_permits(now).0);
                }
                continue;
            }
            load.available += 1;
            load.in_flight += u64::from(endpoint.borrowed.in_flight().0);
            if endpoint.is_local {
                load.local_permits += u64::from(endpoint.borrowed.valid_permits(now).0);
                load.local_free_permits += u64::from(endpoint.borrowed.free(now).0);
            }
        }
        load
    }

    /// Chooses the least loaded endpoint with a hint for the prefix, or else the endpoint that the
    /// prefix hashes to, which is the same for all nodes with the same subset. Endpoints that are
    /// loaded too far above the mean are excluded.
    fn choose_by_prefix(
        &self,
        now: Timestamp,
        request: &RouteRequest,
        prefix: PrefixHash,
        load: &PoolLoad,
    ) -> Option<Route> {
        let mean = load.in_flight as f64 / load.available as f64;
        let bound = self.cfg.affinity_bound * mean + 1.0;
        let is_eligible = |index: usize| {
            let in_flight = f64::from(self.endpoints[index].borrowed.in_flight().0);
            in_flight <= bound && self.is_available(now, index, request.kv)
        };
        let holders = self.hints.holders(prefix).iter().copied();
        let cached = holders
            .filter(|index| is_eligible(*index))
            .min_by_key(|index| self.endpoints[*index].borrowed.in_flight());
        if let Some(endpoint) = cached {
            return Some(Route {
                endpoint,
                reason: RouteReason::CachedPrefix,
            });
        }
        let home = self.prefix_home(prefix)?;
        is_eligible(home).then_some(Route {
            endpoint: home,
            reason: RouteReason::PrefixHome,
        })
    }

    fn prefix_home(&self, prefix: PrefixHash) -> Option<usize> {
        let active = self.endpoints.iter().enumerate();
        let active = active.filter(|(_, endpoint)| endpoint.state == EndpointState::Active);
        let home = active.max_by_key(|(_, endpoint)| mix64(endpoint.hash ^ mix64(prefix.0)));
        home.map(|(index, _)| index)
    }

    /// Chooses the one with more free permits of two random endpoints. Both are in the node's own
    /// failure domain unless the permits there run short.
    fn choose_by_permits(
        &self,
        now: Timestamp,
        request: &RouteRequest,
        load: &PoolLoad,
    ) -> Option<Route> {
        let local = self.stays_local(request.random, load);
        let first = self.random_endpoint(now, request, local, request.random);
        let second = self.random_endpoint(now, request, local, mix64(request.random));
        let free = |index: usize| self.endpoints[index].borrowed.free(now);
        let better = match (first, second) {
            (Some(a), Some(b)) if free(b) > free(a) => b,
            (Some(a), _) => a,
            (None, _) => self.random_endpoint(now, request, false, request.random)?,
        };
        Some(Route {
            endpoint: better,
            reason: RouteReason::MorePermits,
        })
    }

    /// Returns whether a request stays in the node's own failure domain.
    ///
    /// Requests spill gradually: the fewer free permits the own failure domain has, the more requests
    /// go to others. With a sharp threshold, the traffic of all nodes would oscillate between failure
    /// domains.
    fn stays_local(&self, random: u64, load: &PoolLoad) -> bool {
        if load.local_free_permits == 0 {
            return false;
        }
        let share = load.local_free_permits as f64 / load.local_permits as f64;
        let stay_probability = (share / self.cfg.spill_below).min(1.0);
        ((mix64(random ^ 1) >> 11) as f64 / (1_u64 << 53) as f64) < stay_probability
    }

    /// Returns the first available endpoint, starting from a random index.
    fn random_endpoint(
        &self,
        now: Timestamp,
        request: &RouteRequest,
        local_only: bool,
        random: u64,
    ) -> Option<usize> {
        let count = self.endpoints.len();
        let start = usize::try_from(random % count as u64).ok()?;
        (0..count)
            .map(|step| (start + step) % count)
            .filter(|index| !local_only || self.endpoints[*index].is_local)
            .find(|index| self.is_available(now, *index, request.kv))
    }
}

/// Returns the rendezvous weight of an endpoint for a node, by their hashes.
const fn weight(endpoint: u64, node: u64) -> u64 {
    mix64(endpoint ^ node.rotate_left(31))
}

/// Mixes the bits of a value, so that nearby values spread over all 64 bits (the finalizer of
/// splitmix64).
const fn mix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
