//! Access of an operator to the parts of the configuration that belong to its teams.

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use sesamecart_config::{Configuration, Customer, Endpoint, EndpointKind, Operator};
use sesamecart_fold::{AuditEntry, DrainTarget};
use sesamecart_vocabulary::{GroupId, ServiceId, TeamId};

/// The part of the platform that an operator is allowed to read and change.
///
/// Many teams share the platform. A team's operator sees its own customers and services, and of the
/// rest only what serves them. Without this restriction, one team's mistake could take away another
/// team's capacity.
#[derive(Clone, Debug)]
pub struct Scope {
    operator: String,
    /// The operator's teams; empty if the operator administers the whole platform.
    teams: IndexSet<TeamId>,
}

/// The reason why a change is outside an operator's scope.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ScopeError {
    /// The change affects the named object, which does not belong to the operator's teams.
    #[display("this changes {_0}, which is not of your teams")]
    Others(String),
    /// The change requires an operator of the whole platform.
    #[display("{_0} needs an operator of the whole platform")]
    WholePlatform(String),
}

impl Scope {
    /// Returns the scope of an operator.
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

    /// Returns the part of a configuration that is visible to the operator.
    #[must_use]
    pub fn view(&self, cfg: &Configuration) -> Configuration {
        let mut view = cfg.clone();
        if self.is_whole() {
            return view;
        }
        view.customers
            .retain(|_, customer| self.is_own_team(customer.team.as_ref()));
        view.services
            .retain(|_, service| self.is_own_team(service.team.as_ref()));
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

    /// Replaces the operator's part of `current`, the configuration in force, by that of `proposed`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first object outside the operator's scope that `proposed`
    /// changes.
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
            .retain(|_, endpoint| !self.is_own_endpoint(&proposed, endpoint));
        let mut expected = view.clone();
        expected
            .endpoints
            .retain(|_, endpoint| !self.is_own_endpoint(&view, endpoint));
        if let Some(change) = expected.diff(&others).into_iter().next() {
            return Err(ScopeError::Others(change.subject));
        }
        let mut merged = current.clone();
        merged
            .customers
            .retain(|_, customer| !self.is_own_team(customer.team.as_ref()));
        merged
            .services
            .retain(|_, service| !self.is_own_team(service.team.as_ref()));
        merged
            .endpoints
            .retain(|_, endpoint| !self.is_own_endpoint(current, endpoint));
        for (id, endpoint) in &proposed.endpoints {
            if self.is_own_endpoint(&proposed, endpoint) {
                insert_own(&mut merged.endpoints, id, endpoint, "endpoint")?;
            }
        }
        for (id, customer) in &proposed.customers {
            self.check_customer(id.as_str(), customer)?;
            insert_own(&mut merged.customers, id, customer, "customer")?;
        }
        for (id, service) in &proposed.services {
            if !self.is_own_team(service.team.as_ref()) {
                return Err(ScopeError::Others(format!("service {id}")));
            }
            insert_own(&mut merged.services, id, service, "service")?;
        }
        Ok(merged)
    }

    /// Checks that the operator is allowed to drain a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator is limited to teams and the target is not an endpoint of one
    /// of their services.
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
            .is_some_and(|found| self.is_own_endpoint(cfg, found));
        own.then_some(())
            .ok_or_else(|| ScopeError::Others(target.to_string()))
    }

    /// Returns whether an entry of the audit trail is visible to the operator.
    #[must_use]
    pub fn sees(&self, entry: &AuditEntry) -> bool {
        self.is_whole() || entry.author == self.operator
    }

    fn is_own_team(&self, team: Option<&TeamId>) -> bool {
        team.is_some_and(|team| self.teams.contains(team))
    }

    fn is_own_endpoint(&self, cfg: &Configuration, endpoint: &Endpoint) -> bool {
        match &endpoint.kind {
            EndpointKind::Group(_) => false,
            EndpointKind::Service(service) => {
                let service = cfg.services.get(service);
                service.is_some_and(|service| self.is_own_team(service.team.as_ref()))
            }
        }
    }

    fn check_customer(&self, id: &str, customer: &Customer) -> Result<(), ScopeError> {
        if self.is_own_team(customer.team.as_ref()) {
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

/// Inserts an object of the operator's teams. Fails if another team already uses its name.
fn insert_own<K, V>(
    map: &mut IndexMap<K, V>,
    id: &K,
    value: &V,
    kind: &str,
) -> Result<(), ScopeError>
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
