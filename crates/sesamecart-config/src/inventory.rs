//! What there is to run things on and who may use it, beside the day's sheet.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{CustomerId, FailureDomainId, ModelId, ServiceId, VmId};

use crate::configuration::{Configuration, Customer, FailureDomain, Model, Service, Vm};

/// The parts of a configuration that don't change with each day's sheet.
///
/// It is read from a file, or taken from the configuration in force, so that a key that was revoked
/// yesterday doesn't come back with this morning's sheet. See docs/sheet.md.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// The failure domains.
    pub failure_domains: IndexMap<FailureDomainId, FailureDomain>,
    /// The VMs that may hold members of groups or plain services.
    pub vms: IndexMap<VmId, Vm>,
    /// The models.
    pub models: IndexMap<ModelId, Model>,
    /// The plain services.
    pub services: IndexMap<ServiceId, Service>,
    /// The tenants; the sheet says which endpoints serve them.
    pub customers: IndexMap<CustomerId, Customer>,
}

impl From<&Configuration> for Inventory {
    fn from(cfg: &Configuration) -> Self {
        Self {
            failure_domains: cfg.failure_domains.clone(),
            vms: cfg.vms.clone(),
            models: cfg.models.clone(),
            services: cfg.services.clone(),
            customers: cfg.customers.clone(),
        }
    }
}

impl Inventory {
    /// Starts a configuration that has everything but the sheet's content.
    pub(crate) fn configuration(&self) -> Configuration {
        Configuration {
            failure_domains: self.failure_domains.clone(),
            vms: self.vms.clone(),
            models: self.models.clone(),
            services: self.services.clone(),
            customers: self.customers.clone(),
            ..Configuration::default()
        }
    }
}
