use std::time::Duration;

use sesamecart_property::check_property;
use sesamecart_vocabulary::VmId;

use super::{GroupHealth, RepairView, plan_repairs, plan_replacements};
use crate::settings::RepairSettings;

fn vms(text: &str) -> Vec<VmId> {
    text.split_whitespace()
        .map(|vm| vm.parse().unwrap())
        .collect()
}

/// A group of three VMs that isn't serving.
fn broken(name: &str, marginal_value: u64, usable: &str, lost: &str) -> GroupHealth {
    GroupHealth {
        group: name.parse().unwrap(),
        marginal_value,
        size: 3,
        scarce: true,
        serving: false,
        busy: false,
        usable: vms(usable),
        lost: vms(lost),
        leaving: Vec::new(),
    }
}

fn serving(name: &str, marginal_value: u64, usable: &str, leaving: &str) -> GroupHealth {
    GroupHealth {
        serving: true,
        leaving: vms(leaving),
        ..broken(name, marginal_value, usable, "")
    }
}

fn busy(group: GroupHealth) -> GroupHealth {
    GroupHealth {
        busy: true,
        ..group
    }
}

/// A group whose model has many other replicas.
fn with_many_replicas(group: GroupHealth) -> GroupHealth {
    GroupHealth {
        scarce: false,
        ..group
    }
}

fn view(groups: Vec<GroupHealth>, free: &str) -> RepairView {
    RepairView {
        groups,
        free: vms(free),
        load_time: Duration::from_secs(35),
    }
}

fn summaries(repairs: &[super::Repair]) -> Vec<String> {
    let acquired_vms = |repair: &super::Repair| {
        let acquire = repair.acquire.iter().map(|acquired| match &acquired.from {
            Some(from) => format!("{}<{from}", acquired.vm),
            None => acquired.vm.to_string(),
        });
        acquire.collect::<Vec<_>>().join(",")
    };
    repairs
        .iter()
        .map(|r| format!("{}+{}", r.group, acquired_vms(r)))
        .collect()
}

macro_rules! repair_cases {
    ($($name:ident: $groups:expr, free $free:literal => $summaries:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: &[&str] = &$summaries;
            let repairs = plan_repairs(&view($groups.into(), $free), &RepairSettings::default());
            assert_eq!(summaries(&repairs), expected);
        }
    )*};
}

repair_cases! {
    spares_are_used_first: [broken("a", 5, "a1 a2", "a3"), broken("b", 5, "b1", "b2 b3")], free "s"
        => ["a+s"];
    incomplete_group_donates_vms: [broken("a", 5, "a1 a2", "a3"), broken("b", 5, "b1 b2", "b3")],
        free "" => ["a+b1<b"];
    higher_marginal_value_first: [broken("a", 5, "a1 a2", "a3"), broken("b", 6, "b1 b2", "b3")],
        free "" => ["b+a1<a"];
    no_vms_for_a_group_that_stays_incomplete: [broken("a", 5, "a1", "a2 a3")], free "s" => [];
    busy_group_is_not_repaired: [busy(broken("a", 5, "a1 a2", "a3"))], free "s" => [];
    group_of_equal_value_is_not_preempted: [broken("a", 5, "a1 a2", "a3"), serving("b", 5, "b1 b2 b3", "")],
        free "" => [];
    last_replica_preempts_the_lowest_value: [broken("a", 10, "a1 a2", "a3"), serving("b", 5, "b1 b2 b3", ""),
        serving("c", 2, "c1 c2 c3", "")], free "" => ["a+c1<c"];
    group_with_many_replicas_preempts_none: [with_many_replicas(broken("a", 10, "a1 a2", "a3")),
        serving("b", 2, "b1 b2 b3", "")], free "" => [];
    lost_domain_is_not_repaired: [broken("a", 5, "", "a1 a2 a3"), broken("b", 5, "", "b1 b2 b3")],
        free "" => [];
    returning_vms_complete_one_group: [broken("a", 5, "a1", "a2 a3"), broken("b", 5, "b1", "b2 b3"),
        broken("c", 5, "c1", "c2 c3")], free "" => ["a+c1<c,b1<b"];
}

/// VMs restart one after the other and return within seconds. Moving VMs between incomplete groups would make
/// two groups load weights instead of one.
#[test]
fn no_merge_if_lost_vms_return_sooner() {
    let settings = RepairSettings {
        expected_vm_absence: Duration::from_secs(20),
        ..RepairSettings::default()
    };
    let groups = vec![broken("a", 5, "a1 a2", "a3"), broken("b", 5, "b1 b2", "b3")];
    assert_eq!(plan_repairs(&view(groups, ""), &settings), []);
}

#[test]
fn leaving_vm_is_replaced_only_by_a_free_vm() {
    let groups = vec![
        serving("a", 5, "a1 a2", "a3"),
        serving("b", 9, "b1 b2", "b3"),
    ];
    let plans = plan_replacements(&view(groups, "s"), &RepairSettings::default());
    assert_eq!(summaries(&plans), ["b+s"]);
}

/// For random fabric domains, every repair completes its group, no VM is assigned to two groups, and a
/// serving group is preempted only for one with at least twice its marginal value.
#[test]
fn repairs_complete_groups_without_sharing_vms() {
    check_property(
        bolero::produce::<(Vec<(u8, u8, bool)>, u8)>(),
        |(groups, free)| {
            let group = |(index, (marginal_value, lost, is_serving)): (usize, &(u8, u8, bool))| {
                let lost = if *is_serving {
                    0
                } else {
                    usize::from(lost % 4)
                };
                let names: Vec<String> = (0..3).map(|vm| format!("vm-{index}-{vm}")).collect();
                GroupHealth {
                    serving: *is_serving,
                    ..broken(
                        &format!("g-{index}"),
                        u64::from(*marginal_value),
                        &names[lost..].join(" "),
                        &names[..lost].join(" "),
                    )
                }
            };
            let groups: Vec<GroupHealth> = groups.iter().take(12).enumerate().map(group).collect();
            let free: Vec<String> = (0..free % 4).map(|vm| format!("free-{vm}")).collect();
            let view = view(groups, &free.join(" "));
            check_repairs(&view);
        },
    );
}

fn check_repairs(view: &RepairView) {
    let mut used = indexmap::IndexSet::new();
    let find = |group| view.groups.iter().find(|g| g.group == group).unwrap();
    for repair in plan_repairs(view, &RepairSettings::default()) {
        let group = find(repair.group);
        assert!(!group.serving);
        assert_eq!(group.usable.len() + repair.acquire.len(), 3);
        assert!(group.usable.iter().all(|vm| !used.contains(vm)));
        for acquired in repair.acquire {
            let donor = acquired.from.map(find);
            let source = donor.map_or(&view.free, |donor| &donor.usable);
            assert!(source.contains(&acquired.vm));
            assert!(
                donor.is_none_or(|d| !d.serving || 2 * d.marginal_value <= group.marginal_value)
            );
            assert!(used.insert(acquired.vm));
        }
    }
}
