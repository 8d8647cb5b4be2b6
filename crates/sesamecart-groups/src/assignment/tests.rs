use sesamecart_vocabulary::Generation;

use super::{AssignmentChange, AssignmentRequest, Assignments, Rejection};

fn request(group: &str, base: u64, change: AssignmentChange) -> AssignmentRequest {
    AssignmentRequest {
        group: group.parse().unwrap(),
        base: Generation(base),
        change,
    }
}

fn assign(vm: &str) -> AssignmentChange {
    AssignmentChange::Assign(vm.parse().unwrap())
}

fn unassign(vm: &str) -> AssignmentChange {
    AssignmentChange::Unassign(vm.parse().unwrap())
}

fn with_vm_1_in_a() -> Assignments {
    let mut assignments = Assignments::default();
    assignments.apply(&request("a", 0, assign("vm-1"))).unwrap();
    assignments
}

macro_rules! rejected {
    ($($name:ident: $request:expr => $rejection:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut assignments = with_vm_1_in_a();
            let before = assignments.clone();
            assert_eq!(assignments.apply(&$request), Err($rejection));
            assert_eq!(assignments, before);
        }
    )*};
}

rejected! {
    vm_of_another_group: request("b", 0, assign("vm-1"))
        => Rejection::Taken { vm: "vm-1".parse().unwrap(), group: "a".parse().unwrap() };
    same_request_twice: request("a", 0, assign("vm-1")) => Rejection::Stale(Generation(1));
    plan_of_an_earlier_owner: request("a", 0, assign("vm-2")) => Rejection::Stale(Generation(1));
    plan_ahead_of_the_log: request("a", 2, assign("vm-2")) => Rejection::Stale(Generation(1));
    freeing_a_stranger: request("a", 1, unassign("vm-2"))
        => Rejection::NoMember("vm-2".parse().unwrap());
}

#[test]
fn vm_moves_after_it_was_freed() {
    let mut assignments = with_vm_1_in_a();
    assignments
        .apply(&request("a", 1, unassign("vm-1")))
        .unwrap();
    assignments.apply(&request("b", 0, assign("vm-1"))).unwrap();
    assert_eq!(
        assignments.owner(&"vm-1".parse().unwrap()),
        Some(&"b".parse().unwrap())
    );
    assert_eq!(assignments.generation(&"a".parse().unwrap()), Generation(2));
}

/// Random requests from any number of racing controllers never put a VM into two groups.
#[test]
fn no_vm_in_two_groups() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .for_each(|requests| {
            let mut assignments = Assignments::default();
            for (group, base, vm, kind) in requests {
                let vm = format!("vm-{}", vm % 6);
                let change = match kind % 3 {
                    0 => unassign(&vm),
                    _ => assign(&vm),
                };
                let _verdict = assignments.apply(&request(
                    &format!("g-{}", group % 3),
                    u64::from(base % 8),
                    change,
                ));
                assert_exclusive(&assignments);
            }
        });
}

fn assert_exclusive(assignments: &Assignments) {
    let mut seen = indexmap::IndexSet::new();
    for (group, assigned) in assignments.groups() {
        for vm in &assigned.members {
            assert!(seen.insert(vm), "{vm} is in two groups");
            assert_eq!(assignments.owner(vm), Some(group));
        }
    }
}
