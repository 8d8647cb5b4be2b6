mod simulation;

use std::time::Duration;

use sesamecart_property::check_property;
use sesamecart_vocabulary::{Bytes, Epoch, GroupId, VmId};

use super::VmState;
use crate::order::{OrderKind, OrderOutcome};
use simulation::{STORE_RATE, Simulation};

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn group(name: &str) -> GroupId {
    name.parse().unwrap()
}

/// A member fails and the fabric domain has a spare. Without a repair, customers' requests would wait until
/// that VM returns.
#[test]
fn spare_replaces_a_lost_member() {
    let mut sim = Simulation::running();
    sim.kill("a-1");
    sim.run(Duration::from_secs(60));
    let members = sim.members("a");
    assert!(members.contains(&vm("spare-1")) && !members.contains(&vm("a-1")));
    assert!(sim.is_routable("a"));
}

/// A member pauses for less than the grace period. The group is unavailable only for these seconds; a repair
/// would make it unavailable for a load and an engine start.
#[test]
fn short_pause_replaces_no_member() {
    let mut sim = Simulation::running();
    sim.pause("a-1", Duration::from_secs(3));
    sim.run(Duration::from_secs(2));
    assert!(!sim.is_routable("a"));
    sim.run(Duration::from_secs(10));
    assert!(sim.is_routable("a"));
    assert!(sim.members("a").contains(&vm("a-1")));
    assert_eq!(sim.orders.len(), 0);
}

/// The VM list shows a VM as leaving. The spare loads while the group is still serving, so the group is
/// unavailable only while its engine starts.
#[test]
fn leaving_member_is_replaced_while_the_group_is_serving() {
    let mut sim = Simulation::running();
    sim.list.insert(vm("a-0"), VmState::Leaving);
    let mut downtime = Duration::ZERO;
    for _ in 0..60 {
        sim.run(Duration::from_secs(1));
        if !sim.is_routable("a") {
            downtime += Duration::from_secs(1);
        }
    }
    assert!(!sim.members("a").contains(&vm("a-0")));
    assert!(sim.is_routable("a"));
    assert!(
        downtime <= simulation::ENGINE_START + Duration::from_secs(4),
        "{downtime:?}"
    );
}

/// Both groups lose a member and there is no spare. One is completed with the remaining VMs of the other, so
/// that one of two replicas serves instead of none.
#[test]
fn remaining_vms_complete_another_group() {
    let mut sim = Simulation::running();
    for lost in ["spare-1", "a-1", "b-1"] {
        sim.kill(lost);
    }
    sim.run(Duration::from_secs(60));
    assert!(sim.is_routable("a") != sim.is_routable("b"));
}

/// Operators publish another version. The replicas are updated one after the other, and the model is always
/// available.
#[test]
fn new_version_is_rolled_out_one_replica_at_a_time() {
    let mut sim = Simulation::running();
    sim.publish_version("2");
    for _ in 0..120 {
        sim.run(Duration::from_secs(1));
        assert!(sim.is_routable("a") || sim.is_routable("b"));
    }
    assert!(sim.is_routable("a") && sim.is_routable("b"));
    assert!(sim.version("a") == "2" && sim.version("b") == "2");
    let kinds: Vec<&OrderKind> = sim.orders.iter().map(|order| &order.kind).collect();
    assert!(
        kinds
            .iter()
            .all(|kind| matches!(kind, OrderKind::LoadVersion { .. }))
    );
}

/// The node lost its lease while it was paused, and another node took over the shard. Its late appends and
/// orders must have no effect, or the two owners would undo each other's changes.
#[test]
fn requests_of_an_outdated_epoch_have_no_effect() {
    let mut sim = Simulation::running();
    sim.claim_shard_for_another_owner();
    sim.kill("a-1");
    let before = sim.members("a");
    sim.run(Duration::from_secs(60));
    assert_eq!(sim.members("a"), before);
    assert!(
        sim.orders
            .iter()
            .all(|order| order.answer != OrderOutcome::Accepted)
    );
}

#[test]
fn no_orders_for_a_lost_shard() {
    let mut sim = Simulation::running();
    sim.lose_shard();
    sim.kill("a-1");
    sim.run(Duration::from_secs(60));
    assert!(sim.orders.is_empty());
    assert!(sim.controller.routability(&group("a")).is_none());
}

/// Under random faults in random order, no VM is ever in two groups, a group is routable only while all of
/// its members are ready together, epochs never decrease and the store's rate is never exceeded.
#[test]
fn invariants_hold_under_random_faults() {
    check_property(bolero::produce::<Vec<(u8, u8, u8)>>(), |faults| {
        let mut sim = Simulation::running();
        for (fault, target, seconds) in faults.iter().take(40) {
            sim.inject_fault(*fault, *target);
            for _ in 0..=seconds % 12 {
                sim.run(Duration::from_secs(1));
                check_invariants(&sim);
            }
        }
    });
}

fn check_invariants(sim: &Simulation) {
    let mut assigned = indexmap::IndexSet::new();
    for name in ["a", "b"] {
        for vm in sim.members(name) {
            assert!(assigned.insert(vm.clone()), "{vm} is in two groups");
        }
        if sim.is_routable(name) {
            assert!(
                sim.was_complete_when_polled(name),
                "{name} is routable but not complete"
            );
        }
    }
    let mut highest_epoch = Epoch(0);
    for order in &sim.orders {
        assert!(
            order.epoch >= highest_epoch,
            "the epoch of an order decreased"
        );
        highest_epoch = order.epoch;
    }
    let granted: Bytes = sim.granted.values().copied().sum();
    assert!(
        granted <= STORE_RATE,
        "{granted} bytes per second are granted"
    );
}
