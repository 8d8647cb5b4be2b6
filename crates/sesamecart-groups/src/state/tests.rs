use std::time::Duration;

use sesamecart_vocabulary::{Generation, Incarnation, Timestamp};

use super::{GroupReport, MemberReport, NotRoutableReason, Routability, assess};
use crate::assignment::AssignedGroup;

const VALIDITY: Duration = Duration::from_secs(3);
const ASKED_AT: Timestamp = Timestamp::from_millis(10_000);

fn assigned() -> AssignedGroup {
    AssignedGroup {
        generation: Generation(2),
        version: "1".to_owned(),
        members: ["vm-1", "vm-2"].map(|vm| vm.parse().unwrap()).into(),
    }
}

fn complete_report() -> GroupReport {
    let member = MemberReport {
        incarnation: Incarnation(7),
        generation: Generation(2),
        ready: true,
    };
    GroupReport {
        group: "g".parse().unwrap(),
        asked_at: ASKED_AT,
        incarnation: Incarnation(7),
        generation: Generation(2),
        ready: true,
        members: ["vm-1", "vm-2"]
            .map(|vm| (vm.parse().unwrap(), member))
            .into(),
    }
}

/// Each case changes the report of a complete group and gives the reason why the group isn't routable.
macro_rules! not_routable_cases {
    ($($name:ident: $change:expr => $reason:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut report = complete_report();
            let change: fn(&mut GroupReport) = $change;
            change(&mut report);
            let now = Timestamp::from_millis(11_000);
            let routability = assess(&assigned(), 2, Some(&report), &[].into(), now, VALIDITY);
            assert_eq!(routability, Routability::NotRoutable($reason));
        }
    )*};
}

not_routable_cases! {
    engine_not_ready: |r| r.ready = false => NotRoutableReason::EngineNotReady;
    member_not_ready: |r| r.members[1].ready = false
        => NotRoutableReason::MemberNotReady("vm-2".parse().unwrap());
    member_missing_from_report: |r| { r.members.pop(); }
        => NotRoutableReason::MemberNotReady("vm-2".parse().unwrap());
    member_of_other_generation: |r| r.members[0].generation = Generation(1)
        => NotRoutableReason::MemberNotReady("vm-1".parse().unwrap());
    member_of_other_incarnation: |r| r.members[0].incarnation = Incarnation(6)
        => NotRoutableReason::MemberNotReady("vm-1".parse().unwrap());
    report_of_older_generation: |r| r.generation = Generation(1)
        => NotRoutableReason::OtherGeneration(Generation(1));
    report_of_newer_generation: |r| r.generation = Generation(3)
        => NotRoutableReason::OtherGeneration(Generation(3));
    report_expired: |r| r.asked_at = Timestamp::from_millis(8_000) => NotRoutableReason::StaleReport;
}

#[test]
fn complete_group_is_routable_until_the_report_expires() {
    let now = Timestamp::from_millis(11_000);
    let routability = assess(
        &assigned(),
        2,
        Some(&complete_report()),
        &[].into(),
        now,
        VALIDITY,
    );
    assert!(routability.is_routable(now));
    assert!(!routability.is_routable(ASKED_AT + VALIDITY));
}

/// A member fails right after it responded. Until the report expires, callers would be routed to a replica
/// that hangs, so a known loss must take precedence over the report.
#[test]
fn lost_member_takes_precedence_over_valid_report() {
    let lost = ["vm-2"].map(|vm| vm.parse().unwrap()).into();
    let now = Timestamp::from_millis(10_001);
    let routability = assess(
        &assigned(),
        2,
        Some(&complete_report()),
        &lost,
        now,
        VALIDITY,
    );
    assert_eq!(
        routability,
        Routability::NotRoutable(NotRoutableReason::MemberLost("vm-2".parse().unwrap()))
    );
}

/// A VM was removed from the group and the remaining members still report ready. Callers would receive
/// responses from only a part of the model.
#[test]
fn group_with_missing_vms_is_not_routable() {
    let mut incomplete = assigned();
    incomplete.members.pop();
    let now = Timestamp::from_millis(10_001);
    let routability = assess(
        &incomplete,
        2,
        Some(&complete_report()),
        &[].into(),
        now,
        VALIDITY,
    );
    assert_eq!(
        routability,
        Routability::NotRoutable(NotRoutableReason::MissingVms(1))
    );
}
