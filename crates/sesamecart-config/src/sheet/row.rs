//! One row of the sheet: a serving group, or a process of a plain service.

use std::net::SocketAddr;

use derive_more::FromStr;
use indexmap::IndexSet;
use sesamecart_vocabulary::{
    Concurrency, CustomerId, EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId,
    ServiceId, Tokens, VmId,
};

use super::cells::Cells;
use super::column::Column;
use crate::configuration::{Endpoint, EndpointKind, Group, Limits};
use crate::inventory::Inventory;
use crate::problem::Fault;

/// What a row describes.
#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "lowercase")]
enum RowKind {
    Group,
    Service,
}

/// A row that could be read.
#[derive(Debug)]
pub(super) struct Row {
    pub(super) name: EndpointId,
    pub(super) endpoint: Endpoint,
    pub(super) group: Option<RowGroup>,
    /// The customers that the endpoint serves; empty for all.
    pub(super) customers: IndexSet<CustomerId>,
}

/// The serving group behind a row's endpoint.
#[derive(Debug)]
pub(super) struct RowGroup {
    pub(super) id: GroupId,
    pub(super) group: Group,
}

/// The cells that both kinds of rows have.
struct Common {
    name: EndpointId,
    address: SocketAddr,
    failure_domain: FailureDomainId,
    limits: Limits,
}

impl Row {
    /// Reads a row; all of its cells are looked at, also when one can't be read.
    pub(super) fn read(cells: &mut Cells<'_>, inventory: &Inventory) -> Option<Self> {
        let kind = cells.required(Column::Kind);
        let common = Common::read(cells);
        let vms: IndexSet<VmId> = cells.names(Column::Vms);
        let customers = cells.names(Column::Customers);
        let checks_epoch = cells.yes(Column::ChecksEpoch);
        check_fabric(cells, &vms, inventory);
        let served = match kind? {
            RowKind::Group => Served::group(cells, vms),
            RowKind::Service => Served::service(cells, &vms),
        };
        let (common, served) = (common?, served?);
        let endpoint = Endpoint {
            address: common.address,
            failure_domain: common.failure_domain,
            kind: served.kind,
            vm: served.vm,
            limits: common.limits,
            checks_epoch,
        };
        Some(Self {
            name: common.name,
            endpoint,
            group: served.group,
            customers,
        })
    }
}

impl Common {
    fn read(cells: &mut Cells<'_>) -> Option<Self> {
        let name = cells.required(Column::Name);
        let address = cells.required(Column::Address);
        let failure_domain = cells.required(Column::FailureDomain);
        let cold: Option<Concurrency> = cells.required(Column::Cold);
        let warm: Option<Concurrency> = cells.required(Column::Warm);
        let kv_tokens: Option<Tokens> = cells.optional(Column::KvTokens);
        Some(Self {
            name: name?,
            address: address?,
            failure_domain: failure_domain?,
            limits: Limits {
                cold: cold?,
                warm: warm?,
                kv_tokens: kv_tokens?,
            },
        })
    }
}

/// What a row's endpoint serves.
struct Served {
    kind: EndpointKind,
    vm: Option<VmId>,
    group: Option<RowGroup>,
}

impl Served {
    fn group(cells: &mut Cells<'_>, vms: IndexSet<VmId>) -> Option<Self> {
        let model: Option<ModelId> = cells.required(Column::Serves);
        let id: GroupId = cells.row.text(Column::Name).parse().ok()?;
        Some(Self {
            kind: EndpointKind::Group(id.clone()),
            vm: None,
            group: Some(RowGroup {
                id,
                group: Group { model: model?, vms },
            }),
        })
    }

    fn service(cells: &mut Cells<'_>, vms: &IndexSet<VmId>) -> Option<Self> {
        let service: Option<ServiceId> = cells.required(Column::Serves);
        if vms.len() != 1 {
            let text = cells.row.text(Column::Vms).to_owned();
            cells.add(Column::Vms, text, Fault::ServiceVms(vms.len()));
        }
        Some(Self {
            kind: EndpointKind::Service(service?),
            vm: vms.first().cloned(),
            group: None,
        })
    }
}

/// Checks the fabric domain's cell, if it is filled, against where the VMs lie.
fn check_fabric(cells: &mut Cells<'_>, vms: &IndexSet<VmId>, inventory: &Inventory) {
    if cells.row.text(Column::FabricDomain).is_empty() {
        return;
    }
    let Some(domain) = cells.required::<FabricDomainId>(Column::FabricDomain) else {
        return;
    };
    if !inventory.vms.values().any(|vm| vm.fabric_domain == domain) {
        cells.add(Column::FabricDomain, domain, Fault::UnknownFabricDomain);
        return;
    }
    let elsewhere = vms.iter().find_map(|vm| {
        let found = &inventory.vms.get(vm)?.fabric_domain;
        (*found != domain).then(|| (vm.clone(), found.clone()))
    });
    if let Some((vm, found)) = elsewhere {
        let fault = Fault::OtherFabricDomain { vm, found };
        cells.add(Column::FabricDomain, domain, fault);
    }
}
