//! Checks of a whole configuration.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sesamecart_vocabulary::{CustomerId, EndpointId, GroupId, KeyHash, VmId};

use crate::configuration::{Configuration, Customer, Endpoint, EndpointKind, Group};
use crate::problem::{Fault, Problem, Subject};

impl Configuration {
    /// Returns every problem of the configuration; it may be published if there is none.
    #[must_use]
    pub fn check(&self) -> Vec<Problem> {
        let mut check = Check {
            cfg: self,
            problems: Vec::new(),
        };
        check.sheet();
        check.vms();
        check.models();
        check.groups();
        check.endpoints();
        check.customers();
        check.problems
    }

    /// Returns the endpoints of a customer that serve `kind`.
    ///
    /// A customer without a list of its own may use every endpoint.
    pub(crate) fn serves(&self, customer: &Customer, matches: impl Fn(&Endpoint) -> bool) -> bool {
        self.endpoints.iter().any(|(id, endpoint)| {
            let listed = customer.endpoints.is_empty() || customer.endpoints.contains(id);
            listed && matches(endpoint)
        })
    }

    pub(crate) fn endpoint_model(&self, endpoint: &Endpoint) -> Option<&str> {
        match &endpoint.kind {
            EndpointKind::Group(group) => self.groups.get(group).map(|found| found.model.as_str()),
            EndpointKind::Service(_) => None,
        }
    }
}

