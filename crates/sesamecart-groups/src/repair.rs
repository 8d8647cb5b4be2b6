//! Chooses how groups that have lost VMs get complete again.
//!
//! The load it answers: VMs die one by one, in racks and in whole domains, and the VMs that are left
//! over in incomplete groups serve nobody. Without it each lost VM strands the rest of its replica
//! until the same VM is back. docs/design/groups.md has what was weighed.

use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_vocabulary::{GroupId, VmId};

use crate::settings::RepairSettings;

/// One group of a fabric domain, as repair sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupHealth {
    /// The group.
    pub group: GroupId,
    /// What its service is worth now: high where few replicas of a valued model are left.
    pub worth: u64,
    /// The number of VMs of a whole replica.
    pub size: usize,
    /// Whether at most one other replica of its model serves.
    pub scarce: bool,
    /// Whether it serves.
    pub serving: bool,
    /// Whether a change of it is already under way.
    pub busy: bool,
    /// Members that can be used.
    pub usable: Vec<VmId>,
    /// Members that are lost, or that are leaving while the group is out anyway.
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

/// One fabric domain, as repair sees it.
///
/// A plan never spans two of them, since a replica is slow across; seeing one at a time makes that
/// impossible to get wrong.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RepairView {
    /// Its groups.
    pub groups: Vec<GroupHealth>,
    /// Its usable VMs that belong to no group.
    pub free: Vec<VmId>,
    /// How long one VM's load takes at its full rate.
    pub load_time: Duration,
}

/// A change that makes one group complete again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Repair {
    /// The group that gets complete.
    pub group: GroupId,
    /// The members that it gives up.
    pub release: Vec<VmId>,
    /// The VMs that it gets.
    pub adopt: Vec<Adoption>,
}

/// A VM that a group gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Adoption {
    /// The VM.
    pub vm: VmId,
    /// The group that it is taken from, if it isn't free.
    pub from: Option<GroupId>,
    /// Whether that group was serving until now.
    pub from_serving: bool,
}

/// Plans repairs of one fabric domain; each one completes its group.
///
/// Groups of the highest worth come first and among equals those that miss the fewest VMs, because
/// they get complete with the least. A group that can't be completed gets nothing: a spare held by
/// a group that stays incomplete would serve nobody.
#[must_use]
pub fn plan_repairs(view: &RepairView, settings: &RepairSettings) -> Vec<Repair> {
    let mut pool = Pool::new(view, settings);
    let mut order: Vec<&GroupHealth> = view.groups.iter().filter(|g| g.is_broken()).collect();
    order.sort_by(|a, b| {
        (b.worth.cmp(&a.worth))
            .then(a.missing().cmp(&b.missing()))
            .then_with(|| a.group.cmp(&b.group))
    });
    let mut repairs = Vec::new();
    for (index, group) in order.iter().enumerate() {
        if pool.touched.contains(&group.group) {
            continue;
        }
        let Some(adopt) = pool.complete(group, &order[index + 1..]) else {
            continue;
        };
        pool.touched.insert(group.group.clone());
        repairs.push(Repair {
            group: group.group.clone(),
            release: group.lost.clone(),
            adopt,
        });
    }
    repairs
}

/// Plans replacements of VMs that are about to leave serving groups, by free VMs.
///
/// The spare loads its weights while the group still serves, so that callers miss the group for one
/// start of the engine in place of notice, load and start.
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
    groups.sort_by(|a, b| b.worth.cmp(&a.worth).then_with(|| a.group.cmp(&b.group)));
    let mut plans = Vec::new();
    for group in groups {
        if free.len() < group.leaving.len() {
            continue;
        }
        let adopt = free
            .by_ref()
            .take(group.leaving.len())
            .map(free_vm)
            .collect();
        plans.push(Repair {
            group: group.group.clone(),
            release: group.leaving.clone(),
            adopt,
        });
    }
    plans
}

fn free_vm(vm: &VmId) -> Adoption {
    Adoption {
        vm: vm.clone(),
        from: None,
        from_serving: false,
    }
}

/// The VMs that repairs may still use, and the groups that were changed by earlier ones.
struct Pool<'a> {
    view: &'a RepairView,
    settings: &'a RepairSettings,
    free: Vec<VmId>,
    touched: IndexSet<GroupId>,
    taken: IndexSet<VmId>,
}

impl<'a> Pool<'a> {
    fn new(view: &'a RepairView, settings: &'a RepairSettings) -> Self {
        Self {
            view,
            settings,
            free: view.free.clone(),
            touched: IndexSet::new(),
            taken: IndexSet::new(),
        }
    }

    /// Finds the VMs that complete `group`, or nothing.
    fn complete(&mut self, group: &GroupHealth, lower: &[&GroupHealth]) -> Option<Vec<Adoption>> {
        let need = group.missing();
        let mut adopt: Vec<Adoption> = Vec::with_capacity(need);
        if self.settings.use_spares {
            adopt.extend(self.free.iter().take(need).map(free_vm));
        }
        let from_free = adopt.len();
        if adopt.len() < need && self.merging_pays() {
            self.take_broken(need, lower, &mut adopt);
        }
        if adopt.len() < need && group.scarce && self.settings.take_apart_serving {
            self.take_serving(need, group, &mut adopt);
        }
        if adopt.len() < need {
            return None;
        }
        self.free.drain(..from_free);
        for adoption in &adopt {
            self.taken.insert(adoption.vm.clone());
            self.touched.extend(adoption.from.clone());
        }
        Some(adopt)
    }

    /// Says whether a group completed with another's survivors is back before the lost VMs are.
    fn merging_pays(&self) -> bool {
        let recovery = self.view.load_time + self.settings.expected_start;
        self.settings.merge_broken && recovery < self.settings.expected_return
    }

    /// Takes survivors of groups that are out as well, the one of least use first.
    fn take_broken(&self, need: usize, lower: &[&GroupHealth], adopt: &mut Vec<Adoption>) {
        for donor in lower.iter().rev() {
            self.take_from(donor, need, adopt);
        }
    }

    /// Takes the VMs of the serving group that costs least, if this one is worth much more.
    ///
    /// Only a model that is left with one replica or none is helped this way. Each time costs a
    /// load and a start that no caller would otherwise miss, and for models with more replicas that
    /// was measured to cost more than it brings.
    fn take_serving(&self, need: usize, group: &GroupHealth, adopt: &mut Vec<Adoption>) {
        let factor = u64::from(self.settings.take_apart_factor.max(2));
        let donor = self
            .view
            .groups
            .iter()
            .filter(|donor| donor.serving && !donor.busy && donor.leaving.is_empty())
            .filter(|donor| !self.touched.contains(&donor.group))
            .filter(|donor| donor.worth.saturating_mul(factor) <= group.worth)
            .min_by(|a, b| a.worth.cmp(&b.worth).then_with(|| a.group.cmp(&b.group)));
        if let Some(donor) = donor {
            self.take_from(donor, need, adopt);
        }
    }

    fn take_from(&self, donor: &GroupHealth, need: usize, adopt: &mut Vec<Adoption>) {
        let open = need.saturating_sub(adopt.len());
        let vms = donor.usable.iter().filter(|vm| !self.taken.contains(*vm));
        adopt.extend(vms.take(open).map(|vm| Adoption {
            vm: vm.clone(),
            from: Some(donor.group.clone()),
            from_serving: donor.serving,
        }));
    }
}

#[cfg(test)]
mod tests;
