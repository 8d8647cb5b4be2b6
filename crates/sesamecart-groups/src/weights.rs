//! Allocates the weight store's bandwidth to loads.
//!
//! When a fabric domain recovers, hundreds of loads start at once and the store's total rate is fixed. With
//! equal shares, all groups would finish only at the very end. First come, first served could delay a group
//! with many waiting callers behind one of low value. The rate is therefore allocated first to the group with
//! the highest value per remaining byte (weighted shortest job first, which minimizes the sum of value times
//! waiting time for one shared rate).

use indexmap::IndexMap;
use sesamecart_vocabulary::{Bytes, GroupId, VmId, Weight};

/// A load of one VM that isn't complete yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadRequest {
    /// The group that waits for it.
    pub group: GroupId,
    /// The VM that loads.
    pub vm: VmId,
    /// The bytes still to load.
    pub remaining: Bytes,
    /// The value of the group's model.
    pub value: Weight,
    /// Whether the group is unavailable to callers until the load is complete.
    pub urgent: bool,
}

/// The rate granted to one load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateGrant {
    /// The group that waits for the load.
    pub group: GroupId,
    /// The VM that loads.
    pub vm: VmId,
    /// Bytes per second.
    pub bytes_per_s: Bytes,
}

/// Allocates `total` bytes per second to `loads` by priority, with at most `per_vm` for each load.
///
/// The grants never exceed `total`: above the limit the store temporarily refuses all loads, including the
/// most important ones.
#[must_use]
pub fn allocate_rates(loads: &[LoadRequest], total: Bytes, per_vm: Bytes) -> Vec<RateGrant> {
    let mut groups: IndexMap<&GroupId, GroupDemand<'_>> = IndexMap::new();
    for load in loads.iter().filter(|load| load.remaining > Bytes(0)) {
        groups.entry(&load.group).or_default().add(load);
    }
    groups
        .sort_by(|a, a_demand, b, b_demand| b_demand.cmp_priority(a_demand).then_with(|| a.cmp(b)));
    let mut available = total;
    let mut grants = Vec::new();
    for load in groups.values().flat_map(|demand| &demand.loads) {
        let rate = per_vm.min(available);
        if rate == Bytes(0) {
            break;
        }
        available -= rate;
        grants.push(RateGrant {
            group: load.group.clone(),
            vm: load.vm.clone(),
            bytes_per_s: rate,
        });
    }
    grants
}

#[derive(Default)]
struct GroupDemand<'a> {
    loads: Vec<&'a LoadRequest>,
    bytes: u128,
    value: u128,
    urgent: bool,
}

impl<'a> GroupDemand<'a> {
    fn add(&mut self, load: &'a LoadRequest) {
        self.bytes += u128::from(load.remaining.0);
        self.value = self.value.max(u128::from(load.value.0));
        self.urgent |= load.urgent;
        self.loads.push(load);
    }

    /// Compares by urgency, then by value per byte. Cross-multiplication avoids a division.
    fn cmp_priority(&self, other: &Self) -> std::cmp::Ordering {
        let self_score = self.value * other.bytes;
        let other_score = other.value * self.bytes;
        self.urgent
            .cmp(&other.urgent)
            .then(self_score.cmp(&other_score))
    }
}

#[cfg(test)]
mod tests;