struct Check<'a> {
    cfg: &'a Configuration,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn add(&mut self, subject: Subject, field: &'static str, value: impl ToString, fault: Fault) {
        let problem = Problem::new(subject.field(field), value, fault);
        self.problems.push(problem);
    }

    fn sheet(&mut self) {
        if !is_date(&self.cfg.date) {
            self.add(Subject::Configuration, "date", &self.cfg.date, Fault::Date);
        }
        if self.cfg.sheet == 0 {
            self.add(Subject::Configuration, "sheet", 0, Fault::Zero);
        }
    }

    fn vms(&mut self) {
        for (id, vm) in &self.cfg.vms {
            if !self.cfg.failure_domains.contains_key(&vm.failure_domain) {
                let subject = Subject::Vm(id.clone());
                let fault = Fault::UnknownFailureDomain;
                self.add(subject, "failure_domain", &vm.failure_domain, fault);
            }
        }
    }

    fn models(&mut self) {
        for (id, model) in &self.cfg.models {
            if model.vms_per_group == 0 {
                let subject = Subject::Model(id.clone());
                self.add(subject, "vms_per_group", 0, Fault::Zero);
            }
        }
    }

    fn groups(&mut self) {
        let mut seen: IndexMap<&VmId, &GroupId> = IndexMap::new();
        for (id, group) in &self.cfg.groups {
            for vm in &group.vms {
                if let Some(other) = seen.get(vm).copied() {
                    let fault = Fault::VmInTwoGroups(other.clone());
                    self.add(Subject::Group(id.clone()), "vms", vm, fault);
                    continue;
                }
                seen.insert(vm, id);
            }
            self.group(id, group);
        }
    }

    fn group(&mut self, id: &GroupId, group: &Group) {
        let subject = || Subject::Group(id.clone());
        match self.cfg.models.get(&group.model) {
            None => self.add(subject(), "model", &group.model, Fault::UnknownModel),
            Some(model) if usize::try_from(model.vms_per_group) != Ok(group.vms.len()) => {
                let fault = Fault::WrongVmCount {
                    model: group.model.clone(),
                    needed: model.vms_per_group,
                    found: group.vms.len(),
                };
                self.add(subject(), "vms", join(&group.vms), fault);
            }
            Some(_) => {}
        }
        for vm in &group.vms {
            if !self.cfg.vms.contains_key(vm) {
                self.add(subject(), "vms", vm, Fault::UnknownVm);
            }
        }
        self.fabric(id, group);
        let front = EndpointKind::Group(id.clone());
        let endpoints = self.cfg.endpoints.values();
        let count = endpoints.filter(|endpoint| endpoint.kind == front).count();
        if count != 1 {
            self.add(subject(), "endpoint", id, Fault::GroupEndpoints(count));
        }
    }

    fn fabric(&mut self, id: &GroupId, group: &Group) {
        let known = group
            .vms
            .iter()
            .filter_map(|vm| Some((vm, self.cfg.vms.get(vm)?)));
        let mut known = known.map(|(vm, found)| (vm, &found.fabric_domain));
        let Some((_, first)) = known.next() else {
            return;
        };
        let Some((vm, found)) = known.find(|(_, found)| *found != first) else {
            return;
        };
        let fault = Fault::SpansFabricDomains {
            vm: vm.clone(),
            found: found.clone(),
            first: first.clone(),
        };
        self.add(Subject::Group(id.clone()), "vms", vm, fault);
    }

    fn endpoints(&mut self) {
        let mut addresses: IndexMap<SocketAddr, &EndpointId> = IndexMap::new();
        for (id, endpoint) in &self.cfg.endpoints {
            let subject = || Subject::Endpoint(id.clone());
            if let Some(other) = addresses.insert(endpoint.address, id) {
                let fault = Fault::RepeatedAddress(other.clone());
                self.add(subject(), "address", endpoint.address, fault);
            }
            if !self
                .cfg
                .failure_domains
                .contains_key(&endpoint.failure_domain)
            {
                let fault = Fault::UnknownFailureDomain;
                self.add(subject(), "failure_domain", &endpoint.failure_domain, fault);
            }
            self.limits(id, endpoint);
            match &endpoint.kind {
                EndpointKind::Group(group) => self.group_endpoint(id, endpoint, group),
                EndpointKind::Service(service) => {
                    if !self.cfg.services.contains_key(service) {
                        self.add(subject(), "service", service, Fault::UnknownService);
                    }
                    self.service_vm(id, endpoint);
                }
            }
        }
    }

    fn limits(&mut self, id: &EndpointId, endpoint: &Endpoint) {
        let limits = endpoint.limits;
        let subject = || Subject::Endpoint(id.clone());
        if limits.cold.0 == 0 {
            self.add(subject(), "cold", 0, Fault::Zero);
        }
        if limits.warm.0 == 0 {
            self.add(subject(), "warm", 0, Fault::Zero);
        } else if limits.cold > limits.warm {
            let fault = Fault::ColdAboveWarm(limits.warm.0);
            self.add(subject(), "cold", limits.cold, fault);
        }
    }

    fn group_endpoint(&mut self, id: &EndpointId, endpoint: &Endpoint, group: &GroupId) {
        let Some(found) = self.cfg.groups.get(group) else {
            let subject = Subject::Endpoint(id.clone());
            self.add(subject, "group", group, Fault::UnknownGroup);
            return;
        };
        if let Some(vm) = found
            .vms
            .iter()
            .find(|vm| self.lies_elsewhere(vm, endpoint))
        {
            self.other_domain(id, endpoint, vm);
        }
    }

    fn service_vm(&mut self, id: &EndpointId, endpoint: &Endpoint) {
        let Some(vm) = &endpoint.vm else {
            return;
        };
        let subject = || Subject::Endpoint(id.clone());
        if !self.cfg.vms.contains_key(vm) {
            self.add(subject(), "vms", vm, Fault::UnknownVm);
        }
        let mut groups = self.cfg.groups.iter();
        if let Some((group, _)) = groups.find(|(_, group)| group.vms.contains(vm)) {
            self.add(subject(), "vms", vm, Fault::VmInGroup(group.clone()));
        }
        if self.lies_elsewhere(vm, endpoint) {
            self.other_domain(id, endpoint, vm);
        }
    }

    fn lies_elsewhere(&self, vm: &VmId, endpoint: &Endpoint) -> bool {
        let found = self.cfg.vms.get(vm);
        found.is_some_and(|found| found.failure_domain != endpoint.failure_domain)
    }

    fn other_domain(&mut self, id: &EndpointId, endpoint: &Endpoint, vm: &VmId) {
        let fault = Fault::OtherFailureDomain {
            vm: vm.clone(),
            found: self.cfg.vms[vm].failure_domain.clone(),
        };
        let subject = Subject::Endpoint(id.clone());
        self.add(subject, "failure_domain", &endpoint.failure_domain, fault);
    }

    fn customers(&mut self) {
        let mut keys: IndexMap<KeyHash, &CustomerId> = IndexMap::new();
        for (id, customer) in &self.cfg.customers {
            for key in &customer.keys {
                if let Some(other) = keys.insert(*key, id) {
                    let fault = Fault::RepeatedKey(other.clone());
                    self.add(Subject::Customer(id.clone()), "keys", key, fault);
                }
            }
            if customer.weight.0 == 0 {
                self.add(Subject::Customer(id.clone()), "weight", 0, Fault::Zero);
            }
            self.rights(id, customer);
        }
    }

    fn rights(&mut self, id: &CustomerId, customer: &Customer) {
        let subject = || Subject::Customer(id.clone());
        for endpoint in &customer.endpoints {
            if !self.cfg.endpoints.contains_key(endpoint) {
                self.add(subject(), "endpoints", endpoint, Fault::UnknownEndpoint);
            }
        }
        for model in &customer.models {
            let cfg = self.cfg;
            let is_model =
                |endpoint: &Endpoint| cfg.endpoint_model(endpoint) == Some(model.as_str());
            if !cfg.models.contains_key(model) {
                self.add(subject(), "models", model, Fault::UnknownModel);
            } else if !cfg.serves(customer, is_model) {
                self.add(subject(), "models", model, Fault::CustomerWithoutEndpoint);
            }
        }
        for service in &customer.services {
            let kind = EndpointKind::Service(service.clone());
            if !self.cfg.services.contains_key(service) {
                self.add(subject(), "services", service, Fault::UnknownService);
            } else if !self.cfg.serves(customer, |endpoint| endpoint.kind == kind) {
                self.add(
                    subject(),
                    "services",
                    service,
                    Fault::CustomerWithoutEndpoint,
                );
            }
        }
    }
}

fn join<'a>(names: impl IntoIterator<Item = &'a VmId>) -> String {
    let names: Vec<_> = names.into_iter().map(VmId::as_str).collect();
    names.join(" ")
}

/// Returns whether a text is a date as `YYYY-MM-DD`.
///
/// Spreadsheets like to rewrite dates in the local order. Comparing such texts would take an old
/// sheet for a new one, so any other form is refused.
pub(crate) fn is_date(text: &str) -> bool {
    let parts: Vec<_> = text.split('-').collect();
    let [year, month, day] = parts[..] else {
        return false;
    };
    let number = |part: &str, digits: usize| {
        let plain = part.len() == digits && part.bytes().all(|byte| byte.is_ascii_digit());
        plain.then(|| part.parse::<u32>().ok()).flatten()
    };
    let (Some(year), Some(month), Some(day)) = (number(year, 4), number(month, 2), number(day, 2))
    else {
        return false;
    };
    (1..=days_in_month(year, month)).contains(&day)
}

const fn days_in_month(year: u32, month: u32) -> u32 {
    match month {
        1 | 3 | 5 | 7 | 8 | 10 | 12 => 31,
        4 | 6 | 9 | 11 => 30,
        2 if year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400)) => {
            29
        }
        2 => 28,
        _ => 0,
    }
}
