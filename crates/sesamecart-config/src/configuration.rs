//! What should run where and who may use it: the content that operators publish for a day.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{
    AdapterId, Concurrency, CustomerId, EndpointId, FabricDomainId, FailureDomainId, GroupId,
    KeyHash, ModelId, RegionId, RequestClass, ServiceId, TeamId, Tokens, VmId, Weight,
};

/// The whole configuration of one day.
///
/// A configuration is replaced as a whole, so that no node ever runs on a mix of two.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The date of the planners' sheet, as `YYYY-MM-DD`.
    pub date: String,
    /// The number of the sheet within its date; a later sheet has a higher one.
    pub sheet: u32,
    /// The failure domains.
    pub failure_domains: IndexMap<FailureDomainId, FailureDomain>,
    /// The VMs that may hold members of groups or plain services.
    pub vms: IndexMap<VmId, Vm>,
    /// The models.
    pub models: IndexMap<ModelId, Model>,
    /// The serving groups that should run.
    pub groups: IndexMap<GroupId, Group>,
    /// The plain services.
    pub services: IndexMap<ServiceId, Service>,
    /// The back ends: one for each serving group and one for each process of a plain service.
    pub endpoints: IndexMap<EndpointId, Endpoint>,
    /// The tenants.
    pub customers: IndexMap<CustomerId, Customer>,
}

/// A zone whose VMs can be lost together.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The region that it lies in.
    pub region: RegionId,
}

/// A VM of the platform.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The failure domain that it lies in.
    pub failure_domain: FailureDomainId,
    /// The fabric domain that it lies in.
    pub fabric_domain: FabricDomainId,
}

/// A model that serving groups hold.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version of the weights.
    pub version: String,
    /// The number of VMs that one replica needs.
    pub vms_per_group: u32,
    /// The adapters to load beside it.
    #[serde(default)]
    pub adapters: IndexSet<AdapterId>,
}

/// A serving group: the VMs that together hold one replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The model that it serves.
    pub model: ModelId,
    /// Its VMs; no VM is in two groups.
    pub vms: IndexSet<VmId>,
}

/// A plain service beside the models.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The class of its requests that change something.
    pub class: RequestClass,
    /// The methods whose requests may be sent again; all others are sent at most once.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: IndexSet<String>,
    /// Whether its endpoints can be asked what became of a keyed action; see
    /// docs/design/platform.md.
    #[serde(default)]
    pub settles_actions: bool,
    /// The team that administers it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
}

fn default_idempotent_methods() -> IndexSet<String> {
    ["GET", "HEAD", "OPTIONS"].map(str::to_owned).into()
}

/// A back end.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// The failure domain that it lies in.
    pub failure_domain: FailureDomainId,
    /// What it serves.
    pub kind: EndpointKind,
    /// The VM that a plain service's process runs on, so that draining the VM drains it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<VmId>,
    /// What it can bear.
    pub limits: Limits,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_epoch: bool,
}

/// What a back end serves.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// The front of a serving group.
    Group(GroupId),
    /// A process of a plain service.
    Service(ServiceId),
}

/// What a back end can bear.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests at once right after a start.
    pub cold: Concurrency,
    /// Requests at once when warm.
    pub warm: Concurrency,
    /// Tokens that its KV memory holds.
    #[serde(default)]
    pub kv_tokens: Tokens,
}

/// A tenant.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Its weight in fair sharing.
    pub weight: Weight,
    /// The hashes of its callers' keys.
    #[serde(default)]
    pub keys: IndexSet<KeyHash>,
    /// The models that it may use.
    #[serde(default)]
    pub models: IndexSet<ModelId>,
    /// The plain services that it may use.
    #[serde(default)]
    pub services: IndexSet<ServiceId>,
    /// The endpoints that serve it; empty means every endpoint of its models and services.
    #[serde(default)]
    pub endpoints: IndexSet<EndpointId>,
    /// The team that administers it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
}
