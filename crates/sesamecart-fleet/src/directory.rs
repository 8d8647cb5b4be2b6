//! All endpoints that a node knows of, and the groups that they form.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{
    EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId, ServiceId, Timestamp,
};

use crate::endpoint::{Endpoint, EndpointState, GroupState};
use crate::number::GroupEpoch;

#[cfg(test)]
mod tests;

/// How long an endpoint that left the registry is remembered.
///
/// A member that fell silent lapses from the registry while its head still stands still; without its
/// address nobody could ask whether it is really gone. It is longer than a head stalls.
const REMEMBERED: Duration = Duration::from_secs(12);

/// One membership of a group; a name may be used again under another epoch.
#[derive(Clone, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{group}@{epoch}")]
pub struct GroupKey {
    /// The group's name.
    pub group: GroupId,
    /// The epoch of this membership.
    pub epoch: GroupEpoch,
}

#[derive(Clone, Debug)]
struct Known {
    endpoint: Arc<Endpoint>,
    seen_at: Timestamp,
    /// When it left the registry; it gets nothing new since then.
    gone_at: Option<Timestamp>,
}

/// A group as its members' entries show it.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// Which one it is.
    pub key: GroupKey,
    /// The members by rank; nothing where no known endpoint has that rank.
    pub members: Vec<Option<Arc<Endpoint>>>,
    /// Whether each of these is in the registry and not about to leave.
    pub is_sound: bool,
}

impl GroupView {
    /// Returns the head, if it is known.
    #[must_use]
    pub fn head(&self) -> Option<&Arc<Endpoint>> {
        self.members.first()?.as_ref()
    }

    /// Returns how far the head is.
    #[must_use]
    pub fn head_state(&self) -> Option<GroupState> {
        let head = self.head()?;
        head.group.as_ref().map(|role| role.state)
    }
}

/// All endpoints that a node knows of.
///
/// It is published as a whole, so that a request decides by one state of the registry.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: IndexMap<EndpointId, Known>,
    evacuated: IndexSet<FailureDomainId>,
}

impl Directory {
    /// Takes an endpoint's entry in.
    pub fn put(&mut self, now: Timestamp, endpoint: Endpoint) {
        let id = endpoint.id.clone();
        let known = Known {
            endpoint: Arc::new(endpoint),
            seen_at: now,
            gone_at: None,
        };
        self.endpoints.insert(id, known);
    }

    /// Notes that an endpoint's entry is gone; returns whether it was there.
    pub fn remove(&mut self, now: Timestamp, id: &EndpointId) -> bool {
        match self.endpoints.get_mut(id) {
            Some(known) if known.gone_at.is_none() => {
                known.gone_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Forgets endpoints that left long ago.
    pub fn forget(&mut self, now: Timestamp) {
        self.endpoints
            .retain(|_, known| known.gone_at.is_none_or(|at| now.since(at) < REMEMBERED));
    }

    /// Sets the failure domains that get no new work.
    pub fn set_evacuated(&mut self, domains: IndexSet<FailureDomainId>) {
        self.evacuated = domains;
    }

    /// Returns the failure domains that get no new work.
    #[must_use]
    pub const fn evacuated(&self) -> &IndexSet<FailureDomainId> {
        &self.evacuated
    }

    /// Returns the names of the endpoints in the registry.
    pub fn listed_ids(&self) -> impl Iterator<Item = &EndpointId> {
        let listed = self.endpoints.iter();
        listed
            .filter(|(_, known)| known.gone_at.is_none())
            .map(|(id, _)| id)
    }

    /// Returns the endpoints in the registry.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let listed = self.endpoints.values();
        listed
            .filter(|known| known.gone_at.is_none())
            .map(|known| &known.endpoint)
    }

    /// Returns an endpoint, also one that has left lately.
    #[must_use]
    pub fn find(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id).map(|known| &known.endpoint)
    }

    /// Returns whether an endpoint is in the registry.
    #[must_use]
    pub fn is_listed(&self, id: &EndpointId) -> bool {
        let known = self.endpoints.get(id);
        known.is_some_and(|known| known.gone_at.is_none())
    }

    /// Returns whether an endpoint may get new work, as far as the registry and operators say.
    #[must_use]
    pub fn takes_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Ready
            && !self.evacuated.contains(&endpoint.failure_domain)
            && self.is_listed(&endpoint.id)
    }

    /// Returns whether an endpoint bears only a little now.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp, id: &EndpointId) -> bool {
        let known = self.endpoints.get(id);
        known.is_some_and(|known| now.since(known.seen_at) < known.endpoint.cold_for)
    }

    /// Returns the engines of the fabric domain that has the most of a service's.
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

    /// Returns the endpoints of a service that may get new work for a model, or for none.
    pub fn candidates<'a>(
        &'a self,
        service: &'a ServiceId,
        model: Option<&'a ModelId>,
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        self.listed()
            .filter(move |endpoint| endpoint.service == *service && self.takes_work(endpoint))
            .filter(move |endpoint| match model {
                Some(model) => endpoint.is_open_head() && endpoint.models.contains(model),
                None => true,
            })
    }

    /// Returns the groups whose members are known, with a place for each of `size(model)` ranks.
    #[must_use]
    pub fn groups(
        &self,
        service: &ServiceId,
        size: impl Fn(&ModelId) -> Option<usize>,
    ) -> IndexMap<GroupKey, GroupView> {
        let mut groups: IndexMap<GroupKey, GroupView> = IndexMap::new();
        let known = self.endpoints.values();
        for known in known.filter(|known| known.endpoint.service == *service) {
            let endpoint = &known.endpoint;
            let (Some(role), Some(key)) = (&endpoint.group, endpoint.group_key()) else {
                continue;
            };
            let group = groups.entry(key.clone()).or_insert_with(|| GroupView {
                key,
                members: Vec::new(),
                is_sound: true,
            });
            let size = endpoint.models.first().and_then(&size).unwrap_or(0);
            let places = size.max(role.rank + 1).max(group.members.len());
            group.members.resize(places, None);
            group.is_sound &= known.gone_at.is_none() && endpoint.state == EndpointState::Ready;
            group.members[role.rank] = Some(Arc::clone(endpoint));
        }
        for group in groups.values_mut() {
            group.is_sound &= group.members.iter().all(Option::is_some);
        }
        groups
    }

    /// Returns the members of one membership, also those that have left the registry lately.
    pub fn members<'a>(&'a self, key: &'a GroupKey) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        let known = self.endpoints.values().map(|known| &known.endpoint);
        known.filter(move |endpoint| {
            let role = endpoint.group.as_ref();
            role.is_some_and(|role| role.group == key.group && role.epoch == key.epoch)
        })
    }
}
