//! The endpoints known to a node, and the groups that they form.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{
    EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId, ServiceId, Timestamp,
};

use crate::endpoint::{Endpoint, EndpointState, GroupState};
use crate::leaving::LeavingEndpoints;
use crate::number::GroupEpoch;

#[cfg(test)]
mod tests;

/// How long an endpoint is kept after it left the registry. It is longer than a head can stall.
///
/// The entry of an unresponsive member expires from the registry while the group's head is still stalled.
/// Without the member's address, nobody could probe whether it is really gone.
const GONE_RETENTION: Duration = Duration::from_secs(12);

/// The identity of one membership of a group. A group name may be used again with a different epoch.
#[derive(Clone, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{group}@{epoch}")]
pub struct GroupKey {
    /// The group's ID.
    pub group: GroupId,
    /// The epoch of this membership.
    pub epoch: GroupEpoch,
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    seen_at: Timestamp,
    /// When the endpoint left the registry, after which it gets no new work.
    gone_at: Option<Timestamp>,
}

/// A group as described by the registry entries of its members.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// The group's membership.
    pub key: GroupKey,
    /// The members by rank, or nothing if no known endpoint has that rank.
    pub members: Vec<Option<Arc<Endpoint>>>,
    /// Whether all members are in the registry and none of them is draining or leaving.
    pub is_complete: bool,
}

impl GroupView {
    /// Returns the head, if it is known.
    #[must_use]
    pub fn head(&self) -> Option<&Arc<Endpoint>> {
        self.members.first()?.as_ref()
    }

    /// Returns the group state of the head.
    #[must_use]
    pub fn head_state(&self) -> Option<GroupState> {
        let head = self.head()?;
        head.group.as_ref().map(|role| role.state)
    }
}

/// All endpoints known to a node.
///
/// It is published as a whole, so that each request uses one consistent state of the registry.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: IndexMap<EndpointId, Entry>,
    evacuated: IndexSet<FailureDomainId>,
    /// What endpoints have said in responses to this node.
    leaving: LeavingEndpoints,
}

impl Directory {
    /// Adds or replaces an endpoint's entry.
    pub fn put(&mut self, now: Timestamp, endpoint: Endpoint) {
        let endpoint = self.with_current_state(endpoint);
        let id = endpoint.id.clone();
        let entry = Entry {
            endpoint: Arc::new(endpoint),
            seen_at: now,
            gone_at: None,
        };
        self.endpoints.insert(id, entry);
    }

    /// Marks an endpoint as gone from the registry. Returns whether it was listed.
    pub fn remove(&mut self, now: Timestamp, id: &EndpointId) -> bool {
        match self.endpoints.get_mut(id) {
            Some(entry) if entry.gone_at.is_none() => {
                entry.gone_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Returns when [`Self::prune`] next has an endpoint to remove.
    #[must_use]
    pub fn next_prune(&self) -> Option<Timestamp> {
        let gone = self.endpoints.values().filter_map(|entry| entry.gone_at);
        gone.min().map(|at| at + GONE_RETENTION)
    }

    /// Removes endpoints that left the registry long ago.
    pub fn prune(&mut self, now: Timestamp) {
        self.endpoints.retain(|_, entry| {
            entry
                .gone_at
                .is_none_or(|at| now.since(at) < GONE_RETENTION)
        });
        let endpoints = &self.endpoints;
        self.leaving.prune(now, |id| endpoints.contains_key(id));
    }

    /// Returns the endpoint of an entry with the state that is in force. An entry that says that the endpoint is
    /// ready doesn't end what the endpoint has said itself.
    #[must_use]
    pub fn with_current_state(&self, mut endpoint: Endpoint) -> Endpoint {
        if endpoint.state == EndpointState::Ready && self.is_leaving(&endpoint) {
            endpoint.state = EndpointState::Leaving;
        }
        endpoint
    }

    /// Records that an endpoint has said in a response that it leaves. It gets no new work from then on. Returns
    /// whether that is new.
    pub fn record_leaving(&mut self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let is_new = self.leaving.record(now, endpoint);
        self.update_state(&endpoint.id);
        is_new
    }

    /// Returns whether an endpoint has said in a response that it leaves.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        self.leaving.since(endpoint).is_some()
    }

    /// Returns whether an endpoint has said in a response that it leaves since it was `selected` for a request. One
    /// that was selected as a last resort had said so before.
    #[must_use]
    pub fn has_begun_to_leave(&self, selected: &Endpoint) -> bool {
        selected.state == EndpointState::Ready && self.is_leaving(selected)
    }

    /// Returns when an endpoint first said in a response that it leaves.
    #[must_use]
    pub fn leaving_since(&self, endpoint: &Endpoint) -> Option<Timestamp> {
        self.leaving.since(endpoint)
    }

    /// Takes over from `current` what doesn't come from the registry: the evacuated failure domains, and what
    /// endpoints have said in responses.
    pub fn take_over(&mut self, now: Timestamp, current: &Self) {
        self.evacuated = current.evacuated.clone();
        self.leaving = current.leaving.clone();
        let ids: Vec<EndpointId> = self.leaving.ids().cloned().collect();
        for id in &ids {
            self.update_state(id);
        }
        self.prune(now);
    }

    fn update_state(&mut self, id: &EndpointId) {
        let Some(known) = self.find(id) else { return };
        let current = self.with_current_state(Endpoint::clone(known));
        if let Some(entry) = self.endpoints.get_mut(id)
            && entry.endpoint.state != current.state
        {
            entry.endpoint = Arc::new(current);
        }
    }

    /// Sets the evacuated failure domains, which get no new work.
    pub fn set_evacuated(&mut self, domains: IndexSet<FailureDomainId>) {
        self.evacuated = domains;
    }

    /// Returns the evacuated failure domains, which get no new work.
    #[must_use]
    pub const fn evacuated(&self) -> &IndexSet<FailureDomainId> {
        &self.evacuated
    }

    /// Returns the IDs of the endpoints in the registry.
    pub fn listed_ids(&self) -> impl Iterator<Item = &EndpointId> {
        let entries = self.endpoints.iter();
        entries
            .filter(|(_, entry)| entry.gone_at.is_none())
            .map(|(id, _)| id)
    }

    /// Returns the endpoints in the registry.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let entries = self.endpoints.values();
        entries
            .filter(|entry| entry.gone_at.is_none())
            .map(|entry| &entry.endpoint)
    }

    /// Returns an endpoint, even if it left the registry recently.
    #[must_use]
    pub fn find(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id).map(|entry| &entry.endpoint)
    }

