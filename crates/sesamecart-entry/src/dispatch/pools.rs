//! The pools that have dispatchers, as far as this node knows.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fleet::{
    Catalog, Directory, EngineModel, PeerNode, PoolHead, PoolPart, PoolSpec, Service,
    dispatch_order, part_count, part_of, uses_dispatchers,
};
use sesamecart_vocabulary::{ModelId, ServiceId, Timestamp};

use crate::clock;
use crate::lock::lock;
use crate::state::EntryState;

/// How old the pools may get while the registry stays as it is: cold times end, and groups are suspected.
const MAX_AGE: Duration = Duration::from_millis(50);

/// A part of a pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolPartView {
    pub(crate) name: PoolPart,
    /// The nodes in the order in which they dispatch the part.
    pub(crate) order: Arc<[PeerNode]>,
    /// The endpoints that take requests.
    pub(crate) heads: Vec<PoolHead>,
}

/// A pool that has dispatchers.
#[derive(Clone, Debug)]
pub(crate) struct DispatchedPool {
    pub(crate) spec: PoolSpec,
    pub(crate) parts: Vec<PoolPartView>,
}

impl DispatchedPool {
    pub(crate) fn part_count(&self) -> u32 {
        u32::try_from(self.parts.len()).unwrap_or(u32::MAX)
    }
}

/// All pools that have dispatchers.
#[derive(Debug, Default)]
pub(crate) struct DispatchPools(IndexMap<ServiceId, IndexMap<ModelId, DispatchedPool>>);

impl DispatchPools {
    pub(crate) fn get(&self, service: &ServiceId, model: &ModelId) -> Option<&DispatchedPool> {
        self.0.get(service)?.get(model)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &DispatchedPool> {
        self.0.values().flat_map(IndexMap::values)
    }

    /// Returns a part and its pool.
    pub(crate) fn part(&self, name: &PoolPart) -> Option<(&DispatchedPool, &PoolPartView)> {
        let pool = self.get(&name.service, &name.model)?;
        Some((pool, pool.parts.get(name.part as usize)?))
    }
}

/// The pools, with what they were derived from.
#[derive(Debug, Default)]
pub(super) struct PoolCache {
    sources: Option<Sources>,
    derived_at: Timestamp,
    pools: Arc<DispatchPools>,
}

#[derive(Debug)]
struct Sources {
    catalog: Arc<Catalog>,
    nodes: Arc<Vec<PeerNode>>,
    directory: Arc<Directory>,
}

impl Sources {
    fn load(state: &EntryState) -> Option<Self> {
        Some(Self {
            catalog: state.catalog.load_full()?,
            nodes: state.nodes.load_full(),
            directory: state.directory.load_full(),
        })
    }

    fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.catalog, &other.catalog)
            && Arc::ptr_eq(&self.nodes, &other.nodes)
            && Arc::ptr_eq(&self.directory, &other.directory)
    }
}

impl EntryState {
    /// Returns the pools that have dispatchers.
    pub(crate) fn dispatch_pools(&self) -> Arc<DispatchPools> {
        let now = clock::now();
        let mut cache = lock(&self.dispatch.pools);
        let Some(sources) = Sources::load(self) else {
            return Arc::clone(&cache.pools);
        };
        let is_same = cache
            .sources
            .as_ref()
            .is_some_and(|known| known.is_same(&sources));
        let is_recent = now.since(cache.derived_at) < MAX_AGE || cache.pools.0.is_empty();
        if !(is_same && is_recent) {
            let nodes = cache.sources.as_ref().map(|known| &known.nodes);
            let keeps_orders = nodes.is_some_and(|nodes| Arc::ptr_eq(nodes, &sources.nodes));
            let previous = keeps_orders.then(|| Arc::clone(&cache.pools));
            let derivation = Derivation {
                state: self,
                sources: &sources,
                previous,
                now,
            };
            cache.pools = Arc::new(derivation.pools());
            cache.derived_at = now;
            cache.sources = Some(sources);
        }
        Arc::clone(&cache.pools)
    }

    /// Returns the number of pools that have dispatchers, as far as this node knows.
    #[must_use]
    pub fn dispatched_pool_count(&self) -> usize {
        self.dispatch_pools().iter().count()
    }

    /// Returns the node that dispatches a part: the first one in its order that answers.
    pub(crate) fn dispatcher_of(&self, part: &PoolPartView) -> Option<PeerNode> {
        let now = clock::now();
        let ranking = self.authorities();
        let mut order = part.order.iter();
        let dispatcher = order.find(|peer| {
            if peer.node == self.settings.node {
                !self.is_leaving()
            } else {
                ranking.is_responsive(now, &peer.node)
            }
        });
        dispatcher.cloned()
    }
}

/// Derives the pools from what this node knows.
struct Derivation<'a> {
    state: &'a EntryState,
    sources: &'a Sources,
    /// The pools whose orders of nodes still hold.
    previous: Option<Arc<DispatchPools>>,
    now: Timestamp,
}

impl Derivation<'_> {
    fn pools(&self) -> DispatchPools {
        let Sources { catalog, nodes, .. } = self.sources;
        let setting = self.state.settings.dispatch;
        let services = catalog.services.iter();
        let services = services.filter(|(id, _)| uses_dispatchers(catalog, id, nodes, setting));
        let pools = services.map(|(id, service)| (id.clone(), self.pools_of(id, service)));
        DispatchPools(pools.collect())
    }

    fn pools_of(&self, id: &ServiceId, service: &Service) -> IndexMap<ModelId, DispatchedPool> {
        let models = service.engine.iter().flat_map(|engine| &engine.models);
        let pools = models.filter_map(|model| {
            let pool = self.pool(id, service, model)?;
            Some((model.model.clone(), pool))
        });
        pools.collect()
    }

    fn pool(
        &self,
        id: &ServiceId,
        service: &Service,
        model: &EngineModel,
    ) -> Option<DispatchedPool> {
        let directory = &self.sources.directory;
        let spec = PoolSpec::new(service.engine.as_ref()?, model)?;
        let open: Vec<_> = directory.candidates(id, Some(&model.model)).collect();
        // All open groups count, so that nodes that suspect different groups agree.
        let parts = part_count(open.len());
        let mut views: Vec<PoolPartView> = (0..parts)
            .map(|part| {
                let name = PoolPart {
                    service: id.clone(),
                    model: model.model.clone(),
                    part,
                };
                PoolPartView {
                    order: self.order(&name),
                    name,
                    heads: Vec::new(),
                }
            })
            .collect();
        for endpoint in open {
            if self.state.is_group_avoided(endpoint) {
                continue;
            }
            let is_cold = directory.is_cold(self.now, &endpoint.id);
            views[part_of(&endpoint.id, parts) as usize]
                .heads
                .push(PoolHead {
                    id: endpoint.id.clone(),
                    failure_domain: endpoint.failure_domain.clone(),
                    slots: endpoint.slots,
                    cold_per_s: service.cold_per_s.filter(|_| is_cold),
                });
        }
        Some(DispatchedPool { spec, parts: views })
    }

    fn order(&self, name: &PoolPart) -> Arc<[PeerNode]> {
        let previous = self.previous.as_ref().and_then(|pools| pools.part(name));
        match previous {
            Some((_, part)) => Arc::clone(&part.order),
            None => {
                let order = dispatch_order(name, &self.sources.nodes);
                order.into_iter().cloned().collect()
            }
        }
    }
}
