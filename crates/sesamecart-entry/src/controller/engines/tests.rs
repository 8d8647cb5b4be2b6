//! Tests of what an engine's report says of orders without an answer.

use sesamecart_fleet::{GroupEpoch, GroupKey, GroupRole, GroupState, OrderCount};
use sesamecart_platform::{EngineReport, Order};

use super::is_still_joined;

fn key(epoch: u64) -> GroupKey {
    GroupKey {
        group: "g1-1".parse().expect("a valid name"),
        epoch: GroupEpoch(epoch),
    }
}

fn report_of_member(key: &GroupKey) -> EngineReport {
    EngineReport {
        orders: OrderCount(3),
        incarnation: None,
        group: Some(GroupRole {
            group: key.group.clone(),
            epoch: key.epoch,
            rank: 0,
            state: GroupState::Open,
        }),
        running: 0,
        waiting: 0,
        is_leaving: false,
    }
}

/// Guards against members that join another group while their head is open: its count had risen by an earlier order.
#[test]
fn a_leave_has_not_started_while_the_engine_is_in_the_group() {
    let report = report_of_member(&key(7));
    assert!(is_still_joined(&Order::Leave(key(7)), &report));
    assert!(!is_still_joined(&Order::Leave(key(6)), &report));
    assert!(!is_still_joined(&Order::Close(key(7)), &report));
}
