use indexmap::IndexMap;
use sesamecart_vocabulary::Generation;

use super::{AssignedGroup, AssignmentRequest, Assignments};

/// `vm-1` belongs to `a` in generation 2.
fn assignments() -> Assignments {
    let group = AssignedGroup {
        generation: Generation(2),
        version: "1".to_owned(),
        members: ["vm-1".parse().unwrap()].into(),
    };
    Assignments::new(IndexMap::from([("a".parse().unwrap(), group)]))
}

fn assign(generation: u64) -> AssignmentRequest {
    AssignmentRequest::Assign {
        group: "a".parse().unwrap(),
        vms: vec!["vm-1".parse().unwrap()],
        generation: Generation(generation),
        version: "1".to_owned(),
    }
}

fn unassign(vm: &str) -> AssignmentRequest {
    AssignmentRequest::Unassign {
        vm: vm.parse().unwrap(),
        group: "a".parse().unwrap(),
        generation: Generation(2),
    }
}

macro_rules! settled {
    ($($name:ident: $request:expr => $settled:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(assignments().has_settled(&$request), $settled);
        }
    )*};
}

settled! {
    next_generation_is_open: assign(3) => false;
    reached_generation_is_settled: assign(2) => true;
    member_is_still_to_be_freed: unassign("vm-1") => false;
    freed_vm_is_settled: unassign("vm-2") => true;
}

/// A group that was never assigned may begin in generation 0, that of an engine that runs already.
#[test]
fn first_assignment_is_open() {
    let none = Assignments::default();
    assert!(!none.has_settled(&assign(0)));
}

#[test]
fn owners_follow_members() {
    let assignments = assignments();
    assert_eq!(
        assignments.owner(&"vm-1".parse().unwrap()),
        Some(&"a".parse().unwrap())
    );
    assert_eq!(assignments.generation(&"b".parse().unwrap()), Generation(0));
}
