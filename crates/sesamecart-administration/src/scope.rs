//! What an operator of some teams sees and changes.

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use sesamecart_config::{Configuration, Customer, Endpoint, EndpointKind, Operator};
use sesamecart_fold::{AuditEntry, DrainTarget};
use sesamecart_vocabulary::{GroupId, ServiceId, TeamId};

/// The part of the platform that an operator sees and changes.
///
/// Many teams share the platform. A team's operator sees its own customers and services, and of the
/// rest only what serves them; without the bound, one team's mistake would take another's capacity.
#[derive(Clone, Debug)]
pub struct Scope {
    operator: String,
    /// The teams; empty for the whole platform.
    teams: IndexSet<TeamId>,
}

/// Why a change lies outside an operator's teams.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ScopeError {
    /// It changes something that belongs to others.
    #[display("this changes {_0}, which is not of your teams")]
    Others(String),
    /// It needs an operator of the whole platform.
    #[display("{_0} needs an operator of the whole platform")]
    WholePlatform(String),
}

impl Scope {
    /// Returns an operator's scope.
    #[must_use]
    pub fn of(operator: &Operator) -> Self {
        Self {
            operator: operator.name.clone(),
            teams: operator.teams.clone(),
        }
    }

    /// Returns whether the operator administers the whole platform.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the part of a configuration that the operator sees.
    #[must_use]
    pub fn view(&self, cfg: &Configuration) -> Configuration {
        let mut view = cfg.clone();
        if self.is_whole() {
            return view;
        }
        view.customers
            .retain(|_, customer| self.owns(customer.team.as_ref()));
        view.services
            .retain(|_, service| self.owns(service.team.as_ref()));
        let models: IndexSet<_> = view
            .customers
            .values()
            .flat_map(|customer| customer.models.iter().cloned())
            .collect();
        view.models.retain(|id, _| models.contains(id));
        view.groups.retain(|_, group| models.contains(&group.model));
        let services: IndexSet<_> = view.services.keys().cloned().collect();
        let groups: IndexSet<_> = view.groups.keys().cloned().collect();
        view.endpoints
            .retain(|_, endpoint| serves(endpoint, &groups, &services));
        let vms: IndexSet<_> = view
            .groups
            .values()
            .flat_map(|group| group.vms.iter().cloned())
            .chain(
                view.endpoints
                    .values()
                    .filter_map(|endpoint| endpoint.vm.clone()),
            )
            .collect();
        view.vms.retain(|id, _| vms.contains(id));
        view
    }

    /// Puts the operator's part of `proposed` into the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first thing of others that `proposed` changes.
    pub fn merge(
        &self,
        current: &Configuration,
        proposed: Configuration,
    ) -> Result<Configuration, ScopeError> {
        if self.is_whole() {
            return Ok(proposed);
        }
        let view = self.view(current);
        let mut others = proposed.clone();
        others.customers.clone_from(&view.customers);
        others.services.clone_from(&view.services);
        others
            .endpoints
            .retain(|_, endpoint| !self.is_own(&proposed, endpoint));
        let mut expected = view.clone();
        expected
            .endpoints
            .retain(|_, endpoint| !self.is_own(&view, endpoint));
        if let Some(change) = expected.diff(&others).into_iter().next() {
            return Err(ScopeError::Others(change.subject));
        }
        let mut merged = current.clone();
        merged
            .customers
            .retain(|_, customer| !self.owns(customer.team.as_ref()));
        merged
            .services
            .retain(|_, service| !self.owns(service.team.as_ref()));
        merged
            .endpoints
            .retain(|_, endpoint| !self.is_own(current, endpoint));
        for (id, endpoint) in &proposed.endpoints {
            if self.is_own(&proposed, endpoint) {
                add(&mut merged.endpoints, id, endpoint, "endpoint")?;
            }
        }
        for (id, customer) in &proposed.customers {
            self.check_customer(id.as_str(), customer)?;
            add(&mut merged.customers, id, customer, "customer")?;
        }
        for (id, service) in &proposed.services {
            if !self.owns(service.team.as_ref()) {
                return Err(ScopeError::Others(format!("service {id}")));
            }
            add(&mut merged.services, id, service, "service")?;
        }
        Ok(merged)
    }

    /// Checks whether the operator may drain a target.
    ///
    /// # Errors
    ///
    /// Returns an error for anything but an endpoint of the operator's own services.
    pub fn check_drain(&self, cfg: &Configuration, target: &DrainTarget) -> Result<(), ScopeError> {
        if self.is_whole() {
            return Ok(());
        }
        let DrainTarget::Endpoint(id) = target else {
            return Err(ScopeError::WholePlatform(format!("a drain of {target}")));
        };
        let own = cfg
            .endpoints
            .get(id)
            .is_some_and(|found| self.is_own(cfg, found));
        own.then_some(())
            .ok_or_else(|| ScopeError::Others(target.to_string()))
    }

    /// Returns whether the operator sees a line of the audit trail.
    #[must_use]
    pub fn sees(&self, entry: &AuditEntry) -> bool {
        self.is_whole() || entry.author == self.operator
    }

    fn owns(&self, team: Option<&TeamId>) -> bool {
        team.is_some_and(|team| self.teams.contains(team))
    }

    fn is_own(&self, cfg: &Configuration, endpoint: &Endpoint) -> bool {
        match &endpoint.kind {
            EndpointKind::Group(_) => false,
            EndpointKind::Service(service) => {
                let service = cfg.services.get(service);
                service.is_some_and(|service| self.owns(service.team.as_ref()))
            }
        }
    }

    fn check_customer(&self, id: &str, customer: &Customer) -> Result<(), ScopeError> {
        if self.owns(customer.team.as_ref()) {
            Ok(())
        } else {
            Err(ScopeError::Others(format!("customer {id}")))
        }
    }
}

fn serves(endpoint: &Endpoint, groups: &IndexSet<GroupId>, services: &IndexSet<ServiceId>) -> bool {
    match &endpoint.kind {
        EndpointKind::Group(group) => groups.contains(group),
        EndpointKind::Service(service) => services.contains(service),
    }
}

/// Adds something of the operator's, unless another team has the name.
fn add<K, V>(map: &mut IndexMap<K, V>, id: &K, value: &V, kind: &str) -> Result<(), ScopeError>
where
    K: Clone + Eq + std::hash::Hash + std::fmt::Display,
    V: Clone,
{
    if map.contains_key(id) {
        return Err(ScopeError::Others(format!("{kind} {id}")));
    }
    map.insert(id.clone(), value.clone());
    Ok(())
}
