//! The deployments that are measured.

use indexmap::{IndexMap, IndexSet};
use sesamecart_groups::{Fleet, GroupPlan, ModelPlan, VmLocation};
use sesamecart_vocabulary::{
    Bytes, FabricDomainId, FailureDomainId, GroupId, ModelId, VmId, Weight,
};

/// What one member VM loads from the weight store.
const BYTES_PER_VM: Bytes = Bytes(70_000_000_000);
/// The VMs of one replica.
pub(super) const VMS_PER_GROUP: usize = 4;
/// The accelerators of one VM.
pub(super) const ACCELERATORS_PER_VM: u64 = 2;

/// A deployment's size and the faults of its day.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) name: &'static str,
    /// Replicas and value of each model.
    models: &'static [ModelSize],
    failure_domains: usize,
    fabric_domains: usize,
    spares: usize,
    pub(super) vm_failures: usize,
    pub(super) pauses: usize,
    pub(super) restarts: usize,
}

#[derive(Clone, Copy, Debug)]
struct ModelSize {
    replicas: usize,
    value: u32,
}

const fn model(replicas: usize, value: u32) -> ModelSize {
    ModelSize { replicas, value }
}

const TARGET_MODELS: &[ModelSize] = &[
    model(200, 1),
    model(150, 1),
    model(100, 1),
    model(80, 1),
    model(50, 2),
    model(30, 2),
    model(20, 3),
    model(12, 4),
    model(8, 5),
    model(5, 6),
    model(3, 8),
    model(2, 10),
];

/// The target with large fabric domains and with rack-sized ones, and both of today's deployments.
pub(super) const SIZES: &[Size] = &[
    Size {
        name: "target_24_fabrics",
        models: TARGET_MODELS,
        failure_domains: 4,
        fabric_domains: 24,
        spares: 10,
        vm_failures: 13,
        pauses: 20,
        restarts: 200,
    },
    Size {
        name: "target_110_racks",
        models: TARGET_MODELS,
        failure_domains: 5,
        fabric_domains: 110,
        spares: 10,
        vm_failures: 13,
        pauses: 20,
        restarts: 200,
    },
    Size {
        name: "barka_today",
        models: &[model(30, 2), model(15, 1), model(5, 4)],
        failure_domains: 3,
        fabric_domains: 6,
        spares: 3,
        vm_failures: 2,
        pauses: 4,
        restarts: 16,
    },
    Size {
        name: "retratos_today",
        models: &[model(40, 2), model(8, 1), model(2, 4)],
        failure_domains: 3,
        fabric_domains: 3,
        spares: 3,
        vm_failures: 2,
        pauses: 4,
        restarts: 16,
    },
];

/// A deployment laid out over fabric domains.
#[derive(Clone, Debug)]
pub(super) struct Layout {
    pub(super) fleet: Fleet,
    /// The VMs of each fabric domain beyond those of its groups.
    pub(super) spares: IndexMap<FabricDomainId, usize>,
}

impl Size {
    /// Lays the groups out in turn over the fabric domains, and the spares likewise.
    pub(super) fn lay_out(&self) -> Layout {
        let mut layout = Layout {
            fleet: Fleet::default(),
            spares: IndexMap::new(),
        };
        let mut group = 0;
        for (index, size) in self.models.iter().enumerate() {
            let model: ModelId = id(&format!("model-{index}"));
            layout.fleet.models.insert(model.clone(), size.plan());
            for _ in 0..size.replicas {
                self.add_group(&mut layout, group, &model);
                group += 1;
            }
        }
        for spare in 0..self.spares {
            let fabric = self.fabric(spare * self.fabric_domains / self.spares.max(1));
            self.add_vm(&mut layout, &id(&format!("spare-{spare}")), fabric);
            *layout.spares.entry(fabric_id(fabric)).or_default() += 1;
        }
        layout
    }

    fn fabric(&self, number: usize) -> usize {
        number % self.fabric_domains
    }

    fn add_group(&self, layout: &mut Layout, number: usize, model: &ModelId) {
        let fabric = self.fabric(number);
        let group: GroupId = id(&format!("group-{number}"));
        let mut vms = IndexSet::new();
        for member in 0..VMS_PER_GROUP {
            let vm: VmId = id(&format!("vm-{number}-{member}"));
            self.add_vm(layout, &vm, fabric);
            vms.insert(vm);
        }
        let plan = GroupPlan {
            model: model.clone(),
            fabric_domain: fabric_id(fabric),
            vms,
            checks_epoch: !number.is_multiple_of(3),
        };
        layout.fleet.groups.insert(group, plan);
    }

    fn add_vm(&self, layout: &mut Layout, vm: &VmId, fabric: usize) {
        let domain: FailureDomainId = id(&format!("domain-{}", fabric % self.failure_domains));
        let place = VmLocation {
            failure_domain: domain,
            fabric_domain: fabric_id(fabric),
        };
        layout.fleet.vms.insert(vm.clone(), place);
    }
}

impl ModelSize {
    fn plan(self) -> ModelPlan {
        ModelPlan {
            version: "1".to_owned(),
            vms_per_group: VMS_PER_GROUP,
            bytes_per_vm: BYTES_PER_VM,
            value: Weight(self.value),
            adapters: IndexSet::new(),
        }
    }
}

fn fabric_id(fabric: usize) -> FabricDomainId {
    id(&format!("fabric-{fabric}"))
}

fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names made here are valid")
}
