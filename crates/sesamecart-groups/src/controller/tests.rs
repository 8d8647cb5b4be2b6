mod world;

use std::time::Duration;

use sesamecart_property::check_property;
use sesamecart_vocabulary::{Bytes, Epoch, GroupId, VmId};

use super::VmState;
use crate::order::{OrderAnswer, OrderKind};
use world::{STORE_RATE, World};

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn group(name: &str) -> GroupId {
    name.parse().unwrap()
}

/// A member dies and a spare stands in the same fabric domain. Without a repair the pound keepers'
/// reports would wait until the very VM is back.
#[test]
fn spare_takes_the_place_of_a_lost_member() {
    let mut world = World::running();
    world.kill("a-1");
    world.run(Duration::from_secs(60));
    let members = world.members("a");
    assert!(members.contains(&vm("spare-1")) && !members.contains(&vm("a-1")));
    assert!(world.is_routable("a"));
}

/// A member stands still for less than the patience. Callers miss the group for these seconds only;
/// a repair would make them miss it for a load and a start.
#[test]
fn short_pause_moves_nothing() {
    let mut world = World::running();
    world.pause("a-1", Duration::from_secs(3));
    world.run(Duration::from_secs(2));
    assert!(!world.is_routable("a"));
    world.run(Duration::from_secs(10));
    assert!(world.is_routable("a"));
    assert!(world.members("a").contains(&vm("a-1")));
    assert_eq!(world.orders.len(), 0);
}

/// The list says that a VM will leave. The spare loads while the group still serves, so callers miss
/// the group only while its engine starts.
#[test]
fn leaving_member_is_replaced_while_the_group_serves() {
    let mut world = World::running();
    world.list.insert(vm("a-0"), VmState::Leaving);
    let mut missed = Duration::ZERO;
    for _ in 0..60 {
        world.run(Duration::from_secs(1));
        if !world.is_routable("a") {
            missed += Duration::from_secs(1);
        }
    }
    assert!(!world.members("a").contains(&vm("a-0")));
    assert!(world.is_routable("a"));
    assert!(
        missed <= world::ENGINE_START + Duration::from_secs(4),
        "{missed:?}"
    );
}

/// Both groups lose a member and no spare is left. One gets complete with the other's survivors, so
/// that one of two replicas serves in place of none.
#[test]
fn survivors_complete_another_group() {
    let mut world = World::running();
    for lost in ["spare-1", "a-1", "b-1"] {
        world.kill(lost);
    }
    world.run(Duration::from_secs(60));
    assert!(world.is_routable("a") != world.is_routable("b"));
}

/// Operators publish another version. The replicas change one after the other, and the model is
/// never away.
#[test]
fn new_version_rolls_over_replicas() {
    let mut world = World::running();
    world.publish_version("2");
    for _ in 0..120 {
        world.run(Duration::from_secs(1));
        assert!(world.is_routable("a") || world.is_routable("b"));
    }
    assert!(world.is_routable("a") && world.is_routable("b"));
    assert!(world.version("a") == "2" && world.version("b") == "2");
    let kinds: Vec<&OrderKind> = world.orders.iter().map(|order| &order.kind).collect();
    assert!(
        kinds
            .iter()
            .all(|kind| matches!(kind, OrderKind::LoadVersion { .. }))
    );
}

/// The node lost its lease while it was paused and another one took the shard. What it still appends
/// or orders must have no effect, or the two would undo each other.
#[test]
fn owner_of_a_past_epoch_changes_nothing() {
    let mut world = World::running();
    world.take_shard_away();
    world.kill("a-1");
    let before = world.members("a");
    world.run(Duration::from_secs(60));
    assert_eq!(world.members("a"), before);
    assert!(
        world
            .orders
            .iter()
            .all(|order| order.answer != OrderAnswer::Taken)
    );
}

#[test]
fn lost_shard_is_left_alone() {
    let mut world = World::running();
    world.lose_shard();
    world.kill("a-1");
    world.run(Duration::from_secs(60));
    assert!(world.orders.is_empty());
    assert!(world.controller.routability(&group("a")).is_none());
}

/// Random faults in random order: no VM is ever in two groups, a group is routable only while all of
/// its members work together, epochs never go back and the store's rate is never exceeded.
#[test]
fn invariants_hold_under_random_faults() {
    check_property(bolero::produce::<Vec<(u8, u8, u8)>>(), |faults| {
        let mut world = World::running();
        for (kind, target, seconds) in faults.iter().take(40) {
            world.random_fault(*kind, *target);
            for _ in 0..=seconds % 12 {
                world.run(Duration::from_secs(1));
                check(&world);
            }
        }
    });
}

fn check(world: &World) {
    let mut seen = indexmap::IndexSet::new();
    for name in ["a", "b"] {
        for vm in world.members(name) {
            assert!(seen.insert(vm.clone()), "{vm} is in two groups");
        }
        if world.is_routable(name) {
            assert!(
                world.was_whole_when_asked(name),
                "{name} is routable but not whole"
            );
        }
    }
    let mut newest = Epoch(0);
    for order in &world.orders {
        assert!(order.epoch >= newest, "an order's epoch went back");
        newest = order.epoch;
    }
    let granted: Bytes = world.granted.values().copied().sum();
    assert!(
        granted <= STORE_RATE,
        "{granted} bytes in a second are granted"
    );
}
