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

macro_rules! settled_cases {
    ($($name:ident: $request:expr => $settled:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(assignments().is_settled(&$request), $settled);
        }
    )*};
}

settled_cases! {
    next_generation_is_not_settled: assign(3) => false;
    current_generation_is_settled: assign(2) => true;
    unassigning_a_member_is_not_settled: unassign("vm-1") => false;
    unassigning_a_freed_vm_is_settled: unassign("vm-2") => true;
}

/// A group that was never assigned may start in generation 0, the generation of an engine that is already
/// running.
#[test]
fn first_assignment_is_not_settled() {
    let assignments = Assignments::default();
    assert!(!assignments.is_settled(&assign(0)));
}

#[test]
fn owner_is_the_group_with_the_member() {
    let assignments = assignments();
    assert_eq!(
        assignments.owner(&"vm-1".parse().unwrap()),
        Some(&"a".parse().unwrap())
    );
    assert_eq!(assignments.generation(&"b".parse().unwrap()), Generation(0));
}
