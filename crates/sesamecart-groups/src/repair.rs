//! Plans how groups that have lost VMs become complete again.
//!
//! VMs fail individually, by rack and by whole domain, and the remaining VMs of an incomplete group can't
//! serve. Without repair, each lost VM would leave the rest of its replica idle until that VM returns.
//! docs/design/groups.md describes the alternatives.

use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_vocabulary::{GroupId, VmId};

use crate::settings::RepairSettings;

/// The state of one group of a fabric domain, as input to repair.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupHealth {
    /// The group.
    pub group: GroupId,
    /// The value that the group adds to its model's service: the model's value divided by the number of
    /// serving replicas, with this one included, on a fixed-point scale. It is high when few replicas of a
    /// valuable model remain.
    pub marginal_value: u64,
    /// The number of VMs of a complete replica.
    pub size: usize,
    /// Whether at most one other replica of its model is serving.
    pub scarce: bool,
    /// Whether it is serving.
    pub serving: bool,
    /// Whether a change to it is in progress or a member is in a drained failure domain.
    pub busy: bool,
    /// Members that can be used.
    pub usable: Vec<VmId>,
    /// Members that are lost, or that are leaving while the group isn't serving anyway.
    pub lost: Vec<VmId>,
    /// Members of a serving group that are about to leave.
    pub leaving: Vec<VmId>,
}

impl GroupHealth {
    fn missing(&self) -> usize {
        self.size.saturating_sub(self.usable.len())
    }

    fn is_broken(&self) -> bool {
        !self.serving && !self.busy && self.missing() > 0
    }
}

/// The state of one fabric domain, as input to repair.
///
/// A replica that spans two fabric domains is slow. Planning one fabric domain at a time rules this out.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RepairView {
    /// Its groups.
    pub groups: Vec<GroupHealth>,
    /// Its usable VMs that belong to no group.
    pub free: Vec<VmId>,
    /// How long the load of one VM takes at its full rate.
    pub load_time: Duration,
}

/// A change that makes one group complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Repair {
    /// The group that becomes complete.
    pub group: GroupId,
    /// The members that it releases.
    pub release: Vec<VmId>,
    /// The VMs that it acquires.
    pub acquire: Vec<AcquiredVm>,
}

/// A VM that a group acquires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcquiredVm {
    /// The VM.
    pub vm: VmId,
    /// The group that the VM is taken from, if it isn't free.
    pub from: Option<GroupId>,
    /// Whether that group is serving.
    pub from_serving: bool,
}

/// Plans repairs of one fabric domain. Each repair completes its group.
///
/// Groups are repaired by descending marginal value, and among equals by the fewest missing VMs, because
/// these need the fewest VMs. A group that can't be completed acquires nothing: a spare in a group that stays
/// incomplete would be idle.
#[must_use]
pub fn plan_repairs(view: &RepairView, settings: &RepairSettings) -> Vec<Repair> {
    let mut pool = VmPool::new(view, settings);
    let mut order: Vec<&GroupHealth> = view.groups.iter().filter(|g| g.is_broken()).collect();
    order.sort_by(|a, b| {
        (b.marginal_value.cmp(&a.marginal_value))
            .then(a.missing().cmp(&b.missing()))
            .then_with(|| a.group.cmp(&b.group))
    });
    let mut repairs = Vec::new();
    for (index, group) in order.iter().enumerate() {
        if pool.changed_groups.contains(&group.group) {
            continue;
        }
        let Some(acquire) = pool.complete(group, &order[index + 1..]) else {
            continue;
        };
        pool.changed_groups.insert(group.group.clone());
        repairs.push(Repair {
            group: group.group.clone(),
            release: group.lost.clone(),
            acquire,
        });
    }
    repairs
}

/// Plans replacements of VMs that are about to leave serving groups with free VMs.
///
/// The spare loads its weights while the group is still serving, so the group is unavailable only while its
/// engine starts, and not also for failure detection and the load.
#[must_use]
pub fn plan_replacements(view: &RepairView, settings: &RepairSettings) -> Vec<Repair> {
    if !settings.replace_leaving {
        return Vec::new();
    }
    let mut free = view.free.iter();
    let mut groups: Vec<&GroupHealth> = view
        .groups
        .iter()
        .filter(|g| g.serving && !g.busy && !g.leaving.is_empty())
        .collect();
    groups.sort_by(|a, b| {
        b.marginal_value
            .cmp(&a.marginal_value)
            .then_with(|| a.group.cmp(&b.group))
    });
    let mut plans = Vec::new();
    for group in groups {
        if free.len() < group.leaving.len() {
            continue;
        }
        let acquire = free
            .by_ref()
            .take(group.leaving.len())
            .map(acquire_free)
            .collect();
        plans.push(Repair {
            group: group.group.clone(),
            release: group.leaving.clone(),
            acquire,
        });
    }
    plans
}