    /// Returns whether an endpoint is in the registry.
    #[must_use]
    pub fn is_listed(&self, id: &EndpointId) -> bool {
        let entry = self.endpoints.get(id);
        entry.is_some_and(|entry| entry.gone_at.is_none())
    }

    /// Returns whether the registry and the operators allow new work for an endpoint.
    #[must_use]
    pub fn takes_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Ready
            && !self.evacuated.contains(&endpoint.failure_domain)
            && self.is_listed(&endpoint.id)
    }

    /// Returns whether an endpoint is still cold and can only handle a low rate of requests.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp, id: &EndpointId) -> bool {
        let entry = self.endpoints.get(id);
        entry.is_some_and(|entry| now.since(entry.seen_at) < entry.endpoint.cold_for)
    }

    /// Returns the largest number of a service's engines in one fabric domain.
    #[must_use]
    pub fn largest_fabric_domain(&self, service: &ServiceId) -> usize {
        let mut domains: IndexMap<&FabricDomainId, usize> = IndexMap::new();
        for endpoint in self
            .listed()
            .filter(|endpoint| endpoint.service == *service)
        {
            if let Some(domain) = &endpoint.fabric_domain {
                *domains.entry(domain).or_default() += 1;
            }
        }
        domains.into_values().max().unwrap_or(0)
    }

    /// Returns the endpoints of a service that may get new work. With a model, these are only the open
    /// group heads that serve it.
    pub fn candidates<'a>(
        &'a self,
        service: &'a ServiceId,
        model: Option<&'a ModelId>,
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        self.listed()
            .filter(move |endpoint| endpoint.service == *service && self.takes_work(endpoint))
            .filter(move |endpoint| serves(endpoint, model))
    }

    /// Returns the endpoints of a service that have said in responses, a part of `drain_time` ago at most, that they
    /// leave. They may be used while [`Self::candidates`] has none.
    pub fn last_resort<'a>(
        &'a self,
        now: Timestamp,
        drain_time: Duration,
        service: &'a ServiceId,
        model: Option<&'a ModelId>,
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        self.listed()
            .filter(move |endpoint| {
                endpoint.service == *service
                    && endpoint.state == EndpointState::Leaving
                    && !self.evacuated.contains(&endpoint.failure_domain)
                    && self.leaving.is_last_resort(now, drain_time, endpoint)
            })
            .filter(move |endpoint| serves(endpoint, model))
    }

    /// Returns the groups of a service that have known members. `size` is the number of ranks of a model's
    /// group.
    #[must_use]
    pub fn groups(
        &self,
        service: &ServiceId,
        size: impl Fn(&ModelId) -> Option<usize>,
    ) -> IndexMap<GroupKey, GroupView> {
        let mut groups: IndexMap<GroupKey, GroupView> = IndexMap::new();
        let entries = self.endpoints.values();
        for entry in entries.filter(|entry| entry.endpoint.service == *service) {
            let endpoint = &entry.endpoint;
            let (Some(role), Some(key)) = (&endpoint.group, endpoint.group_key()) else {
                continue;
            };
            let group = groups.entry(key.clone()).or_insert_with(|| GroupView {
                key,
                members: Vec::new(),
                is_complete: true,
            });
            let size = endpoint.models.first().and_then(&size).unwrap_or(0);
            let ranks = size.max(role.rank + 1).max(group.members.len());
            group.members.resize(ranks, None);
            group.is_complete &= entry.gone_at.is_none() && endpoint.state == EndpointState::Ready;
            group.members[role.rank] = Some(Arc::clone(endpoint));
        }
        for group in groups.values_mut() {
            group.is_complete &= group.members.iter().all(Option::is_some);
        }
        groups
    }

    /// Returns the members of one membership, including those that left the registry recently.
    pub fn members<'a>(&'a self, key: &'a GroupKey) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        let endpoints = self.endpoints.values().map(|entry| &entry.endpoint);
        endpoints.filter(move |endpoint| {
            let role = endpoint.group.as_ref();
            role.is_some_and(|role| role.group == key.group && role.epoch == key.epoch)
        })
    }
}

/// Returns whether an endpoint is the open head of a group that serves a model, if there is one.
fn serves(endpoint: &Endpoint, model: Option<&ModelId>) -> bool {
    match model {
        Some(model) => endpoint.is_open_head() && endpoint.models.contains(model),
        None => true,
    }
}
