//! Assigns endpoints of one pool to the requests of all nodes.

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use super::message::{
    DispatchDecision, DispatchRequest, HeldRequest, PoolHead, PoolSpec, TicketKey,
};

/// The dispatcher of one pool.
#[derive(Debug)]
pub struct Dispatcher {
    spec: PoolSpec,
    heads: IndexMap<EndpointId, PoolHead>,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no endpoint yet.
    #[must_use]
    pub fn new(spec: PoolSpec) -> Self {
        Self {
            spec,
            heads: IndexMap::new(),
        }
    }

    /// Sets the properties of the pool, which change with the configuration.
    pub fn set_spec(&mut self, spec: PoolSpec) {
        self.spec = spec;
    }

    /// Sets the endpoints that take requests now.
    pub fn set_heads(&mut self, _now: Timestamp, heads: impl IntoIterator<Item = PoolHead>) {
        self.heads = heads
            .into_iter()
            .map(|head| (head.id.clone(), head))
            .collect();
    }

    /// Decides about a new request.
    pub fn offer(&mut self, _now: Timestamp, _req: DispatchRequest) -> DispatchDecision {
        unimplemented!()
    }

    /// Returns the decisions about requests that have waited.
    pub fn poll(&mut self, _now: Timestamp) -> Vec<(TicketKey, DispatchDecision)> {
        unimplemented!()
    }

    /// Returns when [`Self::poll`] has to be called next, if requests wait.
    #[must_use]
    pub fn next_poll(&self, _now: Timestamp) -> Option<Timestamp> {
        unimplemented!()
    }

    /// Removes a waiting request whose caller has left.
    pub fn cancel(&mut self, _key: &TicketKey) {
        unimplemented!()
    }

    /// Records an attempt that a node has at an endpoint, also one that this dispatcher hasn't assigned.
    pub fn record_held(&mut self, _now: Timestamp, _held: HeldRequest) {
        unimplemented!()
    }

    /// Records that an attempt has ended.
    pub fn record_ended(&mut self, _now: Timestamp, _key: &TicketKey) {
        unimplemented!()
    }

    /// Records that a report of a node arrived. `is_complete` is whether it named all of the node's attempts:
    /// those not named in it are over.
    pub fn record_report(&mut self, _now: Timestamp, _node: &NodeId, _is_complete: bool) {
        unimplemented!()
    }

    /// Removes the attempts of a node that is gone.
    pub fn drop_node(&mut self, _now: Timestamp, _node: &NodeId) {
        unimplemented!()
    }
}
