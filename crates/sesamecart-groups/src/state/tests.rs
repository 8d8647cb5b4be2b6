use std::time::Duration;

use sesamecart_vocabulary::{Generation, Incarnation, Timestamp};

use super::{GroupReport, MemberReport, NotRoutable, Routability, assess};
use crate::assignment::AssignedGroup;

const VALIDITY: Duration = Duration::from_secs(3);
const ASKED: Timestamp = Timestamp::from_millis(10_000);

fn assigned() -> AssignedGroup {
    AssignedGroup {
        generation: Generation(2),
        version: "1".to_owned(),
        members: ["vm-1", "vm-2"].map(|vm| vm.parse().unwrap()).into(),
    }
}

fn whole() -> GroupReport {
    let member = MemberReport {
        incarnation: Incarnation(7),
        generation: Generation(2),
        ready: true,
    };
    GroupReport {
        group: "g".parse().unwrap(),
        asked_at: ASKED,
        incarnation: Incarnation(7),
        generation: Generation(2),
        ready: true,
        members: ["vm-1", "vm-2"]
            .map(|vm| (vm.parse().unwrap(), member))
            .into(),
    }
}

/// Each case changes a whole group's report and says why the group gets no work then.
macro_rules! refused {
    ($($name:ident: $change:expr => $reason:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut report = whole();
            let change: fn(&mut GroupReport) = $change;
            change(&mut report);
            let now = Timestamp::from_millis(11_000);
            let got = assess(&assigned(), 2, Some(&report), &[].into(), now, VALIDITY);
            assert_eq!(got, Routability::Not($reason));
        }
    )*};
}

refused! {
    engine_not_ready: |r| r.ready = false => NotRoutable::Engine;
    member_not_ready: |r| r.members[1].ready = false => NotRoutable::Member("vm-2".parse().unwrap());
    member_not_seen: |r| { r.members.pop(); } => NotRoutable::Member("vm-2".parse().unwrap());
    member_of_other_generation: |r| r.members[0].generation = Generation(1)
        => NotRoutable::Member("vm-1".parse().unwrap());
    member_of_other_life: |r| r.members[0].incarnation = Incarnation(6)
        => NotRoutable::Member("vm-1".parse().unwrap());
    answer_of_older_generation: |r| r.generation = Generation(1)
        => NotRoutable::OtherGeneration(Generation(1));
    answer_of_newer_generation: |r| r.generation = Generation(3)
        => NotRoutable::OtherGeneration(Generation(3));
    answer_too_old: |r| r.asked_at = Timestamp::from_millis(8_000) => NotRoutable::Stale;
}

#[test]
fn whole_group_is_routable_until_validity_ends() {
    let now = Timestamp::from_millis(11_000);
    let got = assess(&assigned(), 2, Some(&whole()), &[].into(), now, VALIDITY);
    assert!(got.is_routable(now));
    assert!(!got.is_routable(ASKED + VALIDITY));
}

/// A member dies right after it answered. Until the report runs out, callers would be sent to a
/// replica that hangs, so word of the loss must outweigh the report.
#[test]
fn lost_member_outweighs_fresh_report() {
    let lost = ["vm-2"].map(|vm| vm.parse().unwrap()).into();
    let now = Timestamp::from_millis(10_001);
    let got = assess(&assigned(), 2, Some(&whole()), &lost, now, VALIDITY);
    assert_eq!(
        got,
        Routability::Not(NotRoutable::Lost("vm-2".parse().unwrap()))
    );
}

/// A VM was taken out of the group and the rest still says that it is ready. Callers would get
/// answers from a part of the model.
#[test]
fn group_with_fewer_vms_is_refused() {
    let mut fewer = assigned();
    fewer.members.pop();
    let now = Timestamp::from_millis(10_001);
    let got = assess(&fewer, 2, Some(&whole()), &[].into(), now, VALIDITY);
    assert_eq!(got, Routability::Not(NotRoutable::Missing(1)));
}