fn acquire_free(vm: &VmId) -> AcquiredVm {
    AcquiredVm {
        vm: vm.clone(),
        from: None,
        from_serving: false,
    }
}

/// The VMs that are still available for repairs, and the groups changed by earlier repairs.
struct VmPool<'a> {
    view: &'a RepairView,
    settings: &'a RepairSettings,
    free: Vec<VmId>,
    changed_groups: IndexSet<GroupId>,
    taken: IndexSet<VmId>,
}

impl<'a> VmPool<'a> {
    fn new(view: &'a RepairView, settings: &'a RepairSettings) -> Self {
        Self {
            view,
            settings,
            free: view.free.clone(),
            changed_groups: IndexSet::new(),
            taken: IndexSet::new(),
        }
    }

    /// Acquires the VMs that complete `group`, or returns `None` if there aren't enough.
    fn complete(
        &mut self,
        group: &GroupHealth,
        lower_ranked: &[&GroupHealth],
    ) -> Option<Vec<AcquiredVm>> {
        let needed = group.missing();
        let mut acquire: Vec<AcquiredVm> = Vec::with_capacity(needed);
        if self.settings.use_spares {
            acquire.extend(self.free.iter().take(needed).map(acquire_free));
        }
        let free_count = acquire.len();
        if acquire.len() < needed && self.is_merge_faster() {
            self.acquire_from_broken(needed, lower_ranked, &mut acquire);
        }
        if acquire.len() < needed && group.scarce && self.settings.preempt_serving {
            self.acquire_from_serving(needed, group, &mut acquire);
        }
        if acquire.len() < needed {
            return None;
        }
        self.free.drain(..free_count);
        for acquired in &acquire {
            self.taken.insert(acquired.vm.clone());
            self.changed_groups.extend(acquired.from.clone());
        }
        Some(acquire)
    }

    /// Returns whether completing a group with another's VMs is faster than waiting for the lost VMs.
    fn is_merge_faster(&self) -> bool {
        let recovery = self.view.load_time + self.settings.expected_engine_start;
        self.settings.merge_incomplete && recovery < self.settings.expected_vm_absence
    }

    /// Acquires VMs of other incomplete groups, lowest priority first.
    fn acquire_from_broken(
        &self,
        needed: usize,
        lower_ranked: &[&GroupHealth],
        acquire: &mut Vec<AcquiredVm>,
    ) {
        for donor in lower_ranked.iter().rev() {
            self.acquire_from(donor, needed, acquire);
        }
    }

    /// Acquires the VMs of the serving group with the lowest marginal value, if that of `group` is much
    /// higher.
    ///
    /// This is done only for a model with at most one other serving replica. Each preemption causes downtime
    /// of a load and an engine start that callers wouldn't otherwise see. For models with more replicas this
    /// cost more service than it restored.
    fn acquire_from_serving(
        &self,
        needed: usize,
        group: &GroupHealth,
        acquire: &mut Vec<AcquiredVm>,
    ) {
        let factor = u64::from(self.settings.preemption_factor.max(2));
        let donor = self
            .view
            .groups
            .iter()
            .filter(|donor| donor.serving && !donor.busy && donor.leaving.is_empty())
            .filter(|donor| !self.changed_groups.contains(&donor.group))
            .filter(|donor| donor.marginal_value.saturating_mul(factor) <= group.marginal_value)
            .min_by(|a, b| {
                a.marginal_value
                    .cmp(&b.marginal_value)
                    .then_with(|| a.group.cmp(&b.group))
            });
        if let Some(donor) = donor {
            self.acquire_from(donor, needed, acquire);
        }
    }

    fn acquire_from(&self, donor: &GroupHealth, needed: usize, acquire: &mut Vec<AcquiredVm>) {
        let outstanding = needed.saturating_sub(acquire.len());
        let vms = donor.usable.iter().filter(|vm| !self.taken.contains(*vm));
        acquire.extend(vms.take(outstanding).map(|vm| AcquiredVm {
            vm: vm.clone(),
            from: Some(donor.group.clone()),
            from_serving: donor.serving,
        }));
    }
}

#[cfg(test)]
mod tests;
