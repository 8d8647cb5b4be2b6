//! What would change from one configuration to another, in words.

use std::fmt::Display;
use std::hash::Hash;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::configuration::{
    Configuration, Customer, Endpoint, EndpointKind, FailureDomain, Group, Limits, Model, Service,
    Vm,
};

/// One thing that changes.
#[derive(Clone, Debug, derive_more::Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{subject}: {words}")]
pub struct Change {
    /// What changes, such as `group pound-1`.
    pub subject: String,
    /// How it changes.
    pub words: String,
}

impl Configuration {
    /// Returns what changes from `self` to `next`; nothing if they are equal.
    #[must_use]
    pub fn diff(&self, next: &Self) -> Vec<Change> {
        let mut diff = Diff(Vec::new());
        if (&self.date, self.sheet) != (&next.date, next.sheet) {
            let words = format!(
                "sheet {} of {} -> sheet {} of {}",
                self.sheet, self.date, next.sheet, next.date
            );
            diff.push("configuration", words);
        }
        diff.maps(
            "failure domain",
            &self.failure_domains,
            &next.failure_domains,
        );
        diff.maps("VM", &self.vms, &next.vms);
        diff.maps("model", &self.models, &next.models);
        diff.maps("group", &self.groups, &next.groups);
        diff.maps("service", &self.services, &next.services);
        diff.maps("endpoint", &self.endpoints, &next.endpoints);
        diff.maps("customer", &self.customers, &next.customers);
        diff.0
    }
}

/// A part of the configuration that can be told in words.
trait Describe: Eq {
    /// Returns the fields, each with its value in words.
    fn fields(&self) -> IndexMap<&'static str, String>;
}

struct Diff(Vec<Change>);

impl Diff {
    fn push(&mut self, subject: impl Into<String>, words: impl Into<String>) {
        self.0.push(Change {
            subject: subject.into(),
            words: words.into(),
        });
    }

    fn maps<K: Display + Eq + Hash, V: Describe>(
        &mut self,
        kind: &str,
        old: &IndexMap<K, V>,
        new: &IndexMap<K, V>,
    ) {
        for (id, value) in old {
            match new.get(id) {
                None => self.push(format!("{kind} {id}"), "removed"),
                Some(next) if next != value => self.fields(&format!("{kind} {id}"), value, next),
                Some(_) => {}
            }
        }
        for (id, value) in new.iter().filter(|(id, _)| !old.contains_key(*id)) {
            let fields = value.fields();
            let fields = fields.iter().filter(|(_, value)| !value.is_empty());
            let fields: Vec<_> = fields
                .map(|(name, value)| format!("{name} {value}"))
                .collect();
            self.push(
                format!("{kind} {id}"),
                format!("added, {}", fields.join(", ")),
            );
        }
    }

    fn fields(&mut self, subject: &str, old: &impl Describe, new: &impl Describe) {
        let before = old.fields();
        for (name, value) in new.fields() {
            let old = before.get(name).map_or("", String::as_str);
            if old != value {
                let words = format!("{name} {} -> {}", or_none(old), or_none(&value));
                self.push(subject, words);
            }
        }
    }
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}

fn list<T: Display>(values: &IndexSet<T>) -> String {
    let mut values: Vec<_> = values.iter().map(T::to_string).collect();
    values.sort();
    values.join(" ")
}

fn option(value: Option<&impl Display>) -> String {
    value.map(ToString::to_string).unwrap_or_default()
}

impl Describe for FailureDomain {
    fn fields(&self) -> IndexMap<&'static str, String> {
        IndexMap::from([("region", self.region.to_string())])
    }
}

impl Describe for Vm {
    fn fields(&self) -> IndexMap<&'static str, String> {
        IndexMap::from([
            ("failure domain", self.failure_domain.to_string()),
            ("fabric domain", self.fabric_domain.to_string()),
        ])
    }
}

impl Describe for Model {
    fn fields(&self) -> IndexMap<&'static str, String> {
        IndexMap::from([
            ("version", self.version.clone()),
            ("VMs per group", self.vms_per_group.to_string()),
            ("adapters", list(&self.adapters)),
        ])
    }
}

impl Describe for Group {
    fn fields(&self) -> IndexMap<&'static str, String> {
        IndexMap::from([("model", self.model.to_string()), ("VMs", list(&self.vms))])
    }
}

impl Describe for Service {
    fn fields(&self) -> IndexMap<&'static str, String> {
        IndexMap::from([
            ("class", self.class.to_string()),
            ("idempotent methods", list(&self.idempotent_methods)),
            ("team", option(self.team.as_ref())),
        ])
    }
}

impl Describe for Endpoint {
    fn fields(&self) -> IndexMap<&'static str, String> {
        let serves = match &self.kind {
            EndpointKind::Group(group) => format!("group {group}"),
            EndpointKind::Service(service) => format!("service {service}"),
        };
        let Limits {
            cold,
            warm,
            kv_tokens,
        } = self.limits;
        let checks_epoch = if self.checks_epoch { "yes" } else { "no" };
        IndexMap::from([
            ("address", self.address.to_string()),
            ("failure domain", self.failure_domain.to_string()),
            ("serves", serves),
            ("VM", option(self.vm.as_ref())),
            ("cold limit", cold.to_string()),
            ("warm limit", warm.to_string()),
            ("KV tokens", kv_tokens.to_string()),
            ("checks epoch", checks_epoch.to_owned()),
        ])
    }
}

impl Describe for Customer {
    fn fields(&self) -> IndexMap<&'static str, String> {
        IndexMap::from([
            ("weight", self.weight.to_string()),
            ("keys", list(&self.keys)),
            ("models", list(&self.models)),
            ("services", list(&self.services)),
            ("endpoints", list(&self.endpoints)),
            ("team", option(self.team.as_ref())),
        ])
    }
}
