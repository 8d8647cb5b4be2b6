//! Shares the weight store's rate among loads.
//!
//! The load it answers is the return of a fabric domain: hundreds of loads begin at once and the
//! store gives a fixed rate. Shared evenly, every group finishes at the very end; first come, a
//! group of little use can hold up one that many callers wait for. The rate therefore goes first to
//! the group that brings most service back per byte still to load (weighted shortest job first,
//! which makes the sum of value times waiting smallest for one shared rate).

use indexmap::IndexMap;
use sesamecart_vocabulary::{Bytes, GroupId, VmId, Weight};

/// One VM's load that isn't done yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadRequest {
    /// The group that waits for it.
    pub group: GroupId,
    /// The VM that loads.
    pub vm: VmId,
    /// What is left to load.
    pub remaining: Bytes,
    /// What the service of the group is worth.
    pub value: Weight,
    /// Whether callers go without the group until the load is done.
    pub urgent: bool,
}

/// The rate that one load may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateGrant {
    /// The group that waits for the load.
    pub group: GroupId,
    /// The VM that loads.
    pub vm: VmId,
    /// Bytes in a second.
    pub bytes_per_s: Bytes,
}

/// Shares `total` among `loads` by priority, with at most `per_vm` for each.
///
/// The grants never add up to more than `total`: over the limit the store refuses everyone for a
/// while, also the loads that matter most.
#[must_use]
pub fn allot(loads: &[LoadRequest], total: Bytes, per_vm: Bytes) -> Vec<RateGrant> {
    let mut groups: IndexMap<&GroupId, GroupNeed<'_>> = IndexMap::new();
    for load in loads.iter().filter(|load| load.remaining > Bytes(0)) {
        groups.entry(&load.group).or_default().add(load);
    }
    groups.sort_by(|a, a_need, b, b_need| b_need.rank(a_need).then_with(|| a.cmp(b)));
    let mut left = total;
    let mut grants = Vec::new();
    for load in groups.values().flat_map(|need| &need.loads) {
        let rate = per_vm.min(left);
        if rate == Bytes(0) {
            break;
        }
        left -= rate;
        grants.push(RateGrant {
            group: load.group.clone(),
            vm: load.vm.clone(),
            bytes_per_s: rate,
        });
    }
    grants
}

#[derive(Default)]
struct GroupNeed<'a> {
    loads: Vec<&'a LoadRequest>,
    bytes: u128,
    value: u128,
    urgent: bool,
}

impl<'a> GroupNeed<'a> {
    fn add(&mut self, load: &'a LoadRequest) {
        self.bytes += u128::from(load.remaining.0);
        self.value = self.value.max(u128::from(load.value.0));
        self.urgent |= load.urgent;
        self.loads.push(load);
    }

    /// Orders by urgency, then by value per byte, compared without division.
    fn rank(&self, other: &Self) -> std::cmp::Ordering {
        let mine = self.value * other.bytes;
        let theirs = other.value * self.bytes;
        self.urgent.cmp(&other.urgent).then(mine.cmp(&theirs))
    }
}

#[cfg(test)]
mod tests;
