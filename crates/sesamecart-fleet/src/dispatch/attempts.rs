//! The attempts of all nodes at the endpoints of a pool.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use super::heads::{Attempt, Head};
use super::message::{AttemptEnd, DispatchRequest, HeldRequest, PoolHead, PoolSpec, TicketKey};
use super::prediction::StartOverhead;
use crate::step_model::TokenCounts;

/// The time after which an attempt whose deadline isn't known is over unless it is reported again.
const MAX_UNKNOWN_DEADLINE: Duration = Duration::from_secs(30);

/// The attempts by endpoint.
#[derive(Debug)]
pub(super) struct Attempts {
    heads: IndexMap<EndpointId, Head>,
    endpoints: IndexMap<TicketKey, EndpointId>,
    overhead: StartOverhead,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            heads: IndexMap::new(),
            endpoints: IndexMap::new(),
            overhead: StartOverhead::new(),
        }
    }

    pub(super) const fn heads(&self) -> &IndexMap<EndpointId, Head> {
        &self.heads
    }

    pub(super) const fn overhead(&self) -> StartOverhead {
        self.overhead
    }

    pub(super) fn usable_heads(&self) -> usize {
        let usable = self.heads.values().filter(|head| head.properties.is_some());
        usable.count()
    }

    /// Returns the slots of all endpoints together.
    pub(super) fn slots(&self) -> u32 {
        let usable = self
            .heads
            .values()
            .filter_map(|head| head.properties.as_ref());
        usable.map(|head| head.slots).sum()
    }

    pub(super) fn set_heads(&mut self, now: Timestamp, heads: impl IntoIterator<Item = PoolHead>) {
        for head in self.heads.values_mut() {
            head.properties = None;
        }
        for properties in heads {
            let id = properties.id.clone();
            let head = self.heads.entry(id).or_insert_with(Head::new);
            head.properties = Some(properties);
        }
        self.heads.retain(|_, head| head.is_needed(now));
    }

    /// Removes what endpoints have read and attempts that are over.
    pub(super) fn advance(&mut self, now: Timestamp, spec: &PoolSpec) {
        for head in self.heads.values_mut() {
            for key in head.advance(now, spec, self.overhead) {
                self.endpoints.swap_remove(&key);
            }
        }
    }

    fn advance_one(&mut self, now: Timestamp, spec: &PoolSpec, endpoint: &EndpointId) {
        let head = self.heads.get_mut(endpoint);
        let over = head.map(|head| head.advance(now, spec, self.overhead));
        for key in over.into_iter().flatten() {
            self.endpoints.swap_remove(&key);
        }
    }

    /// Adds the attempt of a request at the endpoint that it is assigned.
    pub(super) fn assign(
        &mut self,
        now: Timestamp,
        spec: &PoolSpec,
        req: &DispatchRequest,
        endpoint: &EndpointId,
    ) {
        let attempt = Attempt {
            tokens: req.tokens,
            sent_at: now,
            ends_by: now + req.time_left,
            modelled_ms: self.modelled_ms(spec, endpoint, req.tokens),
            reported_at: None,
            has_started: false,
        };
        self.insert(now, req.key.clone(), endpoint, attempt);
    }

    /// Records an attempt that a node reports.
    pub(super) fn record_held(&mut self, now: Timestamp, spec: &PoolSpec, held: HeldRequest) {
        self.advance_one(now, spec, &held.endpoint);
        let known = self.endpoints.get(&held.key);
        if known != Some(&held.endpoint) {
            self.remove(&held.key);
            self.insert_unknown(now, spec, &held);
            return;
        }
        let Some(head) = self.heads.get_mut(&held.endpoint) else {
            return;
        };
        head.confirm(now, &held.key);
        let Some(started_after) = held.started_after else {
            return;
        };
        if let Some(ms) = head.record_start(now, &held.key, started_after, self.overhead) {
            self.overhead.record(ms);
        }
    }

    /// Records the end of an attempt.
    pub(super) fn record_ended(
        &mut self,
        now: Timestamp,
        spec: &PoolSpec,
        key: &TicketKey,
        end: AttemptEnd,
    ) {
        let Some(endpoint) = self.endpoints.swap_remove(key) else {
            return;
        };
        self.advance_one(now, spec, &endpoint);
        if let Some(head) = self.heads.get_mut(&endpoint) {
            head.record_end(now, key, end, self.overhead);
        }
    }

    /// Removes the attempts of a node that were reported before and not at `now`.
    pub(super) fn keep_reported_at(&mut self, now: Timestamp, node: &NodeId) {
        self.remove_where(|key, attempt| {
            key.node == *node && attempt.reported_at.is_some_and(|at| at != now)
        });
    }

    /// Removes the attempts of a node.
    pub(super) fn remove_node(&mut self, node: &NodeId) {
        self.remove_where(|key, _| key.node == *node);
    }

    fn remove_where(&mut self, is_over: impl Fn(&TicketKey, &Attempt) -> bool) {
        for head in self.heads.values_mut() {
            for key in head.remove_where(&is_over) {
                self.endpoints.swap_remove(&key);
            }
        }
    }

    fn remove(&mut self, key: &TicketKey) {
        let endpoint = self.endpoints.swap_remove(key);
        if let Some(head) = endpoint.and_then(|endpoint| self.heads.get_mut(&endpoint)) {
            head.remove(key);
        }
    }

    fn insert_unknown(&mut self, now: Timestamp, spec: &PoolSpec, held: &HeldRequest) {
        let attempt = Attempt {
            tokens: held.tokens,
            sent_at: now - held.age,
            ends_by: now + MAX_UNKNOWN_DEADLINE,
            modelled_ms: self.modelled_ms(spec, &held.endpoint, held.tokens),
            reported_at: Some(now),
            has_started: held.started_after.is_some(),
        };
        self.insert(now, held.key.clone(), &held.endpoint, attempt);
    }

    fn insert(&mut self, now: Timestamp, key: TicketKey, endpoint: &EndpointId, attempt: Attempt) {
        self.endpoints.insert(key.clone(), endpoint.clone());
        let head = self.heads.entry(endpoint.clone()).or_insert_with(Head::new);
        head.insert(now, key, attempt);
    }

    /// Returns the time to the first event of a prompt that is sent now, without what is learned from starts.
    fn modelled_ms(&self, spec: &PoolSpec, endpoint: &EndpointId, tokens: TokenCounts) -> f64 {
        let head = self.heads.get(endpoint);
        let unread = head.map_or(0.0, Head::unread_tokens);
        let running = head.map_or(0, Head::running);
        spec.reading_ms(unread + tokens.prompt, running)
    }
}
